//! Random schedules of faults under which requests are reported.
//!
//! What reaches the endpoint is checked for the four invariants of usage reports. Without other
//! faults than lost datagrams and wrong times of day, and while hosts are restarted one after the
//! other, each window has to be reported in time and within 5 in 100 too.

mod cloud;
mod fleet;
mod host;
mod net;
mod store;
mod verdict;

use fleet::Fleet;
use test_case::test_case;
use verdict::{Flaw, Kind, Verdict};

/// Returns the number of schedules; `USAGE_SEEDS` sets it for runs by hand.
fn seeds(default: u64) -> u64 {
    let set = std::env::var("USAGE_SEEDS").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test_case(Kind::Calm, 50; "calm")]
#[test_case(Kind::Rolling, 50; "rolling restarts")]
#[test_case(Kind::Faults, 200; "faults")]
fn reports_are_never_contradictory(kind: Kind, count: u64) {
    let mut total = Verdict::default();
    for seed in 0..seeds(count) {
        let verdict = Fleet::new(seed, kind, Flaw::None).run();
        if let Some(broken) = verdict.broken.first() {
            println!("seed {seed}: {broken}");
        }
        total.add(verdict);
    }
    println!("{kind:?}: {total}");
    assert!(total.broken.is_empty(), "{:?}", total.broken);
}

/// Shows that the search finds faults that are put in on purpose.
#[test_case(Flaw::SteadyOnly, Kind::Faults; "a suspension does not end the right to send")]
#[test_case(Flaw::SendFirst, Kind::Faults; "a report is sent before it is written")]
#[test_case(Flaw::SameToken, Kind::Faults; "a takeover does not raise the token")]
#[test_case(Flaw::NoWait, Kind::Faults; "a takeover does not wait for the end of the lease")]
#[test_case(Flaw::NoClaims, Kind::Faults; "claims do not arrive")]
#[test_case(Flaw::Repeats, Kind::Calm; "repeated parts are added up")]
fn the_search_finds(flaw: Flaw, kind: Kind) {
    let found = (0..400).find(|seed| {
        let verdict = Fleet::new(*seed, kind, flaw).run();
        verdict.broken.first().is_some_and(|broken| {
            println!("seed {seed}: {broken}");
            true
        })
    });
    assert!(found.is_some());
}
