//! Reports of a host to the ledger, and the check of the grants that answer them.

use super::Timing;
use azurenotch_wire::{
    Map,
    budget::{Grant, Report, Slot, Usage},
    id::{Host, Incarnation, Region, Workspace},
    time::Instant,
};

/// Numbers the reports of one host and checks the grants that answer them.
///
/// Only the answer to the latest report is accepted. The capacity that a report shows as held is
/// therefore the upper limit of what the host uses until the answer to that report arrives. Reports
/// must be created, and grants accepted and applied, in one task.
#[derive(Debug, Clone)]
pub struct Reporter {
    host: Host,
    incarnation: Incarnation,
    slot: Slot,
    region: Region,
    timing: Timing,
    token: u64,
    sequence: u64,
    /// Time at which the report that awaits its answer was created.
    awaiting_since: Option<Instant>,
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
            awaiting_since: None,
        }
    }

    /// Sets the last sequence number that was used by the process whose work this one continues.
    #[must_use]
    pub const fn continuing_after(mut self, sequence: u64) -> Self {
        self.sequence = sequence;
        self
    }

    /// Returns the highest fencing token that a report or an accepted grant carried.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Changes to another slot, after the host lost its claim to the former one.
    ///
    /// The host must give up its elastic shares first, with
    /// [`Share::release_elastic`](super::Share::release_elastic).
    pub const fn move_to_slot(&mut self, slot: Slot) {
        self.slot = slot;
        self.awaiting_since = None;
    }

    /// Creates the next report, addressed to the holder with `token`.
    ///
    /// From now on, answers to earlier reports and grants of lower tokens are rejected. `usage` is
    /// called afterwards, so that it includes every accepted grant.
    pub fn report(
        &mut self,
        now: Instant,
        token: u64,
        leaving: bool,
        usage: impl FnOnce() -> Map<Workspace, Usage>,
    ) -> Report {
        self.token = self.token.max(token);
        self.sequence += 1;
        self.awaiting_since = (!leaving).then_some(now);
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

    /// Checks a grant and returns the time until which it is usable.
    ///
    /// Returns `None` for a grant that is late, a duplicate or from a former holder; such a grant
    /// must not be applied.
    pub fn accept(&mut self, now: Instant, grant: &Grant) -> Option<Instant> {
        if grant.token < self.token || grant.sequence != self.sequence {
            return None;
        }
        let until = self.awaiting_since? + self.timing.grant_validity;
        self.token = grant.token;
        self.awaiting_since = None;
        (now < until).then_some(until)
    }
}
