//! Model of a planned stop under load, in virtual time.

use azurenotch_core::request::forecast::{Forecast, NOTICE_TIME, Request};
use azurenotch_wire::time::Instant;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// When the stop begins.
const STOP: Instant = Instant::from_millis(60_000);
/// Time until running requests are given up; a grace period of 6 s.
const TIME_TO_STOP: Duration = Duration::from_millis(5_700);
/// Time for which callers may open connections.
const OPEN: Duration = Duration::from_millis(4_446);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(50);

/// Work of the servers of a route, and its requests.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub name: &'static str,
    pub timeout: Duration,
    pub repeatable: bool,
    /// Time for which the route gets requests before the stop.
    pub before: Duration,
    /// Draws the work of a request that is sent at a time after the stop; 0 before it.
    pub work: fn(Duration, &mut SmallRng) -> Duration,
}

/// Loads that differ in what can be known of the work.
pub const LOADS: [Load; 9] = [
    Load {
        name: "0.1 s",
        work: |_, _| ms(100),
        ..LONG
    },
    LONG,
    Load {
        name: "2.8 s, once only",
        repeatable: false,
        ..LONG
    },
    Load {
        name: "1 s to 1.9 s",
        work: |_, random| ms(random.random_range(1_000..1_900)),
        ..LONG
    },
    Load {
        name: "0.05 s, 3 in 10 2 s to 4.5 s",
        work: |_, random| {
            if random.random_bool(0.7) {
                ms(50)
            } else {
                ms(random.random_range(2_000..4_500))
            }
        },
        ..LONG
    },
    Load {
        name: "0.1 s, 3.2 s from 1 s on",
        work: |since, _| ms(if since > ms(1_000) { 3_200 } else { 100 }),
        ..LONG
    },
    Load {
        name: "0.05 s, 3 in 100 4 s",
        work: |_, random| ms(if random.random_bool(0.97) { 50 } else { 4_000 }),
        ..LONG
    },
    SOON,
    Load {
        name: "the same, once only",
        repeatable: false,
        ..SOON
    },
];

/// A host that has started a second and a half before, whose servers need longer than the timeout for some
/// requests.
const SOON: Load = Load {
    name: "0.15 s, 1 in 20 2 s to 5 s, soon",
    timeout: Duration::from_millis(2_500),
    before: Duration::from_millis(1_500),
    work: |_, random| {
        if random.random_bool(0.95) {
            ms(150)
        } else {
            ms(random.random_range(2_000..5_000))
        }
    },
    ..LONG
};

const LONG: Load = Load {
    name: "2.8 s",
    timeout: Duration::from_secs(5),
    repeatable: true,
    before: Duration::from_secs(6),
    work: |_, _| ms(2_800),
};

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// How a stopping host decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// By the last answers of the route.
    Forecast,
    /// The whole timeout has to be left.
    Timeout,
    /// A share of 0.42 of the time has to be left, or the whole timeout for what may run once.
    Share,
}

/// Requests that came during the stop.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    pub answered: u32,
    /// Accepted, and given up while a server worked on them.
    pub broken_off: u32,
    /// Those of them that were sent when callers could know of the stop.
    pub late: u32,
    pub rejected: u32,
    /// Those of the rejected that would have been answered.
    pub needless: u32,
}

/// Plays a stop.
pub fn play(load: &Load, rule: Rule, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut forecast = Forecast::default();
    let mut running: BinaryHeap<Reverse<(Instant, Instant)>> = BinaryHeap::new();
    let mut outcome = Outcome::default();
    let mut now = STOP - load.before;
    while now < STOP + OPEN {
        while let Some(Reverse((end, start))) = running.peek().copied()
            && end <= now
        {
            running.pop();
            forecast.end(start);
            let time = end.since(start);
            if time < load.timeout {
                forecast.observe(time);
            } else {
                forecast.observe_timeout(time);
            }
        }
        let since = now.since(STOP);
        let end = now + (load.work)(since, &mut random).min(load.timeout);
        let left = TIME_TO_STOP.saturating_sub(since);
        let fits = now < STOP || left >= need(load, rule, &forecast, now);
        let is_in_time = end <= STOP + TIME_TO_STOP;
        if fits {
            forecast.begin(now);
            running.push(Reverse((end, now)));
        }
        if now >= STOP {
            match (fits, is_in_time) {
                (true, true) => outcome.answered += 1,
                (true, false) => {
                    outcome.broken_off += 1;
                    outcome.late += u32::from(since > NOTICE_TIME);
                }
                (false, _) => outcome.rejected += 1,
            }
            outcome.needless += u32::from(!fits && is_in_time);
        }
        now = now + INTERVAL;
    }
    outcome
}

fn need(load: &Load, rule: Rule, forecast: &Forecast, now: Instant) -> Duration {
    match rule {
        Rule::Forecast => {
            let request = Request {
                since_stop: now.since(STOP),
                timeout: load.timeout,
                repeatable: load.repeatable,
            };
            forecast.need(now, &request)
        }
        Rule::Share if load.repeatable => load.timeout.min(TIME_TO_STOP.mul_f64(0.42)),
        Rule::Timeout | Rule::Share => load.timeout,
    }
}
