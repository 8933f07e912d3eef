//! Token bucket whose capacity is transferred between hosts.

use azurenotch_wire::{budget::Capacity, time::Instant};
use std::time::Duration;

/// Token bucket of one workspace at one host.
///
/// The bucket starts empty and additional capacity adds no tokens, so that hosts that join or
/// transfer capacity never admit more than the contract's rate and burst.
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
    /// Returns the time until a token is available, at most an hour, or `None` if the capacity
    /// never yields one: the rate is zero or the burst is below one token.
    pub fn take(&mut self, now: Instant) -> Result<(), Option<Duration>> {
        self.check(now)?;
        self.tokens -= 1.0;
        Ok(())
    }

    /// Checks whether a token is available, without taking it.
    ///
    /// # Errors
    ///
    /// As for [`take`](Self::take).
    pub fn check(&mut self, now: Instant) -> Result<(), Option<Duration>> {
        self.refill(now);
        if self.tokens >= 1.0 {
            return Ok(());
        }
        // A bucket with a burst below one token never admits a request, whatever its rate.
        let yields_token = self.rate > 0.0 && self.burst >= 1.0;
        Err(yields_token
            .then(|| Duration::from_secs_f64(((1.0 - self.tokens) / self.rate).min(3600.0))))
    }

    /// Sets the capacity, removes the tokens above the new burst and returns their number.
    pub fn resize(&mut self, now: Instant, capacity: &Capacity) -> f64 {
        self.refill(now);
        self.rate = capacity.rate;
        self.burst = capacity.burst;
        let surplus = (self.tokens - self.burst).max(0.0);
        self.tokens -= surplus;
        surplus
    }

    /// Adds tokens that another host returned, up to the burst.
    pub fn add(&mut self, now: Instant, tokens: f64) {
        self.refill(now);
        self.tokens = (self.tokens + tokens.max(0.0)).min(self.burst);
    }

    /// Removes up to `tokens` tokens and returns how many were removed.
    pub fn withdraw(&mut self, now: Instant, tokens: f64) -> f64 {
        self.refill(now);
        let removed = tokens.clamp(0.0, self.tokens);
        self.tokens -= removed;
        removed
    }

    /// Returns the tokens that are available at `now`.
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
mod tests;
