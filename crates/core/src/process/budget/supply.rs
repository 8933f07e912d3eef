//! Capacity of a workspace that a ledger divides.

use super::Floor;
use azurenotch_config::document::Contract;
use azurenotch_wire::{
    budget::Capacity,
    id::{Region, Workspace},
};
use std::collections::BTreeMap;

/// What a ledger may divide of one workspace.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Supply {
    /// Floors and elastic part together.
    pub total: Capacity,
    /// Floors of the slots.
    pub floor: Floor,
    /// Largest part of the rate that a region may use; other regions may use all of it.
    pub regions: BTreeMap<Region, f64>,
}

impl Supply {
    /// Returns the supply of the fleet under a contract.
    pub fn contract(workspace: &Workspace, contract: &Contract, slots: u32) -> Self {
        Self {
            total: Capacity {
                rate: contract.rate,
                burst: contract.burst,
                concurrency: f64::from(contract.concurrency),
            },
            floor: Floor::new(workspace, contract, slots),
            regions: contract.regional_share.clone(),
        }
    }

    /// Returns the supply of a lower ledger that was granted `capacity`, without floors.
    pub fn granted(capacity: Capacity) -> Self {
        Self {
            total: capacity,
            ..Self::default()
        }
    }

    /// Returns the elastic part while hosts may still use the floors of `former` supplies.
    ///
    /// The elastic part and any mixture of floors sum to at most the largest of the totals.
    pub fn elastic<'a>(&self, former: impl Iterator<Item = &'a Self> + Clone) -> Capacity {
        let slots = former
            .clone()
            .map(|supply| supply.floor.slots())
            .fold(self.floor.slots(), u32::max);
        let (mut floors, mut mixed) = (Capacity::ZERO, Capacity::ZERO);
        for slot in 0..slots {
            let floor = self.floor.largest(slot);
            floors = floors.plus(floor);
            mixed = mixed.plus(
                former
                    .clone()
                    .fold(floor, |most, supply| most.max(supply.floor.largest(slot))),
            );
        }
        let largest = former.fold(self.total, |most, supply| most.max(supply.total));
        let mut elastic = self.total.minus(floors).min(largest.minus(mixed));
        elastic.burst = elastic.burst.floor();
        elastic.concurrency = elastic.concurrency.floor();
        elastic
    }
}
