//! State of the holder of the `budget` role, which divides the elastic capacity.

use super::{
    Allocation, Supply, Timing, Write,
    division::Division,
    occupant::{Lapsed, Occupant},
    proposal::differs_beyond_rounding,
};
use azurenotch_wire::{
    Map,
    budget::{Capacity, Grant, Slot, Usage},
    id::{Incarnation, Workspace},
    time::Instant,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

/// Largest difference of two capacities that counts as a rounding error.
pub(super) const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Divides elastic capacity between hosts under one fencing token.
///
/// A ledger can also divide the grant of a higher ledger, for example that of the fleet between the
/// hosts of one data centre.
#[derive(Debug, Clone)]
pub struct Ledger {
    pub(super) token: u64,
    pub(super) timing: Timing,
    pub(super) acquired: Instant,
    /// Time at which the last successful renewal of the lease was sent.
    pub(super) renewed: Instant,
    pub(super) superseded: bool,
    pub(super) supplies: BTreeMap<Workspace, Supply>,
    /// Replaced supplies whose floors hosts may still use, each with the time until which they may.
    pub(super) former_supplies: Vec<(Instant, BTreeMap<Workspace, Supply>)>,
    pub(super) elastic: BTreeMap<Workspace, Capacity>,
    /// End of the grant that the supplies come from; `None` if they come from contracts.
    pub(super) supplies_until: Option<Instant>,
    pub(super) recorded: Allocation,
    pub(super) pending: Option<Pending>,
    /// Number of the last proposal.
    pub(super) number: u64,
    pub(super) occupants: BTreeMap<Slot, Occupant>,
    pub(super) divisions: BTreeMap<Workspace, Division>,
    /// Tokens returned by hosts; at most the elastic burst that is not in `burst_in_use`.
    pub(super) returned_tokens: BTreeMap<Workspace, f64>,
    /// Upper limit of the elastic burst that hosts can use.
    pub(super) burst_in_use: BTreeMap<Workspace, f64>,
    /// Factors that reduce recorded shares to a lowered supply while no division applies.
    pub(super) frozen_factors: Option<BTreeMap<Workspace, Capacity>>,
}

/// Proposal that has not been confirmed as recorded.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub allocation: Allocation,
    progress: Progress,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Writing,
    /// The same proposal has to be written again, because a lost write may still take effect.
    Retry,
    /// The row has to be read to learn whether it holds the proposal.
    OutcomeUnknown,
}

impl Ledger {
    /// Creates the ledger of a holder that acquired `token` at `now` and then read `recorded`.
    ///
    /// Every recorded share counts as in use until its host reports with this token or the share
    /// has lapsed.
    pub fn new(token: u64, timing: Timing, now: Instant, recorded: Allocation) -> Self {
        let mut ledger = Self {
            token,
            timing,
            acquired: now,
            renewed: now,
            superseded: false,
            supplies: BTreeMap::new(),
            former_supplies: Vec::new(),
            elastic: BTreeMap::new(),
            supplies_until: None,
            recorded,
            pending: None,
            number: 0,
            occupants: BTreeMap::new(),
            divisions: BTreeMap::new(),
            returned_tokens: BTreeMap::new(),
            burst_in_use: BTreeMap::new(),
            frozen_factors: None,
        };
        for (slot, entry) in &ledger.recorded.slots {
            let mut occupant = Occupant::new(entry.incarnation, entry.region.clone());
            for (workspace, share) in &entry.capacity {
                occupant.holdings.entry(workspace.clone()).or_default().used = *share;
                *ledger.burst_in_use.entry(workspace.clone()).or_default() += share.burst;
            }
            ledger.occupants.insert(*slot, occupant);
        }
        ledger
    }

    /// Returns the fencing token.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Returns the last allocation that was confirmed as recorded in the table.
    pub const fn allocation(&self) -> &Allocation {
        &self.recorded
    }

    /// Returns the incarnation that occupies `slot`, or `None` if the slot is free.
    pub fn incarnation(&self, slot: Slot) -> Option<Incarnation> {
        self.occupants
            .get(&slot)
            .map(|occupant| occupant.incarnation)
    }

    /// Records a successful renewal of the lease that was sent at `sent`.
    pub fn lease_renewed(&mut self, sent: Instant) {
        self.renewed = self.renewed.max(sent);
        self.frozen_factors = None;
    }

    /// Returns whether the lease is valid, so that shares may be moved between hosts.
    pub fn holds_lease(&self, now: Instant) -> bool {
        !self.superseded && now < self.renewed + self.timing.lease_validity
    }

    /// Returns whether the ledger may answer reports, with a valid lease or in holdover.
    pub fn accepts_reports(&self, now: Instant) -> bool {
        now < self.renewed + self.timing.holdover
    }

    /// Replaces the supplies by those of a new configuration.
    ///
    /// The floors of the former contracts stay reserved for [`Timing::holdover`] plus
    /// [`Timing::clock_margin`], because hosts may still use them.
    pub fn set_supplies(&mut self, now: Instant, supplies: BTreeMap<Workspace, Supply>) {
        if supplies == self.supplies {
            return;
        }
        let former = mem::replace(&mut self.supplies, supplies);
        if !former.is_empty() {
            let end = now + self.timing.holdover + self.timing.clock_margin;
            self.former_supplies.push((end, former));
        }
        self.recompute_elastic();
    }

    /// Replaces the supplies by a grant of the higher ledger, which is usable until `until`.
    pub fn apply_grant(&mut self, grant: &Grant, until: Instant) {
        self.supplies = grant
            .capacity
            .iter()
            .map(|(workspace, capacity)| (workspace.clone(), Supply::from_grant(*capacity)))
            .collect();
        self.supplies_until = Some(until);
        self.recompute_elastic();
        for (workspace, tokens) in &grant.tokens {
            self.add_returned_tokens(workspace, *tokens);
        }
    }

    /// Returns the usage that this ledger reports to the higher ledger.
    ///
    /// Recorded shares count as held, because a later holder of this role treats them as in use.
    pub fn usage(&self) -> Map<Workspace, Usage> {
        let mut usage: Map<Workspace, Usage> = Map::default();
        for (workspace, supply) in &self.supplies {
            usage.entry(workspace.clone()).or_default().held = supply.total;
        }
        let mut held: BTreeMap<&Workspace, Capacity> = BTreeMap::new();
        for (slot, workspaces) in self.reserved_workspaces() {
            for workspace in workspaces {
                let sum = held.entry(workspace).or_default();
                *sum = sum.plus(self.reserved_share(slot, workspace));
            }
        }
        for (workspace, sum) in held {
            let held = &mut usage.entry(workspace.clone()).or_default().held;
            *held = held.max(sum);
        }
        for (workspace, holding) in self
            .occupants
            .values()
            .flat_map(|occupant| &occupant.holdings)
        {
            let usage = usage.entry(workspace.clone()).or_default();
            usage.demand += holding.demand;
            usage.running += holding.running;
        }
        usage
    }

    /// Frees lapsed shares, divides by demand and returns the next allocation to write.
    ///
    /// The holder calls this about once a second, writes the result with the fencing token and
    /// passes the outcome to [`write_finished`](Self::write_finished). Returns `None` without a
    /// valid lease, if nothing changes, or while the last proposal is being written or its outcome
    /// is unknown.
    pub fn tick(&mut self, now: Instant) -> Option<Allocation> {
        self.free_lapsed(now);
        if !self.holds_lease(now) {
            return None;
        }
        self.frozen_factors = None;
        self.update_divisions(now);
        if let Some(pending) = &mut self.pending {
            let retry = pending.progress == Progress::Retry;
            return retry.then(|| {
                pending.progress = Progress::Writing;
                pending.allocation.clone()
            });
        }
        let slots = self.propose();
        if !differs_beyond_rounding(&self.recorded.slots, &slots) {
            return None;
        }
        self.number += 1;
        let allocation = Allocation {
            token: self.token,
            number: self.number,
            slots,
        };
        self.pending = Some(Pending {
            allocation: allocation.clone(),
            progress: Progress::Writing,
        });
        Some(allocation)
    }

    /// Records the outcome of writing the last proposal.
    pub fn write_finished(&mut self, outcome: Write) {
        self.frozen_factors = None;
        let Some(mut pending) = self.pending.take() else {
            return;
        };
        match outcome {
            Write::Done => {
                self.recorded = pending.allocation;
                return;
            }
            Write::Fenced => {
                self.superseded = true;
                pending.progress = Progress::OutcomeUnknown;
            }
            Write::Conflict | Write::Ambiguous => pending.progress = Progress::OutcomeUnknown,
            Write::Unavailable => pending.progress = Progress::Retry,
        }
        self.pending = Some(pending);
    }

    /// Returns whether the row must be read again before the next write.
    ///
    /// This is the case after a write whose outcome is unknown. The caller passes the row to
    /// [`resolve_write`](Self::resolve_write).
    pub fn must_reread(&self) -> bool {
        matches!(&self.pending, Some(pending) if pending.progress == Progress::OutcomeUnknown)
    }

    /// Resolves a write whose outcome was unknown from the content of the row.
    ///
    /// If the row does not hold the proposal, the same proposal is written again, because the lost
    /// write may still take effect.
    pub fn resolve_write(&mut self, row: &Allocation) {
        self.frozen_factors = None;
        if row.token > self.token {
            self.superseded = true;
        } else if let Some(mut pending) = self.pending.take() {
            if row.is_same_proposal(&pending.allocation) {
                self.recorded = pending.allocation;
            } else {
                pending.progress = Progress::Retry;
                self.pending = Some(pending);
            }
        }
    }

    /// Frees the shares that unreachable hosts can no longer use, and removes unused occupants.
    fn free_lapsed(&mut self, now: Instant) {
        if self.former_supplies.iter().any(|(end, _)| *end <= now) {
            self.former_supplies.retain(|(end, _)| *end > now);
            self.recompute_elastic();
        }
        if self.supplies_until.is_some_and(|until| until <= now) && !self.supplies.is_empty() {
            self.supplies.clear();
            self.recompute_elastic();
        }
        let mut lapsed_slots = Vec::new();
        for (slot, occupant) in &mut self.occupants {
            let lapsed = occupant.lapsed(now, self.acquired, &self.timing);
            if lapsed == Lapsed::Nothing {
                continue;
            }
            for holding in occupant.holdings.values_mut() {
                holding.demand = 0.0;
                holding.used.rate = 0.0;
                holding.used.burst = 0.0;
                if lapsed == Lapsed::Everything {
                    holding.used.concurrency = 0.0;
                }
            }
            lapsed_slots.push(*slot);
        }
        for slot in lapsed_slots {
            let unused = self.occupants.get(&slot).is_some_and(Occupant::is_unused);
            if unused && !self.has_reservation(slot) {
                self.occupants.remove(&slot);
            }
        }
        self.burst_in_use.clear();
        for (workspace, holding) in self
            .occupants
            .values()
            .flat_map(|occupant| &occupant.holdings)
        {
            match self.burst_in_use.get_mut(workspace) {
                Some(in_use) => *in_use += holding.used.burst,
                None => {
                    self.burst_in_use
                        .insert(workspace.clone(), holding.used.burst);
                }
            }
        }
    }

    /// Returns the elastic capacity of `workspace`.
    pub(super) fn elastic(&self, workspace: &Workspace) -> Capacity {
        self.elastic.get(workspace).copied().unwrap_or_default()
    }

    /// Returns the largest share that the table may hold for `slot`.
    pub(super) fn reserved_share(&self, slot: Slot, workspace: &Workspace) -> Capacity {
        let share = self.recorded.share(slot, workspace);
        self.pending.as_ref().map_or(share, |pending| {
            share.max(pending.allocation.share(slot, workspace))
        })
    }

    /// Returns whether the table may hold a share for `slot`.
    pub(super) fn has_reservation(&self, slot: Slot) -> bool {
        let pending = self.pending.as_ref().map(|pending| &pending.allocation);
        self.recorded.slots.contains_key(&slot)
            || pending.is_some_and(|allocation| allocation.slots.contains_key(&slot))
    }

    /// Returns, by slot, the workspaces of which the table may hold a share.
    fn reserved_workspaces(&self) -> impl Iterator<Item = (Slot, BTreeSet<&Workspace>)> {
        let mut entries: BTreeMap<Slot, BTreeSet<&Workspace>> = BTreeMap::new();
        let pending = self.pending.as_ref().map(|pending| &pending.allocation);
        for (slot, entry) in std::iter::once(&self.recorded)
            .chain(pending)
            .flat_map(|allocation| &allocation.slots)
        {
            entries
                .entry(*slot)
                .or_default()
                .extend(entry.capacity.keys());
        }
        entries.into_iter()
    }

    /// Adds returned tokens, limited to the elastic burst that no host can use.
    pub(super) fn add_returned_tokens(&mut self, workspace: &Workspace, tokens: f64) {
        let free = self.elastic(workspace).burst
            - self
                .burst_in_use
                .get(workspace)
                .copied()
                .unwrap_or_default();
        let returned = self.returned_tokens.entry(workspace.clone()).or_default();
        *returned = (*returned + tokens).min(free).max(0.0);
    }

    /// Recomputes the elastic capacity of all workspaces after a change of the supplies.
    fn recompute_elastic(&mut self) {
        self.frozen_factors = None;
        self.elastic = self
            .supplies
            .iter()
            .map(|(workspace, supply)| {
                let former = self
                    .former_supplies
                    .iter()
                    .filter_map(|(_, supplies)| supplies.get(workspace));
                (workspace.clone(), supply.elastic(former))
            })
            .collect();
        let workspaces: Vec<Workspace> = self.returned_tokens.keys().cloned().collect();
        for workspace in workspaces {
            self.add_returned_tokens(&workspace, 0.0);
        }
    }
}
