//! Division of one workspace's elastic capacity by demand.

use super::share::DEMAND_DECAY;
use azurenotch_wire::{
    budget::{Capacity, Slot},
    id::Region,
};
use std::collections::{BTreeMap, BTreeSet};

/// Factor by which a host's rate exceeds its demand when there is enough.
const RATE_HEADROOM: f64 = 1.25;
/// Factor by which a host's concurrency exceeds its running requests when there is enough.
const CONCURRENCY_HEADROOM: f64 = 1.5;
/// Part of an even share that an idle host receives even if others need more.
const IDLE_PART: f64 = 0.05;
/// Part of the mean demand that is added to each host's weight for burst and concurrency.
const EVEN_PART: f64 = 1.0;
/// Standard deviations of an estimate of random arrivals that count as noise.
const NOISE_DEVIATIONS: f64 = 2.0;
/// Bisection steps for the level of the surplus.
const LEVEL_STEPS: u32 = 48;
/// Weight bonus of a host that already holds a unit when there are fewer units than hosts.
const INCUMBENT_BONUS: f64 = 3.0;
/// Change of a rate, relative to the larger of the share and an even share, that counts as noise.
const RATE_NOISE: f64 = 0.2;
/// The same for burst and concurrency.
const UNIT_NOISE: f64 = 0.25;

/// What is known about one host.
#[derive(Debug, Clone)]
pub(super) struct Claim<'a> {
    pub slot: Slot,
    pub region: &'a Region,
    pub demand: f64,
    pub running: f64,
    pub floor: Capacity,
}

/// Wanted shares of one workspace.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Division {
    pub total: Capacity,
    pub caps: BTreeMap<Region, f64>,
    pub shares: BTreeMap<Slot, Capacity>,
    /// Regions that need more than their regional share.
    pub limited: BTreeSet<Region>,
}

impl Division {
    /// Divides `total` by demand; `caps` limits the rate of regions.
    ///
    /// Rates are max-min fair up to demand with headroom, and the surplus lifts the smallest. Burst
    /// and concurrency are dealt in whole units. A host that would hold less than one token
    /// receives no rate, because its bucket would never admit.
    pub fn new(
        total: Capacity,
        caps: BTreeMap<Region, f64>,
        claims: &[Claim],
        former: &Self,
    ) -> Self {
        let count = claims.len().max(1) as f64;
        let mean = claims.iter().map(|claim| claim.demand).sum::<f64>() / count;
        let weights: Vec<f64> = claims
            .iter()
            .map(|claim| claim.demand + mean * EVEN_PART)
            .collect();
        let held = |pick: fn(Capacity) -> f64| -> Vec<Unit> {
            claims
                .iter()
                .map(|claim| Unit {
                    busy: claim.demand > 0.0 || claim.running > 0.0,
                    covered: pick(claim.floor) >= 1.0,
                    incumbent: pick(former.share(claim.slot)) >= 1.0,
                })
                .collect()
        };
        let bursts = deal(
            total.burst,
            &held(|capacity| capacity.burst),
            &vec![0.0; claims.len()],
            &weights,
        );
        let running: Vec<f64> = claims
            .iter()
            .map(|claim| (claim.running * CONCURRENCY_HEADROOM - claim.floor.concurrency).max(0.0))
            .collect();
        let concurrencies = deal(
            total.concurrency,
            &held(|capacity| capacity.concurrency),
            &running,
            &weights,
        );
        let admits: Vec<bool> = (0..claims.len())
            .map(|i| {
                bursts[i] + claims[i].floor.burst >= 1.0
                    && concurrencies[i] + claims[i].floor.concurrency >= 1.0
            })
            .collect();
        let (rates, limited) = rates(total.rate, &caps, claims, &admits);
        let shares = claims
            .iter()
            .enumerate()
            .map(|(i, claim)| {
                let share = Capacity {
                    rate: rates[i],
                    burst: bursts[i],
                    concurrency: concurrencies[i],
                };
                (claim.slot, share)
            })
            .collect();
        Self {
            total,
            caps,
            shares,
            limited,
        }
    }

    /// Returns the share of `slot`.
    pub fn share(&self, slot: Slot) -> Capacity {
        self.shares.get(&slot).copied().unwrap_or_default()
    }

    /// Returns whether `next` differs by more than noise.
    pub fn differs(&self, next: &Self, claims: &[Claim]) -> bool {
        if self.total != next.total
            || self.caps != next.caps
            || !self.shares.keys().eq(next.shares.keys())
        {
            return true;
        }
        let count = claims.len().max(1) as f64;
        let mean = claims.iter().map(|claim| claim.demand).sum::<f64>() / count;
        claims.iter().any(|claim| {
            let (old, new) = (self.share(claim.slot), next.share(claim.slot));
            let total = self.total;
            let moved = |old: f64, new: f64, total: f64, noise: f64, random: f64| {
                (new - old).abs() > (noise * old.max(total / count)).max(random)
            };
            let starts = |floor: f64, old: f64, new: f64| {
                claim.demand > 0.0 && floor + old < 1.0 && floor + new >= 1.0
            };
            let random = (claim.demand.max(mean) / (2.0 * DEMAND_DECAY.as_secs_f64())).sqrt();
            let random = NOISE_DEVIATIONS * RATE_HEADROOM * random;
            let running = NOISE_DEVIATIONS * CONCURRENCY_HEADROOM * claim.running.sqrt();
            let (units, places) = (total.burst, total.concurrency);
            let burst = random * units / total.rate.max(f64::MIN_POSITIVE);
            moved(old.rate, new.rate, total.rate, RATE_NOISE, random)
                || moved(old.burst, new.burst, units, UNIT_NOISE, burst.max(1.0))
                || moved(
                    old.concurrency,
                    new.concurrency,
                    places,
                    UNIT_NOISE,
                    running.max(1.0),
                )
                || starts(claim.floor.burst, old.burst, new.burst)
                || starts(claim.floor.concurrency, old.concurrency, new.concurrency)
        })
    }
}

/// What decides who receives the first whole unit.
struct Unit {
    busy: bool,
    covered: bool,
    incumbent: bool,
}

fn rates(
    total: f64,
    caps: &BTreeMap<Region, f64>,
    claims: &[Claim],
    admits: &[bool],
) -> (Vec<f64>, BTreeSet<Region>) {
    let able = admits.iter().filter(|able| **able).count().max(1) as f64;
    let idle = total / able * IDLE_PART;
    let mut needs: Vec<f64> = claims
        .iter()
        .zip(admits)
        .map(|(claim, able)| {
            let need = (claim.demand * RATE_HEADROOM - claim.floor.rate).max(idle);
            if *able { need } else { 0.0 }
        })
        .collect();
    let members = |region: &Region| -> Vec<usize> {
        (0..claims.len())
            .filter(|i| admits[*i] && claims[*i].region == region)
            .collect()
    };
    let mut limited = BTreeSet::new();
    for (region, cap) in caps {
        let members = members(region);
        let wanted: Vec<f64> = members.iter().map(|i| needs[*i]).collect();
        if wanted.iter().sum::<f64>() > *cap {
            limited.insert(region.clone());
        }
        for (i, share) in members.iter().zip(fill(*cap, &wanted)) {
            needs[*i] = share;
        }
    }
    let mut shares = fill(total, &needs);
    let surplus = (total - shares.iter().sum::<f64>()).max(0.0);
    let mut room: Vec<f64> = admits
        .iter()
        .map(|able| if *able { surplus } else { 0.0 })
        .collect();
    for (region, cap) in caps {
        let members = members(region);
        let used: f64 = members.iter().map(|i| shares[*i]).sum();
        for i in &members {
            room[*i] = (cap - used).max(0.0) / members.len() as f64;
        }
    }
    lift(surplus, &room, &mut shares);
    (shares, limited)
}

/// Adds `surplus` to the smallest shares first, each by at most its room.
///
/// Hosts without demand come first, because they have to start at once when callers move to them.
fn lift(surplus: f64, room: &[f64], shares: &mut [f64]) {
    let extra = |level: f64, share: f64, room: f64| (level - share).clamp(0.0, room.max(0.0));
    let (mut low, mut high) = (
        0.0,
        shares.iter().copied().fold(surplus, f64::max) + surplus,
    );
    for _ in 0..LEVEL_STEPS {
        let level = f64::midpoint(low, high);
        let sum: f64 = shares
            .iter()
            .zip(room)
            .map(|(share, room)| extra(level, *share, *room))
            .sum();
        if sum > surplus {
            high = level;
        } else {
            low = level;
        }
    }
    for (share, room) in shares.iter_mut().zip(room) {
        *share += extra(low, *share, *room);
    }
}

/// Divides `total` max-min fairly up to `needs`.
fn fill(total: f64, needs: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by(|a, b| needs[*a].total_cmp(&needs[*b]));
    let mut shares = vec![0.0; needs.len()];
    let mut left = total.max(0.0);
    for (position, i) in order.iter().enumerate() {
        let even = left / (needs.len() - position) as f64;
        shares[*i] = needs[*i].min(even);
        left -= shares[*i];
    }
    shares
}

/// Deals whole units: one to each host that cannot admit without, then by need, then by weight.
fn deal(total: f64, units: &[Unit], needs: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut left = total.max(0.0).floor();
    let mut shares = vec![0.0; units.len()];
    let rank = |i: usize| {
        let bonus = if units[i].incumbent {
            INCUMBENT_BONUS
        } else {
            1.0
        };
        weights[i] * bonus
    };
    let mut order: Vec<usize> = (0..units.len()).filter(|i| !units[*i].covered).collect();
    order.sort_by(|a, b| {
        let busy = units[*b].busy.cmp(&units[*a].busy);
        busy.then(rank(*b).total_cmp(&rank(*a))).then(a.cmp(b))
    });
    for i in order {
        if left >= 1.0 {
            shares[i] = 1.0;
            left -= 1.0;
        }
    }
    let open: Vec<f64> = needs
        .iter()
        .zip(&shares)
        .map(|(need, share)| (need.ceil() - share).max(0.0))
        .collect();
    for (i, share) in fill(left, &open).into_iter().enumerate() {
        let whole = share.floor();
        shares[i] += whole;
        left -= whole;
    }
    spread(left, weights, &mut shares);
    shares
}

/// Spreads `left` whole units by weight, with the largest remainders rounded up.
fn spread(left: f64, weights: &[f64], shares: &mut [f64]) {
    let sum: f64 = weights.iter().sum();
    let even = 1.0 / weights.len().max(1) as f64;
    let exact: Vec<f64> = weights
        .iter()
        .map(|weight| left * if sum > 0.0 { weight / sum } else { even })
        .collect();
    let mut rest = left;
    for (share, exact) in shares.iter_mut().zip(&exact) {
        *share += exact.floor();
        rest -= exact.floor();
    }
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by(|a, b| {
        exact[*b]
            .fract()
            .total_cmp(&exact[*a].fract())
            .then(a.cmp(b))
    });
    for i in order {
        if rest >= 1.0 {
            shares[i] += 1.0;
            rest -= 1.0;
        }
    }
}
