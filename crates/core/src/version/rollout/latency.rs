//! Slow threshold from the running version's latency.

use azurenotch_wire::time::Instant;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Percentile of the running version from which the threshold follows.
const PERCENTILE: f64 = 0.95;
/// Factor of the percentile above which an answer is slow.
///
/// Where the latencies of a version lie close together, a shift by a few percent makes many more
/// answers exceed the percentile itself: a good version was taken back for 1 ms of 25 ms.
const TOLERANCE: f64 = 1.25;
/// Time after which the threshold is renewed.
const WINDOW: Duration = Duration::from_secs(30);
/// Answers without which there is no threshold.
const ANSWERS_MIN: u64 = 100;
const LONGEST_US: u64 = 3_600_000_000;
const DIGITS: u8 = 2;

/// Latency of the running version on one route.
#[derive(Debug)]
pub struct Latency {
    current: Histogram<u32>,
    started: Instant,
    threshold_us: Option<u64>,
}

impl Latency {
    /// Creates an empty record.
    ///
    /// # Panics
    ///
    /// Never: the bounds are constants that the histogram accepts.
    pub fn new(now: Instant) -> Self {
        Self {
            current: Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
                .expect("the bounds are valid"),
            started: now,
            threshold_us: None,
        }
    }

    /// Records an answer of the running version.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        self.current.saturating_record(micros(latency));
        let is_first = self.threshold_us.is_none();
        let is_due = is_first || now.since(self.started) >= WINDOW;
        if is_due && self.current.len() >= ANSWERS_MIN {
            let usual = self.current.value_at_quantile(PERCENTILE) as f64;
            self.threshold_us = Some((usual * TOLERANCE) as u64);
            self.current.reset();
            self.started = now;
        }
    }

    /// Returns whether an answer is slow; none is while there is no threshold.
    pub fn is_slow(&self, latency: Duration) -> bool {
        self.threshold_us
            .is_some_and(|threshold| micros(latency) > threshold)
    }
}

fn micros(latency: Duration) -> u64 {
    u64::try_from(latency.as_micros())
        .unwrap_or(LONGEST_US)
        .clamp(1, LONGEST_US)
}

#[cfg(test)]
mod tests;
