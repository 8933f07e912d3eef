//! When a connection counts as silent.

use azurenotch_wire::time::Instant;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Percentile of a backend server's latency after which a request is hedged.
const PERCENTILE: f64 = 0.99;
/// Shortest time before a request is hedged.
const HEDGE_MIN: Duration = Duration::from_millis(20);
/// Time before a request is hedged while the latency is not known.
const HEDGE_UNMEASURED: Duration = Duration::from_millis(500);
/// Time after which the percentile is renewed.
const WINDOW: Duration = Duration::from_secs(30);
/// Answers without which the percentile is not known.
const ANSWERS_MIN: u64 = 100;
const LONGEST_US: u64 = 3_600_000_000;
const DIGITS: u8 = 2;

/// Latency of one backend server, which tells a slow answer from a silent connection.
#[derive(Debug)]
pub struct Health {
    window: Histogram<u32>,
    started: Instant,
    percentile: Option<Duration>,
}

impl Health {
    /// Creates a record without measurements.
    ///
    /// # Panics
    ///
    /// Never: the bounds are constants that the histogram accepts.
    pub fn new(now: Instant) -> Self {
        Self {
            window: Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
                .expect("the bounds are valid"),
            started: now,
            percentile: None,
        }
    }

    /// Records the time to the header of an answer.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(LONGEST_US);
        self.window.saturating_record(micros.min(LONGEST_US));
        let is_due = self.percentile.is_none() || now.since(self.started) >= WINDOW;
        if is_due && self.window.len() >= ANSWERS_MIN {
            let micros = self.window.value_at_quantile(PERCENTILE);
            self.percentile = Some(Duration::from_micros(micros));
            self.window.reset();
            self.started = now;
        }
    }

    /// Returns the time without an answer after which a reused connection may be silent.
    pub fn hedge_after(&self) -> Duration {
        self.percentile
            .map_or(HEDGE_UNMEASURED, |latency| latency.max(HEDGE_MIN))
    }
}

#[cfg(test)]
mod tests;
