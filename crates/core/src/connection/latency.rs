//! Latency record of a backend server, from which the hedging delay follows.

use azurenotch_wire::time::Instant;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Quantile of a backend server's latency after which a request is hedged.
const HEDGE_QUANTILE: f64 = 0.99;
/// Shortest delay before a request is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);
/// Delay before a request is hedged while too few answers have been measured.
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(500);
/// Time after which the quantile is computed again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);
/// Fewest answers from which the quantile is computed.
const MIN_ANSWERS: u64 = 100;
const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latency of one backend server, used to distinguish a slow answer from a silent connection.
#[derive(Debug)]
pub struct Latency {
    window: Histogram<u32>,
    started: Instant,
    quantile: Option<Duration>,
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
            quantile: None,
        }
    }

    /// Records the time from sending a request to the header of its answer.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.window.saturating_record(micros.min(MAX_LATENCY_US));
        let is_due = self.quantile.is_none() || now.since(self.started) >= RENEWAL_INTERVAL;
        if is_due && self.window.len() >= MIN_ANSWERS {
            let micros = self.window.value_at_quantile(HEDGE_QUANTILE);
            self.quantile = Some(Duration::from_micros(micros));
            self.window.reset();
            self.started = now;
        }
    }

    /// Returns the time without an answer after which a request on a reused connection is hedged.
    pub fn hedge_delay(&self) -> Duration {
        self.quantile
            .map_or(DEFAULT_HEDGE_DELAY, |latency| latency.max(MIN_HEDGE_DELAY))
    }
}

#[cfg(test)]
mod tests;
