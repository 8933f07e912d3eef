//! Replays of sudden changes of the region that requests ask for.

use super::Limiter;
use azurenotch_wire::{id::Region, time::Instant};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// Largest change of a region's share from one window to the next that operators permit.
const MAX_SHIFT: f64 = 0.15;
/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// Load of one replay.
struct Case {
    hosts: usize,
    /// Time between two requests at a host, in milliseconds.
    every_ms: u64,
    /// Share of requests that ask for the other region, by time in milliseconds.
    requested: fn(u64) -> f64,
}

/// Returns the times of requests that ran in the home region, and in the other one.
fn replay(case: &Case) -> [Vec<u64>; 2] {
    let regions = [Region::from("home"), Region::from("other")];
    let mut limiters = vec![Limiter::default(); case.hosts];
    let mut random = SmallRng::seed_from_u64(7);
    let mut ran = [Vec::new(), Vec::new()];
    for now_ms in 0..24_000 {
        let now = Instant::from_millis(now_ms);
        for (host, limiter) in limiters.iter_mut().enumerate() {
            if !(now_ms + host as u64).is_multiple_of(case.every_ms) {
                continue;
            }
            let requested = usize::from(random.random_bool((case.requested)(now_ms)));
            let is_excluded = limiter.excluded_regions(now).contains(&regions[requested]);
            let sent = if is_excluded {
                1 - requested
            } else {
                requested
            };
            limiter.count(now, &regions[requested], &regions[sent]);
            ran[sent].push(now_ms);
        }
    }
    ran
}

fn share(ran: &[Vec<u64>; 2], from: u64) -> f64 {
    let count = |times: &[u64]| {
        let window = times
            .iter()
            .filter(|at| (from..from + WINDOW_MS).contains(*at));
        window.count() as f64
    };
    count(&ran[1]) / (count(&ran[0]) + count(&ran[1]))
}

#[test_case(Case { hosts: 4, every_ms: 30, requested: |now| if now < 5_000 { 0.05 } else { 0.6 } }; "a burst at home")]
#[test_case(Case { hosts: 4, every_ms: 30, requested: |now| if now < 2_000 { 0.5 } else { 0.1 } }; "caches that become warm")]
#[test_case(Case { hosts: 2, every_ms: 12, requested: |now| if (now / 3_000).is_multiple_of(2) { 0.1 } else { 0.7 } }; "demand alternates between regions")]
#[test_case(Case { hosts: 28, every_ms: 80, requested: |now| if now < 6_000 { 0.9 } else { 0.2 } }; "many hosts with few requests")]
fn requests_change_regions_no_faster_than_permitted(case: Case) {
    let ran = replay(&case);
    for from in (0..20_000).step_by(50) {
        let moved = (share(&ran, from + WINDOW_MS) - share(&ran, from)).abs();
        assert!(moved <= MAX_SHIFT, "{moved} from {from} ms on");
    }
}

/// Guards against a limit that never lets requests move.
#[test]
fn requests_reach_the_requested_distribution() {
    let case = Case {
        hosts: 4,
        every_ms: 30,
        requested: |now| if now < 5_000 { 0.01 } else { 0.5 },
    };
    let ran = replay(&case);
    assert!(share(&ran, 16_000) > 0.4);
}

#[test]
fn failures_of_servers_suspend_the_limit() {
    let home = Region::from("home");
    let other = Region::from("other");
    let mut limiter = Limiter::default();
    for now_ms in (0..4_000).step_by(20) {
        limiter.count(Instant::from_millis(now_ms), &home, &home);
    }
    let now = Instant::from_millis(4_000);
    for _ in 0..4 {
        limiter.count(now, &other, &other);
    }
    assert_eq!(limiter.excluded_regions(now), vec![other]);
    for _ in 0..3 {
        limiter.record_failure(now);
    }
    assert!(limiter.excluded_regions(now).is_empty());
}
