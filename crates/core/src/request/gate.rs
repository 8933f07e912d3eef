//! Admission to one service: who may wait how long while it is full.
//!
//! Combines the shares of the workspaces and the precedence of returning callers with the wait that
//! [`admission`](super::admission) permits.

use super::{
    admission::{self, Allowance, Decision, Estimate},
    backlog::{Backlog, Refusal},
    returning::{Caller, Callers},
    share::{Shares, Standing},
};
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Who sent a request, as far as it matters for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Applicant {
    /// Hash of the workspace; `None` without one.
    pub workspace: Option<u32>,
    /// Whether the caller came for the first time.
    pub caller: Caller,
    /// Whether the request lies within the share of its workspace.
    pub standing: Standing,
}

/// Request as it comes.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Hash of the route.
    pub route: u32,
    /// Hash of the workspace; `None` without one.
    pub workspace: Option<u32>,
    /// Time left that the caller named; `None` without one.
    pub named: Option<Duration>,
}

/// Admission to one service at one host.
#[derive(Debug, Default)]
pub struct Gate {
    /// Shares of the workspaces while the service is full.
    pub shares: Shares,
    callers: Callers,
    backlog: Backlog,
}

impl Gate {
    /// Returns who sent a request; to be called once for each.
    ///
    /// `random` is a random number in 0..1.
    pub fn classify(&mut self, now: Instant, arrival: &Arrival, random: f64) -> Applicant {
        let Arrival {
            route,
            workspace,
            named,
        } = *arrival;
        let caller = self.callers.observe(route, named);
        Applicant {
            workspace,
            caller,
            standing: self.shares.standing(now, workspace, caller, random),
        }
    }

    /// Returns how long a request may wait, compared with others of its rank.
    pub fn allowance(&self, now: Instant, applicant: &Applicant) -> Allowance {
        if applicant.standing == Standing::Beyond {
            return Allowance::Shorter;
        }
        if !self.shares.is_divided(now) {
            return self.callers.allowance(now, applicant.caller);
        }
        let in_share = self.shares.part(now, applicant.workspace) >= 1.0;
        if in_share || applicant.caller == Caller::Returning {
            // A workspace that asks for less than its share is not refused because of others.
            Allowance::Longer
        } else {
            Allowance::Usual
        }
    }

    /// Records an answer of a server, which frees capacity.
    pub fn on_answer(&mut self, now: Instant, applicant: &Applicant) {
        self.shares.on_answer(now);
        self.backlog.on_answer(now, applicant.workspace);
    }

    /// Decides whether a request is sent, and records that; `random` is a random number in 0..1.
    pub fn decide(
        &mut self,
        now: Instant,
        applicant: &Applicant,
        estimate: &Estimate,
        random: f64,
    ) -> Decision {
        let until_admissible = admission::until_admissible(estimate);
        let admitted = until_admissible.is_none();
        self.callers.record(now, applicant.caller, admitted);
        self.shares
            .record(now, applicant.workspace, applicant.caller, admitted);
        let Some(until_admissible) = until_admissible else {
            return Decision::Send;
        };
        let work = estimate.expected.saturating_sub(estimate.wait);
        let refusal = Refusal {
            workspace: applicant.workspace,
            rank: estimate.rank,
            until_admissible: if work > estimate.left {
                // The work alone takes longer than the time that is left, now and later.
                until_admissible.max(estimate.left)
            } else {
                until_admissible
            },
            left: estimate.left,
        };
        Decision::Refuse(self.backlog.refuse(now, &refusal, random))
    }
}

#[cfg(test)]
mod tests;
