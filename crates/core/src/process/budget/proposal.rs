//! Next allocation: confirmed decreases, and increases as far as they are free.

use super::{
    Entry, Ledger,
    division::{Claim, Division},
    ledger::ROUNDING,
    seat::Lapsed,
};
use azurenotch_wire::{
    budget::{Capacity, Slot},
    id::{Region, Workspace},
    time::Instant,
};
use std::collections::BTreeMap;

/// One slot's part in a proposal for one workspace.
struct Part {
    slot: Slot,
    region: Region,
    /// Share that cannot be taken away, because the host has not confirmed the decrease.
    kept: Capacity,
    /// Wanted increase.
    wanted: Capacity,
}

impl Ledger {
    /// Returns the slots of the next allocation.
    ///
    /// Decreases are limited to what hosts have confirmed, and increases to what is then free, so
    /// that the sum stays within the elastic part.
    pub(super) fn propose(&self) -> BTreeMap<Slot, Entry> {
        let mut slots: BTreeMap<Slot, Entry> = BTreeMap::new();
        let mut workspaces: Vec<&Workspace> = self.divisions.keys().collect();
        workspaces.extend(
            self.recorded
                .slots
                .values()
                .flat_map(|entry| entry.capacity.keys())
                .filter(|workspace| !self.divisions.contains_key(*workspace)),
        );
        workspaces.sort_unstable();
        workspaces.dedup();
        for workspace in workspaces {
            for (slot, share) in self.shares(workspace) {
                let Some(seat) = self.seats.get(&slot) else {
                    continue;
                };
                let entry = slots.entry(slot).or_insert_with(|| Entry {
                    incarnation: seat.incarnation,
                    region: seat.region.clone(),
                    capacity: BTreeMap::new(),
                });
                entry.capacity.insert(workspace.clone(), share);
            }
        }
        slots
    }

    /// Divides every workspace by demand, unless the result differs only by noise.
    pub(super) fn divide(&mut self, now: Instant) {
        let mut divisions = BTreeMap::new();
        for (workspace, supply) in &self.supplies {
            let mut total = self.elastic(workspace);
            let mut caps: BTreeMap<Region, f64> = supply
                .regions
                .iter()
                .map(|(region, part)| (region.clone(), part.min(1.0) * total.rate))
                .collect();
            let mut claims = Vec::with_capacity(self.seats.len());
            for (slot, seat) in &self.seats {
                let cell = seat.cells.get(workspace).copied().unwrap_or_default();
                let lapsed = seat.lapsed(now, self.taken, &self.timing);
                if seat.divides() && lapsed == Lapsed::Nothing {
                    claims.push(Claim {
                        slot: *slot,
                        region: &seat.region,
                        demand: cell.demand,
                        running: cell.running,
                        floor: supply.floor.slot(*slot, &seat.region),
                    });
                } else {
                    total = total.minus(cell.used);
                    if let Some(cap) = caps.get_mut(&seat.region) {
                        *cap = (*cap - cell.used.rate).max(0.0);
                    }
                }
            }
            let former = self.divisions.remove(workspace).unwrap_or_default();
            let next = Division::new(total, caps, &claims, &former);
            let adopted = if former.differs(&next, &claims) {
                next
            } else {
                Division {
                    limited: next.limited,
                    ..former
                }
            };
            divisions.insert(workspace.clone(), adopted);
        }
        self.divisions = divisions;
    }

    /// Returns the part of the rate that `region` may use.
    fn regional(&self, workspace: &Workspace, region: &Region) -> Option<f64> {
        let part = self.supplies.get(workspace)?.regions.get(region)?;
        Some(part.min(1.0) * self.elastic(workspace).rate)
    }

    fn shares(&self, workspace: &Workspace) -> Vec<(Slot, Capacity)> {
        let division = self.divisions.get(workspace);
        let parts: Vec<Part> = self
            .seats
            .iter()
            .map(|(slot, seat)| {
                let used = seat
                    .cells
                    .get(workspace)
                    .map_or(Capacity::ZERO, |cell| cell.used);
                let target = division.map_or(Capacity::ZERO, |division| division.share(*slot));
                let kept = self.recorded.share(*slot, workspace).min(used.max(target));
                Part {
                    slot: *slot,
                    region: seat.region.clone(),
                    kept,
                    wanted: target.minus(kept),
                }
            })
            .collect();
        let free = parts
            .iter()
            .fold(self.elastic(workspace), |free, part| free.minus(part.kept));
        let rates = self.rates(workspace, free.rate, &parts);
        let bursts = units(free.burst, parts.iter().map(|part| part.wanted.burst));
        let concurrencies = units(
            free.concurrency,
            parts.iter().map(|part| part.wanted.concurrency),
        );
        parts
            .iter()
            .enumerate()
            .map(|(i, part)| {
                let increase = Capacity {
                    rate: rates[i],
                    burst: bursts[i],
                    concurrency: concurrencies[i],
                };
                (part.slot, part.kept.plus(increase))
            })
            .filter(|(_, share)| {
                share.rate > ROUNDING || share.burst > ROUNDING || share.concurrency > ROUNDING
            })
            .collect()
    }

    /// Returns the increases of the rate: in proportion, within the regions' parts and `free`.
    fn rates(&self, workspace: &Workspace, free: f64, parts: &[Part]) -> Vec<f64> {
        let mut regions: BTreeMap<&Region, (f64, f64)> = BTreeMap::new();
        for part in parts {
            let (kept, wanted) = regions.entry(&part.region).or_default();
            *kept += part.kept.rate;
            *wanted += part.wanted.rate;
        }
        let mut rates: Vec<f64> = parts
            .iter()
            .map(|part| {
                let (kept, wanted) = regions[&part.region];
                let room = self
                    .regional(workspace, &part.region)
                    .map_or(f64::INFINITY, |cap| (cap - kept).max(0.0));
                part.wanted.rate * ratio(room, wanted)
            })
            .collect();
        let factor = ratio(free, rates.iter().sum());
        for rate in &mut rates {
            *rate *= factor;
        }
        rates
    }
}

/// Returns the part of `wanted` that `room` allows.
fn ratio(room: f64, wanted: f64) -> f64 {
    if wanted > room { room / wanted } else { 1.0 }
}

/// Deals free whole units in the order of the slots.
fn units(free: f64, wanted: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut left = free.floor();
    wanted
        .map(|wanted| {
            let increase = wanted.ceil().min(left);
            left -= increase;
            increase
        })
        .collect()
}

/// Returns whether two allocations differ by more than rounding.
pub(super) fn changed(old: &BTreeMap<Slot, Entry>, new: &BTreeMap<Slot, Entry>) -> bool {
    if !old.keys().eq(new.keys()) {
        return true;
    }
    old.iter().zip(new).any(|((_, old), (_, new))| {
        let shares = old.capacity.values().zip(new.capacity.values());
        old.incarnation != new.incarnation
            || !old.capacity.keys().eq(new.capacity.keys())
            || shares.into_iter().any(|(old, new)| {
                let apart = old.zip(*new, |a, b| ((a - b).abs() - ROUNDING).max(0.0));
                !apart.is_zero()
            })
    })
}
