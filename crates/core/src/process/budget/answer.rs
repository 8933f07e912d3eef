//! Answers to the reports of hosts.

use super::{Ledger, occupant::Occupant};
use azurenotch_wire::{
    Map,
    budget::{Capacity, Grant, Report, Slot, Usage},
    id::Workspace,
    time::Instant,
};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};

/// Why a report was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// The ledger has not renewed its lease for [`Timing::holdover`](super::Timing::holdover).
    #[snafu(display("the lease of token {token} was last renewed too long ago"))]
    TermExpired {
        /// Token of this ledger.
        token: u64,
    },
    /// The report carries the higher token of a later holder.
    #[snafu(display("token {token} was superseded by {latest}"))]
    Superseded {
        /// Token of this ledger.
        token: u64,
        /// Higher token in the report.
        latest: u64,
    },
    /// The report carries a lower token; the host has to report again with this ledger's token.
    #[snafu(display("the report carries a token below {token}"))]
    TokenNotAdopted {
        /// Token of this ledger.
        token: u64,
    },
    /// This or a later report of the same incarnation has already been answered.
    #[snafu(display("report {sequence} is not newer than the last answered report"))]
    Stale {
        /// Sequence of the report.
        sequence: u64,
    },
}

type Result<T> = std::result::Result<T, Rejection>;

impl Ledger {
    /// Records the usage in a report and returns the grant for its host.
    ///
    /// The grant is empty if the host is leaving or another incarnation still owns the slot.
    ///
    /// # Errors
    ///
    /// Returns an error if the report is rejected. A host without a new grant loses its elastic
    /// shares when its last grant lapses by its own clock.
    pub fn report(&mut self, now: Instant, report: &Report) -> Result<Grant> {
        let token = self.token;
        snafu::ensure!(self.accepts_reports(now), TermExpiredSnafu { token });
        let latest = report.token;
        snafu::ensure!(latest <= token, SupersededSnafu { token, latest });
        snafu::ensure!(latest == token, TokenNotAdoptedSnafu { token });
        let mut grant = Grant {
            token,
            sequence: report.sequence,
            capacity: Map::default(),
            tokens: Map::default(),
            regional: Vec::new(),
        };
        let Some(mut occupant) = self.occupant_for(report)? else {
            return Ok(grant);
        };
        occupant.last_report = Some(now);
        occupant.sequence = report.sequence;
        occupant.leaving = report.leaving;
        self.apply_usage(&mut occupant, report);
        if !report.leaving {
            self.fill_grant(now, report.slot, &mut occupant, report, &mut grant);
        }
        self.occupants.insert(report.slot, occupant);
        Ok(grant)
    }

    /// Returns the reporting incarnation as an occupant, or `None` if another one owns the slot.
    fn occupant_for(&mut self, report: &Report) -> Result<Option<Occupant>> {
        let sequence = report.sequence;
        if let Some(occupant) = self.occupants.get(&report.slot) {
            let same = occupant.incarnation == report.incarnation;
            let stale = same && occupant.last_report.is_some() && sequence <= occupant.sequence;
            snafu::ensure!(!stale, StaleSnafu { sequence });
            if same {
                return Ok(self.occupants.remove(&report.slot));
            }
            if !occupant.is_unused() || self.has_reservation(report.slot) {
                return Ok(None);
            }
        }
        Ok(Some(Occupant::new(
            report.incarnation,
            report.region.clone(),
        )))
    }

    /// Applies the usage in a report to the occupant and the sums of the ledger.
    ///
    /// A workspace that is not in the report is unused at the host.
    fn apply_usage(&mut self, occupant: &mut Occupant, report: &Report) {
        let unreported: Vec<Workspace> = occupant
            .holdings
            .keys()
            .filter(|workspace| !report.usage.contains_key(*workspace))
            .cloned()
            .collect();
        let no_usage = Usage::default();
        let usages = unreported
            .iter()
            .map(|workspace| (workspace, &no_usage))
            .chain(&report.usage);
        for (workspace, usage) in usages {
            let before = occupant
                .holdings
                .get(workspace)
                .map_or(0.0, |holding| holding.used.burst);
            let returned = occupant.apply_usage(workspace, usage);
            let after = occupant
                .holdings
                .get(workspace)
                .map_or(0.0, |holding| holding.used.burst);
            *self.burst_in_use.entry(workspace.clone()).or_default() += after - before;
            self.add_returned_tokens(workspace, returned);
        }
        for workspace in unreported {
            let kept = occupant
                .holdings
                .get(&workspace)
                .is_some_and(|holding| !holding.used.is_zero());
            if !kept && !self.divisions.contains_key(&workspace) {
                occupant.holdings.remove(&workspace);
            }
        }
    }

    /// Adds the shares and returned tokens that the host may use to `grant`.
    fn fill_grant(
        &mut self,
        now: Instant,
        slot: Slot,
        occupant: &mut Occupant,
        report: &Report,
        grant: &mut Grant,
    ) {
        // Hosts use a grant for `grant_validity`, which has to end before the supplies lapse.
        if self
            .supplies_until
            .is_some_and(|until| now + self.timing.grant_validity > until)
        {
            return;
        }
        let Some(entry) = self.recorded.slots.get(&slot) else {
            return;
        };
        if entry.incarnation != occupant.incarnation {
            return;
        }
        let workspaces: Vec<Workspace> = entry.capacity.keys().cloned().collect();
        for workspace in workspaces {
            let share = self.grantable(now, slot, &workspace);
            if share.is_zero() {
                continue;
            }
            let holding = occupant.holdings.entry(workspace.clone()).or_default();
            let before = holding.used;
            holding.used = before.max(share);
            let held = report
                .usage
                .get(&workspace)
                .map_or(0.0, |usage| usage.held.burst);
            let tokens = self
                .returned_tokens
                .get(&workspace)
                .map_or(0.0, |left| left.min((share.burst - held).max(0.0)));
            if tokens > 0.0 {
                grant.tokens.insert(workspace.clone(), tokens);
            }
            *self.burst_in_use.entry(workspace.clone()).or_default() +=
                holding.used.burst - before.burst;
            self.add_returned_tokens(&workspace, -tokens);
            let limited = self
                .divisions
                .get(&workspace)
                .map(|division| &division.limited);
            if limited.is_some_and(|limited| limited.contains(&occupant.region)) {
                grant.regional.push(workspace.clone());
            }
            grant.capacity.insert(workspace, share);
        }
    }

    /// Returns the share that `slot` may use now.
    ///
    /// While a proposal is pending, this is at most the smaller of the recorded and the proposed
    /// share.
    fn grantable(&mut self, now: Instant, slot: Slot, workspace: &Workspace) -> Capacity {
        let mut share = self.recorded.share(slot, workspace);
        if let Some(pending) = &self.pending {
            share = share.min(pending.allocation.share(slot, workspace));
        }
        // A host that reports to a new holder for the first time is in no division yet. It keeps
        // its recorded share; otherwise hosts would lose their shares at every takeover.
        let division = self.divisions.get(workspace);
        let wanted = division.and_then(|division| division.shares.get(&slot));
        if let Some(wanted) = wanted.filter(|_| self.holds_lease(now)) {
            return share.min(*wanted);
        }
        if self.frozen_factors.is_none() {
            self.frozen_factors = Some(self.reduction_factors());
        }
        let factors = self
            .frozen_factors
            .as_ref()
            .and_then(|factors| factors.get(workspace));
        factors.map_or(share, |factor| {
            share.zip(*factor, |share, factor| share * factor)
        })
    }

    /// Returns the factors, at most 1, that reduce the recorded shares to a lowered supply.
    fn reduction_factors(&self) -> BTreeMap<Workspace, Capacity> {
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
