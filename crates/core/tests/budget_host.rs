//! Tests of the floor and elastic share of a workspace at a host.

mod support;

use azurenotch_core::process::budget::{Floor, Reporter, Share, Supply, Timing};
use azurenotch_wire::{
    Map,
    budget::{Capacity, Grant},
    id::{Host, Incarnation, Region},
    refusal::Reason,
    time::Instant,
};
use std::time::Duration;
use support::{contract, workspace};
use test_case::test_case;

const SLOTS: u32 = 4;

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

fn uniform(value: f64) -> Capacity {
    Capacity {
        rate: value,
        burst: value,
        concurrency: value,
    }
}

#[test_case(100.0, 100.0, 100, 4; "large")]
#[test_case(100.0, 11.0, 100, 2; "two tokens of burst")]
#[test_case(100.0, 100.0, 7, 1; "one concurrent request")]
#[test_case(100.0, 3.0, 100, 0; "no whole token")]
fn floors_are_whole_units_within_a_quarter(
    rate: f64,
    burst: f64,
    concurrency: u32,
    slots_with_floor: usize,
) {
    let floor = Floor::new(&workspace(), &contract(rate, burst, concurrency), SLOTS);
    let floors: Vec<Capacity> = (0..SLOTS + 2).map(|slot| floor.largest(slot)).collect();
    let sum = floors
        .iter()
        .fold(Capacity::ZERO, |sum, floor| sum.plus(*floor));
    assert!(sum.rate <= rate / 4.0 + 1e-9 && sum.burst <= burst / 4.0);
    assert!(sum.concurrency <= f64::from(concurrency) / 4.0);
    let can_admit = |floor: &&Capacity| floor.burst >= 1.0 && floor.concurrency >= 1.0;
    assert_eq!(floors.iter().filter(can_admit).count(), slots_with_floor);
    assert_eq!(
        floors.iter().filter(|floor| !floor.is_zero()).count(),
        slots_with_floor
    );
}

#[test]
fn a_share_lapses_by_its_own_clock_and_refuses_with_a_reason() {
    let timing = Timing::default();
    let mut reporter = Reporter::new(
        Host::from("h"),
        Incarnation(1),
        0,
        Region::from("norte"),
        timing,
    );
    let mut share = Share::new(at(0));
    share.set_floor(at(0), Capacity::ZERO, at(1_000));
    let grant = |token, sequence| Grant {
        token,
        sequence,
        capacity: Map::from_iter([(workspace(), uniform(2.0))]),
        tokens: Map::from_iter([(workspace(), 2.0)]),
        regional: Vec::new(),
    };
    reporter.report(at(0), 7, false, Map::default);
    reporter.report(at(1), 7, false, Map::default);
    assert_eq!(
        reporter.accept(at(1), &grant(7, 1)),
        None,
        "answer to an older report"
    );
    assert_eq!(reporter.accept(at(1), &grant(6, 2)), None, "former holder");
    let until = reporter
        .accept(at(2), &grant(7, 2))
        .expect("answer to the latest report");
    assert_eq!(until, at(1) + timing.grant_validity);
    assert_eq!(reporter.accept(at(2), &grant(7, 2)), None, "duplicate");
    share.apply_grant(at(2), &workspace(), &grant(7, 2), until);
    assert_eq!(share.admit(at(2)), Ok(()));
    assert_eq!(share.admit(at(2)), Ok(()));
    assert_eq!(share.admit(at(3)).unwrap_err().reason, Reason::Concurrency);
    share.finish(at(3));
    share.finish(at(3));
    assert!(share.admit(until - Duration::from_millis(1)).is_ok());
    share.finish(until);
    let refused = share.admit(until).unwrap_err();
    assert_eq!(refused.reason, Reason::Rate);
    assert_eq!(refused.retry_after, Duration::from_secs(2), "next grants");
    assert!(share.usable(until).is_zero());
    reporter.report(at(10), 7, false, Map::default);
    let late = at(10) + timing.grant_validity;
    assert_eq!(
        reporter.accept(late, &grant(7, 3)),
        None,
        "usable until has passed"
    );
}

#[test]
fn running_requests_stay_held_and_lapsed_tokens_are_lost() {
    let grant = |capacity, tokens| Grant {
        token: 7,
        sequence: 1,
        capacity: Map::from_iter([(workspace(), capacity)]),
        tokens: Map::from_iter([(workspace(), tokens)]),
        regional: Vec::new(),
    };
    let mut share = Share::new(at(0));
    share.apply_grant(at(0), &workspace(), &grant(uniform(4.0), 4.0), at(5));
    share.admit(at(0)).unwrap();
    share.admit(at(0)).unwrap();
    share.apply_grant(at(1), &workspace(), &grant(uniform(1.0), 0.0), at(5));
    let usage = share.usage(at(2)).unwrap();
    assert!((usage.held.concurrency - 2.0).abs() < 1e-9, "{usage:?}");
    assert!((usage.returned - 3.0).abs() < 1e-9, "{usage:?}");
    share.apply_grant(at(3), &workspace(), &grant(uniform(0.0), 0.0), at(5));
    let lapsed = share.usage(at(5)).unwrap();
    assert!(lapsed.returned.abs() < 1e-9, "{lapsed:?}");
}

#[test_case(11.0, 100.0; "more slots have a floor")]
#[test_case(100.0, 11.0; "fewer slots have a floor")]
#[test_case(8.0, 3.0; "no slot has a floor any more")]
fn mixed_floors_stay_within_the_larger_contract(old: f64, new: f64) {
    let supply = |burst| Supply::from_contract(&workspace(), &contract(100.0, burst, 100), SLOTS);
    let (former, next) = (supply(old), supply(new));
    let elastic = next.elastic(std::iter::once(&former));
    for adopted in 0..1 << SLOTS {
        let floors = (0..SLOTS).fold(Capacity::ZERO, |sum, slot| {
            let supply = if adopted >> slot & 1 == 1 {
                &next
            } else {
                &former
            };
            sum.plus(supply.floor.largest(slot))
        });
        let sum = floors.plus(elastic);
        let limit = old.max(new) + 1e-9;
        assert!(
            sum.rate <= 100.0 + 1e-9 && sum.burst <= limit,
            "{sum:?} with {adopted:b}"
        );
    }
}

#[test]
fn a_floor_lapses_without_renewal_of_the_slot() {
    let mut share = Share::new(at(0));
    share.set_floor(at(0), uniform(2.0), at(5));
    assert_eq!(share.usable(at(4)), uniform(2.0));
    assert!(
        share.usable(at(5)).is_zero(),
        "also before the share is next used"
    );
    assert!(share.admit(at(5)).is_err());
}
