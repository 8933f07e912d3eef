//! Planned stops over several hosts, in virtual time.

mod fleet;

use azurenotch_daemon::process::budget::ROLE;
use azurenotch_wire::peer::State;
use fleet::{Fleet, RATE_AND_BURST};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(25);
/// Share of the rate reserved for slots that no host has claimed: 5 of 8 slots of the floor, which
/// is a quarter of the rate.
const UNCLAIMED_SHARE: f64 = 0.25 * 5.0 / 8.0;

/// Time within which a new host has its share of the budget.
const START_TIMEOUT: Duration = Duration::from_secs(6);

/// Sends 40 requests a second to each host and returns how many were admitted.
async fn load(fleet: &Fleet, seconds: u64) -> f64 {
    let mut admitted = 0;
    let end = time::Instant::now() + Duration::from_secs(seconds);
    while time::Instant::now() < end {
        admitted += fleet
            .daemons
            .keys()
            .filter(|name| fleet.admits(name))
            .count();
        time::sleep(ROUND_INTERVAL).await;
    }
    admitted as f64
}

/// Guards against a budget holder whose share stays reserved for longer than the ledger's
/// `Timing::holdover` after it stopped.
#[tokio::test(start_paused = true)]
async fn a_planned_stop_of_every_host_keeps_the_budget_usable() {
    let mut fleet = Fleet::configured(3).await;
    load(&fleet, 10).await;
    for name in ["h1", "h2", "h3"] {
        fleet.stop(name).await;
        fleet.add(name, &[]).await;
        load(&fleet, 15).await;
    }
    assert!(fleet.holder(ROLE, Duration::from_secs(10)).await.is_some());
    let admitted = load(&fleet, 20).await;
    let expected = RATE_AND_BURST.0 * (1.0 - UNCLAIMED_SHARE) * 20.0;
    assert!(
        admitted >= 0.95 * expected,
        "{admitted} of {expected} requests within rate admitted"
    );
}

/// Guards against closing connections while cached look-ups may still list the host.
#[tokio::test(start_paused = true)]
async fn connections_close_only_after_the_look_up_lifetime() {
    let mut fleet = Fleet::configured(2).await;
    let daemon = fleet.daemons.remove("h1").expect("h1 runs");
    let node = Arc::clone(daemon.node());
    let stop = tokio::spawn(daemon.shut_down());
    // The look-up lifetime of the document is 2 s.
    time::sleep(Duration::from_millis(1_900)).await;
    assert_eq!(node.state(), State::Leaving);
    assert!(
        !node.gateway.is_stopping(),
        "callers keep their connections"
    );
    time::timeout(Duration::from_secs(20), stop)
        .await
        .expect("the stop ends")
        .expect("the stop succeeds");
    assert!(node.gateway.is_stopping());
}

/// Guards against look-ups that list a host before it has a share of the rate, so that it would
/// refuse callers.
#[tokio::test(start_paused = true)]
async fn a_new_host_is_listed_once_it_admits_requests() {
    let mut fleet = Fleet::configured(3).await;
    load(&fleet, 10).await;
    fleet.add("h4", &[]).await;
    let new = fleet.daemons["h4"].addresses().0;
    let end = time::Instant::now() + START_TIMEOUT;
    while !fleet.look_ups_list("h1", new) {
        assert!(time::Instant::now() < end, "h4 is not listed by look-ups");
        // The new host receives no requests before look-ups list it.
        for name in ["h1", "h2", "h3"] {
            fleet.admits(name);
        }
        time::sleep(ROUND_INTERVAL).await;
    }
    time::sleep(ROUND_INTERVAL).await;
    assert!(fleet.admits("h4"), "the first caller is refused");
}
