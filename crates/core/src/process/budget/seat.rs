//! A slot as the ledger sees it.

use super::Timing;
use azurenotch_wire::{
    budget::{Capacity, Usage},
    id::{Incarnation, Region, Workspace},
    time::Instant,
};
use std::collections::BTreeMap;

/// Factor by which the peak of running requests falls from one report to the next.
const PEAK_DECAY: f64 = 0.9;

/// State of one slot under the ledger's token.
#[derive(Debug, Clone)]
pub(super) struct Seat {
    pub incarnation: Incarnation,
    pub region: Region,
    /// Time of the last report to this token; `None` after a takeover until the first one.
    pub contact: Option<Instant>,
    pub sequence: u64,
    pub leaving: bool,
    pub cells: BTreeMap<Workspace, Cell>,
}

/// One workspace in one slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cell {
    /// Upper limit of the elastic capacity that the host can use.
    pub used: Capacity,
    pub demand: f64,
    /// Recent peak of the running requests.
    pub running: f64,
}

/// Part of a seat's capacity that its host cannot use any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lapsed {
    Nothing,
    /// Rate and burst; admitted requests may still run.
    Admission,
    Everything,
}

impl Seat {
    pub fn new(incarnation: Incarnation, region: Region) -> Self {
        Self {
            incarnation,
            region,
            contact: None,
            sequence: 0,
            leaving: false,
            cells: BTreeMap::new(),
        }
    }

    /// Returns what has lapsed by the host's own clock at the latest.
    pub fn lapsed(&self, now: Instant, taken: Instant, timing: &Timing) -> Lapsed {
        // A former holder may answer until `hold` after its last renewal, which precedes `taken`.
        let last = self.contact.unwrap_or(taken + timing.hold);
        let admission = last + timing.contact + timing.margin;
        if now >= admission + timing.drain {
            Lapsed::Everything
        } else if now >= admission {
            Lapsed::Admission
        } else {
            Lapsed::Nothing
        }
    }

    /// Returns whether the host takes part in the division by demand.
    pub const fn divides(&self) -> bool {
        self.contact.is_some() && !self.leaving
    }

    /// Returns whether the host can use no elastic capacity.
    pub fn unused(&self) -> bool {
        self.cells.values().all(|cell| cell.used.is_zero())
    }

    /// Takes over one workspace's reported usage and returns the tokens that were given back.
    ///
    /// Usage never rises by a report: what was freed had lapsed when the report arrived. Tokens
    /// count only as far as their burst was given up with them, because other buckets may have
    /// filled up in its place otherwise.
    pub fn report(&mut self, workspace: &Workspace, usage: &Usage) -> f64 {
        let cell = self.cells.entry(workspace.clone()).or_default();
        let before = cell.used;
        cell.used = before.min(usage.held);
        cell.demand = usage.demand.max(0.0);
        cell.running = usage.running.max(cell.running * PEAK_DECAY);
        usage.returned.clamp(0.0, before.burst - cell.used.burst)
    }
}
