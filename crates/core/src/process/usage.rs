//! Reports of the requests that servers began to run, for each workspace and window of time.
//!
//! Each host counts its own sends ([`Tally`]) and sends the counts to a few collectors ([`order`]),
//! which add them up ([`Ledger`]). One collector at a time writes the report of a window into a row of
//! the store and then sends it ([`Reporter`]). A report that may have been sent is therefore known to
//! each successor and never replaced by a different one.

mod action;
mod begin;
mod claims;
mod ledger;
pub mod order;
mod reporter;
mod row;
mod tally;

pub use action::{Action, Event, Moments, Read, Sent, View, Write};
pub use begin::{Attempt, End, begin};
pub use claims::{Claim, Claims};
pub use ledger::Ledger;
pub use reporter::Reporter;
pub use row::{Counts, Holder, Report, Row, Stored};
pub use tally::{Part, Tally};

use super::wall::{self, Time};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest time from the end of a window until its report is written.
///
/// Requests that began in the window have ended by then.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(5);
/// Least number of reports that the row keeps.
const MIN_KEPT_REPORTS: u32 = 4;

/// Number of windows beyond the present one that have counts.
///
/// Clocks differ, and a run may just have begun.
const MAX_AHEAD: u64 = 1;

/// Terms of the duty to report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// Length of a window; not zero.
    pub window: Duration,
    /// Time from the end of a window until its report is due.
    pub late: Duration,
    /// Time within which the duty must not return to a former holder.
    pub lease: Duration,
}

impl Setting {
    /// Returns the time from the end of a window until its report is written.
    pub fn settle_time(&self) -> Duration {
        MAX_SETTLE_TIME.min(self.late / 2)
    }

    /// Returns the number of reports that the row keeps: all that may still have to be sent.
    pub fn kept_reports(&self) -> usize {
        let window = self.window.as_secs_f64().max(0.001);
        let open = (2.0 * self.late.as_secs_f64() / window).ceil() as u32;
        open.max(MIN_KEPT_REPORTS) as usize
    }
}

/// Number of a window; window k begins k times the window's length after the Unix epoch.
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
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

impl Window {
    /// Returns the window that `time` is in.
    pub fn at(time: Time, setting: &Setting) -> Self {
        Self(time.0 / length_ms(setting))
    }

    /// Returns the last window of which there may be counts at `now`.
    fn last(now: Time, setting: &Setting) -> Self {
        Self(Self::at(now, setting).0 + MAX_AHEAD)
    }

    /// Returns the begin of the window.
    pub fn begin(self, setting: &Setting) -> Time {
        Time(self.0.saturating_mul(length_ms(setting)))
    }

    /// Returns the end of the window, which is the begin of the next one.
    pub fn end(self, setting: &Setting) -> Time {
        Self(self.0.saturating_add(1)).begin(setting)
    }

    /// Returns when the report of the window is due.
    pub fn due(self, setting: &Setting) -> Time {
        self.end(setting) + setting.late
    }
}

fn length_ms(setting: &Setting) -> u64 {
    wall::millis(setting.window).max(1)
}

#[cfg(test)]
mod tests;
