//! Capacity that belongs to a slot and needs no contact.

use azurenotch_config::document::Contract;
use azurenotch_wire::{
    budget::{Capacity, Slot},
    id::{Region, Workspace},
};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Part of the contract that is divided between slots as floors.
pub const FLOOR_PART: f64 = 0.25;

/// Floors of one workspace in all slots.
///
/// Burst and concurrency are dealt in whole units, because a bucket that holds less than one token
/// never admits. With `k` the smallest of the slots, the whole units of burst and the whole units
/// of concurrency in the floor part, the first `k` slots have a floor and share the units evenly;
/// earlier slots take the remainder. Rate is divided evenly between these `k` slots. The order
/// starts at a slot derived from the workspace's name, so that small workspaces favour different
/// slots. A contract with less than four units of burst or concurrency has no floor at all: its
/// whole capacity is elastic, since a single unit fixed to the slot of a dead host would be lost.
///
/// In a region with a regional share, the floor's rate is multiplied by that share. The sum over
/// any set of slots in the region then stays within the regional share of the floor part.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Floor {
    slots: u32,
    first: u32,
    rate: f64,
    burst: u32,
    concurrency: u32,
    regions: BTreeMap<Region, f64>,
}

impl Floor {
    /// Computes the floors of `workspace` for a fleet with `slots` slots.
    pub fn new(workspace: &Workspace, contract: &Contract, slots: u32) -> Self {
        let digest = Sha256::digest(workspace.as_str());
        let start = u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]);
        Self {
            slots,
            first: start % slots.max(1),
            rate: contract.rate * FLOOR_PART,
            burst: (contract.burst * FLOOR_PART) as u32,
            concurrency: (f64::from(contract.concurrency) * FLOOR_PART) as u32,
            regions: contract.regional_share.clone(),
        }
    }

    /// Returns the floor of `slot` for a host in `region`.
    pub fn slot(&self, slot: Slot, region: &Region) -> Capacity {
        let mut floor = self.largest(slot);
        floor.rate *= self.regions.get(region).map_or(1.0, |part| part.min(1.0));
        floor
    }

    /// Returns the floor of `slot` in a region without a regional share.
    pub fn largest(&self, slot: Slot) -> Capacity {
        let seats = self.seats();
        if slot >= self.slots || seats == 0 {
            return Capacity::ZERO;
        }
        let position = (slot + self.slots - self.first) % self.slots;
        if position >= seats {
            return Capacity::ZERO;
        }
        let units = |total: u32| f64::from(total / seats + u32::from(position < total % seats));
        Capacity {
            rate: self.rate / f64::from(seats),
            burst: units(self.burst),
            concurrency: units(self.concurrency),
        }
    }

    /// Returns the number of slots of the fleet.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    fn seats(&self) -> u32 {
        self.slots.min(self.burst).min(self.concurrency)
    }
}
