//! Answers of a ledger to reports.

use super::{Ledger, seat::Seat};
use azurenotch_wire::{
    Map,
    budget::{Capacity, Grant, Report, Slot, Usage},
    id::Workspace,
    time::Instant,
};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};

/// Why a report is not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// The ledger's term is over: it has not renewed its lease for `hold`.
    #[snafu(display("the lease of token {token} was last renewed too long ago"))]
    Over {
        /// Token of this ledger.
        token: u64,
    },
    /// The host knows a holder with a higher token.
    #[snafu(display("token {token} was superseded by {known}"))]
    Superseded {
        /// Token of this ledger.
        token: u64,
        /// Token that the host knows.
        known: u64,
    },
    /// The host has not adopted this ledger's token; it reports again with it.
    #[snafu(display("the report is addressed to a token below {token}"))]
    Behind {
        /// Token of this ledger.
        token: u64,
    },
    /// A later report of the same incarnation was answered before.
    #[snafu(display("report {sequence} is older than the last one"))]
    Stale {
        /// Sequence of the report.
        sequence: u64,
    },
}

type Result<T> = std::result::Result<T, Rejection>;

impl Ledger {
    /// Answers a report.
    ///
    /// # Errors
    ///
    /// Returns why the report is not answered; the host's shares then lapse by its own clock.
    pub fn report(&mut self, now: Instant, report: &Report) -> Result<Grant> {
        let token = self.token;
        snafu::ensure!(self.answers(now), OverSnafu { token });
        let known = report.token;
        snafu::ensure!(known <= token, SupersededSnafu { token, known });
        snafu::ensure!(known == token, BehindSnafu { token });
        let mut grant = Grant {
            token,
            sequence: report.sequence,
            capacity: Map::default(),
            tokens: Map::default(),
            regional: Vec::new(),
        };
        let Some(mut seat) = self.seat(report)? else {
            return Ok(grant);
        };
        seat.contact = Some(now);
        seat.sequence = report.sequence;
        seat.leaving = report.leaving;
        self.take(&mut seat, report);
        if !report.leaving {
            self.give(now, report.slot, &mut seat, report, &mut grant);
        }
        self.seats.insert(report.slot, seat);
        Ok(grant)
    }

    /// Returns the seat of the reporting incarnation, or `None` if the slot is not free for it.
    fn seat(&mut self, report: &Report) -> Result<Option<Seat>> {
        let sequence = report.sequence;
        if let Some(seat) = self.seats.get(&report.slot) {
            let same = seat.incarnation == report.incarnation;
            let stale = same && seat.contact.is_some() && sequence <= seat.sequence;
            snafu::ensure!(!stale, StaleSnafu { sequence });
            if same {
                return Ok(self.seats.remove(&report.slot));
            }
            if !seat.unused() || self.reserves(report.slot) {
                return Ok(None);
            }
        }
        Ok(Some(Seat::new(report.incarnation, report.region.clone())))
    }

    /// Takes over the usage of a report.
    fn take(&mut self, seat: &mut Seat, report: &Report) {
        let unnamed: Vec<Workspace> = seat
            .cells
            .keys()
            .filter(|workspace| !report.usage.contains_key(*workspace))
            .cloned()
            .collect();
        let nothing = Usage::default();
        let usages = unnamed
            .iter()
            .map(|workspace| (workspace, &nothing))
            .chain(&report.usage);
        for (workspace, usage) in usages {
            let before = seat
                .cells
                .get(workspace)
                .map_or(0.0, |cell| cell.used.burst);
            let returned = seat.report(workspace, usage);
            let after = seat
                .cells
                .get(workspace)
                .map_or(0.0, |cell| cell.used.burst);
            *self.in_use.entry(workspace.clone()).or_default() += after - before;
            self.deposit(workspace, returned);
        }
        for workspace in unnamed {
            let kept = seat
                .cells
                .get(&workspace)
                .is_some_and(|cell| !cell.used.is_zero());
            if !kept && !self.divisions.contains_key(&workspace) {
                seat.cells.remove(&workspace);
            }
        }
    }

    /// Grants what is recorded and wanted.
    fn give(
        &mut self,
        now: Instant,
        slot: Slot,
        seat: &mut Seat,
        report: &Report,
        grant: &mut Grant,
    ) {
        // Hosts use a grant for `contact`, which has to end before the supply does.
        if self
            .until
            .is_some_and(|until| now + self.timing.contact > until)
        {
            return;
        }
        let Some(entry) = self.recorded.slots.get(&slot) else {
            return;
        };
        if entry.incarnation != seat.incarnation {
            return;
        }
        let workspaces: Vec<Workspace> = entry.capacity.keys().cloned().collect();
        for workspace in workspaces {
            let share = self.grantable(now, slot, &workspace);
            if share.is_zero() {
                continue;
            }
            let cell = seat.cells.entry(workspace.clone()).or_default();
            let before = cell.used;
            cell.used = before.max(share);
            let held = report
                .usage
                .get(&workspace)
                .map_or(0.0, |usage| usage.held.burst);
            let tokens = self
                .pool
                .get(&workspace)
                .map_or(0.0, |pool| pool.min((share.burst - held).max(0.0)));
            if tokens > 0.0 {
                grant.tokens.insert(workspace.clone(), tokens);
            }
            *self.in_use.entry(workspace.clone()).or_default() += cell.used.burst - before.burst;
            self.deposit(&workspace, -tokens);
            let limited = self
                .divisions
                .get(&workspace)
                .map(|division| &division.limited);
            if limited.is_some_and(|limited| limited.contains(&seat.region)) {
                grant.regional.push(workspace.clone());
            }
            grant.capacity.insert(workspace, share);
        }
    }

    /// Returns what `slot` may use now: never more than the table holds in any case.
    fn grantable(&mut self, now: Instant, slot: Slot, workspace: &Workspace) -> Capacity {
        let mut share = self.recorded.share(slot, workspace);
        if let Some(pending) = &self.pending {
            share = share.min(pending.allocation.share(slot, workspace));
        }
        // A host that reports to a new holder for the first time is not part of a division yet. It
        // keeps what is recorded; without it, every takeover would take the hosts' shares away.
        let division = self.divisions.get(workspace);
        let wanted = division.and_then(|division| division.shares.get(&slot));
        if let Some(wanted) = wanted.filter(|_| self.leads(now)) {
            return share.min(*wanted);
        }
        if self.frozen.is_none() {
            self.frozen = Some(self.factors());
        }
        let factors = self
            .frozen
            .as_ref()
            .and_then(|factors| factors.get(workspace));
        factors.map_or(share, |factor| {
            share.zip(*factor, |share, factor| share * factor)
        })
    }

    /// Returns the factors by which recorded shares exceed a lowered supply.
    fn factors(&self) -> BTreeMap<Workspace, Capacity> {
        let workspaces: BTreeSet<&Workspace> = self
            .recorded
            .slots
            .values()
            .flat_map(|entry| entry.capacity.keys())
            .collect();
        let factor = |elastic: f64, sum: f64| if sum > elastic { elastic / sum } else { 1.0 };
        workspaces
            .into_iter()
            .map(|workspace| {
                let sum = self.recorded.sum(workspace);
                (workspace.clone(), self.elastic(workspace).zip(sum, factor))
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
