//! Moves a service to a new version within seconds, and back if the version is bad.
//!
//! All hosts follow the same plan: a small share for the first half of the time given, a quarter of
//! the requests, all of them, then a pause in which the last requests to the old version end. Each host judges the
//! evidence of all hosts, and one host that sees a fault stops the move everywhere.

use super::rollout::sprt::{Test, Verdict};
use azurenotch_wire::{
    Map,
    evidence::{Count, Measure, Pair},
    hash,
    id::{Host, Release, Route},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Part of the permitted exposure that is used while the version is on trial.
const TRIAL_USED: f64 = 0.7;
/// End of the trial, as a share of the time given.
const TRIAL_END: f64 = 0.56;
/// Moment at which the new version has [`STEP_SHARE`], as a share of the time given.
const STEP: f64 = 0.7;
/// Share of the new version between the trial and the rest of the move.
const STEP_SHARE: f64 = 0.25;
/// Moment from which the new version has all requests, as a share of the time given.
const FULL: f64 = 0.8;
/// Requests to the new version from which its slow answers are judged.
const SLOW_REQUESTS: f64 = 15.0;
/// Share of slow answers above that of the running version that cold caches explain.
const SLOW_EXCESS: f64 = 0.06;
/// Standard deviations by which the share of slow answers has to be above that.
const SLOW_DEVIATIONS: f64 = 2.3;
/// Moment from which the move is done, as a share of the time given.
const DONE: f64 = 0.88;

/// Evidence of one host about one move.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Version of the order.
    pub order: u64,
    /// Time since the host or one that it heard saw the order.
    pub elapsed_ms: u64,
    /// Whether the host knows that the version is bad.
    pub bad: bool,
    /// Counts by the hash of the route.
    pub counts: Vec<(u32, Pair)>,
}

/// One move as one host sees it.
#[derive(Debug)]
pub struct Turnover {
    /// Version to move to.
    pub to: Release,
    /// Version of the order.
    pub order: u64,
    within: Duration,
    exposure: f64,
    /// When this host learned how long ago the first host saw the order, and how long.
    seen: (Instant, Duration),
    bad: bool,
    own: Map<u32, Pair>,
    others: Map<Host, Vec<(u32, Pair)>>,
    tests: Map<u32, Test>,
    /// Fraction of a request owed to the new version.
    owed: f64,
}

impl Turnover {
    /// Creates a move whose order was seen at `now`.
    pub fn new(now: Instant, to: Release, order: u64, within: Duration, exposure: f64) -> Self {
        Self {
            to,
            order,
            within,
            exposure,
            seen: (now, Duration::ZERO),
            bad: false,
            own: Map::default(),
            others: Map::default(),
            tests: Map::default(),
            owed: 0.0,
        }
    }

    /// Returns the share of requests that the new version gets.
    pub fn share(&self, now: Instant) -> f64 {
        let trial = self.exposure * TRIAL_USED;
        let part = self.part(now);
        if self.bad {
            0.0
        } else if part < TRIAL_END {
            trial
        } else if part < STEP {
            let step = (part - TRIAL_END) / (STEP - TRIAL_END);
            trial + step * (STEP_SHARE - trial)
        } else {
            let step = (part - STEP) / (FULL - STEP);
            (STEP_SHARE + step * (1.0 - STEP_SHARE)).min(1.0)
        }
    }

    /// Returns whether the next request goes to the new version.
    pub fn takes_next(&mut self, now: Instant) -> bool {
        self.owed += self.share(now);
        if self.owed >= 1.0 {
            self.owed = (self.owed - 1.0).min(1.0);
            return true;
        }
        false
    }

    /// Returns the time since the first host saw the order.
    pub fn elapsed(&self, now: Instant) -> Duration {
        let (seen, before) = self.seen;
        now.since(seen) + before
    }

    /// Takes over that the first host saw the order `elapsed` ago.
    pub fn resume(&mut self, now: Instant, elapsed: Duration) {
        if elapsed > self.elapsed(now) {
            self.seen = (now, elapsed);
        }
    }

    /// Returns whether the version was judged bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// Returns whether the move is done, unless it is taken back.
    pub fn is_done(&self, now: Instant) -> bool {
        !self.bad && self.part(now) >= DONE
    }

    /// Takes note of the end of a request.
    pub fn observe(&mut self, route: &Route, new: bool, failed: bool, slow: bool) {
        let pair = self.own.entry(key(route)).or_default();
        let count = if new { &mut pair.new } else { &mut pair.old };
        count.requests += 1;
        count.failures += u64::from(failed);
        count.slow += u64::from(slow);
    }

    /// Returns the evidence for the other hosts.
    pub fn evidence(&self, now: Instant) -> Evidence {
        let mut counts: Vec<_> = self.own.iter().map(|(key, pair)| (*key, *pair)).collect();
        counts.sort_unstable_by_key(|(key, _)| *key);
        Evidence {
            order: self.order,
            elapsed_ms: self.elapsed(now).as_millis() as u64,
            bad: self.bad,
            counts,
        }
    }

    /// Takes note of the evidence of another host.
    pub fn report(&mut self, now: Instant, host: &Host, evidence: &Evidence) {
        if evidence.order != self.order {
            return;
        }
        self.resume(now, Duration::from_millis(evidence.elapsed_ms));
        self.bad |= evidence.bad;
        self.others.insert(host.clone(), evidence.counts.clone());
    }

    /// Returns the evidence of all hosts over all routes.
    pub fn total(&self) -> Pair {
        let sums = self.sums();
        sums.values().fold(Pair::default(), |sum, pair| Pair {
            old: add(&sum.old, &pair.old),
            new: add(&sum.new, &pair.new),
        })
    }

    /// Judges the evidence of all hosts; returns whether the version was found bad just now.
    pub fn judge(&mut self) -> bool {
        if self.bad {
            return false;
        }
        for (key, pair) in &self.sums() {
            let test = self.tests.entry(*key);
            let test = test.or_insert_with(|| Test::new(Measure::Failures, 1));
            // A host that was restarted reports smaller counts, which the test takes for none.
            self.bad |= test.evaluate(pair) == Verdict::Bad || is_slow(pair);
        }
        self.bad
    }

    /// Returns the evidence of all hosts by route.
    fn sums(&self) -> Map<u32, Pair> {
        let mut sums: Map<u32, Pair> = self.own.clone();
        for (key, pair) in self.others.values().flatten() {
            let sum = sums.entry(*key).or_default();
            sum.old = add(&sum.old, &pair.old);
            sum.new = add(&sum.new, &pair.new);
        }
        sums
    }

    fn part(&self, now: Instant) -> f64 {
        self.elapsed(now).as_secs_f64() / self.within.as_secs_f64().max(0.001)
    }
}

/// Returns whether the new version is certainly slower than cold caches make a good one.
///
/// A sequential test of small increases took good versions back, whose new backend servers answer
/// some requests slowly until their caches are warm.
fn is_slow(pair: &Pair) -> bool {
    let share = |count: &Count| count.slow as f64 / count.requests.max(1) as f64;
    let (old, new) = (share(&pair.old), share(&pair.new));
    let requests = pair.new.requests as f64;
    let doubt = SLOW_DEVIATIONS * (new * (1.0 - new) / requests.max(1.0)).sqrt();
    requests >= SLOW_REQUESTS && new - doubt > old + SLOW_EXCESS
}

fn add(one: &Count, other: &Count) -> Count {
    Count {
        requests: one.requests + other.requests,
        failures: one.failures + other.failures,
        slow: one.slow + other.slow,
    }
}

fn key(route: &Route) -> u32 {
    hash::short(route.as_str())
}

#[cfg(test)]
mod tests;
