//! Sequential probability ratio test of the new version against the running one.

use azurenotch_wire::evidence::{Count, Measure, Pair};

/// Probability that a test of one route ever judges a good version bad.
pub const FALSE_ALARM: f64 = 0.001;
/// Probability that a test round judges a bad version good.
pub const MISS: f64 = 0.01;

/// Smallest increase of a share that counts as a fault.
const INCREASE_MIN: f64 = 0.02;
/// Share that is assumed while the running version has too few requests.
const FAILURES_ASSUMED: f64 = 0.01;
const SLOW_ASSUMED: f64 = 0.05;
/// Requests of the running version from which its own share is used.
const OLD_MIN: u64 = 50;
/// Factor of the usual share of slow answers while the running version gets no requests.
///
/// Without requests of the same moment to compare with, a busy host makes answers of either version
/// slow: a good version with 10 % slow answers was taken back at full share.
const UNPAIRED_SLACK: f64 = 4.0;
/// Share of the running version above which the versions cannot be compared.
const USUAL_MAX: f64 = 0.9;

/// Judgement of a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence does not suffice yet.
    Open,
    /// The new version is as good as the running one.
    Good,
    /// The new version is worse by the increase that counts as a fault.
    Bad,
}

/// Test of one measure that starts another round each time the version was judged good.
///
/// Round `k` may raise a false alarm with a probability of the whole divided by `k (k + 1)`, so
/// that the rounds together stay within the whole, however long a move takes.
#[derive(Debug, Clone, Copy)]
pub struct Test {
    measure: Measure,
    alarm: f64,
    round: f64,
    /// Counts of the new version at the start of the round.
    base: Count,
    /// Counts of the running version at the start of the round.
    base_old: Count,
}

impl Test {
    /// Creates a test; `sharers` tests of other hosts share the probability of a false alarm.
    pub fn new(measure: Measure, sharers: u32) -> Self {
        Self {
            measure,
            alarm: FALSE_ALARM / f64::from(sharers.max(1)),
            round: 1.0,
            base: Count::default(),
            base_old: Count::default(),
        }
    }

    /// Makes the round ignore the counts so far.
    pub fn restart(&mut self, pair: &Pair) {
        self.base = pair.new;
        self.base_old = pair.old;
    }

    /// Judges the counts, which only grow.
    pub fn judge(&mut self, pair: &Pair) -> Verdict {
        let Some((low, high)) = self.usual(pair) else {
            return Verdict::Open;
        };
        let new = difference(&pair.new, &self.base);
        let fault = low + low.max(INCREASE_MIN).min((1.0 - low) / 2.0);
        // A version that fails most requests shows after a few of them.
        let gross = f64::midpoint(high, 1.0);
        let slight = if fault > high {
            self.ratio(&new, high, fault)
        } else {
            0.0
        };
        let alarm = self.alarm / (self.round * (self.round + 1.0)) / 2.0;
        if slight.max(self.ratio(&new, high, gross)) >= ((1.0 - MISS) / alarm).ln() {
            Verdict::Bad
        } else if slight <= (MISS / (1.0 - alarm)).ln() {
            self.round += 1.0;
            self.restart(pair);
            Verdict::Good
        } else {
            Verdict::Open
        }
    }

    /// Returns the logarithm of the likelihood ratio of share `fault` against share `usual`.
    fn ratio(&self, new: &Count, usual: f64, fault: f64) -> f64 {
        let hits = self.hits(new) as f64;
        let rest = (new.requests as f64 - hits).max(0.0);
        hits * (fault / usual).ln() + rest * ((1.0 - fault) / (1.0 - usual)).ln()
    }

    /// Estimates the running version's share on the low and on the high side.
    ///
    /// The fault is counted from the low side and its absence from the high one, so that an
    /// estimate that is off by a standard error costs requests and not errors.
    /// Returns nothing if the running version itself fails nearly always.
    fn usual(&self, pair: &Pair) -> Option<(f64, f64)> {
        let recent = difference(&pair.old, &self.base_old);
        // The load may have changed since earlier rounds.
        let is_paired = recent.requests >= OLD_MIN;
        let old = if is_paired { recent } else { pair.old };
        let slack = match self.measure {
            Measure::Latency if !is_paired => UNPAIRED_SLACK,
            Measure::Latency | Measure::Failures => 1.0,
        };
        if old.requests < OLD_MIN {
            let assumed = match self.measure {
                Measure::Failures => FAILURES_ASSUMED,
                Measure::Latency => SLOW_ASSUMED,
            };
            return Some((assumed * slack, assumed * slack));
        }
        let requests = old.requests as f64;
        let share = (self.hits(&old) as f64 + 0.5) / (requests + 1.0);
        let error = (share * (1.0 - share) / requests).sqrt();
        let high = (share + error) * slack;
        (high <= USUAL_MAX).then_some(((share - error).max(0.0) * slack, high))
    }

    fn hits(&self, count: &Count) -> u64 {
        match self.measure {
            Measure::Failures => count.failures,
            Measure::Latency => count.slow,
        }
    }
}

fn difference(count: &Count, base: &Count) -> Count {
    Count {
        requests: count.requests.saturating_sub(base.requests),
        failures: count.failures.saturating_sub(base.failures),
        slow: count.slow.saturating_sub(base.slow),
    }
}
