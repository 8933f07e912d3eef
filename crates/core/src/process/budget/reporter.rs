//! A host's reports and the check of their answers.

use super::Timing;
use azurenotch_wire::{
    Map,
    budget::{Grant, Report, Slot, Usage},
    id::{Host, Incarnation, Region, Workspace},
    time::Instant,
};

/// Numbers the reports of one host and accepts their answers.
///
/// Only the answer to the latest report is accepted. What a report shows as held therefore stays
/// the upper limit of what the host uses until the answer to this very report arrives. Reports,
/// acceptance and application of grants have to happen in one task.
#[derive(Debug, Clone)]
pub struct Reporter {
    host: Host,
    incarnation: Incarnation,
    slot: Slot,
    region: Region,
    timing: Timing,
    token: u64,
    sequence: u64,
    sent: Option<Instant>,
}

impl Reporter {
    /// Creates the reporter of a host that claimed `slot`.
    pub const fn new(
        host: Host,
        incarnation: Incarnation,
        slot: Slot,
        region: Region,
        timing: Timing,
    ) -> Self {
        Self {
            host,
            incarnation,
            slot,
            region,
            timing,
            token: 0,
            sequence: 0,
            sent: None,
        }
    }

    /// Sets the first sequence number, for a reporter that continues the work of another process.
    #[must_use]
    pub const fn starting_at(mut self, sequence: u64) -> Self {
        self.sequence = sequence;
        self
    }

    /// Returns the highest fencing token seen.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Continues in another slot, after the claim of the former one was lost.
    ///
    /// The host gives up its elastic shares first, with [`Share::stop`](super::Share::stop).
    pub const fn claim(&mut self, slot: Slot) {
        self.slot = slot;
        self.sent = None;
    }

    /// Creates the next report, addressed to the holder with `token`.
    ///
    /// Answers to earlier reports and grants of lower tokens are rejected from now on. `usage` is
    /// called after that, so that it sees every grant that was accepted.
    pub fn report(
        &mut self,
        now: Instant,
        token: u64,
        leaving: bool,
        usage: impl FnOnce() -> Map<Workspace, Usage>,
    ) -> Report {
        self.token = self.token.max(token);
        self.sequence += 1;
        self.sent = (!leaving).then_some(now);
        Report {
            host: self.host.clone(),
            incarnation: self.incarnation,
            slot: self.slot,
            region: self.region.clone(),
            token: self.token,
            leaving,
            sequence: self.sequence,
            usage: usage(),
        }
    }

    /// Checks a grant and returns until when it is usable.
    ///
    /// Returns `None` for a grant that is late, duplicate or from a former holder; such a grant
    /// must not be applied.
    pub fn accept(&mut self, now: Instant, grant: &Grant) -> Option<Instant> {
        if grant.token < self.token || grant.sequence != self.sequence {
            return None;
        }
        let until = self.sent? + self.timing.contact;
        self.token = grant.token;
        self.sent = None;
        (now < until).then_some(until)
    }
}
