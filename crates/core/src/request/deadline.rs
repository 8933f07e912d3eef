//! Deadline of one request.

use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Moment by which a request must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Returns the deadline of a request that arrived at `now`.
    ///
    /// `wanted` is the caller's own timeout in milliseconds; it can only shorten that of the route.
    pub fn new(now: Instant, route: Duration, wanted: Option<u64>) -> Self {
        let timeout = wanted.map_or(route, |millis| Duration::from_millis(millis).min(route));
        Self(now + timeout)
    }

    /// Returns the time left, or `None` if the deadline has passed.
    pub fn left(self, now: Instant) -> Option<Duration> {
        let left = self.0.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the value of the header that passes the deadline on, in whole milliseconds.
    pub fn header(self, now: Instant) -> u64 {
        u64::try_from(self.0.since(now).as_millis()).unwrap_or(u64::MAX)
    }
}

#[cfg(test)]
mod tests;
