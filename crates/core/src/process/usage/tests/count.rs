//! Guards against counts that are lost or counted twice on the way to a collector.

use crate::process::{
    usage::{Counts, Ledger, Part, Setting, Tally, Window},
    wall::Time,
};
use azurenotch_wire::id::{Host, Incarnation};
use std::time::Duration;

const SETTING: Setting = Setting {
    window: Duration::from_secs(5),
    late: Duration::from_secs(10),
    lease: Duration::from_secs(3),
};
/// Begin of window 100.
const BEGIN: Time = Time(500_000);

fn after(ms: u64) -> Time {
    BEGIN + Duration::from_millis(ms)
}

#[test]
fn repeated_reordered_and_split_parts_count_once() {
    let host = Host::from("h1");
    let mut tally = Tally::new(SETTING);
    let mut ledger = Ledger::new(SETTING);
    let mut outdated = Vec::new();
    for round in 0..40_u64 {
        for workspace in 0..300 {
            tally.record(after(round * 200), workspace);
        }
        let now = after(round * 200);
        let parts = tally.parts(now, 1_000);
        for part in &parts {
            let size = rmp_serde::to_vec(part)
                .expect("a part can be encoded")
                .len();
            assert!(size <= 1_000, "{size} bytes");
            ledger.receive(now, &host, Incarnation(1), part);
            ledger.receive(now, &host, Incarnation(1), part);
        }
        if round == 5 {
            outdated = parts;
        }
    }
    for part in &outdated {
        ledger.receive(after(8_000), &host, Incarnation(1), part);
    }
    let expected = |count| (0..300).map(|workspace| (workspace, count)).collect();
    let (first, second): (Counts, Counts) = (expected(25), expected(15));
    assert_eq!(ledger.total(Window(100)), first);
    assert_eq!(ledger.total(Window(101)), second);
}

#[test]
fn hosts_and_incarnations_add_up() {
    let mut ledger = Ledger::new(SETTING);
    for (host, incarnation, sends) in [("h1", 1, 3), ("h1", 2, 4), ("h2", 1, 5)] {
        let mut tally = Tally::new(SETTING);
        for _ in 0..sends {
            tally.record(after(1_000), 7);
        }
        for part in tally.parts(after(1_000), 1_000) {
            ledger.receive(
                after(1_000),
                &Host::from(host),
                Incarnation(incarnation),
                &part,
            );
        }
    }
    assert_eq!(ledger.total(Window(100)), Counts::from([(7, 12)]));
}

#[test]
fn windows_are_sent_until_they_are_due() {
    let mut tally = Tally::new(SETTING);
    tally.record(after(1_000), 7);
    tally.record(after(11_000), 8);
    let rows = |tally: &mut Tally, ms| {
        let parts = tally.parts(after(ms), 1_000);
        let rows = parts.into_iter().flat_map(|part| part.rows);
        rows.collect::<Vec<_>>()
    };
    assert_eq!(rows(&mut tally, 14_999), [(7, vec![1]), (8, vec![0, 0, 1])]);
    assert_eq!(rows(&mut tally, 15_000), [(8, vec![1])]);
    assert_eq!(rows(&mut tally, 25_000), []);
}

#[test]
fn wrong_times_take_no_memory() {
    let mut tally = Tally::new(SETTING);
    for ms in [0, 20_000, 3_600_000] {
        tally.record(after(ms), 7);
        tally.record(Time(ms), 7);
    }
    let parts = tally.parts(after(0), 1_000);
    let rows: Vec<_> = parts.into_iter().flat_map(|part| part.rows).collect();
    assert_eq!(rows, [(7, vec![1])]);

    let mut ledger = Ledger::new(SETTING);
    let part = Part {
        first: Window(0),
        rows: vec![(7, vec![1; 900])],
    };
    ledger.receive(after(0), &Host::from("h1"), Incarnation(1), &part);
    for (window, count) in [(97, 0), (98, 1), (101, 1), (102, 0)] {
        let total = ledger.total(Window(window));
        assert_eq!(total.get(&7).copied().unwrap_or(0), count, "{window}");
    }
}

#[test]
fn a_wrong_time_loses_no_counts() {
    let mut tally = Tally::new(SETTING);
    tally.record(after(1_000), 7);
    assert!(tally.parts(after(30_000), 1_000).is_empty());
    let parts = tally.parts(after(2_000), 1_000);
    assert_eq!(parts.len(), 1);
}
