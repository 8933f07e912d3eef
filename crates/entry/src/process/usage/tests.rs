//! Guards against counts that are sent to nobody, and true time that follows lost hosts.

use super::Book;
use crate::{process::message, setting::Usage};
use azurenotch_core::process::{usage::Claim, wall::Time};
use azurenotch_wire::{
    id::{Host, Incarnation},
    time::Instant,
};
use std::time::Duration;

/// This host's time of day at its start, in milliseconds.
const WALL_MS: u64 = 1_800_000_000_000;

fn book() -> Book {
    let terms = Usage {
        address: "127.0.0.1:9".parse().expect("valid address"),
        window: Duration::from_secs(5),
        late: Duration::from_secs(10),
        lease: Duration::from_secs(3),
    };
    let own = (Host::from("h0"), Incarnation(1));
    Book::new(own, &terms, Instant::ZERO, WALL_MS)
}

/// Takes in the time of day of a host, which differs from this host's by `ahead_ms`.
fn hear(book: &mut Book, host: &str, ahead_ms: u64, rtt: Duration) {
    let status = message::Usage {
        wall_ms: WALL_MS + ahead_ms,
        held_ms: None,
        claim: Claim::default(),
    };
    let host = Host::from(host);
    let (now, from) = (Instant::ZERO, (&host, Incarnation(1)));
    book.receive(now, now, from, rtt / 2, &status, None);
}

#[test]
fn true_time_is_that_of_the_hosts_that_are_reachable() {
    let mut book = book();
    let now = Instant::ZERO;
    assert_eq!(book.time(now), Some(Time(WALL_MS)));
    hear(&mut book, "h1", 4_000, Duration::ZERO);
    hear(&mut book, "h2", 3_980, Duration::from_millis(40));
    assert_eq!(book.time(now), Some(Time(WALL_MS + 4_000)));
    book.sweep((now, now), WALL_MS, &[], |host| host.as_str() == "none");
    assert_eq!(book.time(now), Some(Time(WALL_MS)));
}

#[test]
fn a_host_that_hears_nobody_sends_to_the_last_collectors() {
    let mut book = book();
    let known = vec![Host::from("h1"), Host::from("h2")];
    assert!(book.receivers(Vec::new()).is_empty());
    assert_eq!(book.receivers(known.clone()), known);
    assert_eq!(book.receivers(Vec::new()), known);
}

#[test]
fn counts_are_sent_in_the_round_after_they_were_recorded() {
    let mut book = book();
    let now = Instant::from_millis(700);
    book.record(Instant::from_millis(600), 7);
    book.record(Instant::from_millis(650), 7);
    let parts = book.parts(now, 1_000);
    let rows: Vec<_> = parts.into_iter().flat_map(|part| part.rows).collect();
    assert_eq!(rows, [(7, vec![2])]);
    let due = Instant::from_millis(15_000);
    assert!(book.parts(due, 1_000).is_empty());
}
