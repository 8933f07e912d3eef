//! Selects and orders the hosts that a look-up returns for a client address.

mod fleet;
mod table;

pub use fleet::{Fleet, Grade, Group, HostStatus};

use azurenotch_wire::{
    Map,
    id::Region,
    operator::{Choice, Lookup},
};
use ipnet::IpNet;
use rustc_hash::FxBuildHasher;
use std::{collections::BTreeMap, hash::BuildHasher, net::IpAddr, time::Duration};
use table::{NO_ORDER, OrderIndex, Table};

/// Maximum number of hosts of one region in an answer.
pub const MAX_REGION_HOSTS: usize = 4;
/// Maximum number of hosts in an answer.
pub const MAX_ANSWER_HOSTS: usize = 12;

/// Mean load of a region, 0 to 1, above which some callers get the next region first.
const SPILL_THRESHOLD_LOAD: f32 = 0.8;
/// Share of callers that get the next region first when a region has no capacity left.
///
/// It is below 1 because reported loads lag and callers cache answers, so that sending all callers
/// on would overload the next region.
const MAX_SPILL_SHARE: f32 = 0.5;

/// Look-up table of one configuration version.
#[derive(Debug)]
pub struct Steering {
    table: Table,
    /// Distinct orders of regions, to which the table refers by index.
    orders: Vec<Vec<Region>>,
    /// Order of regions for addresses outside all blocks.
    fallback: Vec<Region>,
}

impl Steering {
    /// Builds the table from address blocks; `fallback` is the order for all other addresses.
    pub fn new(blocks: &BTreeMap<IpNet, Vec<Region>>, fallback: Vec<Region>) -> Self {
        let mut orders = Vec::new();
        let mut indices = Map::<&[Region], OrderIndex>::default();
        let table = Table::new(blocks.iter().map(|(net, regions)| {
            let order = *indices.entry(regions).or_insert_with(|| {
                orders.push(regions.clone());
                orders.len() as OrderIndex - 1
            });
            (net, order)
        }));
        Self {
            table,
            orders,
            fallback,
        }
    }

    /// Returns the regions for a client address, best first.
    pub fn regions(&self, client: IpAddr) -> &[Region] {
        match self.table.get(client) {
            NO_ORDER => &self.fallback,
            order => &self.orders[order as usize],
        }
    }

    /// Returns the memory that the look-up table occupies, in bytes.
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }

    /// Returns the hosts for a client address, best first.
    ///
    /// Live hosts of the block's regions come first, then suspect ones. If there are none, the answer
    /// contains live and suspect hosts of other regions. If there are none either, it contains
    /// leaving hosts, and without these the unavailable ones. `lifetime` says how long callers may
    /// use the answer.
    pub fn choose(&self, client: IpAddr, fleet: &Fleet, lifetime: Duration) -> Lookup {
        let seed = FxBuildHasher.hash_one(client);
        let regions = self.regions(client);
        let mut hosts = Vec::new();
        for grades in [
            &[Grade::Live, Grade::Suspect][..],
            &[Grade::Leaving],
            &[Grade::Unavailable],
        ] {
            for grade in grades {
                add_regions(&mut hosts, fleet.groups(*grade), regions, seed);
            }
            if hosts.is_empty() {
                for group in grades.iter().flat_map(|grade| fleet.groups(*grade)) {
                    add_group(&mut hosts, group, seed);
                }
            }
            if !hosts.is_empty() {
                break;
            }
        }
        Lookup {
            lifetime_ms: u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX),
            hosts,
        }
    }
}

/// Adds the hosts of the block's regions in order; spilled callers get the first two swapped.
fn add_regions(hosts: &mut Vec<Choice>, groups: &[Group], regions: &[Region], seed: u64) {
    let mut listed = regions
        .iter()
        .filter_map(|region| groups.iter().find(|group| group.region == *region))
        .collect::<Vec<_>>();
    if let [first, second, ..] = listed[..]
        && second.load < first.load
        && is_spilled(first.load, seed)
    {
        listed.swap(0, 1);
    }
    for group in listed {
        add_group(hosts, group, seed);
    }
}

fn is_spilled(load: f32, seed: u64) -> bool {
    let share = ((load - SPILL_THRESHOLD_LOAD) / (1.0 - SPILL_THRESHOLD_LOAD)).clamp(0.0, 1.0)
        * MAX_SPILL_SHARE;
    // Uses the upper bits of the seed, because the lower ones select the hosts.
    ((seed >> 40) as f32) < share * (1_u32 << 24) as f32
}

/// Adds hosts of a group by descending weight; the seed spreads callers over larger groups.
fn add_group(hosts: &mut Vec<Choice>, group: &Group, seed: u64) {
    let count = MAX_REGION_HOSTS
        .min(MAX_ANSWER_HOSTS - hosts.len())
        .min(group.hosts.len());
    if count == 0 {
        return;
    }
    let start = (seed % group.hosts.len() as u64) as usize;
    let from = hosts.len();
    hosts.extend(group.hosts.iter().cycle().skip(start).take(count).cloned());
    hosts[from..].sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.host.cmp(&b.host)));
}

#[cfg(test)]
mod tests;
