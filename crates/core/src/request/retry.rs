//! Retry policy and retry budget for failed attempts.

use std::time::Duration;

/// Most attempts per request, including the first one.
pub const MAX_ATTEMPTS: u32 = 3;
/// Tokens added per request: the share of requests that may be retried after bytes were sent.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Most tokens that can accumulate, which bounds a burst of retries.
const MAX_TOKENS: f64 = 10.0;

/// Retry budget of one host; each request adds a fraction of a token and each retry takes one.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
}

/// Failed attempt, as far as it matters for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Number of attempts so far, including this one.
    pub number: u32,
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Whether any byte of the request may have been sent.
    pub sent: bool,
    /// Whether part of the caller's body was consumed; it cannot be sent again then.
    pub consumed: bool,
    /// Time until the deadline, or `None` if it has passed.
    pub left: Option<Duration>,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl Budget {
    /// Counts a new request and adds its fraction of a token to the budget.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Returns whether the request may be retried on another backend server.
    ///
    /// A retry takes a token, unless nothing was sent: such an attempt put no load on a backend
    /// server and is limited by [`MAX_ATTEMPTS`] alone.
    pub fn permits(&mut self, attempt: &Attempt) -> bool {
        if attempt.number >= MAX_ATTEMPTS || attempt.consumed || attempt.left.is_none() {
            return false;
        }
        if !attempt.sent {
            return true;
        }
        attempt.idempotent && self.try_take_token()
    }

    /// Takes a token for a retry or hedge of an idempotent request; `false` if none is left.
    pub fn try_take_token(&mut self) -> bool {
        let permitted = self.tokens >= 1.0;
        if permitted {
            self.tokens -= 1.0;
        }
        permitted
    }
}

#[cfg(test)]
mod tests;
