//! Monotonic and wall-clock time.

use azurenotch_wire::time::Instant;
use rustix::time::{ClockId, clock_gettime};
use std::{
    fmt::Debug,
    time::{SystemTime, UNIX_EPOCH},
};

/// Source of monotonic and wall-clock time.
pub trait Clock: Debug + Send + Sync {
    /// Returns the current instant, relative to the start of the clock.
    fn now(&self) -> Instant;

    /// Returns the time of a clock that stands still while the machine is suspended.
    ///
    /// Its start is unrelated to that of [`Clock::now`]. A right that ends by either clock ends in
    /// time also if one of them is wrong.
    fn steady(&self) -> Instant {
        self.now()
    }

    /// Returns the milliseconds since the Unix epoch, for event stamps and the age of moves.
    fn wall_ms(&self) -> u64 {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Clock of the Tokio runtime, which follows paused time in tests.
#[derive(Debug, Clone, Copy)]
pub struct Monotonic {
    start: tokio::time::Instant,
}

impl Monotonic {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }
}

impl Default for Monotonic {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Instant {
        let nanos = self.start.elapsed().as_nanos();
        Instant::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}

/// Boot-time clock (`CLOCK_BOOTTIME`), which also advances while the machine is suspended.
///
/// After a suspension, a host must treat its state as out of date, because a key may have been
/// withdrawn in the meantime.
#[derive(Debug, Clone, Copy)]
pub struct Boot {
    start: u64,
}

impl Boot {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: nanos(ClockId::Boottime),
        }
    }
}

impl Default for Boot {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Boot {
    fn now(&self) -> Instant {
        Instant::from_nanos(nanos(ClockId::Boottime).saturating_sub(self.start))
    }

    fn steady(&self) -> Instant {
        Instant::from_nanos(nanos(ClockId::Monotonic))
    }
}

fn nanos(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000_000_000 + nanos
}

#[cfg(test)]
mod tests;
