//! Order of hosts for a client address.

mod fleet;
mod table;

pub use fleet::{Fleet, Grade, Group, Site};

use azurenotch_wire::{
    Map,
    id::Region,
    operator::{Choice, Lookup},
};
use ipnet::IpNet;
use rustc_hash::FxBuildHasher;
use std::{collections::BTreeMap, hash::BuildHasher, net::IpAddr, time::Duration};
use table::{NONE, Order, Table};

/// Most hosts of one region in an answer.
pub const REGION_HOSTS: usize = 4;
/// Most hosts in an answer.
pub const ANSWER_HOSTS: usize = 12;

/// Mean load of a region from which some callers are sent to the next one first.
const SPILL_FROM: f32 = 0.8;
/// Share of callers that are sent on when the region is full; not all of them, because loads lag
/// and callers cache answers, so that the next region would be overloaded.
const SPILL_MAX: f32 = 0.5;

/// Look-up table of one configuration version.
#[derive(Debug)]
pub struct Steering {
    table: Table,
    /// Distinct region orders of the blocks.
    orders: Vec<Vec<Region>>,
    /// Order for addresses outside all blocks.
    fallback: Vec<Region>,
}

impl Steering {
    /// Builds the table of the blocks; `fallback` is the order for all other addresses.
    pub fn new(blocks: &BTreeMap<IpNet, Vec<Region>>, fallback: Vec<Region>) -> Self {
        let mut orders = Vec::new();
        let mut known = Map::<&[Region], Order>::default();
        let table = Table::new(blocks.iter().map(|(net, regions)| {
            let order = *known.entry(regions).or_insert_with(|| {
                orders.push(regions.clone());
                orders.len() as Order - 1
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
            NONE => &self.fallback,
            order => &self.orders[order as usize],
        }
    }

    /// Returns the bytes that the look-up table occupies.
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }

    /// Returns the hosts for a client address, best first.
    ///
    /// Live hosts of the block's regions come first, then suspect ones. If there are none, live
    /// and suspect hosts of other regions are given, and if there are none either, leaving hosts
    /// and then those that are out.
    pub fn choose(&self, client: IpAddr, fleet: &Fleet, lifetime: Duration) -> Lookup {
        let seed = FxBuildHasher.hash_one(client);
        let regions = self.regions(client);
        let mut hosts = Vec::new();
        for grades in [
            &[Grade::Live, Grade::Suspect][..],
            &[Grade::Leaving],
            &[Grade::Out],
        ] {
            for grade in grades {
                add_listed(&mut hosts, fleet.groups(*grade), regions, seed);
            }
            if hosts.is_empty() {
                for group in grades.iter().flat_map(|grade| fleet.groups(*grade)) {
                    add(&mut hosts, group, seed);
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

/// Adds the groups of the listed regions in their order, except for callers that are sent on.
fn add_listed(hosts: &mut Vec<Choice>, groups: &[Group], regions: &[Region], seed: u64) {
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
        add(hosts, group, seed);
    }
}

fn is_spilled(load: f32, seed: u64) -> bool {
    let share = ((load - SPILL_FROM) / (1.0 - SPILL_FROM)).clamp(0.0, 1.0) * SPILL_MAX;
    // The upper bits, because the lower ones pick the hosts.
    ((seed >> 40) as f32) < share * (1_u32 << 24) as f32
}

/// Adds hosts of a group, heaviest first; callers are spread over a group that is larger.
fn add(hosts: &mut Vec<Choice>, group: &Group, seed: u64) {
    let count = REGION_HOSTS
        .min(ANSWER_HOSTS - hosts.len())
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
