//! Deadline of one request.

use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Point in time by which a request must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Returns the deadline of a request that arrived at `now`.
    ///
    /// `limit` is the route's timeout. `requested_ms` is the timeout that the caller asked for; it
    /// can shorten `limit` but not extend it.
    pub fn new(now: Instant, limit: Duration, requested_ms: Option<u64>) -> Self {
        let timeout = requested_ms.map_or(limit, |millis| Duration::from_millis(millis).min(limit));
        Self(now + timeout)
    }

    /// Returns the remaining time, or `None` once the deadline has passed.
    pub fn remaining(self, now: Instant) -> Option<Duration> {
        let remaining = self.0.since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the remaining time in whole milliseconds, as the deadline header carries it.
    pub fn remaining_ms(self, now: Instant) -> u64 {
        u64::try_from(self.0.since(now).as_millis()).unwrap_or(u64::MAX)
    }
}

#[cfg(test)]
mod tests;
