//! Token bucket whose capacity moves between hosts.

use azurenotch_wire::{budget::Capacity, time::Instant};
use std::time::Duration;

/// Token bucket of one workspace at one host.
///
/// The bucket starts empty and growing capacity adds no tokens, so that no combination of joins
/// and moves admits more than the contract's rate and burst.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: Instant,
}

impl Bucket {
    /// Creates an empty bucket without capacity.
    pub const fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            tokens: 0.0,
            updated: now,
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is there, or `None` if the rate is zero.
    pub fn take(&mut self, now: Instant) -> Result<(), Option<Duration>> {
        self.check(now)?;
        self.tokens -= 1.0;
        Ok(())
    }

    /// Returns whether there is a token, without taking it.
    ///
    /// # Errors
    ///
    /// As for [`take`](Self::take).
    pub fn check(&mut self, now: Instant) -> Result<(), Option<Duration>> {
        self.refill(now);
        if self.tokens >= 1.0 {
            return Ok(());
        }
        // A bucket that holds less than one token never admits, whatever its rate.
        let fills = self.rate > 0.0 && self.burst >= 1.0;
        Err(fills.then(|| Duration::from_secs_f64(((1.0 - self.tokens) / self.rate).min(3600.0))))
    }

    /// Sets the capacity and returns the tokens that no longer fit.
    pub fn resize(&mut self, now: Instant, capacity: &Capacity) -> f64 {
        self.refill(now);
        self.rate = capacity.rate;
        self.burst = capacity.burst;
        let surplus = (self.tokens - self.burst).max(0.0);
        self.tokens -= surplus;
        surplus
    }

    /// Adds tokens that another host gave back, as far as they fit.
    pub fn add(&mut self, now: Instant, tokens: f64) {
        self.refill(now);
        self.tokens = (self.tokens + tokens.max(0.0)).min(self.burst);
    }

    /// Removes up to `tokens` and returns what was removed.
    pub fn withdraw(&mut self, now: Instant, tokens: f64) -> f64 {
        self.refill(now);
        let removed = tokens.clamp(0.0, self.tokens);
        self.tokens -= removed;
        removed
    }

    /// Returns the tokens held at `now`.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.updated = self.updated.max(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn capacity(rate: f64, burst: f64) -> Capacity {
        Capacity {
            rate,
            burst,
            concurrency: 0.0,
        }
    }

    #[test]
    fn a_new_bucket_has_no_burst() {
        let mut bucket = Bucket::new(Instant::ZERO);
        bucket.resize(Instant::ZERO, &capacity(10.0, 5.0));
        assert_eq!(
            bucket.take(Instant::ZERO),
            Err(Some(Duration::from_millis(100)))
        );
        assert_eq!(bucket.take(Instant::from_millis(100)), Ok(()));
    }

    #[test]
    fn never_admits_more_than_rate_and_burst() {
        let mut bucket = Bucket::new(Instant::ZERO);
        bucket.resize(Instant::ZERO, &capacity(10.0, 5.0));
        let admitted = (0..10_000)
            .filter(|millis| bucket.take(Instant::from_millis(60_000 + millis)).is_ok())
            .count();
        assert!(
            admitted <= 105,
            "admitted {admitted} in 10 s at 10/s with burst 5"
        );
        assert!(admitted >= 104, "admitted only {admitted}");
    }

    #[test]
    fn a_smaller_capacity_returns_surplus_tokens() {
        let mut bucket = Bucket::new(Instant::ZERO);
        bucket.resize(Instant::ZERO, &capacity(10.0, 8.0));
        let now = Instant::from_millis(10_000);
        assert!((bucket.resize(now, &capacity(1.0, 3.0)) - 5.0).abs() < 1e-9);
        assert!((bucket.tokens(now) - 3.0).abs() < 1e-9);
    }

    #[test]
    fn a_clock_that_steps_back_adds_nothing() {
        let mut bucket = Bucket::new(Instant::from_millis(5_000));
        bucket.resize(Instant::from_millis(5_000), &capacity(10.0, 5.0));
        assert!(bucket.tokens(Instant::from_millis(1_000)) < 1e-9);
        assert!(bucket.tokens(Instant::from_millis(5_000)) < 1e-9);
    }
}
