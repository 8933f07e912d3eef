//! Admits requests within the host's share of each workspace's budget.

use crate::request::admission::{Admission, Permit, Result};
use azurenotch_config::{document::Route, snapshot::Snapshot};
use azurenotch_core::process::budget::{Floor, Share};
use azurenotch_wire::{
    Map,
    budget::{Capacity, Grant, Slot, Usage},
    id::{Region, Workspace},
    refusal::{Reason, Refusal},
    time::Instant,
};
use parking_lot::{Mutex, RwLock};
use std::sync::Arc;

use crate::request::clock::Clock;

/// This host's shares of the budgets of all workspaces.
#[derive(Debug)]
pub struct Shares {
    clock: Arc<dyn Clock>,
    by_workspace: RwLock<Map<Workspace, Arc<Mutex<Share>>>>,
    held_slot: Mutex<Option<HeldSlot>>,
}

/// Slot that the host holds, which entitles it to the slot's floors.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldSlot {
    /// Number of the slot.
    pub slot: Slot,
    /// Region of the host.
    pub region: Region,
    /// Time until which the floors are valid.
    pub until: Instant,
}

impl Shares {
    /// Creates an admission that refuses every request until it has contracts and a share.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            by_workspace: RwLock::default(),
            held_slot: Mutex::default(),
        }
    }

    /// Sets the floors of the held slot, or removes them if `held_slot` is `None`.
    pub fn set_held_slot(&self, now: Instant, held_slot: Option<HeldSlot>, snapshot: &Snapshot) {
        *self.held_slot.lock() = held_slot;
        self.apply_floors(now, snapshot);
    }

    /// Applies a grant that the reporter accepted; it is usable until `until`.
    pub fn grant(&self, now: Instant, grant: &Grant, until: Instant) {
        for (workspace, share) in self.by_workspace.read().iter() {
            share.lock().apply_grant(now, workspace, grant, until);
        }
    }

    /// Releases all elastic shares, before a planned stop or when the slot changes.
    pub fn release_elastic(&self, now: Instant) {
        for share in self.by_workspace.read().values() {
            share.lock().release_elastic(now);
        }
    }

    /// Returns the usage of every workspace for the next report.
    pub fn usage(&self, now: Instant) -> Map<Workspace, Usage> {
        let shares = self.by_workspace.read();
        let usage = shares
            .iter()
            .filter_map(|(workspace, share)| Some((workspace.clone(), share.lock().usage(now)?)));
        usage.collect()
    }

    /// Returns the usable rate and burst of every workspace.
    pub fn usable(&self, now: Instant) -> Vec<(Workspace, Capacity)> {
        let shares = self.by_workspace.read();
        let mut usable = shares
            .iter()
            .map(|(workspace, share)| (workspace.clone(), share.lock().usable(now)))
            .collect::<Vec<_>>();
        usable.sort_by(|(a, _), (b, _)| a.cmp(b));
        usable
    }

    fn apply_floors(&self, now: Instant, snapshot: &Snapshot) {
        let held_slot = self.held_slot.lock().clone();
        let document = &snapshot.document;
        let shares = self.by_workspace.read();
        for (workspace, contract) in &document.workspaces {
            let Some(share) = shares.get(workspace) else {
                continue;
            };
            // Without the slot the floors are zero, because another host may hold it by now.
            let (floor, until) = held_slot
                .as_ref()
                .map_or((Capacity::ZERO, now), |held_slot| {
                    let floor = Floor::new(workspace, contract, document.fleet.slots);
                    (
                        floor.slot(held_slot.slot, &held_slot.region),
                        held_slot.until,
                    )
                });
            share.lock().set_floor(now, floor, until);
        }
    }
}

impl Admission for Shares {
    fn adopt(&self, now: Instant, snapshot: &Snapshot) {
        let contracts = &snapshot.document.workspaces;
        {
            let mut shares = self.by_workspace.write();
            // Running requests keep their share alive through their permits.
            shares.retain(|workspace, _| contracts.contains_key(workspace));
            for workspace in contracts.keys() {
                shares
                    .entry(workspace.clone())
                    .or_insert_with(|| Arc::new(Mutex::new(Share::new(now))));
            }
        }
        self.apply_floors(now, snapshot);
    }

    fn admit(&self, now: Instant, workspace: &Workspace, _route: &Route) -> Result<Permit> {
        let share = self.by_workspace.read().get(workspace).map(Arc::clone);
        // A workspace without a contract has no budget.
        let share = share.ok_or(Refusal::not_run(Reason::Rate))?;
        share
            .lock()
            .admit(now)
            .map_err(|refused| Refusal::not_run(refused.reason).retry_after(refused.retry_after))?;
        Ok(Permit::new(Running {
            share,
            clock: Arc::clone(&self.clock),
        }))
    }
}

/// One running request of a workspace.
struct Running {
    share: Arc<Mutex<Share>>,
    clock: Arc<dyn Clock>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.share.lock().finish(self.clock.now());
    }
}

#[cfg(test)]
mod tests;
