//! Capacity that belongs to a slot and that its host uses without a grant.

use azurenotch_config::document::Contract;
use azurenotch_wire::{
    budget::{Capacity, Slot},
    id::{Region, Workspace},
};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Fraction of the contract that is divided between the slots as floors.
pub const FLOOR_FRACTION: f64 = 0.25;

/// Floors of one workspace in all slots.
///
/// Burst and concurrency are divided in whole units, because a bucket that holds less than one
/// token never admits. Let `k` be the smallest of the number of slots, the whole units of burst and
/// the whole units of concurrency in the floor part. The first `k` slots have a floor: they share
/// the units evenly, where earlier slots take the remainder, and the rate is divided evenly between
/// them. The order starts at a slot derived from the workspace's name, so that small workspaces do
/// not all have their floors in the same slots. A contract with less than four units of burst or
/// concurrency has no floor and is entirely elastic, because a single unit that belongs to the slot
/// of a dead host could not be used.
///
/// In a region with a regional share, the floor's rate is multiplied by that share. The sum over
/// any set of slots in the region then stays within the regional share of the floor part.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Floor {
    slots: u32,
    /// Slot at which the order for this workspace starts.
    first_slot: u32,
    rate: f64,
    burst: u32,
    concurrency: u32,
    regional_share: BTreeMap<Region, f64>,
}

impl Floor {
    /// Computes the floors of `workspace` for a fleet with `slots` slots.
    pub fn new(workspace: &Workspace, contract: &Contract, slots: u32) -> Self {
        let digest = Sha256::digest(workspace.as_str());
        let start = u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]);
        Self {
            slots,
            first_slot: start % slots.max(1),
            rate: contract.rate * FLOOR_FRACTION,
            burst: (contract.burst * FLOOR_FRACTION) as u32,
            concurrency: (f64::from(contract.concurrency) * FLOOR_FRACTION) as u32,
            regional_share: contract.regional_share.clone(),
        }
    }

    /// Returns the floor of `slot` for a host in `region`.
    pub fn slot(&self, slot: Slot, region: &Region) -> Capacity {
        let mut floor = self.largest(slot);
        floor.rate *= self
            .regional_share
            .get(region)
            .map_or(1.0, |part| part.min(1.0));
        floor
    }

    /// Returns the floor of `slot` in a region without a regional share, which is its largest.
    pub fn largest(&self, slot: Slot) -> Capacity {
        let floor_slots = self.floor_slots();
        if slot >= self.slots || floor_slots == 0 {
            return Capacity::ZERO;
        }
        let position = (slot + self.slots - self.first_slot) % self.slots;
        if position >= floor_slots {
            return Capacity::ZERO;
        }
        let units =
            |total: u32| f64::from(total / floor_slots + u32::from(position < total % floor_slots));
        Capacity {
            rate: self.rate / f64::from(floor_slots),
            burst: units(self.burst),
            concurrency: units(self.concurrency),
        }
    }

    /// Returns the number of slots of the fleet.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of slots that have a floor.
    fn floor_slots(&self) -> u32 {
        self.slots.min(self.burst).min(self.concurrency)
    }
}
