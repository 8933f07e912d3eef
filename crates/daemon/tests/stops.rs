//! Planned stops over several hosts, in virtual time.

mod fleet;

use azurenotch_daemon::process::budget::ROLE;
use azurenotch_wire::peer::State;
use fleet::{Fleet, LIMIT};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Pause between two rounds of requests.
const STEP: Duration = Duration::from_millis(25);
/// Part of the contract that belongs to slots that no host has claimed: 5 of 8 in the floor part.
const UNCLAIMED: f64 = 0.25 * 5.0 / 8.0;

/// Time in which a host that starts has its share.
const FEW_SECONDS: Duration = Duration::from_secs(6);

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
        time::sleep(STEP).await;
    }
    admitted as f64
}

/// Guards against the share of a stopped budget holder that stays locked for `CLAIM_VALIDITY`.
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
    let expected = LIMIT.0 * (1.0 - UNCLAIMED) * 20.0;
    assert!(
        admitted >= 0.95 * expected,
        "{admitted} of {expected} requests within rate admitted"
    );
}

/// Guards against callers that are sent away while look-ups may still name the host.
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

/// Guards against look-ups that send callers to a host that still refuses them for the rate.
#[tokio::test(start_paused = true)]
async fn a_new_host_is_named_once_it_admits_requests() {
    let mut fleet = Fleet::configured(3).await;
    load(&fleet, 10).await;
    fleet.add("h4", &[]).await;
    let new = fleet.daemons["h4"].addresses().0;
    let end = time::Instant::now() + FEW_SECONDS;
    while !fleet.names("h1", new) {
        assert!(time::Instant::now() < end, "h4 is not named");
        // The new host gets no requests before it is named.
        for name in ["h1", "h2", "h3"] {
            fleet.admits(name);
        }
        time::sleep(STEP).await;
    }
    time::sleep(STEP).await;
    assert!(fleet.admits("h4"), "the first caller is refused");
}
