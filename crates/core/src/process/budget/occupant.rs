//! Host incarnations that occupy slots, as seen by a ledger.

use super::Timing;
use azurenotch_wire::{
    budget::{Capacity, Usage},
    id::{Incarnation, Region, Workspace},
    time::Instant,
};
use std::collections::BTreeMap;

/// Factor by which the recent peak of running requests decreases with each report.
const PEAK_DECAY_FACTOR: f64 = 0.9;

/// Host incarnation that occupies a slot, and what it last reported with the ledger's token.
#[derive(Debug, Clone)]
pub(super) struct Occupant {
    pub incarnation: Incarnation,
    pub region: Region,
    /// Time of the last report to this token; `None` after a takeover until the first one.
    pub last_report: Option<Instant>,
    /// Sequence of the last report.
    pub sequence: u64,
    pub leaving: bool,
    pub holdings: BTreeMap<Workspace, Holding>,
}

/// Usage of one workspace in one slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Holding {
    /// Upper limit of the elastic capacity that the host can use.
    pub used: Capacity,
    /// Reported requests per second.
    pub demand: f64,
    /// Recent peak of the running requests.
    pub running: f64,
}

/// Part of an occupant's capacity that its host can no longer use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lapsed {
    Nothing,
    /// Rate and burst; admitted requests may still run.
    Admission,
    Everything,
}

impl Occupant {
    pub fn new(incarnation: Incarnation, region: Region) -> Self {
        Self {
            incarnation,
            region,
            last_report: None,
            sequence: 0,
            leaving: false,
            holdings: BTreeMap::new(),
        }
    }

    /// Returns the part that has certainly lapsed by the host's own clock.
    ///
    /// `acquired` is the time at which the ledger acquired its lease.
    pub fn lapsed(&self, now: Instant, acquired: Instant, timing: &Timing) -> Lapsed {
        // A former holder may answer until `holdover` after its last renewal, which was before
        // `acquired`.
        let last = self.last_report.unwrap_or(acquired + timing.holdover);
        let admission = last + timing.grant_validity + timing.clock_margin;
        if now >= admission + timing.max_run_time {
            Lapsed::Everything
        } else if now >= admission {
            Lapsed::Admission
        } else {
            Lapsed::Nothing
        }
    }

    /// Returns whether the host takes part in the division by demand.
    pub const fn takes_part(&self) -> bool {
        self.last_report.is_some() && !self.leaving
    }

    /// Returns whether the host has no elastic capacity left that it could use.
    pub fn is_unused(&self) -> bool {
        self.holdings.values().all(|holding| holding.used.is_zero())
    }

    /// Applies one workspace's reported usage and returns the tokens that the host gave back.
    ///
    /// A report never raises `used`, because freed capacity had already lapsed at the host.
    /// Returned tokens are limited to the burst that this report gives up: burst that was freed
    /// earlier may have been granted to other hosts, whose buckets may have filled since.
    pub fn apply_usage(&mut self, workspace: &Workspace, usage: &Usage) -> f64 {
        let holding = self.holdings.entry(workspace.clone()).or_default();
        let before = holding.used;
        holding.used = before.min(usage.held);
        holding.demand = usage.demand.max(0.0);
        holding.running = usage.running.max(holding.running * PEAK_DECAY_FACTOR);
        usage.returned.clamp(0.0, before.burst - holding.used.burst)
    }
}
