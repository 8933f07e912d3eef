//! Computes the next allocation from confirmed decreases and the capacity that is free.

use super::{
    Entry, Ledger,
    division::{Division, Participant},
    ledger::ROUNDING_TOLERANCE,
    occupant::Lapsed,
};
use azurenotch_wire::{
    budget::{Capacity, Slot},
    id::{Region, Workspace},
    time::Instant,
};
use std::collections::BTreeMap;

/// Change of one slot's share of a workspace in a proposal.
struct Adjustment {
    slot: Slot,
    region: Region,
    /// Part of the recorded share that the division wants or the host may still use.
    kept: Capacity,
    /// Increase beyond `kept` that the division asks for.
    wanted: Capacity,
}

impl Ledger {
    /// Returns the entries of the next allocation.
    ///
    /// A share decreases only as far as its host has confirmed, and increases only use capacity
    /// that is then free. The shares of a workspace thus never sum above its elastic capacity.
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
            for (slot, share) in self.next_shares(workspace) {
                let Some(occupant) = self.occupants.get(&slot) else {
                    continue;
                };
                let entry = slots.entry(slot).or_insert_with(|| Entry {
                    incarnation: occupant.incarnation,
                    region: occupant.region.clone(),
                    capacity: BTreeMap::new(),
                });
                entry.capacity.insert(workspace.clone(), share);
            }
        }
        slots
    }

    /// Divides every workspace by demand.
    ///
    /// Keeps the former division of a workspace if the new one differs only by noise.
    pub(super) fn update_divisions(&mut self, now: Instant) {
        let mut divisions = BTreeMap::new();
        for (workspace, supply) in &self.supplies {
            let mut total = self.elastic(workspace);
            let mut caps: BTreeMap<Region, f64> = supply
                .regional_share
                .iter()
                .map(|(region, part)| (region.clone(), part.min(1.0) * total.rate))
                .collect();
            let mut participants = Vec::with_capacity(self.occupants.len());
            for (slot, occupant) in &self.occupants {
                let holding = occupant
                    .holdings
                    .get(workspace)
                    .copied()
                    .unwrap_or_default();
                let lapsed = occupant.lapsed(now, self.acquired, &self.timing);
                if occupant.takes_part() && lapsed == Lapsed::Nothing {
                    participants.push(Participant {
                        slot: *slot,
                        region: &occupant.region,
                        demand: holding.demand,
                        running: holding.running,
                        floor: supply.floor.slot(*slot, &occupant.region),
                    });
                } else {
                    total = total.minus(holding.used);
                    if let Some(cap) = caps.get_mut(&occupant.region) {
                        *cap = (*cap - holding.used.rate).max(0.0);
                    }
                }
            }
            let former = self.divisions.remove(workspace).unwrap_or_default();
            let next = Division::new(total, caps, &participants, &former);
            let adopted = if former.differs_beyond_noise(&next, &participants) {
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

    /// Returns the elastic rate that `region` may use, or `None` if it is not limited.
    fn region_rate_limit(&self, workspace: &Workspace, region: &Region) -> Option<f64> {
        let part = self.supplies.get(workspace)?.regional_share.get(region)?;
        Some(part.min(1.0) * self.elastic(workspace).rate)
    }

    /// Returns the next shares of `workspace`; slots without a share are left out.
    fn next_shares(&self, workspace: &Workspace) -> Vec<(Slot, Capacity)> {
        let division = self.divisions.get(workspace);
        let adjustments: Vec<Adjustment> = self
            .occupants
            .iter()
            .map(|(slot, occupant)| {
                let used = occupant
                    .holdings
                    .get(workspace)
                    .map_or(Capacity::ZERO, |holding| holding.used);
                let target = division.map_or(Capacity::ZERO, |division| division.share(*slot));
                let kept = self.recorded.share(*slot, workspace).min(used.max(target));
                Adjustment {
                    slot: *slot,
                    region: occupant.region.clone(),
                    kept,
                    wanted: target.minus(kept),
                }
            })
            .collect();
        let free = adjustments
            .iter()
            .fold(self.elastic(workspace), |free, it| free.minus(it.kept));
        let rates = self.rate_increases(workspace, free.rate, &adjustments);
        let bursts = unit_increases(
            free.burst,
            adjustments.iter().map(|adjustment| adjustment.wanted.burst),
        );
        let concurrencies = unit_increases(
            free.concurrency,
            adjustments
                .iter()
                .map(|adjustment| adjustment.wanted.concurrency),
        );
        adjustments
            .iter()
            .enumerate()
            .map(|(i, adjustment)| {
                let increase = Capacity {
                    rate: rates[i],
                    burst: bursts[i],
                    concurrency: concurrencies[i],
                };
                (adjustment.slot, adjustment.kept.plus(increase))
            })
            .filter(|(_, share)| {
                share.rate > ROUNDING_TOLERANCE
                    || share.burst > ROUNDING_TOLERANCE
                    || share.concurrency > ROUNDING_TOLERANCE
            })
            .collect()
    }

    /// Returns the rate increase of each adjustment.
    ///
    /// Increases are reduced in proportion until each region is within its limit and their sum is
    /// at most `free`.
    fn rate_increases(
        &self,
        workspace: &Workspace,
        free: f64,
        adjustments: &[Adjustment],
    ) -> Vec<f64> {
        let mut regions: BTreeMap<&Region, (f64, f64)> = BTreeMap::new();
        for adjustment in adjustments {
            let (kept, wanted) = regions.entry(&adjustment.region).or_default();
            *kept += adjustment.kept.rate;
            *wanted += adjustment.wanted.rate;
        }
        let mut rates: Vec<f64> = adjustments
            .iter()
            .map(|adjustment| {
                let (kept, wanted) = regions[&adjustment.region];
                let room = self
                    .region_rate_limit(workspace, &adjustment.region)
                    .map_or(f64::INFINITY, |cap| (cap - kept).max(0.0));
                adjustment.wanted.rate * allowed_fraction(room, wanted)
            })
            .collect();
        let factor = allowed_fraction(free, rates.iter().sum());
        for rate in &mut rates {
            *rate *= factor;
        }
        rates
    }
}

/// Returns the fraction of `wanted` that fits into `room`, at most 1.
fn allowed_fraction(room: f64, wanted: f64) -> f64 {
    if wanted > room { room / wanted } else { 1.0 }
}

/// Returns the increases of burst or concurrency, in whole units.
///
/// Lower slots come first when `free` does not cover all of `wanted`.
fn unit_increases(free: f64, wanted: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut left = free.floor();
    wanted
        .map(|wanted| {
            let increase = wanted.ceil().min(left);
            left -= increase;
            increase
        })
        .collect()
}

/// Returns whether the entries of two allocations differ by more than rounding errors.
pub(super) fn differs_beyond_rounding(
    old: &BTreeMap<Slot, Entry>,
    new: &BTreeMap<Slot, Entry>,
) -> bool {
    if !old.keys().eq(new.keys()) {
        return true;
    }
    old.iter().zip(new).any(|((_, old), (_, new))| {
        let shares = old.capacity.values().zip(new.capacity.values());
        old.incarnation != new.incarnation
            || !old.capacity.keys().eq(new.capacity.keys())
            || shares.into_iter().any(|(old, new)| {
                let difference =
                    old.zip(*new, |a, b| ((a - b).abs() - ROUNDING_TOLERANCE).max(0.0));
                !difference.is_zero()
            })
    })
}
