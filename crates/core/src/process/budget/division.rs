//! Divides a workspace's elastic capacity between hosts by demand.

use super::share::DEMAND_TIME_CONSTANT;
use azurenotch_wire::{
    budget::{Capacity, Slot},
    id::Region,
};
use std::collections::{BTreeMap, BTreeSet};

/// Ratio of a host's rate to its demand when there is enough capacity.
const RATE_HEADROOM: f64 = 1.25;
/// Ratio of a host's concurrency to its running requests when there is enough capacity.
const CONCURRENCY_HEADROOM: f64 = 1.5;
/// Fraction of an even share that an idle host receives even if other hosts need more.
const IDLE_RATE_FRACTION: f64 = 0.05;
/// Fraction of the mean demand that is added to each host's weight for burst and concurrency.
const EVEN_WEIGHT_FRACTION: f64 = 1.0;
/// Number of standard deviations of random arrivals within which a change counts as noise.
const NOISE_DEVIATIONS: f64 = 2.0;
/// Bisection steps that find the level up to which the surplus raises the smallest shares.
const BISECTION_STEPS: u32 = 48;
/// Factor on the weight of a host that already holds a unit.
///
/// It keeps units from moving between hosts when there are fewer units than hosts.
const INCUMBENT_WEIGHT_FACTOR: f64 = 3.0;
/// Largest change of a rate that counts as noise, relative to the larger of the old share and an
/// even share.
const RATE_NOISE_FRACTION: f64 = 0.2;
/// Largest change of burst or concurrency that counts as noise, relative to the larger of
/// the old share and an even share.
const UNIT_NOISE_FRACTION: f64 = 0.25;

/// Host that takes part in a division.
#[derive(Debug, Clone)]
pub(super) struct Participant<'a> {
    pub slot: Slot,
    pub region: &'a Region,
    pub demand: f64,
    pub running: f64,
    pub floor: Capacity,
}

/// Target shares of one workspace, before hosts have confirmed decreases.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Division {
    pub total: Capacity,
    /// Largest elastic rate of each limited region, in requests per second.
    pub caps: BTreeMap<Region, f64>,
    pub shares: BTreeMap<Slot, Capacity>,
    /// Regions whose needs exceed their regional share.
    pub limited: BTreeSet<Region>,
}

impl Division {
    /// Divides `total` by demand; `caps` limits the rate of regions.
    ///
    /// Rates are max-min fair up to demand with headroom, and the surplus raises the smallest
    /// shares. Burst and concurrency are divided in whole units. A host whose burst or concurrency
    /// would be below 1 receives no rate, because it could never admit a request.
    pub fn new(
        total: Capacity,
        caps: BTreeMap<Region, f64>,
        participants: &[Participant],
        former: &Self,
    ) -> Self {
        let count = participants.len().max(1) as f64;
        let mean = participants.iter().map(|host| host.demand).sum::<f64>() / count;
        let weights: Vec<f64> = participants
            .iter()
            .map(|host| host.demand + mean * EVEN_WEIGHT_FRACTION)
            .collect();
        let priorities = |pick: fn(Capacity) -> f64| -> Vec<Priority> {
            participants
                .iter()
                .map(|host| Priority {
                    busy: host.demand > 0.0 || host.running > 0.0,
                    floor_suffices: pick(host.floor) >= 1.0,
                    incumbent: pick(former.share(host.slot)) >= 1.0,
                })
                .collect()
        };
        let bursts = deal_units(
            total.burst,
            &priorities(|capacity| capacity.burst),
            &vec![0.0; participants.len()],
            &weights,
        );
        let running: Vec<f64> = participants
            .iter()
            .map(|host| (host.running * CONCURRENCY_HEADROOM - host.floor.concurrency).max(0.0))
            .collect();
        let concurrencies = deal_units(
            total.concurrency,
            &priorities(|capacity| capacity.concurrency),
            &running,
            &weights,
        );
        let admits: Vec<bool> = (0..participants.len())
            .map(|i| {
                bursts[i] + participants[i].floor.burst >= 1.0
                    && concurrencies[i] + participants[i].floor.concurrency >= 1.0
            })
            .collect();
        let (rates, limited) = divide_rate(total.rate, &caps, participants, &admits);
        let shares = participants
            .iter()
            .enumerate()
            .map(|(i, host)| {
                let share = Capacity {
                    rate: rates[i],
                    burst: bursts[i],
                    concurrency: concurrencies[i],
                };
                (host.slot, share)
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

    /// Returns whether `next` differs by more than the noise of random arrivals.
    ///
    /// It always differs if a host with demand could not admit requests before and can with `next`.
    pub fn differs_beyond_noise(&self, next: &Self, participants: &[Participant]) -> bool {
        if self.total != next.total
            || self.caps != next.caps
            || !self.shares.keys().eq(next.shares.keys())
        {
            return true;
        }
        let count = participants.len().max(1) as f64;
        let mean = participants.iter().map(|host| host.demand).sum::<f64>() / count;
        participants.iter().any(|host| {
            let (old, new) = (self.share(host.slot), next.share(host.slot));
            let total = self.total;
            let moved = |old: f64, new: f64, total: f64, noise: f64, min_change: f64| {
                (new - old).abs() > (noise * old.max(total / count)).max(min_change)
            };
            let starts_admitting = |floor: f64, old: f64, new: f64| {
                host.demand > 0.0 && floor + old < 1.0 && floor + new >= 1.0
            };
            let arrival_noise =
                (host.demand.max(mean) / (2.0 * DEMAND_TIME_CONSTANT.as_secs_f64())).sqrt();
            let arrival_noise = NOISE_DEVIATIONS * RATE_HEADROOM * arrival_noise;
            let running_noise = NOISE_DEVIATIONS * CONCURRENCY_HEADROOM * host.running.sqrt();
            let (total_burst, total_concurrency) = (total.burst, total.concurrency);
            let burst_noise = arrival_noise * total_burst / total.rate.max(f64::MIN_POSITIVE);
            moved(
                old.rate,
                new.rate,
                total.rate,
                RATE_NOISE_FRACTION,
                arrival_noise,
            ) || moved(
                old.burst,
                new.burst,
                total_burst,
                UNIT_NOISE_FRACTION,
                burst_noise.max(1.0),
            ) || moved(
                old.concurrency,
                new.concurrency,
                total_concurrency,
                UNIT_NOISE_FRACTION,
                running_noise.max(1.0),
            ) || starts_admitting(host.floor.burst, old.burst, new.burst)
                || starts_admitting(host.floor.concurrency, old.concurrency, new.concurrency)
        })
    }
}

/// Properties of a host that decide in which order hosts receive their first whole unit.
struct Priority {
    busy: bool,
    /// Whether the floor already has a whole unit.
    floor_suffices: bool,
    /// Whether the former division gave the host a unit.
    incumbent: bool,
}

/// Returns the rates of the participants, and the regions whose needs exceed their cap.
///
/// A participant that cannot admit requests receives no rate.
fn divide_rate(
    total: f64,
    caps: &BTreeMap<Region, f64>,
    participants: &[Participant],
    admits: &[bool],
) -> (Vec<f64>, BTreeSet<Region>) {
    let admitting = admits.iter().filter(|can_admit| **can_admit).count().max(1) as f64;
    let idle_rate = total / admitting * IDLE_RATE_FRACTION;
    let mut needs: Vec<f64> = participants
        .iter()
        .zip(admits)
        .map(|(host, can_admit)| {
            let need = (host.demand * RATE_HEADROOM - host.floor.rate).max(idle_rate);
            if *can_admit { need } else { 0.0 }
        })
        .collect();
    let members = |region: &Region| -> Vec<usize> {
        (0..participants.len())
            .filter(|i| admits[*i] && participants[*i].region == region)
            .collect()
    };
    let mut limited = BTreeSet::new();
    for (region, cap) in caps {
        let members = members(region);
        let wanted: Vec<f64> = members.iter().map(|i| needs[*i]).collect();
        if wanted.iter().sum::<f64>() > *cap {
            limited.insert(region.clone());
        }
        for (i, share) in members.iter().zip(max_min_fair(*cap, &wanted)) {
            needs[*i] = share;
        }
    }
    let mut shares = max_min_fair(total, &needs);
    let surplus = (total - shares.iter().sum::<f64>()).max(0.0);
    let mut room: Vec<f64> = admits
        .iter()
        .map(|can_admit| if *can_admit { surplus } else { 0.0 })
        .collect();
    for (region, cap) in caps {
        let members = members(region);
        let used: f64 = members.iter().map(|i| shares[*i]).sum();
        for i in &members {
            room[*i] = (cap - used).max(0.0) / members.len() as f64;
        }
    }
    raise_smallest(surplus, &room, &mut shares);
    (shares, limited)
}

/// Raises the smallest shares to a common level with `surplus`, each by at most its `room`.
///
/// Hosts without demand thus gain first and can admit requests at once when callers move to them.
fn raise_smallest(surplus: f64, room: &[f64], shares: &mut [f64]) {
    let extra = |level: f64, share: f64, room: f64| (level - share).clamp(0.0, room.max(0.0));
    let (mut low, mut high) = (
        0.0,
        shares.iter().copied().fold(surplus, f64::max) + surplus,
    );
    for _ in 0..BISECTION_STEPS {
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

/// Divides `total` max-min fairly; no share exceeds its need.
fn max_min_fair(total: f64, needs: &[f64]) -> Vec<f64> {
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

/// Divides whole units between hosts.
///
/// Each host that cannot admit requests without a unit receives one, as far as they last; the rest
/// goes by need and then by weight.
fn deal_units(total: f64, priorities: &[Priority], needs: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut left = total.max(0.0).floor();
    let mut shares = vec![0.0; priorities.len()];
    let rank = |i: usize| {
        let factor = if priorities[i].incumbent {
            INCUMBENT_WEIGHT_FACTOR
        } else {
            1.0
        };
        weights[i] * factor
    };
    let mut order: Vec<usize> = (0..priorities.len())
        .filter(|i| !priorities[*i].floor_suffices)
        .collect();
    order.sort_by(|a, b| {
        let busy = priorities[*b].busy.cmp(&priorities[*a].busy);
        busy.then(rank(*b).total_cmp(&rank(*a))).then(a.cmp(b))
    });
    for i in order {
        if left >= 1.0 {
            shares[i] = 1.0;
            left -= 1.0;
        }
    }
    let open_needs: Vec<f64> = needs
        .iter()
        .zip(&shares)
        .map(|(need, share)| (need.ceil() - share).max(0.0))
        .collect();
    for (i, share) in max_min_fair(left, &open_needs).into_iter().enumerate() {
        let whole = share.floor();
        shares[i] += whole;
        left -= whole;
    }
    deal_by_weight(left, weights, &mut shares);
    shares
}

/// Adds `left` whole units to `shares` by weight, with the largest remainders rounded up.
fn deal_by_weight(left: f64, weights: &[f64], shares: &mut [f64]) {
    let sum: f64 = weights.iter().sum();
    let even = 1.0 / weights.len().max(1) as f64;
    let exact: Vec<f64> = weights
        .iter()
        .map(|weight| left * if sum > 0.0 { weight / sum } else { even })
        .collect();
    let mut remaining = left;
    for (share, exact) in shares.iter_mut().zip(&exact) {
        *share += exact.floor();
        remaining -= exact.floor();
    }
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by(|a, b| {
        exact[*b]
            .fract()
            .total_cmp(&exact[*a].fract())
            .then(a.cmp(b))
    });
    for i in order {
        if remaining >= 1.0 {
            shares[i] += 1.0;
            remaining -= 1.0;
        }
    }
}
