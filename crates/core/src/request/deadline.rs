//! Deadline of one request.

use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Time after the deadline of a request for which a host still waits for the answer.
///
/// The same time was given to the server, which counts it from the arrival of the request, and the caller
/// counts it from its last byte. A host that gave up at the deadline would overtake both: the server's
/// own answer at the end of its time, and a caller that still waits.
pub const ANSWER_ALLOWANCE: Duration = Duration::from_millis(100);

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
