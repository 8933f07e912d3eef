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
mod tests {
    use super::*;

    #[test]
    fn caller_can_only_shorten_the_timeout() {
        let route = Duration::from_secs(2);
        let start = Instant::from_millis(100);
        let left = |wanted| Deadline::new(start, route, wanted).left(start);
        assert_eq!(left(None), Some(route));
        assert_eq!(left(Some(500)), Some(Duration::from_millis(500)));
        assert_eq!(left(Some(60_000)), Some(route));
        assert_eq!(left(Some(0)), None);
    }

    #[test]
    fn no_time_is_left_after_the_deadline() {
        let deadline = Deadline::new(Instant::ZERO, Duration::from_millis(10), None);
        assert_eq!(deadline.left(Instant::from_millis(10)), None);
        assert_eq!(deadline.header(Instant::from_millis(4)), 6);
    }
}
