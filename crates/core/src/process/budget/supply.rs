//! Capacity of a workspace that a ledger divides between hosts.

use super::Floor;
use azurenotch_config::document::Contract;
use azurenotch_wire::{
    budget::Capacity,
    id::{Region, Workspace},
};
use std::collections::BTreeMap;

/// Capacity of one workspace at a ledger, and its limits by slot and region.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Supply {
    /// Floors and elastic capacity together.
    pub total: Capacity,
    /// Floors of the slots.
    pub floor: Floor,
    /// Largest fraction of the rate that a region may use; regions not listed may use all of it.
    pub regional_share: BTreeMap<Region, f64>,
}

impl Supply {
    /// Returns the supply of the fleet under a contract.
    pub fn from_contract(workspace: &Workspace, contract: &Contract, slots: u32) -> Self {
        Self {
            total: Capacity {
                rate: contract.rate,
                burst: contract.burst,
                concurrency: f64::from(contract.concurrency),
            },
            floor: Floor::new(workspace, contract, slots),
            regional_share: contract.regional_share.clone(),
        }
    }

    /// Returns the supply of a ledger that a higher ledger granted `capacity`; it has no floors.
    pub fn from_grant(capacity: Capacity) -> Self {
        Self {
            total: capacity,
            ..Self::default()
        }
    }

    /// Returns the elastic capacity while hosts may still use the floors of `former` supplies.
    ///
    /// The elastic capacity and any mixture of old and new floors sum to at most the largest total.
    pub fn elastic<'a>(&self, former: impl Iterator<Item = &'a Self> + Clone) -> Capacity {
        let slots = former
            .clone()
            .map(|supply| supply.floor.slots())
            .fold(self.floor.slots(), u32::max);
        let (mut floors, mut max_floors) = (Capacity::ZERO, Capacity::ZERO);
        for slot in 0..slots {
            let floor = self.floor.largest(slot);
            floors = floors.plus(floor);
            max_floors = max_floors.plus(
                former
                    .clone()
                    .fold(floor, |max, supply| max.max(supply.floor.largest(slot))),
            );
        }
        let largest = former.fold(self.total, |max, supply| max.max(supply.total));
        let mut elastic = self.total.minus(floors).min(largest.minus(max_floors));
        elastic.burst = elastic.burst.floor();
        elastic.concurrency = elastic.concurrency.floor();
        elastic
    }
}
