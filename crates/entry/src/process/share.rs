//! Shares of full services for the workspaces, from the demand that the quotas count.

use crate::{process::state::State, version::fleet::Fleet};
use azurenotch_core::request::share::Demand;
use azurenotch_wire::{hash::hash32, time::Instant};

impl State {
    /// Computes the shares in the services that refuse requests; does nothing if there is none.
    pub(super) fn update_shares(&self, now: Instant) {
        let is_due = |fleet: &Fleet| fleet.gate.shares.is_due(now);
        if !self.fleets.lock().values().any(is_due) {
            return;
        }
        let quotas = self.quotas.lock();
        let demands = quotas.iter().map(|(workspace, quota)| {
            let workspace = hash32(workspace.as_str());
            let (own, total) = (quota.own_demand(now), quota.total_demand(now));
            Demand {
                workspace,
                own,
                total,
                rate: quota.rate(),
            }
        });
        let demands: Vec<Demand> = demands.filter(|it| it.total > 0.0).collect();
        drop(quotas);
        for fleet in self.fleets.lock().values_mut() {
            if fleet.gate.shares.is_due(now) {
                fleet.gate.shares.update(now, &demands);
            }
        }
    }
}
