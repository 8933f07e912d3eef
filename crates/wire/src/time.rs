//! Monotonic instants and hybrid logical time.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Monotonic time in nanoseconds since the process started.
///
/// The type is not serializable, because instants of different processes cannot be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instant(u64);

impl Instant {
    /// Start of the process.
    pub const ZERO: Self = Self(0);

    /// Creates an instant from nanoseconds since the process started.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Creates an instant from milliseconds since the process started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Returns the nanoseconds since the process started.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX)),
        )
    }
}

/// Hybrid logical time: wall clock in milliseconds and a counter that preserves causal order.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{wall_ms}.{logical}")]
pub struct Stamp {
    /// Milliseconds since the Unix epoch; never less than in any stamp seen before.
    pub wall_ms: u64,
    /// Counter that orders events with the same `wall_ms`.
    pub logical: u32,
}

impl Stamp {
    /// Returns the stamp of the next local event when the wall clock shows `wall_ms`.
    #[must_use]
    pub fn tick(self, wall_ms: u64) -> Self {
        if wall_ms > self.wall_ms {
            Self {
                wall_ms,
                logical: 0,
            }
        } else {
            Self {
                wall_ms: self.wall_ms,
                logical: self.logical + 1,
            }
        }
    }

    /// Returns the stamp of the receipt of `other` when the wall clock shows `wall_ms`.
    #[must_use]
    pub fn merge(self, other: Self, wall_ms: u64) -> Self {
        self.max(other).tick(wall_ms)
    }
}
