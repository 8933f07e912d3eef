//! Sequential probability ratio test (SPRT) that compares the new version with the running one.
//!
//! An event is a failed or a slow answer, depending on the measure.

use azurenotch_wire::evidence::{Count, Measure, Pair};

/// Probability that the test of one route ever finds a good version bad, over all its rounds.
pub const FALSE_ALARM_PROBABILITY: f64 = 0.001;
/// Probability that one round of a test finds a bad version good.
pub const MISS_PROBABILITY: f64 = 0.01;

/// Smallest increase of the share of events that counts as a fault.
const MIN_INCREASE: f64 = 0.02;
/// Prior of the running version: requests assumed before the first measured one, and their events.
const PRIOR_REQUESTS: f64 = 30.0;
const PRIOR_FAILURES: f64 = 0.3;
const PRIOR_SLOW: f64 = 1.5;
/// Requests to the running version in a round from which earlier rounds are disregarded.
const MIN_OLD_REQUESTS: u64 = 50;
/// Requests to the new version per request to the running one above which they are unpaired.
///
/// Unpaired means that the running version had too few requests in the same period to compare with.
const UNPAIRED_RATIO: u64 = 20;
/// Factor applied to the running version's share of slow answers while requests are unpaired.
///
/// A busy host slows down the answers of either version, and without requests of the same period
/// the test would blame the new version: a good version with 10 % slow answers was rolled back at
/// full share.
const UNPAIRED_SLOW_FACTOR: f64 = 4.0;
/// Steps of the bisection for the most likely share.
///
/// The final interval must be far smaller than the reciprocal of the number of requests. A search
/// in thirds with 16 steps ended at an interval of 0.0015 and found a version without a single
/// request bad after 12,976 requests to the running one.
const SEARCH_STEPS: usize = 40;
/// Distance that the search keeps from the shares 0 and 1, where a logarithm is infinite.
const SHARE_MARGIN: f64 = 1e-9;

/// Result of a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is not enough evidence yet.
    Undecided,
    /// The new version is as good as the running one.
    Good,
    /// The new version is worse, by at least the increase that counts as a fault.
    Bad,
}

/// Repeated test of one measure; each result [`Verdict::Good`] starts another round.
///
/// Round `k` gets the total false-alarm probability divided by `k (k + 1)`. The sum over any number
/// of rounds stays below the total, however long a move takes.
#[derive(Debug, Clone, Copy)]
pub struct Test {
    measure: Measure,
    false_alarm: f64,
    round: f64,
    /// Counts of the new version at the start of the round.
    base_new: Count,
    /// Counts of the running version at the start of the round.
    base_old: Count,
}

impl Test {
    /// Creates a test; `hosts` tests on different hosts share the false-alarm probability.
    pub fn new(measure: Measure, hosts: u32) -> Self {
        Self {
            measure,
            false_alarm: FALSE_ALARM_PROBABILITY / f64::from(hosts.max(1)),
            round: 1.0,
            base_new: Count::default(),
            base_old: Count::default(),
        }
    }

    /// Restarts the current round: the counts so far are disregarded.
    pub fn restart(&mut self, pair: &Pair) {
        self.base_new = pair.new;
        self.base_old = pair.old;
    }

    /// Returns how far the counts speak for a fault: the logarithm of a ratio of likelihoods.
    ///
    /// Negative values speak for a good version.
    pub fn lean(&self, pair: &Pair) -> f64 {
        let (small, large) = self.ratios(pair);
        small.max(large)
    }

    /// Evaluates the cumulative counts, which must never decrease.
    pub fn evaluate(&mut self, pair: &Pair) -> Verdict {
        let (small_increase, large_increase) = self.ratios(pair);
        let false_alarm = self.false_alarm / (self.round * (self.round + 1.0)) / 2.0;
        if small_increase.max(large_increase) >= ((1.0 - MISS_PROBABILITY) / false_alarm).ln() {
            Verdict::Bad
        } else if small_increase <= (MISS_PROBABILITY / (1.0 - false_alarm)).ln() {
            self.round += 1.0;
            self.restart(pair);
            Verdict::Good
        } else {
            Verdict::Undecided
        }
    }

    /// Returns the logarithms of the likelihoods of a small and a large increase, relative to none.
    fn ratios(&self, pair: &Pair) -> (f64, f64) {
        let sample = self.sample(pair);
        let same = sample.max_log_likelihood(0.0, 1.0, Hypothesis::SAME);
        // The smallest increase that counts as a fault depends on the running version's share.
        let small_increase = sample
            .max_log_likelihood(0.0, MIN_INCREASE, Hypothesis::INCREASED)
            .max(sample.max_log_likelihood(MIN_INCREASE, 1.0 / 3.0, Hypothesis::DOUBLED))
            .max(sample.max_log_likelihood(1.0 / 3.0, 1.0, Hypothesis::HALFWAY))
            - same;
        // This hypothesis detects a version that fails most requests after only a few of them.
        let large_increase = sample.max_log_likelihood(0.0, 1.0, Hypothesis::HALFWAY) - same;
        (small_increase, large_increase)
    }

    fn sample(&self, pair: &Pair) -> Sample {
        let recent = difference(&pair.old, &self.base_old);
        // Earlier rounds may have run under a different load.
        let old = if recent.requests >= MIN_OLD_REQUESTS {
            recent
        } else {
            pair.old
        };
        let new = difference(&pair.new, &self.base_new);
        let is_unpaired = new.requests > UNPAIRED_RATIO * recent.requests.max(1);
        let factor = match self.measure {
            Measure::Latency if is_unpaired => UNPAIRED_SLOW_FACTOR,
            Measure::Latency | Measure::Failures => 1.0,
        };
        let prior = match self.measure {
            Measure::Failures => PRIOR_FAILURES,
            Measure::Latency => PRIOR_SLOW,
        };
        let old_requests = old.requests as f64 + PRIOR_REQUESTS;
        let old_events = (self.events(&old) as f64 + prior) * factor;
        Sample {
            old_events: old_events.min(old_requests),
            old_requests,
            new_events: self.events(&new) as f64,
            new_requests: new.requests as f64,
        }
    }

    fn events(&self, count: &Count) -> u64 {
        match self.measure {
            Measure::Failures => count.failures,
            Measure::Latency => count.slow,
        }
    }
}

/// Counts of both versions in one round, with the prior included.
#[derive(Debug)]
struct Sample {
    old_events: f64,
    old_requests: f64,
    new_events: f64,
    new_requests: f64,
}

impl Sample {
    /// Returns the maximum log likelihood of a hypothesis, with the running version's share between
    /// `low` and `high`.
    ///
    /// Each hypothesis uses its own most likely share, so that the ratio accounts for the uncertain
    /// share of a running version with few requests. The log likelihood is concave in the share,
    /// so its maximum is found by bisection on the sign of the slope.
    fn max_log_likelihood(&self, low: f64, high: f64, hypothesis: Hypothesis) -> f64 {
        let (mut low, mut high) = (low.max(SHARE_MARGIN), high.min(1.0 - SHARE_MARGIN));
        for _ in 0..SEARCH_STEPS {
            let share = f64::midpoint(low, high);
            let rise = slope(self.old_events, self.old_requests, share)
                + hypothesis.factor
                    * slope(
                        self.new_events,
                        self.new_requests,
                        hypothesis.new_share(share),
                    );
            if rise > 0.0 {
                low = share;
            } else {
                high = share;
            }
        }
        let share = f64::midpoint(low, high);
        log_likelihood(self.old_events, self.old_requests, share)
            + log_likelihood(
                self.new_events,
                self.new_requests,
                hypothesis.new_share(share),
            )
    }
}

/// Hypothesis about the new version: its share of events as a linear function of the running one's.
#[derive(Debug, Clone, Copy)]
struct Hypothesis {
    factor: f64,
    offset: f64,
}

impl Hypothesis {
    const SAME: Self = Self::new(1.0, 0.0);
    const INCREASED: Self = Self::new(1.0, MIN_INCREASE);
    const DOUBLED: Self = Self::new(2.0, 0.0);
    /// Half of the requests without an event on the running version have one on the new version.
    const HALFWAY: Self = Self::new(0.5, 0.5);

    const fn new(factor: f64, offset: f64) -> Self {
        Self { factor, offset }
    }

    fn new_share(self, share: f64) -> f64 {
        self.factor * share + self.offset
    }
}

/// Returns the derivative of the log likelihood by the share.
fn slope(events: f64, requests: f64, share: f64) -> f64 {
    events / share - (requests - events).max(0.0) / (1.0 - share)
}

fn log_likelihood(events: f64, requests: f64, share: f64) -> f64 {
    events * share.ln() + (requests - events).max(0.0) * (1.0 - share).ln()
}

fn difference(count: &Count, base: &Count) -> Count {
    Count {
        requests: count.requests.saturating_sub(base.requests),
        failures: count.failures.saturating_sub(base.failures),
        slow: count.slow.saturating_sub(base.slow),
    }
}

#[cfg(test)]
mod tests;
