//! Selects the requests that leave a region with too few backend servers for its callers.
//!
//! Load pattern: a region has a third of the callers and a tenth of the servers. If requests leave
//! only when the queues are long, they leave too late, and then too many at once. The hosts of a
//! region therefore compute a share from its demand and its slots, and send the objects of that part
//! of the hash space to other regions. The servers in the region then keep fewer objects in their
//! caches and have room for all of them.

use azurenotch_wire::{Map, id::Host, time::Instant};
use std::time::Duration;

/// Time constant of the exponential average of the request rate, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 1.5;
/// Shortest time over which the first rate is computed, in seconds.
const MIN_RATE_TIME_S: f64 = 0.12;
/// Utilization of a region's slots above which requests leave; 1 means all slots are in use.
const SPILL_UTILIZATION: f64 = 0.9;
/// Largest share of requests that leave the region.
const MAX_SPILL_SHARE: f64 = 0.9;
/// Time after the first request within which a report of no requests is ignored.
///
/// It may have been sent before traffic began. A round of messages takes up to 0.65 s.
const START_TIME: Duration = Duration::from_millis(700);
/// Age from which the rate reported by another host is ignored.
const REPORTED_RATE_MAX_AGE: Duration = Duration::from_secs(2);

/// Demand of a region for one service, as measured here and reported by other hosts.
#[derive(Debug, Clone, Default)]
pub struct Spill {
    started: Option<Instant>,
    /// Recent requests of this host, with exponentially decaying weights.
    weighted_requests: f64,
    updated: Instant,
    /// Rates of other hosts with the time of their report.
    reported_rates: Map<Host, (Instant, f64)>,
}

impl Spill {
    /// Counts a request at this host.
    pub fn count(&mut self, now: Instant) {
        self.started.get_or_insert(now);
        self.weighted_requests = self.decayed_requests(now) + 1.0;
        self.updated = now;
    }

    /// Returns the requests per second at this host.
    pub fn rate(&self, now: Instant) -> f64 {
        let Some(started) = self.started else {
            return 0.0;
        };
        // Shortly after the start the weights do not yet cover a whole time constant.
        let age = now.since(started).as_secs_f64().max(MIN_RATE_TIME_S);
        let covered = 1.0 - (-age / RATE_TIME_CONSTANT_S).exp();
        self.decayed_requests(now) / (RATE_TIME_CONSTANT_S * covered)
    }

    /// Records the requests per second that another host of the region reported.
    pub fn receive_rate(&mut self, now: Instant, host: &Host, rate: f64) {
        self.reported_rates.insert(host.clone(), (now, rate));
    }

    /// Discards the rate of a host that has left.
    pub fn remove_host(&mut self, host: &Host) {
        self.reported_rates.remove(host);
    }

    /// Returns the share of requests that leave the region, 0 to 0.9.
    ///
    /// Each request occupies one of the region's `slots` for `work_s` seconds. Those of its `hosts`
    /// without a recent report are assumed to have the rate of this one.
    pub fn share(&self, now: Instant, work_s: f64, slots: f64, hosts: usize) -> f64 {
        share(self.demand(now, hosts), work_s, slots)
    }

    /// Returns the requests per second at the region's `hosts`.
    ///
    /// Those without a recent report are assumed to have the rate of this one.
    pub fn demand(&self, now: Instant, hosts: usize) -> f64 {
        let others = self.reported_rates.values();
        let others = others.filter(|(at, rate)| {
            now.since(*at) < REPORTED_RATE_MAX_AGE && !self.is_from_before_start(*at, *rate)
        });
        let (reporting_hosts, reported_rate) =
            others.fold((0, 0.0), |(reporting_hosts, reported_rate), (_, rate)| {
                (reporting_hosts + 1, reported_rate + rate)
            });
        let unreported_hosts = hosts.saturating_sub(reporting_hosts).max(1);
        self.rate(now) * unreported_hosts as f64 + reported_rate
    }

    /// Returns whether a host may have reported a rate of zero only because traffic had not begun.
    fn is_from_before_start(&self, reported: Instant, rate: f64) -> bool {
        let started = self.started.unwrap_or(reported);
        rate <= 0.0 && reported < started + START_TIME
    }

    fn decayed_requests(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.weighted_requests * (-elapsed / RATE_TIME_CONSTANT_S).exp()
    }
}

/// Returns the share of a region's `demand`, in requests per second, that leaves it, 0 to 0.9.
pub fn share(demand: f64, work_s: f64, slots: f64) -> f64 {
    let utilization = demand * work_s / slots.max(f64::MIN_POSITIVE);
    (1.0 - SPILL_UTILIZATION / utilization.max(SPILL_UTILIZATION)).min(MAX_SPILL_SHARE)
}

/// Returns whether requests for an object belong to the share that leaves the region.
///
/// The object's hash is mixed again, because the ranking of servers uses the same hash.
pub fn leaves(object: u64, share: f64) -> bool {
    let mixed = (object ^ 0x5bd1_e995_9e37_79b9).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let part = (mixed >> 32) as f64 / f64::from(u32::MAX);
    part < share
}

#[cfg(test)]
mod tests;
