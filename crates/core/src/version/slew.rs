//! Limits how fast the requests of a region move to other regions.
//!
//! Load pattern: all caches are cold, or a burst fills the servers of a region. Its requests spill
//! over to other regions and return all at once when the queues are short again. Links between
//! regions and cold caches elsewhere cannot absorb such swings. Each host therefore applies a
//! distribution over the regions that approaches the requested one at a limited rate. The sum over
//! all hosts is then limited too, without any coordination between them.

use azurenotch_wire::{id::Region, time::Instant};
use std::time::Duration;

/// Share of requests that may change their region per second; operators permit 0.15 in two seconds.
const MAX_SHIFT_PER_S: f64 = 0.06;
/// Requests by which a region may exceed its share of the applied distribution.
const MAX_EXCESS_REQUESTS: f64 = 1.5;
/// Weight of one request in the requested distribution.
const REQUEST_WEIGHT: f64 = 1.0 / 24.0;
/// Weight of one request while the limit is off.
///
/// It is higher because requests right after a start ask for other regions than later ones.
const UNLIMITED_REQUEST_WEIGHT: f64 = 1.0 / 10.0;
/// Requests after which the requested distribution is reliable enough to limit its changes.
const MIN_REQUESTS: u32 = 16;
/// Time after the first request during which the limit is off.
///
/// A shift within half of the operators' two-second window counts only half.
const STARTUP_TIME: Duration = Duration::from_millis(1_200);
/// Time without requests after which the limiter starts again as if it were new.
const IDLE_RESET: Duration = Duration::from_secs(4);
/// Time for which failures, or a call of [`Limiter::suspend`], switch the limit off.
const SUSPENSION_TIME: Duration = Duration::from_secs(5);
/// Failures within [`FAILURE_WINDOW`] that switch the limit off.
const FAILURES_TO_SUSPEND: u32 = 3;
/// Time over which failures are counted.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);

/// Limit on how fast one host changes its distribution of requests over the regions.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    shares: Vec<RegionShare>,
    requests: u32,
    first_request: Instant,
    updated: Instant,
    suspended_at: Option<Instant>,
    failures: (Instant, u32),
}

/// Share of one region in the requests of the host.
#[derive(Debug, Clone)]
struct RegionShare {
    region: Region,
    /// Share of requests for which the region would be chosen without the limit.
    requested: f64,
    /// Share that the host applies.
    applied: f64,
    /// Requests that the region may still get; negative if it has exceeded its share.
    credit: f64,
}

impl Limiter {
    /// Returns the regions that have exceeded their share, to which the next request must not go.
    pub fn excluded_regions(&self, now: Instant) -> Vec<Region> {
        if !self.is_limited(now) {
            return Vec::new();
        }
        let shares = self
            .shares
            .iter()
            .filter(|share| share.credit <= -MAX_EXCESS_REQUESTS);
        shares.map(|share| share.region.clone()).collect()
    }

    /// Counts a request with the region that it would go to without the limit, and the actual one.
    pub fn count(&mut self, now: Instant, requested: &Region, sent: &Region) {
        if now.since(self.updated) > IDLE_RESET {
            self.requests = 0;
        }
        if self.requests == 0 {
            self.first_request = now;
        }
        for region in [requested, sent] {
            if self.shares.iter().all(|share| share.region != *region) {
                self.shares.push(RegionShare {
                    region: region.clone(),
                    requested: 0.0,
                    applied: 0.0,
                    credit: 0.0,
                });
            }
        }
        self.requests = self.requests.saturating_add(1);
        let base_weight = if self.is_limited(now) {
            REQUEST_WEIGHT
        } else {
            UNLIMITED_REQUEST_WEIGHT
        };
        let weight = base_weight.max(1.0 / f64::from(self.requests));
        for share in &mut self.shares {
            let observed = f64::from(u8::from(share.region == *requested));
            share.requested += weight * (observed - share.requested);
        }
        self.advance(now);
        for share in &mut self.shares {
            let served = f64::from(u8::from(share.region == *sent));
            share.credit = (share.credit + share.applied - served)
                .clamp(-2.0 * MAX_EXCESS_REQUESTS, 2.0 * MAX_EXCESS_REQUESTS);
        }
    }

    /// Records that a server failed or was unreachable.
    ///
    /// Several failures in a short time switch the limit off, so that requests can leave the region.
    pub fn record_failure(&mut self, now: Instant) {
        let (since, count) = &mut self.failures;
        if now.since(*since) > FAILURE_WINDOW {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        if *count >= FAILURES_TO_SUSPEND {
            self.suspended_at = Some(now);
        }
    }

    /// Switches the limit off for a while, after a change other than a failed request.
    ///
    /// Examples are a server that was removed without a drain, hosts or a store that became
    /// unreachable, and a host that joined.
    pub fn suspend(&mut self, now: Instant) {
        self.suspended_at = Some(now);
    }

    /// Returns whether the limit is switched off.
    pub fn is_suspended(&self, now: Instant) -> bool {
        let suspended_at = self.suspended_at;
        suspended_at.is_some_and(|at| now.since(at) < SUSPENSION_TIME)
    }

    /// Moves the applied distribution towards the requested one, as far as the limit permits.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let shares = self.shares.iter();
        let distance: f64 = shares
            .map(|share| (share.requested - share.applied).abs())
            .sum::<f64>()
            / 2.0;
        let step = if !self.is_limited(now) || distance <= 0.0 {
            1.0
        } else {
            (MAX_SHIFT_PER_S * elapsed / distance).min(1.0)
        };
        for share in &mut self.shares {
            share.applied += step * (share.requested - share.applied);
        }
        if !self.is_limited(now) {
            self.shares.iter_mut().for_each(|share| share.credit = 0.0);
        }
    }

    fn is_limited(&self, now: Instant) -> bool {
        !self.is_suspended(now)
            && self.requests >= MIN_REQUESTS
            && now.since(self.first_request) >= STARTUP_TIME
    }
}

#[cfg(test)]
mod tests;
