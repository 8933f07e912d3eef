//! Waiting until a version is in force everywhere.

use crate::support::{
    DOCUMENT, Host, Reply, accepted, closed, contains, file, json, peer, run, status,
};
use azurenotch_wire::event::Reachability;
use serde_json::Value;
use std::net::SocketAddr;
use test_case::test_case;

/// Starts a host that reports a number of version for each question about its status.
async fn reporting(name: &'static str, numbers: &'static [u64]) -> Host {
    Host::start(move |_, before| {
        let last = numbers.len() - 1;
        json(status(name, numbers[before.min(last)]))
    })
    .await
}

/// Starts a host that accepts changes as version 1.7 and lists itself and another host.
async fn listing(other: SocketAddr, state: Reachability, number: u64) -> Host {
    Host::start(move |seen, _| match seen.line.as_str() {
        "POST /v1/change" => accepted(),
        "GET /v1/hosts" => json([peer("n2", other, state, number)]),
        _ => Reply::Hangup,
    })
    .await
}

#[tokio::test]
async fn waits_until_the_last_host_has_the_version() {
    let slow = reporting("n2", &[5, 6, 7]).await;
    let host = listing(slow.address, Reachability::Live, 6).await;
    let path = file("wait.ini", DOCUMENT);
    let args = format!("apply {path} --expect 1.6 --wait --timeout 1m");
    let run = run(&[host.address], &args).await;
    assert_eq!((run.code, run.stderr.as_str()), (0, ""), "{}", run.stdout);
    contains(
        &run.stdout,
        "HOST  VERSION  STATE\nn2    1.7      in force\n",
    );
    assert!(
        run.stdout
            .ends_with("Version 1.7 is in force at every host (1).\n")
    );
    assert_eq!((slow.seen().len(), host.changes().len()), (3, 1));
}

struct Lag {
    /// Version that the host reports itself; a host without one refuses connections.
    answers: Option<&'static [u64]>,
    state: Reachability,
    heartbeat: u64,
    shown: &'static str,
    code: i32,
}

/// Guards against a change that is reported as in force although a host has not confirmed it.
#[test_case(Lag { answers: Some(&[6]), state: Reachability::Live, heartbeat: 6, shown: "older-version", code: 1 }; "older version")]
#[test_case(Lag { answers: Some(&[6]), state: Reachability::Live, heartbeat: 7, shown: "older-version", code: 1 }; "own answer counts more than a heartbeat")]
#[test_case(Lag { answers: Some(&[8]), state: Reachability::Suspect, heartbeat: 6, shown: "in-force", code: 0 }; "later version of a suspect that answers")]
#[test_case(Lag { answers: None, state: Reachability::Live, heartbeat: 6, shown: "unreachable", code: 1 }; "unreachable")]
#[test_case(Lag { answers: None, state: Reachability::Live, heartbeat: 7, shown: "in-force", code: 0 }; "confirmed by heartbeat")]
#[test_case(Lag { answers: None, state: Reachability::Suspect, heartbeat: 7, shown: "suspect", code: 1 }; "suspect")]
#[test_case(Lag { answers: None, state: Reachability::Dead, heartbeat: 6, shown: "dead", code: 1 }; "dead")]
#[tokio::test]
async fn reports_why_a_host_has_not_confirmed(case: Lag) {
    let (address, _socket) = closed();
    let slow = match case.answers {
        Some(numbers) => Some(reporting("n2", numbers).await),
        None => None,
    };
    let other = slow.as_ref().map_or(address, |slow| slow.address);
    let host = listing(other, case.state, case.heartbeat).await;
    let args = "--json key withdraw ctt app --wait --timeout 300ms";
    let run = run(&[host.address], args).await;
    assert_eq!(run.code, case.code, "{run:?}");
    let json = serde_json::from_str::<Value>(&run.stdout).unwrap();
    assert_eq!(json["hosts"][0]["state"], case.shown);
    assert_eq!(json["in_force"], case.code == 0);
    let missing = "version 1.7 is accepted; 1 of 1 host(s) have not confirmed it";
    assert_eq!(
        run.stderr.contains(missing),
        case.code == 1,
        "{}",
        run.stderr
    );
}

/// Guards against a daemon of another name at the address that confirms for the listed host.
#[tokio::test]
async fn another_host_at_the_address_does_not_confirm() {
    let other = reporting("n3", &[7]).await;
    let host = listing(other.address, Reachability::Live, 6).await;
    let run = run(&[host.address], "drain c1 --wait --timeout 300ms").await;
    assert_eq!(run.code, 1);
    contains(&run.stdout, "n2    1.6      unreachable");
}

/// Guards against an empty list of hosts that counts as a confirmation.
#[test_case(json(Vec::<u8>::new()); "empty")]
#[test_case(Reply::Hangup; "not read")]
#[tokio::test]
async fn no_list_of_hosts_confirms_nothing(list: Reply) {
    let host = Host::start(move |seen, _| match seen.line.as_str() {
        "POST /v1/change" => accepted(),
        _ => list.clone(),
    })
    .await;
    let run = run(&[host.address], "drain c1 --wait --timeout 300ms").await;
    assert_eq!(run.code, 1, "{run:?}");
    contains(&run.stderr, "version 1.7 is accepted");
}
