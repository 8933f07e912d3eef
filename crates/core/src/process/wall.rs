//! True time, from the times of day of all hosts.
//!
//! The time of day of a host may be off by seconds and may be stepped. The median over all reachable
//! hosts is right as long as most of them are.

use azurenotch_wire::{Map, id::Host, time::Instant};
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Milliseconds since the Unix epoch in true time.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(millis(rhs)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(millis(rhs)))
    }
}

/// Offset of the true time from this host's steady clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offset(i64);

impl Offset {
    /// Returns the true time at `now`.
    pub fn time(self, now: Instant) -> Time {
        Time(elapsed_ms(now).saturating_add_signed(self.0))
    }
}

/// Offsets of the times of day of the hosts from this host's steady clock.
///
/// The offset of a host comes from its last datagram. A host that is no longer reachable must be
/// removed with [`Clock::forget`]. If the steady clock stops while the machine is suspended, the time is
/// wrong after that until datagrams of half of the hosts have arrived.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    own: Option<i64>,
    others: Map<Host, i64>,
}

impl Clock {
    /// Records the time of day in a datagram of `host` that arrived at `now`.
    ///
    /// `half_rtt` is the expected time that the datagram was under way.
    pub fn observe(&mut self, host: &Host, now: Instant, reading_ms: u64, half_rtt: Duration) {
        let offset = offset(now, reading_ms.saturating_add(millis(half_rtt)));
        if let Some(known) = self.others.get_mut(host) {
            *known = offset;
        } else {
            self.others.insert(host.clone(), offset);
        }
    }

    /// Removes a host that is no longer reachable.
    pub fn forget(&mut self, host: &Host) {
        self.others.remove(host);
    }

    /// Records this host's own time of day.
    pub fn set_own(&mut self, now: Instant, reading_ms: u64) {
        self.own = Some(offset(now, reading_ms));
    }

    /// Returns the true time, or `None` before the first reading.
    pub fn time(&self, now: Instant) -> Option<Time> {
        self.offset().map(|offset| offset.time(now))
    }

    /// Returns the offset of the true time, or `None` before the first reading.
    ///
    /// Of two offsets in the middle, the mean counts. The time this takes grows with the number of hosts.
    pub fn offset(&self) -> Option<Offset> {
        let mut offsets: Vec<i64> = self.others.values().copied().chain(self.own).collect();
        let middle = offsets.len() / 2;
        if offsets.is_empty() {
            return None;
        }
        let is_even = offsets.len().is_multiple_of(2);
        let (below, median, _) = offsets.select_nth_unstable(middle);
        let lower = below.iter().max().filter(|_| is_even);
        let median = lower.map_or(*median, |lower| lower.midpoint(*median));
        Some(Offset(median))
    }
}

fn offset(now: Instant, reading_ms: u64) -> i64 {
    reading_ms.cast_signed() - elapsed_ms(now).cast_signed()
}

fn elapsed_ms(now: Instant) -> u64 {
    now.as_nanos() / 1_000_000
}

/// Returns a duration in milliseconds, the resolution of the time of day.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
