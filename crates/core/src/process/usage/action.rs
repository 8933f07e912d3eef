//! What the driver of the duty tells it, and what it is told to do.

use super::{Claims, Ledger, Report, Row, row::Stored};
use crate::process::wall::Time;
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Present time on the clocks of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moments {
    /// Steady clock, which may stop while the machine is suspended.
    pub steady: Instant,
    /// Clock that also counts the time during which the machine was suspended.
    pub boot: Instant,
    /// True time; `None` while it is unknown.
    pub time: Option<Time>,
}

/// What this host knows of the others.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Place of this host among the collectors ([`collectors`](super::order::collectors)), from 0.
    ///
    /// `None` if it is no collector; it is none any more as soon as it leaves.
    pub rank: Option<usize>,
    /// Highest era of the store that this host knows of; 0 if it knows none.
    pub era: u32,
    /// Claims of the other hosts.
    pub claims: &'a Claims,
    /// Counts of all hosts.
    pub ledger: &'a Ledger,
}

/// Next action of the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the row, and report the result with [`Reporter::on_read`](super::Reporter::on_read).
    Read,
    /// Write the row, and report the result with [`Reporter::on_write`](super::Reporter::on_write).
    Write {
        /// New content.
        row: Row,
        /// Version that the row must have, in the era of that version; `None` if there must be no
        /// row.
        expected_version: Option<u64>,
    },
    /// Send a report at once, and report the result with [`Reporter::on_sent`](super::Reporter::on_sent).
    ///
    /// The body must follow from the report alone. A caller that does not know the name of each of its
    /// workspaces reports [`Sent::Unanswered`] instead, as a body without them would be another report.
    Send {
        /// Report, to be sent exactly as it is.
        report: Report,
        /// Fencing token.
        token: u64,
    },
    /// Do nothing until this time on the steady clock; poll earlier if a round ends before.
    Wait(Instant),
}

/// Result of [`Action::Read`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// The store answered.
    Stored(Stored),
    /// The store did not answer, or the row cannot be decoded.
    Unavailable,
}

/// Result of [`Action::Write`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Write {
    /// The write took effect.
    Written {
        /// New version of the row.
        version: u64,
        /// Era of that version.
        era: u32,
        /// Clock of the store when it answered, if the answer names it.
        clock: Option<Duration>,
    },
    /// The row, or the store, has another version or era than expected.
    Conflict,
    /// The store refused the call, and nothing was written.
    Unavailable,
    /// The answer was lost; the write may have taken effect.
    Ambiguous,
}

/// Result of [`Action::Send`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// The report was accepted.
    Accepted,
    /// No answer arrived, or one that asks to come back; the report may have been accepted.
    Unanswered,
}

/// Progress of a report, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The duty was taken over.
    Acquired {
        /// New token.
        token: u64,
    },
    /// The report was written into the row.
    Written {
        /// Report.
        report: Report,
        /// Token of the write.
        token: u64,
    },
    /// The report was accepted.
    Accepted {
        /// Report.
        report: Report,
        /// Token of the send.
        token: u64,
    },
    /// The report is overdue and is not sent any more.
    GivenUp {
        /// Report.
        report: Report,
        /// Token of the last write.
        token: u64,
    },
}
