//! Moves a service to a new version within seconds, and back if the version is bad.
//!
//! All hosts follow the same plan. The new version gets a small share for the first half of the time
//! limit (the trial), then a share that grows to a quarter of the requests and on to all of them. A
//! pause follows in which the last requests to the old version end. Each host evaluates the evidence
//! of all hosts, and one host that finds the version bad stops the move on all hosts.
//!
//! The evidence and a verdict that is not written yet are in the memory of hosts only. If all hosts
//! start in the middle of a move, they know its age and nothing else, so the age alone decides nothing:
//! a version is done once the hosts that run have seen it answer, with no evidence that leans
//! towards a fault. If it still leans at twice the time limit, the version is taken back.

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

/// Share of the permitted exposure that the trial uses.
const TRIAL_EXPOSURE: f64 = 0.7;
/// End of the trial, as a share of the time limit.
const TRIAL_END_AT: f64 = 0.56;
/// Moment at which the new version reaches [`STEP_SHARE`], as a share of the time limit.
const STEP_END_AT: f64 = 0.7;
/// Share of requests that the new version reaches between the trial and the last step.
const STEP_SHARE: f64 = 0.25;
/// Moment from which the new version gets all requests, as a share of the time limit.
const FULL_SHARE_AT: f64 = 0.8;
/// Requests to the new version from which its share of slow answers is evaluated.
const MIN_REQUESTS_FOR_SLOW: f64 = 15.0;
/// Permitted excess of the new version's share of slow answers, because its caches are cold.
const SLOW_SHARE_TOLERANCE: f64 = 0.06;
/// Standard deviations by which the share of slow answers has to exceed the permitted one.
const SLOW_STANDARD_DEVIATIONS: f64 = 2.3;
/// Moment from which the move is done, as a share of the time limit.
const DONE_AT: f64 = 0.88;
/// Moment from which it is done as soon as the evidence suffices, as a share of the time limit.
///
/// Leaves the time to write the state before the limit.
const LATEST_DONE_AT: f64 = 0.94;
/// Requests to the new version that the hosts that run must have seen answered.
///
/// If none of them failed, a version that fails one request in five is excluded with 96 %.
const MIN_REQUESTS_FOR_DONE: u64 = 15;
/// Time for which a service with fewer requests is observed instead.
const MIN_OBSERVED_TIME: Duration = Duration::from_secs(1);
/// Largest share of requests to the new version before that, from the end of [`STEP_SHARE`] on.
///
/// Hosts that start late in a move thus have evidence within a fraction of a second.
const UNPROVEN_SHARE: f64 = 0.5;
/// Logarithm of the ratio of likelihoods from which the evidence leans towards a fault.
///
/// A good version gets there by chance in one of seven moves, and leaves it with further requests.
const LEAN_LIMIT: f64 = 2.0;
/// Moment from which a version whose evidence still leans towards a fault is taken back, as a share of
/// the time limit.
///
/// The move would have no end otherwise if no further requests decide it.
const MAX_LEAN_AT: f64 = 2.0;

/// Evidence that one host sends to the others about one move.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Version of the order for the move.
    pub order: u64,
    /// Milliseconds since the sender, or a host whose evidence it received, first saw the order.
    pub elapsed_ms: u64,
    /// Whether the sender or a host that reported to it found the version bad.
    pub bad: bool,
    /// Counts of requests by the hash of the route.
    pub counts: Vec<(u32, Pair)>,
}

/// State of one move at one host.
#[derive(Debug)]
pub struct Cutover {
    /// Version to move to.
    pub to: Release,
    /// Version of the order for the move.
    pub order: u64,
    time_limit: Duration,
    /// Largest share of requests that a bad version may get.
    exposure: f64,
    /// Elapsed time since the first host saw the order, with the moment at which it applied.
    elapsed_at: (Instant, Duration),
    /// From when on this host, in its present process, has served requests during the move.
    observed_since: Instant,
    /// When the hosts that run had seen enough requests to the new version answered.
    proven: Option<Instant>,
    /// Whether the evidence leans towards a fault.
    leans: bool,
    bad: bool,
    own_counts: Map<u32, Pair>,
    reported_counts: Map<Host, Vec<(u32, Pair)>>,
    tests: Map<u32, Test>,
    /// Fraction of a request that the new version is due.
    credit: f64,
}

impl Cutover {
    /// Creates a move whose order this host sees at `now`.
    ///
    /// `exposure` is the largest share of requests that a bad version may get.
    pub fn new(now: Instant, to: Release, order: u64, time_limit: Duration, exposure: f64) -> Self {
        Self {
            to,
            order,
            time_limit,
            exposure,
            elapsed_at: (now, Duration::ZERO),
            observed_since: now,
            proven: None,
            leans: false,
            bad: false,
            own_counts: Map::default(),
            reported_counts: Map::default(),
            tests: Map::default(),
            credit: 0.0,
        }
    }

    /// Sets what the new version is due of the first request, from 0 to 1, which is drawn at random.
    ///
    /// If all hosts began with nothing, hosts with few requests each would send none to the new
    /// version for most of the trial, and then all of them at about the same time.
    #[must_use]
    pub fn with_credit(self, credit: f64) -> Self {
        Self { credit, ..self }
    }

    /// Returns the share of requests that the new version gets, 0 to 1.
    pub fn share(&self, now: Instant) -> f64 {
        let planned = self.planned_share(now);
        if self.bad {
            0.0
        } else if self.leans {
            planned.min(STEP_SHARE)
        } else if self.proven.is_none() {
            planned.min(UNPROVEN_SHARE)
        } else {
            planned
        }
    }

    fn planned_share(&self, now: Instant) -> f64 {
        let trial = self.exposure * TRIAL_EXPOSURE;
        let progress = self.progress(now);
        if progress < TRIAL_END_AT {
            trial
        } else if progress < STEP_END_AT {
            let step = (progress - TRIAL_END_AT) / (STEP_END_AT - TRIAL_END_AT);
            trial + step * (STEP_SHARE - trial)
        } else {
            let step = (progress - STEP_END_AT) / (FULL_SHARE_AT - STEP_END_AT);
            (STEP_SHARE + step * (1.0 - STEP_SHARE)).min(1.0)
        }
    }

    /// Returns whether the next request goes to the new version, and counts it.
    pub fn takes_next(&mut self, now: Instant) -> bool {
        self.credit += self.share(now);
        if self.credit >= 1.0 {
            self.credit = (self.credit - 1.0).min(1.0);
            return true;
        }
        false
    }

    /// Returns the time since the first host saw the order.
    pub fn elapsed(&self, now: Instant) -> Duration {
        let (at, elapsed) = self.elapsed_at;
        now.since(at) + elapsed
    }

    /// Advances the plan to `elapsed` since the first host saw the order, if that is later.
    pub fn resume(&mut self, now: Instant, elapsed: Duration) {
        if elapsed > self.elapsed(now) {
            self.elapsed_at = (now, elapsed);
        }
    }

    /// Returns whether any host found the version bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// Returns whether the move is done; never for a bad version.
    ///
    /// The hosts that run must have seen the new version get all requests for as long as the plan has
    /// it, or for the time that is left. A service with few requests is observed for
    /// a second instead, by hosts that serve; that may end after the time limit.
    pub fn is_done(&self, now: Instant) -> bool {
        if self.bad || self.leans || self.progress(now) < DONE_AT {
            return false;
        }
        let is_late = self.progress(now) >= LATEST_DONE_AT;
        match self.proven {
            Some(proven) => {
                let full = self.time_limit.mul_f64(DONE_AT - FULL_SHARE_AT);
                is_late || now.since(proven) >= full
            }
            None => is_late && now.since(self.observed_since) >= MIN_OBSERVED_TIME,
        }
    }

    /// Records that this host refuses requests at `now`, so that few requests mean nothing.
    ///
    /// A host that starts on a restored store refuses keys for a while.
    pub fn suspend_observation(&mut self, now: Instant) {
        self.observed_since = now;
    }

    /// Returns whether other hosts wait for the evidence of this one, since the move is about to end.
    pub fn is_urgent(&self, now: Instant) -> bool {
        let is_unproven = self.proven.is_none() || self.leans;
        !self.bad && is_unproven && self.progress(now) >= FULL_SHARE_AT
    }

    /// Counts the outcome of a request to the new or the running version.
    pub fn observe(&mut self, route: &Route, new: bool, failed: bool, slow: bool) {
        let pair = self.own_counts.entry(route_key(route)).or_default();
        let count = if new { &mut pair.new } else { &mut pair.old };
        count.requests += 1;
        count.failures += u64::from(failed);
        count.slow += u64::from(slow);
    }

    /// Counts the failure of a request that was counted as slow before its end.
    pub fn observe_failure(&mut self, route: &Route, new: bool) {
        if let Some(pair) = self.own_counts.get_mut(&route_key(route)) {
            let count = if new { &mut pair.new } else { &mut pair.old };
            count.failures += 1;
        }
    }

    /// Returns the evidence of this host, to send to the others.
    pub fn evidence(&self, now: Instant) -> Evidence {
        let mut counts: Vec<_> = self
            .own_counts
            .iter()
            .map(|(route_key, pair)| (*route_key, *pair))
            .collect();
        counts.sort_unstable_by_key(|(route_key, _)| *route_key);
        Evidence {
            order: self.order,
            elapsed_ms: self.elapsed(now).as_millis() as u64,
            bad: self.bad,
            counts,
        }
    }

    /// Records the evidence of another host; ignored if it is about another order.
    pub fn receive_evidence(&mut self, now: Instant, host: &Host, evidence: &Evidence) {
        if evidence.order != self.order {
            return;
        }
        self.resume(now, Duration::from_millis(evidence.elapsed_ms));
        self.bad |= evidence.bad;
        self.reported_counts
            .insert(host.clone(), evidence.counts.clone());
    }

    /// Returns the counts of all hosts over all routes.
    pub fn total(&self) -> Pair {
        let counts_by_route = self.counts_by_route();
        counts_by_route
            .values()
            .fold(Pair::default(), |sum, pair| Pair {
                old: add(&sum.old, &pair.old),
                new: add(&sum.new, &pair.new),
            })
    }

    /// Evaluates the evidence of all hosts; returns whether the version is found bad for the first
    /// time.
    pub fn evaluate(&mut self, now: Instant) -> bool {
        if self.bad {
            return false;
        }
        self.leans = false;
        for (route_key, pair) in &self.counts_by_route() {
            let test = self.tests.entry(*route_key);
            let test = test.or_insert_with(|| Test::new(Measure::Failures, 1));
            // A restarted host reports smaller counts, which the test treats as no new requests.
            self.bad |= test.evaluate(pair) == Verdict::Bad || is_slow(pair);
            self.leans |= test.lean(pair) > LEAN_LIMIT;
        }
        self.bad |= self.leans && self.progress(now) >= MAX_LEAN_AT;
        if self.proven.is_none() && self.total().new.requests >= MIN_REQUESTS_FOR_DONE {
            self.proven = Some(now);
        }
        self.bad
    }

    /// Returns the counts of all hosts by the hash of the route.
    fn counts_by_route(&self) -> Map<u32, Pair> {
        let mut counts_by_route: Map<u32, Pair> = self.own_counts.clone();
        for (route_key, pair) in self.reported_counts.values().flatten() {
            let sum = counts_by_route.entry(*route_key).or_default();
            sum.old = add(&sum.old, &pair.old);
            sum.new = add(&sum.new, &pair.new);
        }
        counts_by_route
    }

    fn progress(&self, now: Instant) -> f64 {
        self.elapsed(now).as_secs_f64() / self.time_limit.as_secs_f64().max(0.001)
    }
}

/// Returns whether the new version is slower than cold caches alone explain.
///
/// This is no sequential test of small increases: such a test took good versions back, because new
/// backend servers answer some requests slowly until their caches are warm.
fn is_slow(pair: &Pair) -> bool {
    let share = |count: &Count| count.slow as f64 / count.requests.max(1) as f64;
    let (old, new) = (share(&pair.old), share(&pair.new));
    let requests = pair.new.requests as f64;
    let margin = SLOW_STANDARD_DEVIATIONS * (new * (1.0 - new) / requests.max(1.0)).sqrt();
    requests >= MIN_REQUESTS_FOR_SLOW && new - margin > old + SLOW_SHARE_TOLERANCE
}

fn add(one: &Count, other: &Count) -> Count {
    Count {
        requests: one.requests + other.requests,
        failures: one.failures + other.failures,
        slow: one.slow + other.slow,
    }
}

fn route_key(route: &Route) -> u32 {
    hash::hash32(route.as_str())
}

#[cfg(test)]
mod tests;
