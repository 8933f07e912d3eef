//! Decisions on health checks before a send.

use super::Finding;
use crate::version::placement::{
    Load, Placement, Report, Tier,
    tests::{choose, placement},
};
use azurenotch_wire::time::Instant;
use std::time::Duration;
use test_case::test_case;

const START: Instant = Instant::from_millis(100_000);

/// Servers of which one in five is slow by `factor` at any moment, all heard long before [`START`].
fn fleet(near: usize, far: usize, factor: Option<f64>) -> Placement {
    let mut placement = placement(near, far);
    for round in 0..40_u64 {
        let now = Instant::from_millis(600 * round);
        for index in 0..near + far {
            let slow = (index as u64 + round).is_multiple_of(5);
            observe(
                &mut placement,
                now,
                index,
                factor.map(|it| if slow { it } else { 1.0 }),
            );
        }
    }
    placement
}

fn observe(placement: &mut Placement, now: Instant, index: usize, speed: Option<f64>) {
    let load = Load {
        running: 1,
        waiting: 0,
        slots: 9,
    };
    placement.observe_report(now, index, &Report { load, speed });
}

struct Case {
    factor: Option<f64>,
    tier: Tier,
    rtt: Duration,
}

const SLOW: Case = Case {
    factor: Some(2.5),
    tier: Tier::Local,
    rtt: Duration::from_millis(1),
};

/// Guards against health checks that cost more than they bring, or where servers tell no figure.
#[test_case(SLOW => true; "slow periods")]
#[test_case(Case { factor: None, ..SLOW } => false; "no figures")]
#[test_case(Case { factor: Some(1.0), ..SLOW } => false; "equal servers")]
#[test_case(Case { factor: Some(1.2), ..SLOW } => false; "spread below the limit")]
#[test_case(Case { tier: Tier::Remote, ..SLOW } => false; "another region")]
#[test_case(Case { rtt: Duration::from_millis(150), ..SLOW } => false; "a long way")]
fn a_check_is_made_where_it_pays(case: Case) -> bool {
    let (near, far) = if case.tier == Tier::Remote {
        (0, 5)
    } else {
        (5, 0)
    };
    let mut placement = fleet(near, far, case.factor);
    for index in 0..5 {
        placement.entries[index].observe_rtt(Duration::ZERO);
        for _ in 0..100 {
            placement.observe_rtt(index, case.rtt);
        }
    }
    let choice = choose(&mut placement, START, 7);
    placement.begin_check(START, &choice)
}

/// Guards against several health checks for the requests of one moment.
#[test]
fn one_check_serves_all_requests_for_a_while() {
    let mut placement = fleet(5, 0, Some(2.5));
    let choice = choose(&mut placement, START, 7);
    let after = |ms| START + Duration::from_millis(ms);
    assert!(placement.begin_check(START, &choice));
    assert!(!placement.begin_check(after(1), &choice), "in flight");
    placement.end_check(after(2), choice.index);
    assert!(!placement.begin_check(after(101), &choice), "still valid");
    assert!(placement.begin_check(after(103), &choice), "it has failed");
    observe(&mut placement, after(104), choice.index, Some(1.0));
    placement.end_check(after(104), choice.index);
    assert!(!placement.begin_check(after(210), &choice), "still known");
    assert!(placement.begin_check(after(5_000), &choice));
}

/// Guards against a health check without consequence.
#[test_case(1.0, 1 => Finding::Good; "fast and free")]
#[test_case(2.5, 1 => Finding::Slow; "slow")]
#[test_case(1.0, 9 => Finding::Full; "full")]
#[test_case(2.5, 9 => Finding::Slow; "slow and full")]
fn a_report_shows_whether_to_choose_again(speed: f64, running: u32) -> Finding {
    let mut placement = fleet(5, 0, Some(2.5));
    let load = Load {
        running,
        waiting: 0,
        slots: 9,
    };
    let speed = Some(speed);
    placement.observe_report(START, 0, &Report { load, speed });
    placement.finding(START, 0)
}
