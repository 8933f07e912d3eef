//! Shares of a full service for the workspaces that ask for it.
//!
//! Load pattern: a few large workspaces ask for more than a service can serve, and requests of
//! small ones are refused in the same proportion. Shares are max-min fair: no workspace gets more
//! than it asks for, and what is left is divided by the weights of those that ask for more. The
//! requests beyond a workspace's share leave room for the others: they are sent only to servers
//! with a short queue. Unused capacity thus serves them at once. As long as a service refuses
//! nothing, there are no shares.

use super::returning::{Caller, Recent};
use azurenotch_wire::{Map, time::Instant};
use std::time::Duration;

/// Time between two computations of the shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Requests refused lately from which a service counts as full.
const MIN_REFUSED: f64 = 1.0;
/// Requests of a workspace that count as asking for the service as often as those of all do.
///
/// A host sees few requests of a small workspace, so their distribution over services is uncertain.
const PRIOR_REQUESTS: f64 = 4.0;
/// Part of a share that returning callers get before first-time ones.
const RETURNING_PART: f64 = 0.5;

/// Demand of a workspace for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Requests per second.
    pub demand: f64,
    /// Weight by which capacity is divided.
    pub weight: f64,
}

/// Demand of a workspace for all services.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Hash of its name.
    pub workspace: u32,
    /// Requests per second at this host.
    pub own: f64,
    /// Requests per second at all hosts.
    pub total: f64,
    /// Requests per second of its contract; not positive without one.
    pub rate: f64,
}

/// Whether a request lies within the share of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Standing {
    /// It does, or the service is not full.
    #[default]
    Within,
    /// Its workspace asks for more than its share, and the request is part of the rest.
    Beyond,
}

impl Standing {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Within => "within",
            Self::Beyond => "beyond",
        }
    }
}

/// Returns the max-min fair shares of `capacity`, in the order of the claims.
pub fn divide(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let need = |index: &usize| claims[*index].demand / claims[*index].weight;
    order.sort_by(|one, other| need(one).total_cmp(&need(other)));
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut left = capacity;
    let mut shares = vec![0.0; claims.len()];
    for index in order {
        let Claim { demand, weight } = claims[index];
        let share = demand.min(left * weight / weights.max(f64::MIN_POSITIVE));
        shares[index] = share.max(0.0);
        left -= share;
        weights -= weight;
    }
    shares
}

/// Shares of the workspaces in one service, as one host reckons them.
#[derive(Debug, Default)]
pub struct Shares {
    asked: Recent,
    /// Answers of servers.
    answered: Recent,
    refused: Recent,
    /// Requests of returning callers.
    returning: Recent,
    /// Requests at this host by workspace.
    asked_by: Map<u32, Recent>,
    /// Part of the demand that lies within the share, for workspaces that ask for more.
    parts: Map<u32, f64>,
    updated: Option<Instant>,
}

impl Shares {
    /// Returns whether the service refuses requests, so that shares apply.
    pub fn is_full(&self, now: Instant) -> bool {
        self.refused.value(now) >= MIN_REFUSED
    }

    /// Returns whether the shares have to be computed again.
    pub fn is_due(&self, now: Instant) -> bool {
        let recent = self
            .updated
            .is_some_and(|at| now.since(at) < UPDATE_INTERVAL);
        self.is_full(now) && !recent
    }

    /// Computes the shares from the demand of all workspaces.
    ///
    /// The capacity is the demand times the part of it that is answered at this host. What is
    /// admitted exceeds the capacity while queues grow.
    pub fn update(&mut self, now: Instant, demands: &[Demand]) {
        self.updated = Some(now);
        self.asked_by.retain(|_, asked| asked.value(now) >= 0.01);
        let claims = self.claims(now, demands);
        let total: f64 = claims.iter().map(|claim| claim.demand).sum();
        let answered = self.answered.value(now) / self.asked.value(now).max(f64::MIN_POSITIVE);
        let shares = divide(total * answered.min(1.0), &claims);
        let parts = demands.iter().zip(&claims).zip(shares);
        let parts = parts.filter(|((_, claim), share)| *share < claim.demand);
        let parts = parts.map(|((it, claim), share)| (it.workspace, share / claim.demand));
        self.parts = parts.collect();
    }

    /// Returns the demand for this service, and the weights.
    ///
    /// A workspace is assumed to ask for the service at all hosts as often as at this one.
    fn claims(&self, now: Instant, demands: &[Demand]) -> Vec<Claim> {
        let rate = |recent: &Recent| recent.rate(now);
        let own: f64 = demands.iter().map(|it| it.own).sum();
        let usual = (rate(&self.asked) / own.max(f64::MIN_POSITIVE)).min(1.0);
        let contracts = demands.iter().map(|it| it.rate).filter(|rate| *rate > 0.0);
        let count = contracts.clone().count();
        let equal = if count == 0 {
            1.0
        } else {
            contracts.sum::<f64>() / count as f64
        };
        let claim = |it: &Demand| {
            let asked = self.asked_by.get(&it.workspace).map_or(0.0, rate);
            let part = (asked + PRIOR_REQUESTS * usual) / (it.own + PRIOR_REQUESTS);
            let total = if it.rate > 0.0 {
                it.total.min(it.rate)
            } else {
                it.total
            };
            Claim {
                demand: total * part.min(1.0),
                weight: if it.rate > 0.0 { it.rate } else { equal },
            }
        };
        demands.iter().map(claim).collect()
    }

    /// Returns whether a workspace asks for more than its share of the full service.
    pub fn is_divided(&self, now: Instant) -> bool {
        self.is_full(now) && !self.parts.is_empty()
    }

    /// Returns the part of the workspace's requests that lies within its share; 1 if all do.
    pub fn part(&self, now: Instant, workspace: Option<u32>) -> f64 {
        let part = workspace.and_then(|workspace| self.parts.get(&workspace));
        part.copied().filter(|_| self.is_full(now)).unwrap_or(1.0)
    }

    /// Returns whether a request lies within the share; `random` is a random number in 0..1.
    ///
    /// Returning callers come first, up to half of the share.
    pub fn standing(
        &self,
        now: Instant,
        workspace: Option<u32>,
        caller: Caller,
        random: f64,
    ) -> Standing {
        let part = self.part(now, workspace);
        let asked = self.asked.value(now).max(f64::MIN_POSITIVE);
        let returning = (self.returning.value(now) / asked).clamp(0.0, 1.0);
        let precedence = (RETURNING_PART * part / returning.max(f64::MIN_POSITIVE)).min(1.0);
        let part = match caller {
            _ if part >= 1.0 => 1.0,
            Caller::Returning => precedence,
            Caller::First => {
                let rest = (1.0 - returning).max(f64::MIN_POSITIVE);
                (part - returning * precedence) / rest
            }
        };
        if random < part {
            Standing::Within
        } else {
            Standing::Beyond
        }
    }

    /// Records an answer of a server, which frees capacity.
    pub fn on_answer(&mut self, now: Instant) {
        self.answered.add(now, 1.0);
    }

    /// Records whether a request was admitted.
    pub fn record(&mut self, now: Instant, workspace: Option<u32>, caller: Caller, admitted: bool) {
        self.asked.add(now, 1.0);
        if caller == Caller::Returning {
            self.returning.add(now, 1.0);
        }
        if !admitted {
            self.refused.add(now, 1.0);
        }
        if let Some(workspace) = workspace {
            self.asked_by.entry(workspace).or_default().add(now, 1.0);
        }
    }
}

#[cfg(test)]
mod tests;
