//! Source of monotonic time.

use azurenotch_wire::time::Instant;
use std::fmt::Debug;

/// Source of monotonic time.
pub trait Clock: Debug + Send + Sync {
    /// Returns the present instant.
    fn now(&self) -> Instant;
}

/// Clock of the runtime, which follows paused time in tests.
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
