//! Times on the host's monotonic clock that may be before the start of the process.

use azurenotch_wire::time::Instant;
use std::{ops::Sub, time::Duration};

/// Time in nanoseconds relative to the start of the process; negative before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(i128);

impl Moment {
    /// Returns the time since then, or zero if it is later than `now`.
    pub fn age(self, now: Instant) -> Duration {
        let nanos = (Self::from(now).0 - self.0).max(0);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the instant, or the start of the process if it is later.
    pub fn instant(self) -> Instant {
        Instant::from_nanos(u64::try_from(self.0.max(0)).unwrap_or(u64::MAX))
    }
}

impl From<Instant> for Moment {
    fn from(instant: Instant) -> Self {
        Self(i128::from(instant.as_nanos()))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0 - rhs.as_nanos().cast_signed())
    }
}
