//! Sequential probability ratio test of the new version against the running one.

use azurenotch_wire::evidence::{Count, Measure, Pair};

/// Probability that a test of one route ever judges a good version bad.
pub const FALSE_ALARM: f64 = 0.001;
/// Probability that a test round judges a bad version good.
pub const MISS: f64 = 0.01;

/// Smallest increase of a share that counts as a fault.
const INCREASE_MIN: f64 = 0.02;
/// Requests that the running version is assumed to have had before, and their hits.
const ASSUMED_REQUESTS: f64 = 30.0;
const ASSUMED_FAILURES: f64 = 0.3;
const ASSUMED_SLOW: f64 = 1.5;
/// Requests of the running version in a round from which those of earlier rounds are left out.
const OLD_MIN: u64 = 50;
/// Requests to the new version per request to the running one above which the new one is alone.
const ALONE_RATIO: u64 = 20;
/// Factor of the usual share of slow answers while the new version is alone.
///
/// Without requests of the same moment to compare with, a busy host makes answers of either version
/// slow: a good version with 10 % slow answers was taken back at full share.
const UNPAIRED_SLACK: f64 = 4.0;
/// Steps of the search for the most likely share; each one halves the interval.
///
/// The interval has to end far below one over the number of requests. With 16 thirds it ended at
/// 0.0015, and a version without a single request was judged bad after 12,976 requests to the
/// running one.
const SEARCH_STEPS: usize = 40;
/// Shares this close to none or all are not searched.
const EDGE: f64 = 1e-9;

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
        let sample = self.sample(pair);
        let same = sample.best(0.0, 1.0, Line::SAME);
        // The smallest fault that counts, in the three ranges of the running version's share.
        let slight = sample
            .best(0.0, INCREASE_MIN, Line::INCREASED)
            .max(sample.best(INCREASE_MIN, 1.0 / 3.0, Line::DOUBLED))
            .max(sample.best(1.0 / 3.0, 1.0, Line::HALFWAY))
            - same;
        // A version that fails most requests shows after a few of them.
        let gross = sample.best(0.0, 1.0, Line::HALFWAY) - same;
        let alarm = self.alarm / (self.round * (self.round + 1.0)) / 2.0;
        if slight.max(gross) >= ((1.0 - MISS) / alarm).ln() {
            Verdict::Bad
        } else if slight <= (MISS / (1.0 - alarm)).ln() {
            self.round += 1.0;
            self.restart(pair);
            Verdict::Good
        } else {
            Verdict::Open
        }
    }

    fn sample(&self, pair: &Pair) -> Sample {
        let recent = difference(&pair.old, &self.base_old);
        // The load may have changed since earlier rounds.
        let old = if recent.requests >= OLD_MIN {
            recent
        } else {
            pair.old
        };
        let new = difference(&pair.new, &self.base);
        let is_alone = new.requests > ALONE_RATIO * recent.requests.max(1);
        let slack = match self.measure {
            Measure::Latency if is_alone => UNPAIRED_SLACK,
            Measure::Latency | Measure::Failures => 1.0,
        };
        let assumed = match self.measure {
            Measure::Failures => ASSUMED_FAILURES,
            Measure::Latency => ASSUMED_SLOW,
        };
        let old_requests = old.requests as f64 + ASSUMED_REQUESTS;
        let old_hits = (self.hits(&old) as f64 + assumed) * slack;
        Sample {
            old_hits: old_hits.min(old_requests),
            old_requests,
            new_hits: self.hits(&new) as f64,
            new_requests: new.requests as f64,
        }
    }

    fn hits(&self, count: &Count) -> u64 {
        match self.measure {
            Measure::Failures => count.failures,
            Measure::Latency => count.slow,
        }
    }
}

/// Counts of both versions.
#[derive(Debug)]
struct Sample {
    old_hits: f64,
    old_requests: f64,
    new_hits: f64,
    new_requests: f64,
}

impl Sample {
    /// Returns the largest log likelihood with the running version's share between `low` and
    /// `high` and the new version's share as `new` gives it.
    ///
    /// Both hypotheses use their own most likely share, so that the ratio accounts for the few
    /// requests that the running version may have had. The log likelihood is concave in the share,
    /// so the search halves the interval by the sign of its slope.
    fn best(&self, low: f64, high: f64, new: Line) -> f64 {
        let (mut low, mut high) = (low.max(EDGE), high.min(1.0 - EDGE));
        for _ in 0..SEARCH_STEPS {
            let share = f64::midpoint(low, high);
            let rise = slope(self.old_hits, self.old_requests, share)
                + new.factor * slope(self.new_hits, self.new_requests, new.at(share));
            if rise > 0.0 {
                low = share;
            } else {
                high = share;
            }
        }
        let share = f64::midpoint(low, high);
        log_likelihood(self.old_hits, self.old_requests, share)
            + log_likelihood(self.new_hits, self.new_requests, new.at(share))
    }
}

/// Share of the new version as a linear function of the running version's.
#[derive(Debug, Clone, Copy)]
struct Line {
    factor: f64,
    offset: f64,
}

impl Line {
    const SAME: Self = Self::new(1.0, 0.0);
    const INCREASED: Self = Self::new(1.0, INCREASE_MIN);
    const DOUBLED: Self = Self::new(2.0, 0.0);
    /// Half of the requests that do not hit with the running version.
    const HALFWAY: Self = Self::new(0.5, 0.5);

    const fn new(factor: f64, offset: f64) -> Self {
        Self { factor, offset }
    }

    fn at(self, share: f64) -> f64 {
        self.factor * share + self.offset
    }
}

/// Returns the slope of the log likelihood.
fn slope(hits: f64, requests: f64, share: f64) -> f64 {
    hits / share - (requests - hits).max(0.0) / (1.0 - share)
}

fn log_likelihood(hits: f64, requests: f64, share: f64) -> f64 {
    hits * share.ln() + (requests - hits).max(0.0) * (1.0 - share).ln()
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
