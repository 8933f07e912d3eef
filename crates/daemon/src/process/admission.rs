//! Admission by the host's share of each workspace's budget.

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

/// Shares of all workspaces at this host.
#[derive(Debug)]
pub struct Fleet {
    clock: Arc<dyn Clock>,
    shares: RwLock<Map<Workspace, Arc<Mutex<Share>>>>,
    seat: Mutex<Option<Seat>>,
}

/// Slot that the host holds, to which the floors belong.
#[derive(Debug, Clone, PartialEq)]
pub struct Seat {
    /// Number of the slot.
    pub slot: Slot,
    /// Region of the host.
    pub region: Region,
    /// End of the floors' validity.
    pub until: Instant,
}

impl Fleet {
    /// Creates an admission that refuses everything until it has contracts and a share.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            shares: RwLock::default(),
            seat: Mutex::default(),
        }
    }

    /// Sets the floors that belong to the host's slot, or removes them.
    pub fn set_seat(&self, now: Instant, seat: Option<Seat>, snapshot: &Snapshot) {
        *self.seat.lock() = seat;
        self.apply_floors(now, snapshot);
    }

    /// Applies a grant that the reporter accepted as usable until `until`.
    pub fn grant(&self, now: Instant, grant: &Grant, until: Instant) {
        for (workspace, share) in self.shares.read().iter() {
            share.lock().apply_grant(now, workspace, grant, until);
        }
    }

    /// Gives up all elastic shares before a planned stop.
    pub fn stop(&self, now: Instant) {
        for share in self.shares.read().values() {
            share.lock().release_elastic(now);
        }
    }

    /// Returns the usage of every workspace for the next report.
    pub fn usage(&self, now: Instant) -> Map<Workspace, Usage> {
        let shares = self.shares.read();
        let usage = shares
            .iter()
            .filter_map(|(workspace, share)| Some((workspace.clone(), share.lock().usage(now)?)));
        usage.collect()
    }

    /// Returns the usable rate and burst of every workspace.
    pub fn usable(&self, now: Instant) -> Vec<(Workspace, Capacity)> {
        let shares = self.shares.read();
        let mut usable = shares
            .iter()
            .map(|(workspace, share)| (workspace.clone(), share.lock().usable(now)))
            .collect::<Vec<_>>();
        usable.sort_by(|(a, _), (b, _)| a.cmp(b));
        usable
    }

    fn apply_floors(&self, now: Instant, snapshot: &Snapshot) {
        let seat = self.seat.lock().clone();
        let document = &snapshot.document;
        let shares = self.shares.read();
        for (workspace, contract) in &document.workspaces {
            let Some(share) = shares.get(workspace) else {
                continue;
            };
            // A host that lost its slot loses the floors with it: another host may hold them.
            let (floor, until) = seat.as_ref().map_or((Capacity::ZERO, now), |seat| {
                let floor = Floor::new(workspace, contract, document.fleet.slots);
                (floor.slot(seat.slot, &seat.region), seat.until)
            });
            share.lock().set_floor(now, floor, until);
        }
    }
}

impl Admission for Fleet {
    fn adopt(&self, now: Instant, snapshot: &Snapshot) {
        let contracts = &snapshot.document.workspaces;
        {
            let mut shares = self.shares.write();
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
        let share = self.shares.read().get(workspace).map(Arc::clone);
        // A key of a workspace without a contract has no rate at all.
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
