//! Latency threshold above which an answer counts as slow.

use azurenotch_wire::time::Instant;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Quantile of the running version's latency from which the threshold is derived.
const THRESHOLD_QUANTILE: f64 = 0.95;
/// Factor between the quantile and the threshold.
///
/// If the latencies of a version lie close together, an increase of a few percent makes many more
/// answers exceed the quantile itself. Without the factor, a good version was rolled back for being
/// 1 ms slower at 25 ms.
const THRESHOLD_FACTOR: f64 = 1.25;
/// Time after which the threshold is computed again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);
/// Fewest answers from which a threshold is computed.
const MIN_ANSWERS: u64 = 100;
const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latency of the running version on one route, with the threshold derived from it.
#[derive(Debug)]
pub struct Latency {
    window: Histogram<u32>,
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
            window: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid"),
            started: now,
            threshold_us: None,
        }
    }

    /// Records an answer of the running version.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        self.window.saturating_record(micros(latency));
        let is_first = self.threshold_us.is_none();
        let is_due = is_first || now.since(self.started) >= RENEWAL_INTERVAL;
        if is_due && self.window.len() >= MIN_ANSWERS {
            let quantile_us = self.window.value_at_quantile(THRESHOLD_QUANTILE) as f64;
            self.threshold_us = Some((quantile_us * THRESHOLD_FACTOR) as u64);
            self.window.reset();
            self.started = now;
        }
    }

    /// Returns whether an answer is slow; `false` while there is no threshold.
    pub fn is_slow(&self, latency: Duration) -> bool {
        self.threshold_us
            .is_some_and(|threshold| micros(latency) > threshold)
    }
}

fn micros(latency: Duration) -> u64 {
    u64::try_from(latency.as_micros())
        .unwrap_or(MAX_LATENCY_US)
        .clamp(1, MAX_LATENCY_US)
}

#[cfg(test)]
mod tests;
