//! Configuration, leases and budgets under failures, in virtual time.

mod fleet;

use azurenotch_config::{change::Change, snapshot::KeyHash};
use azurenotch_daemon::process::{budget::ROLE, change::Error};
use azurenotch_test_support::fault::{Endpoint, Fault};
use azurenotch_wire::{
    event::Kind,
    refusal::{Reason, Refusal},
    version::Version,
};
use fleet::{DOCUMENT, Fleet, RATE_AND_BURST, wait};
use std::time::Duration;
use test_case::test_case;
use tokio::time;

/// Time within which a change is in force on every reachable host of a small fleet.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which another host takes over a role from a crashed holder.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

fn grant(name: &str) -> Change {
    Change::GrantKey {
        hash: KeyHash::of(name.as_bytes()),
        workspace: "correios".into(),
        name: name.to_owned(),
    }
}

/// Guards against a change that never reaches a host which cannot receive updates from its peers.
#[tokio::test(start_paused = true)]
async fn a_change_reaches_a_host_that_is_cut_from_its_peers() {
    let fleet = Fleet::configured(4).await;
    for other in ["h1", "h2", "h3"] {
        fleet.network.set_partitioned("h4", other, true);
    }
    let version = fleet.daemons["h1"]
        .change(grant("k"))
        .await
        .expect("accepted");
    assert!(
        fleet.in_force(version, IN_FORCE_TIMEOUT).await,
        "h4 reads the head itself"
    );
}

/// Guards against a change that is lost or applied twice when the table's answer is lost.
#[test_case(1; "one answer")]
#[test_case(3; "three answers in a row")]
#[tokio::test(start_paused = true)]
async fn a_change_whose_answer_was_lost_is_accepted_once(answers: u32) {
    let fleet = Fleet::configured(2).await;
    // Lease renewals may consume some of the lost answers; the result must be the same.
    let fault = Fault {
        lose_answers: answers,
        ..Fault::default()
    };
    fleet.platform.set_fault(Endpoint::Table, fault);
    let before = fleet.daemons["h1"].node().version().number;
    let version = fleet.daemons["h1"]
        .change(grant("k"))
        .await
        .expect("accepted");
    assert_eq!(version.number, before + 1);
    let again = fleet.daemons["h2"].change(grant("k")).await;
    assert!(
        matches!(again, Err(Error::Refused { .. })),
        "the key is granted: {again:?}"
    );
}

/// Guards against two operators who overwrite each other's document.
#[tokio::test(start_paused = true)]
async fn of_two_racing_operators_one_gets_a_conflict() {
    let fleet = Fleet::configured(2).await;
    let expect = fleet.daemons["h1"].node().version();
    let apply = |rate: &str| Change::Apply {
        text: DOCUMENT.replace("rate = 100/s", rate),
        expect,
    };
    let (first, second) = tokio::join!(
        fleet.daemons["h1"].change(apply("rate = 200/s")),
        fleet.daemons["h2"].change(apply("rate = 300/s")),
    );
    assert!(first.is_ok() != second.is_ok(), "{first:?} {second:?}");
    let conflict = first.and(second).expect_err("one of them failed");
    assert_eq!(
        conflict.current(),
        Some(Version {
            number: expect.number + 1,
            ..expect
        })
    );
}

/// Guards against losing one of several keys that are granted concurrently.
#[tokio::test(start_paused = true)]
async fn racing_grants_of_keys_are_all_accepted() {
    let fleet = Fleet::configured(3).await;
    let (a, b, c) = tokio::join!(
        fleet.daemons["h1"].change(grant("a")),
        fleet.daemons["h2"].change(grant("b")),
        fleet.daemons["h3"].change(grant("c")),
    );
    let last = [a, b, c]
        .into_iter()
        .map(|it| it.expect("accepted"))
        .max()
        .expect("three");
    assert!(fleet.in_force(last, IN_FORCE_TIMEOUT).await);
    let snapshot = fleet.daemons["h1"].node().snapshot().expect("configured");
    assert_eq!(snapshot.keys.len(), 3);
}

/// Guards against a host that cannot start while the platform is down.
#[tokio::test(start_paused = true)]
async fn a_host_that_starts_while_the_platform_is_down_asks_its_peers() {
    let mut fleet = Fleet::configured(2).await;
    let version = fleet.daemons["h1"].node().version();
    fleet.platform_fault(&Fault {
        down: true,
        ..Fault::default()
    });
    let seed = fleet.daemons["h1"].addresses().1;
    fleet.add("h3", &[seed]).await;
    assert!(fleet.in_force(version, IN_FORCE_TIMEOUT).await);
}

/// Guards against losing the current version when an old backup of `config/head` is restored.
#[tokio::test(start_paused = true)]
async fn a_store_that_was_restored_late_is_brought_forward() {
    let mut fleet = Fleet::configured(2).await;
    let table = std::sync::Arc::clone(&fleet.platform);
    let old = azurenotch_platform::Table::get(&*table, "config/head")
        .await
        .expect("readable");
    let old = old.expect("there is a head");
    let version = fleet.daemons["h1"]
        .change(grant("k"))
        .await
        .expect("accepted");
    let now = azurenotch_platform::Table::get(&*table, "config/head")
        .await
        .expect("readable");
    let expect = azurenotch_platform::table::Expect::Version(now.expect("there is a head").version);
    azurenotch_platform::Table::put(&*table, "config/head", &old.value, expect, None)
        .await
        .expect("writable");
    time::sleep(Duration::from_secs(3)).await;
    assert!(
        fleet.in_force(version, Duration::ZERO).await,
        "no host went back to the old version"
    );
    fleet.crash("h1");
    fleet.crash("h2");
    fleet.add("h5", &[]).await;
    assert!(
        fleet.in_force(version, IN_FORCE_TIMEOUT).await,
        "the head was moved forward"
    );
}

/// Guards against a role that is not taken over from a crashed holder.
#[tokio::test(start_paused = true)]
async fn a_dead_holder_is_replaced_in_bounded_time() {
    let mut fleet = Fleet::configured(4).await;
    let first = fleet
        .holder(ROLE, TAKEOVER_TIMEOUT)
        .await
        .expect("a holder");
    fleet.crash(&first);
    assert!(
        fleet.holder(ROLE, TAKEOVER_TIMEOUT).await.is_some(),
        "nobody took over from {first}"
    );
}

/// Guards against a role that stays vacant until the lease expires after a graceful stop.
#[tokio::test(start_paused = true)]
async fn a_graceful_stop_hands_the_role_over_at_once() {
    let mut fleet = Fleet::configured(4).await;
    let first = fleet
        .holder(ROLE, TAKEOVER_TIMEOUT)
        .await
        .expect("a holder");
    fleet.stop(&first).await;
    let next = fleet.holder(ROLE, Duration::from_secs(3)).await;
    assert!(next.is_some(), "nobody took over from {first}");
}

/// Leaky bucket over all admissions of the fleet; its level shows the burst.
#[derive(Default)]
struct LeakyBucket {
    level: f64,
    last: f64,
    max_level: f64,
    admitted: u32,
}

impl LeakyBucket {
    fn admit(&mut self, seconds: f64) {
        let drained = (seconds - self.last) * RATE_AND_BURST.0;
        self.level = (self.level - drained).max(0.0) + 1.0;
        self.last = seconds;
        self.max_level = self.max_level.max(self.level);
        self.admitted += 1;
    }
}

/// Offers more than the rate at every host for `duration` and counts admissions.
async fn offer_load(
    fleet: &Fleet,
    bucket: &mut LeakyBucket,
    start: time::Instant,
    duration: Duration,
) {
    let end = time::Instant::now() + duration;
    while time::Instant::now() < end {
        for name in fleet.daemons.keys() {
            for _ in 0..2 {
                if fleet.admits(name) {
                    bucket.admit(start.elapsed().as_secs_f64());
                }
            }
        }
        time::sleep(ROUND_INTERVAL).await;
    }
}

/// Guards against additional tokens after crashes, takeovers, outages or network partitions.
#[tokio::test(start_paused = true)]
async fn no_workspace_exceeds_its_rate_and_burst_through_failures() {
    let mut fleet = Fleet::configured(4).await;
    let start = time::Instant::now();
    let mut bucket = LeakyBucket::default();
    offer_load(&fleet, &mut bucket, start, Duration::from_secs(10)).await;
    let holder = fleet
        .holder(ROLE, TAKEOVER_TIMEOUT)
        .await
        .expect("a holder");
    fleet.crash(&holder);
    offer_load(&fleet, &mut bucket, start, Duration::from_secs(20)).await;
    fleet.add("h5", &[]).await;
    offer_load(&fleet, &mut bucket, start, Duration::from_secs(10)).await;
    fleet.platform_fault(&Fault {
        down: true,
        ..Fault::default()
    });
    offer_load(&fleet, &mut bucket, start, Duration::from_secs(30)).await;
    let names = fleet.daemons.keys().cloned().collect::<Vec<_>>();
    for other in &names[1..] {
        fleet.network.set_partitioned(&names[0], other, true);
    }
    fleet.platform_fault(&Fault::default());
    offer_load(&fleet, &mut bucket, start, Duration::from_secs(30)).await;
    for other in &names[1..] {
        fleet.network.set_partitioned(&names[0], other, false);
    }
    fleet.platform_fault(&Fault {
        lose_answers: 20,
        ..Fault::default()
    });
    offer_load(&fleet, &mut bucket, start, Duration::from_secs(20)).await;
    assert!(
        bucket.max_level <= RATE_AND_BURST.1 + 1e-6,
        "burst reached {:.2}",
        bucket.max_level
    );
    // Below half of the rate, the shares have not recovered after the failures.
    let share = f64::from(bucket.admitted) / (start.elapsed().as_secs_f64() * RATE_AND_BURST.0);
    assert!(share > 0.5, "only {share:.2} of the rate was admitted");
}

/// Guards against traffic within rate that is refused while the platform is down.
#[tokio::test(start_paused = true)]
async fn shares_outlast_an_hour_without_the_platform() {
    let fleet = Fleet::configured(4).await;
    let start = time::Instant::now();
    offer_load(
        &fleet,
        &mut LeakyBucket::default(),
        start,
        Duration::from_secs(20),
    )
    .await;
    fleet.platform_fault(&Fault {
        down: true,
        ..Fault::default()
    });
    time::sleep(Duration::from_mins(59)).await;
    let mut bucket = LeakyBucket::default();
    let resumed = time::Instant::now();
    offer_load(&fleet, &mut bucket, resumed, Duration::from_secs(20)).await;
    assert!(
        bucket.max_level <= RATE_AND_BURST.1 + 1e-6,
        "burst reached {:.2}",
        bucket.max_level
    );
    let share = f64::from(bucket.admitted) / (resumed.elapsed().as_secs_f64() * RATE_AND_BURST.0);
    assert!(share > 0.75, "only {share:.2} of the rate was admitted");
}

/// Guards against accepting keys on a host that can no longer receive withdrawals.
#[tokio::test(start_paused = true)]
async fn an_isolated_host_refuses_keys_and_a_platform_outage_does_not() {
    let fleet = Fleet::configured(4).await;
    let contract = |name: &str| {
        let snapshot = fleet.daemons[name].node().snapshot().expect("configured");
        snapshot.document.workspaces["correios"].clone()
    };
    let accepts_keys = |name: &str| {
        use azurenotch_daemon::request::freshness::Freshness;
        let node = fleet.daemons[name].node();
        node.evidence
            .check(node.clock.now(), &contract(name))
            .is_ok()
    };
    time::sleep(Duration::from_secs(10)).await;
    fleet.platform_fault(&Fault {
        down: true,
        ..Fault::default()
    });
    time::sleep(Duration::from_mins(10)).await;
    assert!(accepts_keys("h1"), "the platform is down for everyone");
    for other in ["h1", "h2", "h3"] {
        fleet.network.set_partitioned("h4", other, true);
    }
    assert!(
        wait(Duration::from_secs(10), || !accepts_keys("h4")).await,
        "h4 may miss a withdrawal"
    );
    fleet.platform_fault(&Fault::default());
    for other in ["h1", "h2", "h3"] {
        fleet.network.set_partitioned("h4", other, false);
    }
    assert!(
        wait(Duration::from_secs(10), || accepts_keys("h4")).await,
        "h4 receives withdrawals again"
    );
}

/// Guards against refusals and drains that are missing from the timeline.
#[tokio::test(start_paused = true)]
async fn the_timeline_shows_refusals_and_drains() {
    let fleet = Fleet::configured(2).await;
    let drain = Change::Drain {
        server: "s1".into(),
        draining: true,
    };
    let version = fleet.daemons["h1"].change(drain).await.expect("accepted");
    assert!(fleet.in_force(version, IN_FORCE_TIMEOUT).await);
    let node = fleet.daemons["h2"].node();
    node.gateway
        .journal()
        .refused(&Refusal::not_run(Reason::Rate).workspace("hoteis".into()));
    let shown = |wanted: &dyn Fn(&Kind) -> bool| {
        node.recorder
            .after(0)
            .events
            .iter()
            .any(|event| wanted(&event.kind))
    };
    let drained = |kind: &Kind| matches!(kind, Kind::Draining { draining: true, .. });
    assert!(shown(&drained));
    let refused = |kind: &Kind| matches!(kind, Kind::Refused { count: 1, .. });
    assert!(wait(Duration::from_secs(3), || shown(&refused)).await);
}
