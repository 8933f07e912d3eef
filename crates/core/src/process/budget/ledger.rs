//! Division of the elastic capacity by the holder of a role.

use super::{
    Allocation, Supply, Timing, Write,
    division::Division,
    proposal::changed,
    seat::{Lapsed, Seat},
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

/// Difference of two capacities that is rounding.
pub(super) const ROUNDING: f64 = 1e-9;

/// Division of elastic capacity under one fencing token.
#[derive(Debug, Clone)]
pub struct Ledger {
    pub(super) token: u64,
    pub(super) timing: Timing,
    pub(super) taken: Instant,
    pub(super) renewed: Instant,
    pub(super) superseded: bool,
    pub(super) supplies: BTreeMap<Workspace, Supply>,
    /// Supplies whose floors hosts may still use, with the end of that time.
    pub(super) former: Vec<(Instant, BTreeMap<Workspace, Supply>)>,
    pub(super) elastic: BTreeMap<Workspace, Capacity>,
    pub(super) until: Option<Instant>,
    pub(super) recorded: Allocation,
    pub(super) pending: Option<Pending>,
    pub(super) number: u64,
    pub(super) seats: BTreeMap<Slot, Seat>,
    pub(super) divisions: BTreeMap<Workspace, Division>,
    /// Returned tokens; never more than the burst that no host can use.
    pub(super) pool: BTreeMap<Workspace, f64>,
    /// Burst that hosts can use.
    pub(super) in_use: BTreeMap<Workspace, f64>,
    /// Factors that keep frozen shares within a lowered supply.
    pub(super) frozen: Option<BTreeMap<Workspace, Capacity>>,
}

/// Proposal that is not known to be recorded.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub allocation: Allocation,
    progress: Progress,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Writing,
    /// The same proposal is written again: a write that was lost may still take effect.
    Retry,
    Doubt,
}

impl Ledger {
    /// Creates the ledger of a holder that acquired `token` at `now` and then read `recorded`.
    ///
    /// Every recorded share counts as in use until its host reports to this token.
    pub fn new(token: u64, timing: Timing, now: Instant, recorded: Allocation) -> Self {
        let mut ledger = Self {
            token,
            timing,
            taken: now,
            renewed: now,
            superseded: false,
            supplies: BTreeMap::new(),
            former: Vec::new(),
            elastic: BTreeMap::new(),
            until: None,
            recorded,
            pending: None,
            number: 0,
            seats: BTreeMap::new(),
            divisions: BTreeMap::new(),
            pool: BTreeMap::new(),
            in_use: BTreeMap::new(),
            frozen: None,
        };
        for (slot, entry) in &ledger.recorded.slots {
            let mut seat = Seat::new(entry.incarnation, entry.region.clone());
            for (workspace, share) in &entry.capacity {
                seat.cells.entry(workspace.clone()).or_default().used = *share;
                *ledger.in_use.entry(workspace.clone()).or_default() += share.burst;
            }
            ledger.seats.insert(*slot, seat);
        }
        ledger
    }

    /// Returns the fencing token.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Returns the allocation that the table is known to hold.
    pub const fn allocation(&self) -> &Allocation {
        &self.recorded
    }

    /// Returns the incarnation whose shares the ledger keeps in `slot`.
    pub fn incarnation(&self, slot: Slot) -> Option<Incarnation> {
        self.seats.get(&slot).map(|seat| seat.incarnation)
    }

    /// Notes a successful renewal of the lease that was sent at `sent`.
    pub fn renewed(&mut self, sent: Instant) {
        self.renewed = self.renewed.max(sent);
        self.frozen = None;
    }

    /// Returns whether the lease holds, so that shares may move.
    pub fn leads(&self, now: Instant) -> bool {
        !self.superseded && now < self.renewed + self.timing.lease
    }

    /// Returns whether the ledger still answers reports, with a lease or in holdover.
    pub fn answers(&self, now: Instant) -> bool {
        now < self.renewed + self.timing.hold
    }

    /// Sets what is divided, from the contracts of a new configuration.
    ///
    /// Hosts may use the floors of the former contracts for `hold`.
    pub fn supply(&mut self, now: Instant, supplies: BTreeMap<Workspace, Supply>) {
        if supplies == self.supplies {
            return;
        }
        let former = mem::replace(&mut self.supplies, supplies);
        if !former.is_empty() {
            let end = now + self.timing.hold + self.timing.margin;
            self.former.push((end, former));
        }
        self.refresh();
    }

    /// Sets what is divided, from a grant of the ledger above that is usable until `until`.
    pub fn granted(&mut self, grant: &Grant, until: Instant) {
        self.supplies = grant
            .capacity
            .iter()
            .map(|(workspace, capacity)| (workspace.clone(), Supply::granted(*capacity)))
            .collect();
        self.until = Some(until);
        self.refresh();
        for (workspace, tokens) in &grant.tokens {
            self.deposit(workspace, *tokens);
        }
    }

    /// Returns the usage that a lower ledger reports to the ledger above.
    ///
    /// A recorded share counts as held: a later holder of this role treats it as in use.
    pub fn usage(&self) -> Map<Workspace, Usage> {
        let mut usage: Map<Workspace, Usage> = Map::default();
        for (workspace, supply) in &self.supplies {
            usage.entry(workspace.clone()).or_default().held = supply.total;
        }
        let mut held: BTreeMap<&Workspace, Capacity> = BTreeMap::new();
        for (slot, entry) in self.entries() {
            for workspace in entry {
                let sum = held.entry(workspace).or_default();
                *sum = sum.plus(self.reserved(slot, workspace));
            }
        }
        for (workspace, sum) in held {
            let held = &mut usage.entry(workspace.clone()).or_default().held;
            *held = held.max(sum);
        }
        for (workspace, cell) in self.seats.values().flat_map(|seat| &seat.cells) {
            let usage = usage.entry(workspace.clone()).or_default();
            usage.demand += cell.demand;
            usage.running += cell.running;
        }
        usage
    }

    /// Frees lapsed shares, divides by demand and returns the next allocation to write.
    ///
    /// Called about once a second. The result is written with the fencing token and the outcome is
    /// told to [`recorded`](Self::recorded).
    pub fn tick(&mut self, now: Instant) -> Option<Allocation> {
        self.expire(now);
        if !self.leads(now) {
            return None;
        }
        self.frozen = None;
        self.divide(now);
        if let Some(pending) = &mut self.pending {
            let retry = pending.progress == Progress::Retry;
            return retry.then(|| {
                pending.progress = Progress::Writing;
                pending.allocation.clone()
            });
        }
        let slots = self.propose();
        if !changed(&self.recorded.slots, &slots) {
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

    /// Notes the outcome of writing the last proposal.
    pub fn recorded(&mut self, outcome: Write) {
        self.frozen = None;
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
                pending.progress = Progress::Doubt;
            }
            Write::Conflict | Write::Ambiguous => pending.progress = Progress::Doubt,
            Write::Unavailable => pending.progress = Progress::Retry,
        }
        self.pending = Some(pending);
    }

    /// Returns whether the row has to be read again before anything else can be written.
    pub fn in_doubt(&self) -> bool {
        matches!(&self.pending, Some(pending) if pending.progress == Progress::Doubt)
    }

    /// Resolves a doubtful write with the content of the row.
    ///
    /// If the row does not hold the proposal, the same proposal is written again, because the lost
    /// write may still take effect.
    pub fn reread(&mut self, row: &Allocation) {
        self.frozen = None;
        if row.token > self.token {
            self.superseded = true;
        } else if let Some(mut pending) = self.pending.take() {
            if row.is(&pending.allocation) {
                self.recorded = pending.allocation;
            } else {
                pending.progress = Progress::Retry;
                self.pending = Some(pending);
            }
        }
    }

    /// Frees what silent hosts cannot use any more, and forgets empty seats.
    fn expire(&mut self, now: Instant) {
        if self.former.iter().any(|(end, _)| *end <= now) {
            self.former.retain(|(end, _)| *end > now);
            self.refresh();
        }
        if self.until.is_some_and(|until| until <= now) && !self.supplies.is_empty() {
            self.supplies.clear();
            self.refresh();
        }
        let mut silent = Vec::new();
        for (slot, seat) in &mut self.seats {
            let lapsed = seat.lapsed(now, self.taken, &self.timing);
            if lapsed == Lapsed::Nothing {
                continue;
            }
            for cell in seat.cells.values_mut() {
                cell.demand = 0.0;
                cell.used.rate = 0.0;
                cell.used.burst = 0.0;
                if lapsed == Lapsed::Everything {
                    cell.used.concurrency = 0.0;
                }
            }
            silent.push(*slot);
        }
        for slot in silent {
            let unused = self.seats.get(&slot).is_some_and(Seat::unused);
            if unused && !self.reserves(slot) {
                self.seats.remove(&slot);
            }
        }
        self.in_use.clear();
        for (workspace, cell) in self.seats.values().flat_map(|seat| &seat.cells) {
            match self.in_use.get_mut(workspace) {
                Some(in_use) => *in_use += cell.used.burst,
                None => {
                    self.in_use.insert(workspace.clone(), cell.used.burst);
                }
            }
        }
    }

    /// Returns the elastic part of `workspace`.
    pub(super) fn elastic(&self, workspace: &Workspace) -> Capacity {
        self.elastic.get(workspace).copied().unwrap_or_default()
    }

    /// Returns the share that the table may hold for `slot`.
    pub(super) fn reserved(&self, slot: Slot, workspace: &Workspace) -> Capacity {
        let share = self.recorded.share(slot, workspace);
        self.pending.as_ref().map_or(share, |pending| {
            share.max(pending.allocation.share(slot, workspace))
        })
    }

    /// Returns whether the table may hold a share for `slot`.
    pub(super) fn reserves(&self, slot: Slot) -> bool {
        let pending = self.pending.as_ref().map(|pending| &pending.allocation);
        self.recorded.slots.contains_key(&slot)
            || pending.is_some_and(|allocation| allocation.slots.contains_key(&slot))
    }

    /// Returns the workspaces that the table may hold for each slot.
    fn entries(&self) -> impl Iterator<Item = (Slot, BTreeSet<&Workspace>)> {
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

    /// Adds returned tokens, as far as there is burst that no host can use.
    pub(super) fn deposit(&mut self, workspace: &Workspace, tokens: f64) {
        let free =
            self.elastic(workspace).burst - self.in_use.get(workspace).copied().unwrap_or_default();
        let pool = self.pool.entry(workspace.clone()).or_default();
        *pool = (*pool + tokens).min(free).max(0.0);
    }

    /// Computes the elastic parts again.
    fn refresh(&mut self) {
        self.frozen = None;
        self.elastic = self
            .supplies
            .iter()
            .map(|(workspace, supply)| {
                let former = self
                    .former
                    .iter()
                    .filter_map(|(_, supplies)| supplies.get(workspace));
                (workspace.clone(), supply.elastic(former))
            })
            .collect();
        let workspaces: Vec<Workspace> = self.pool.keys().cloned().collect();
        for workspace in workspaces {
            self.deposit(&workspace, 0.0);
        }
    }
}
