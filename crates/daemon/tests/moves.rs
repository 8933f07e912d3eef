//! Version moves over several hosts, in virtual time.

mod fleet;

use azurenotch_config::{
    change::Change,
    snapshot::{KeyHash, MoveState},
};
use azurenotch_core::request::access::{Grant, Holder};
use azurenotch_daemon::{
    process::planner::ROLE,
    request::release::{Observation, Selector},
};
use azurenotch_test_support::fault::Fault;
use azurenotch_wire::{event::Kind, id::Route};
use fleet::{DOCUMENT, Fleet, WORKSPACE};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use test_case::test_case;
use tokio::time;

/// Number of hosts of the fleet.
const HOST_COUNT: usize = 4;
/// Requests per second from each host to each route.
const REQUESTS_PER_SECOND: u32 = 250;
/// Time between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_000 / REQUESTS_PER_SECOND as u64);
/// Deadline of the move, which needs four steps of 2 s and as long again for the evaluation.
const MOVE_DEADLINE: Duration = Duration::from_mins(1);
/// Longest time after a fault report in which hosts may still use the new version.
const MAX_USE_AFTER_FAULT: Duration = Duration::from_secs(1);
/// Latency of the running version.
const USUAL_LATENCY: Duration = Duration::from_millis(5);
/// Second version and second route for the document; [`Scenario::new`] adds the steps of 25 % every
/// 2 s.
const DOCUMENT_ADDITION: &str = "
[server s3]
service = consulta
version = 2
data-centre = a
address = 127.0.0.3:9
slots = 9
connections = 390

[route slots]
service = consulta
prefix = /slots
methods = GET
access = keyed
idempotent = yes
timeout = 2s
body-limit = 1KiB
";

/// Failure and latency of the new version for a route, the time since the start of the move and the
/// number of the request.
type Behaviour = fn(&str, Duration, u64) -> (bool, Duration);

fn good(_: &str, _: Duration, _: u64) -> (bool, Duration) {
    (false, USUAL_LATENCY)
}

fn failing(_: &str, _: Duration, number: u64) -> (bool, Duration) {
    (number.is_multiple_of(2), USUAL_LATENCY)
}

fn slow(_: &str, _: Duration, _: u64) -> (bool, Duration) {
    (false, USUAL_LATENCY * 20)
}

fn failing_on_one_route(route: &str, _: Duration, number: u64) -> (bool, Duration) {
    (route == "slots" && number.is_multiple_of(2), USUAL_LATENCY)
}

fn failing_late(_: &str, age: Duration, number: u64) -> (bool, Duration) {
    (
        age > Duration::from_secs(6) && number.is_multiple_of(2),
        USUAL_LATENCY,
    )
}

/// A version move under load.
struct Scenario {
    fleet: Fleet,
    behaviour: Behaviour,
    started: Option<time::Instant>,
    requests: u64,
    new_version_requests: u64,
    last_new_version_use: Option<time::Instant>,
    first_fault: Option<time::Instant>,
}

impl Scenario {
    /// Starts the fleet with load on the running version only.
    async fn new(behaviour: Behaviour) -> Self {
        let pace = "version-share-step = 25%\nversion-step-interval = 2s\nisolation-limit";
        let text = DOCUMENT.replace("isolation-limit", pace) + DOCUMENT_ADDITION;
        let fleet = Fleet::with_document(HOST_COUNT, &text).await;
        fleet.holder(ROLE, Duration::from_secs(20)).await;
        let mut scenario = Self {
            fleet,
            behaviour,
            started: None,
            requests: 0,
            new_version_requests: 0,
            last_new_version_use: None,
            first_fault: None,
        };
        // The latency percentiles of the running version need a number of answers.
        scenario.load(Duration::from_secs(10)).await;
        scenario
    }

    async fn start(&mut self) {
        let change = Change::StartMove {
            service: "consulta".into(),
            to: "2".into(),
            deadline: MOVE_DEADLINE,
        };
        self.change(change).await;
        self.started = Some(time::Instant::now());
        self.requests = 0;
    }

    async fn change(&self, change: Change) {
        let host = self.fleet.daemons.values().next().expect("a host runs");
        host.change(change).await.expect("the change is accepted");
    }

    /// Sends the load for `duration`.
    async fn load(&mut self, duration: Duration) {
        let end = time::Instant::now() + duration;
        while time::Instant::now() < end {
            self.send_round();
            time::sleep(ROUND_INTERVAL).await;
        }
    }

    /// Sends the load until the move has ended or `max_wait` has passed; returns its state.
    async fn finish(&mut self, max_wait: Duration) -> MoveState {
        let end = time::Instant::now() + max_wait;
        while self.state() == MoveState::Running && time::Instant::now() < end {
            self.load(ROUND_INTERVAL).await;
        }
        self.state()
    }

    /// Sends one request from each host to each route.
    fn send_round(&mut self) {
        let names = self.fleet.daemons.keys().cloned().collect::<Vec<_>>();
        for name in names {
            for route in ["labels", "slots"] {
                self.send(&name, route);
            }
        }
    }

    fn send(&mut self, host: &str, route: &str) {
        let daemon = &self.fleet.daemons[host];
        let (node, versions) = (daemon.node(), daemon.versions());
        let snapshot = node.snapshot().expect("configured");
        let name = Route::from(route);
        let grant = Grant {
            name: name.clone(),
            route: Arc::new(snapshot.document.routes[&name].clone()),
            holder: Some(Holder {
                workspace: WORKSPACE.into(),
                key: KeyHash::of(b"key"),
            }),
        };
        let now = node.clock.now();
        let choice = versions.choose(now, &snapshot, &grant).expect("a version");
        let age = self.started.map_or(Duration::ZERO, |it| it.elapsed());
        let is_new = choice.release.as_str() == "2";
        self.requests += 1;
        let (failed, latency) = if is_new {
            self.new_version_requests += 1;
            self.last_new_version_use = Some(time::Instant::now());
            (self.behaviour)(route, age, self.new_version_requests)
        } else {
            (false, USUAL_LATENCY)
        };
        let observation = Observation {
            service: &grant.route.service,
            choice: &choice,
            route: &name,
            workspace: Some(&WORKSPACE.into()),
            failed,
            latency,
        };
        versions.record(now, &observation);
        if self.first_fault.is_none() && self.has_fault() {
            self.first_fault = Some(time::Instant::now());
        }
    }

    /// Returns whether a host reported a fault or the planner recorded one.
    fn has_fault(&self) -> bool {
        let daemons = self.fleet.daemons.values();
        daemons
            .flat_map(|daemon| daemon.versions().reports())
            .any(|report| report.fault.is_some())
            || self.state() == MoveState::TakenBack
    }

    /// Returns the state of the move in the newest snapshot of any host.
    fn state(&self) -> MoveState {
        let snapshots = self
            .fleet
            .daemons
            .values()
            .filter_map(|it| it.node().snapshot());
        let newest = snapshots.max_by_key(|it| it.version).expect("configured");
        newest
            .moves
            .get("consulta")
            .map_or(MoveState::Running, |it| it.state)
    }

    fn new_version_share(&self) -> f64 {
        self.new_version_requests as f64 / self.requests.max(1) as f64
    }

    /// Returns the time from the first fault report to the last request to the new version.
    fn use_after_fault(&self) -> Duration {
        let first_fault = self.first_fault.expect("a fault showed");
        let last = self.last_new_version_use.expect("the new version was used");
        last.saturating_duration_since(first_fault)
    }

    /// Returns for each host how many events of the end of the move it recorded.
    fn move_ended_counts(&self) -> BTreeMap<&String, usize> {
        let daemons = self.fleet.daemons.iter();
        let count = |(name, daemon): (_, &azurenotch_daemon::process::daemon::Daemon)| {
            let events = daemon.node().recorder.after(0).events;
            let ends = events
                .iter()
                .filter(|it| matches!(it.kind, Kind::MoveEnded { .. }));
            (name, ends.count())
        };
        daemons.map(count).collect()
    }
}

/// Guards against a move to a good version that is not complete by its deadline.
#[tokio::test(start_paused = true)]
async fn a_good_version_takes_over_by_its_deadline() {
    let mut scenario = Scenario::new(good).await;
    scenario.start().await;
    assert_eq!(scenario.finish(MOVE_DEADLINE).await, MoveState::Done);
    println!(
        "done after {:?}",
        scenario.started.expect("started").elapsed()
    );
}

/// Guards against a bad version that keeps traffic or is used after its fault was reported.
#[test_case(failing, 0.05; "at once")]
#[test_case(slow, 0.05; "slow")]
#[test_case(failing_on_one_route, 0.05; "one route")]
#[test_case(failing_late, 0.5; "late")]
#[tokio::test(start_paused = true)]
async fn a_bad_version_is_taken_back(behaviour: Behaviour, max_share: f64) {
    let mut scenario = Scenario::new(behaviour).await;
    scenario.start().await;
    assert_eq!(scenario.finish(MOVE_DEADLINE).await, MoveState::TakenBack);
    scenario.load(Duration::from_secs(5)).await;
    let (share, after) = (scenario.new_version_share(), scenario.use_after_fault());
    println!(
        "{} of {} requests, last {after:?} after",
        scenario.new_version_requests, scenario.requests
    );
    assert!(
        after <= MAX_USE_AFTER_FAULT,
        "{after:?} after the fault report"
    );
    assert!(
        share <= max_share,
        "{share} of the requests reached the version"
    );
    scenario.load(Duration::from_secs(5)).await;
    assert!(
        scenario.move_ended_counts().values().all(|ends| *ends == 1),
        "final"
    );
}

/// Guards against a move that stops or restarts when the holder of the planner role crashes.
#[test_case(good, MoveState::Done; "good")]
#[test_case(failing_late, MoveState::TakenBack; "bad")]
#[tokio::test(start_paused = true)]
async fn a_move_survives_the_crash_of_the_planner(behaviour: Behaviour, end: MoveState) {
    let mut scenario = Scenario::new(behaviour).await;
    scenario.start().await;
    scenario.load(Duration::from_secs(5)).await;
    let holder = scenario.fleet.holder(ROLE, Duration::ZERO).await;
    scenario.fleet.crash(&holder.expect("the role is held"));
    assert_eq!(scenario.finish(MOVE_DEADLINE).await, end);
}

/// Guards against a platform outage that changes the share of the new version or stops requests.
#[tokio::test(start_paused = true)]
async fn an_outage_of_the_platform_changes_nothing_that_works() {
    let mut scenario = Scenario::new(good).await;
    scenario.start().await;
    scenario.load(Duration::from_secs(4)).await;
    scenario.set_outage(true);
    // Workspaces complete their current step.
    scenario.load(Duration::from_secs(5)).await;
    let version = scenario.fleet.daemons["h1"].node().version();
    (scenario.new_version_requests, scenario.requests) = (0, 0);
    scenario.load(Duration::from_mins(1)).await;
    let first = scenario.new_version_share();
    (scenario.new_version_requests, scenario.requests) = (0, 0);
    scenario.load(Duration::from_mins(1)).await;
    assert!(
        (scenario.new_version_share() - first).abs() < 0.01,
        "{first} {}",
        scenario.new_version_share()
    );
    assert!(first > 0.0, "the new version keeps its share");
    assert_eq!(scenario.fleet.daemons["h1"].node().version(), version);
    scenario.set_outage(false);
    assert_eq!(scenario.finish(MOVE_DEADLINE).await, MoveState::Done);
}

/// Guards against a fault report that depends on the platform.
#[tokio::test(start_paused = true)]
async fn a_fault_report_reaches_all_hosts_while_the_platform_is_down() {
    let mut scenario = Scenario::new(failing_late).await;
    scenario.start().await;
    scenario.load(Duration::from_secs(4)).await;
    scenario.set_outage(true);
    scenario.load(Duration::from_secs(30)).await;
    let after = scenario.use_after_fault();
    assert!(
        after <= MAX_USE_AFTER_FAULT,
        "{after:?} after the fault report"
    );
    assert_eq!(
        scenario.state(),
        MoveState::Running,
        "nothing is recorded yet"
    );
    scenario.set_outage(false);
    assert_eq!(scenario.finish(MOVE_DEADLINE).await, MoveState::TakenBack);
}

/// Guards against requests that are sent to the new version after the move was cancelled.
#[tokio::test(start_paused = true)]
async fn a_cancelled_move_sends_nothing_further() {
    let mut scenario = Scenario::new(good).await;
    scenario.start().await;
    scenario.load(Duration::from_secs(6)).await;
    let cancel = Change::CancelMove {
        service: "consulta".into(),
    };
    scenario.change(cancel).await;
    // Hosts adopt the announced version within a round of heartbeats.
    scenario.load(Duration::from_secs(1)).await;
    let before = scenario.new_version_requests;
    assert!(before > 0, "the move was under way");
    scenario.load(Duration::from_secs(20)).await;
    assert_eq!(scenario.new_version_requests, before);
    assert_eq!(scenario.state(), MoveState::Cancelled);
}

impl Scenario {
    fn set_outage(&self, down: bool) {
        self.fleet.platform_fault(&Fault {
            down,
            ..Fault::default()
        });
    }
}
