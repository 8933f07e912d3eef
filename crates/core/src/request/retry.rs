//! Whether a failed attempt may be retried.

use std::time::Duration;

/// Attempts of one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Share of requests that may be retried after bytes were sent.
const RETRY_SHARE: f64 = 0.1;
/// Largest number of retries that quiet time or many successes can save up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Retry budget of one host: each request adds a fraction of a token, each retry takes one.
#[derive(Debug, Clone)]
pub struct Retry {
    tokens: f64,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Number of attempts made so far, this one included.
    pub number: u32,
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Whether a byte of the request may have been written.
    pub sent: bool,
    /// Whether a part of the caller's body was consumed, so that it cannot be sent again.
    pub consumed: bool,
    /// Time left until the deadline.
    pub left: Option<Duration>,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            tokens: MAX_SAVED_RETRIES,
        }
    }
}

impl Retry {
    /// Counts a new request, which adds its fraction of a retry to the budget.
    pub fn begin(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(MAX_SAVED_RETRIES);
    }

    /// Returns whether the attempt may be repeated on another backend server.
    ///
    /// An attempt of which nothing was sent costs a backend server nothing, so it takes no token;
    /// it is bounded by [`MAX_ATTEMPTS`] alone.
    pub fn permits(&mut self, attempt: &Attempt) -> bool {
        if attempt.number >= MAX_ATTEMPTS || attempt.consumed || attempt.left.is_none() {
            return false;
        }
        if !attempt.sent {
            return true;
        }
        attempt.idempotent && self.hedge()
    }

    /// Returns whether an idempotent request may be sent a second time, and takes a token if so.
    pub fn hedge(&mut self) -> bool {
        let permitted = self.tokens >= 1.0;
        if permitted {
            self.tokens -= 1.0;
        }
        permitted
    }
}

#[cfg(test)]
mod tests;
