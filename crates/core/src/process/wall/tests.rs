//! Guards against a true time that follows hosts whose time of day is wrong.

use super::{Clock, Time};
use azurenotch_wire::{id::Host, time::Instant};
use std::time::Duration;
use test_case::test_case;

/// Offsets of the times of day from true time, in milliseconds.
struct Case {
    own: i64,
    others: &'static [i64],
    expected: i64,
}

#[test_case(Case { own: 40, others: &[], expected: 40 }; "alone")]
#[test_case(Case { own: -9_000, others: &[10, 20], expected: 10 }; "own clock is wrong")]
#[test_case(Case { own: 10, others: &[20, 30], expected: 20 }; "all are right")]
#[test_case(Case { own: 0, others: &[5_000, 10, -5_000, 20, 9_000, -20], expected: 10 }; "two of six are off")]
#[test_case(Case { own: 10, others: &[20], expected: 15 }; "mean of two")]
fn the_median_counts(case: Case) {
    let now = Instant::from_millis(7_000);
    let reading = |offset: i64| 1_800_000_000_000_u64.saturating_add_signed(offset);
    let mut clock = Clock::default();
    assert_eq!(clock.time(now), None);
    clock.set_own(now, reading(case.own));
    for (index, offset) in case.others.iter().enumerate() {
        let host = Host::from(format!("h{index}"));
        // The datagram was under way for 30 ms, and the host has stepped its clock since its first.
        clock.observe(&host, now, reading(*offset) + 90_000, Duration::ZERO);
        clock.observe(&host, now, reading(*offset) - 30, Duration::from_millis(30));
    }
    let later = now + Duration::from_millis(250);
    assert_eq!(clock.time(later), Some(Time(reading(case.expected) + 250)));
    for index in 0..case.others.len() {
        clock.forget(&Host::from(format!("h{index}")));
    }
    assert_eq!(clock.time(now), Some(Time(reading(case.own))));
}
