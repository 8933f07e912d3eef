//! Which requests leave a region that has too few backend servers for its callers.
//!
//! Load pattern: a region has a third of the callers and a tenth of the servers. Waiting until its
//! queues are long sends requests away too late, and then too many at once. The hosts of a region
//! know its demand and its slots, and send the objects of a fixed part of the hash space elsewhere,
//! so that the servers at home keep fewer objects warm and have room for all of them.

use azurenotch_wire::{Map, id::Host, time::Instant};
use std::time::Duration;

/// Time constant of the rate of requests, in seconds.
const RATE_TIME_S: f64 = 1.5;
/// Shortest time over which a first rate is taken, in seconds.
const FIRST_TIME_S: f64 = 0.3;
/// Utilization of a region's slots by warm work up to which all requests stay.
const FULL: f64 = 0.9;
/// Largest share of requests that leave.
const MOST: f64 = 0.9;
/// Age from which the rate of another host is left out.
const OLD: Duration = Duration::from_secs(2);

/// Demand of a region for one service.
#[derive(Debug, Clone, Default)]
pub struct Spill {
    started: Option<Instant>,
    /// Requests of this host in the last seconds, with exponential weights.
    weight: f64,
    updated: Instant,
    others: Map<Host, (Instant, f64)>,
}

impl Spill {
    /// Counts a request at this host.
    pub fn count(&mut self, now: Instant) {
        self.started.get_or_insert(now);
        self.weight = self.decayed(now) + 1.0;
        self.updated = now;
    }

    /// Returns the requests per second at this host.
    pub fn rate(&self, now: Instant) -> f64 {
        let Some(started) = self.started else {
            return 0.0;
        };
        // The weights of a young host do not add up to a whole time constant.
        let age = now.since(started).as_secs_f64().max(FIRST_TIME_S);
        let filled = 1.0 - (-age / RATE_TIME_S).exp();
        self.decayed(now) / (RATE_TIME_S * filled)
    }

    /// Takes note of the rate at another host of the region.
    pub fn hear(&mut self, now: Instant, host: &Host, rate: f64) {
        self.others.insert(host.clone(), (now, rate));
    }

    /// Drops what a host told that is gone.
    pub fn forget(&mut self, host: &Host) {
        self.others.remove(host);
    }

    /// Returns the share of requests that leave a region with `slots`, of which each request takes
    /// one for `work` seconds.
    ///
    /// Those of its `hosts` that have told nothing yet are taken to have the rate of this one.
    pub fn share(&self, now: Instant, work: f64, slots: f64, hosts: usize) -> f64 {
        let others = self.others.values();
        let others = others.filter(|(at, _)| now.since(*at) < OLD);
        let (heard, told) = others.fold((0, 0.0), |(heard, told), (_, rate)| {
            (heard + 1, told + rate)
        });
        let silent = hosts.saturating_sub(heard).max(1);
        let demand = self.rate(now) * silent as f64 + told;
        let used = demand * work / slots.max(f64::MIN_POSITIVE);
        (1.0 - FULL / used.max(FULL)).min(MOST)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.weight * (-elapsed / RATE_TIME_S).exp()
    }
}

/// Returns whether an object belongs to the share that leaves.
///
/// The choice is independent of the ranks of servers, which use the same hash of the object.
pub fn leaves(object: u64, share: f64) -> bool {
    let mixed = (object ^ 0x5bd1_e995_9e37_79b9).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let part = (mixed >> 32) as f64 / f64::from(u32::MAX);
    part < share
}

#[cfg(test)]
mod tests;
