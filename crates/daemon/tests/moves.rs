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

/// Hosts of the fleet.
const HOSTS: usize = 4;
/// Requests of each host to each route in a second.
const RATE: u32 = 250;
/// Pause between two rounds of requests.
const STEP: Duration = Duration::from_millis(1_000 / RATE as u64);
/// Time for the move: four steps of 2 s for the pace and the same again to judge and settle.
const DEADLINE: Duration = Duration::from_mins(1);
/// Time after a fault notice in which hosts still may use the new version.
const SOON: Duration = Duration::from_secs(1);
/// Latency of the running version.
const USUAL: Duration = Duration::from_millis(5);
/// Two versions, two routes, and a pace of 25 % every 2 s.
const ADDITION: &str = "
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

/// Behaviour of the new version, by route and time since the start of the move.
type Behaviour = fn(&str, Duration, u64) -> (bool, Duration);

fn good(_: &str, _: Duration, _: u64) -> (bool, Duration) {
    (false, USUAL)
}

fn failing(_: &str, _: Duration, number: u64) -> (bool, Duration) {
    (number.is_multiple_of(2), USUAL)
}

fn slow(_: &str, _: Duration, _: u64) -> (bool, Duration) {
    (false, USUAL * 20)
}

fn failing_on_one_route(route: &str, _: Duration, number: u64) -> (bool, Duration) {
    (route == "slots" && number.is_multiple_of(2), USUAL)
}

fn failing_late(_: &str, age: Duration, number: u64) -> (bool, Duration) {
    (
        age > Duration::from_secs(6) && number.is_multiple_of(2),
        USUAL,
    )
}

/// A version move under load.
struct Trial {
    fleet: Fleet,
    behaviour: Behaviour,
    started: Option<time::Instant>,
    requests: u64,
    new: u64,
    last_new: Option<time::Instant>,
    notice: Option<time::Instant>,
}

impl Trial {
    /// Starts the fleet with load on the running version only.
    async fn new(behaviour: Behaviour) -> Self {
        let pace = "version-share-step = 25%\nversion-step-interval = 2s\nisolation-limit";
        let text = DOCUMENT.replace("isolation-limit", pace) + ADDITION;
        let fleet = Fleet::with_document(HOSTS, &text).await;
        fleet.holder(ROLE, Duration::from_secs(20)).await;
        let mut trial = Self {
            fleet,
            behaviour,
            started: None,
            requests: 0,
            new: 0,
            last_new: None,
            notice: None,
        };
        // The running version's percentiles need some answers.
        trial.load(Duration::from_secs(10)).await;
        trial
    }

    async fn start(&mut self) {
        let change = Change::StartMove {
            service: "consulta".into(),
            to: "2".into(),
            deadline: DEADLINE,
        };
        self.change(change).await;
        self.started = Some(time::Instant::now());
        self.requests = 0;
    }

    async fn change(&self, change: Change) {
        let host = self.fleet.daemons.values().next().expect("a host runs");
        host.change(change).await.expect("the change is accepted");
    }

    /// Sends the load for a time.
    async fn load(&mut self, duration: Duration) {
        let end = time::Instant::now() + duration;
        while time::Instant::now() < end {
            self.round();
            time::sleep(STEP).await;
        }
    }

    /// Sends the load until the move has ended or a time is over.
    async fn finish(&mut self, longest: Duration) -> MoveState {
        let end = time::Instant::now() + longest;
        while self.state() == MoveState::Running && time::Instant::now() < end {
            self.load(STEP).await;
        }
        self.state()
    }

    /// Sends one request of each host to each route.
    fn round(&mut self) {
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
            self.new += 1;
            self.last_new = Some(time::Instant::now());
            (self.behaviour)(route, age, self.new)
        } else {
            (false, USUAL)
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
        if self.notice.is_none() && self.has_fault() {
            self.notice = Some(time::Instant::now());
        }
    }

    /// Returns whether a host saw a fault or the planner recorded one.
    fn has_fault(&self) -> bool {
        let daemons = self.fleet.daemons.values();
        daemons
            .flat_map(|daemon| daemon.versions().reports())
            .any(|report| report.fault.is_some())
            || self.state() == MoveState::TakenBack
    }

    /// Returns the most advanced state that a host knows.
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

    fn share(&self) -> f64 {
        self.new as f64 / self.requests.max(1) as f64
    }

    /// Returns how long after the first fault notice the last request reached the new version.
    fn after_notice(&self) -> Duration {
        let notice = self.notice.expect("a fault showed");
        let last = self.last_new.expect("the new version was used");
        last.saturating_duration_since(notice)
    }

    /// Returns how many hosts recorded the end of the move.
    fn ends(&self) -> BTreeMap<&String, usize> {
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

/// Guards against a good version that is not in use by its deadline.
#[tokio::test(start_paused = true)]
async fn a_good_version_takes_over_by_its_deadline() {
    let mut trial = Trial::new(good).await;
    trial.start().await;
    assert_eq!(trial.finish(DEADLINE).await, MoveState::Done);
    println!("done after {:?}", trial.started.expect("started").elapsed());
}

/// Guards against a bad version that keeps traffic or is used after its fault is known.
#[test_case(failing, 0.05; "at once")]
#[test_case(slow, 0.05; "slow")]
#[test_case(failing_on_one_route, 0.05; "one route")]
#[test_case(failing_late, 0.5; "late")]
#[tokio::test(start_paused = true)]
async fn a_bad_version_is_taken_back(behaviour: Behaviour, most: f64) {
    let mut trial = Trial::new(behaviour).await;
    trial.start().await;
    assert_eq!(trial.finish(DEADLINE).await, MoveState::TakenBack);
    trial.load(Duration::from_secs(5)).await;
    let (share, after) = (trial.share(), trial.after_notice());
    println!(
        "{} of {} requests, last {after:?} after",
        trial.new, trial.requests
    );
    assert!(after <= SOON, "{after:?} after the notice");
    assert!(share <= most, "{share} of the requests reached the version");
    trial.load(Duration::from_secs(5)).await;
    assert!(trial.ends().values().all(|ends| *ends == 1), "final");
}

/// Guards against a move that stops or starts again when the planner's holder dies.
#[test_case(good, MoveState::Done; "good")]
#[test_case(failing_late, MoveState::TakenBack; "bad")]
#[tokio::test(start_paused = true)]
async fn a_move_survives_the_crash_of_the_planner(behaviour: Behaviour, end: MoveState) {
    let mut trial = Trial::new(behaviour).await;
    trial.start().await;
    trial.load(Duration::from_secs(5)).await;
    let holder = trial.fleet.holder(ROLE, Duration::ZERO).await;
    trial.fleet.crash(&holder.expect("the role is held"));
    assert_eq!(trial.finish(DEADLINE).await, end);
}

/// Guards against an outage of the platform that changes the share or stops requests.
#[tokio::test(start_paused = true)]
async fn an_outage_of_the_platform_changes_nothing_that_works() {
    let mut trial = Trial::new(good).await;
    trial.start().await;
    trial.load(Duration::from_secs(4)).await;
    trial.outage(true);
    // Workspaces finish the step that they are on.
    trial.load(Duration::from_secs(5)).await;
    let version = trial.fleet.daemons["h1"].node().version();
    (trial.new, trial.requests) = (0, 0);
    trial.load(Duration::from_mins(1)).await;
    let first = trial.share();
    (trial.new, trial.requests) = (0, 0);
    trial.load(Duration::from_mins(1)).await;
    assert!(
        (trial.share() - first).abs() < 0.01,
        "{first} {}",
        trial.share()
    );
    assert!(first > 0.0, "the new version keeps its share");
    assert_eq!(trial.fleet.daemons["h1"].node().version(), version);
    trial.outage(false);
    assert_eq!(trial.finish(DEADLINE).await, MoveState::Done);
}

/// Guards against a fault notice that needs the platform.
#[tokio::test(start_paused = true)]
async fn a_fault_notice_reaches_all_hosts_while_the_platform_is_down() {
    let mut trial = Trial::new(failing_late).await;
    trial.start().await;
    trial.load(Duration::from_secs(4)).await;
    trial.outage(true);
    trial.load(Duration::from_secs(30)).await;
    let after = trial.after_notice();
    assert!(after <= SOON, "{after:?} after the notice");
    assert_eq!(trial.state(), MoveState::Running, "nothing is recorded yet");
    trial.outage(false);
    assert_eq!(trial.finish(DEADLINE).await, MoveState::TakenBack);
}

/// Guards against requests that reach the new version after the operator cancelled the move.
#[tokio::test(start_paused = true)]
async fn a_cancelled_move_sends_nothing_further() {
    let mut trial = Trial::new(good).await;
    trial.start().await;
    trial.load(Duration::from_secs(6)).await;
    let cancel = Change::CancelMove {
        service: "consulta".into(),
    };
    trial.change(cancel).await;
    // Hosts adopt the announced version within a round of heartbeats.
    trial.load(Duration::from_secs(1)).await;
    let before = trial.new;
    assert!(before > 0, "the move was under way");
    trial.load(Duration::from_secs(20)).await;
    assert_eq!(trial.new, before);
    assert_eq!(trial.state(), MoveState::Cancelled);
}

impl Trial {
    fn outage(&self, down: bool) {
        self.fleet.platform_fault(&Fault {
            down,
            ..Fault::default()
        });
    }
}
