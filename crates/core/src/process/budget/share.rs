//! One workspace's capacity at one host.

use crate::process::bucket::Bucket;
use azurenotch_wire::{
    budget::{Capacity, Grant, Usage},
    id::Workspace,
    refusal::Reason,
    time::Instant,
};
use std::time::Duration;

/// Time in which an arrival loses most of its weight in the demand estimate.
pub(super) const DEMAND_DECAY: Duration = Duration::from_secs(3);
/// Demand below which a workspace counts as idle, in requests per second.
const IDLE_DEMAND: f64 = 0.01;
/// Retry time for a host that has no capacity until its next grants.
const GRANT_DELAY: Duration = Duration::from_secs(2);
/// Retry time when all concurrent requests are taken.
const FINISH_DELAY: Duration = Duration::from_millis(100);

/// Why and for how long a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Exhausted part of the contract.
    pub reason: Reason,
    /// Time after which the request may be admitted.
    pub retry_after: Duration,
}

/// Floor and elastic share of one workspace at one host.
///
/// Both lapse by the host's own clock, also while the process is paused.
#[derive(Debug, Clone)]
pub struct Share {
    floor: Capacity,
    floor_until: Instant,
    elastic: Capacity,
    elastic_until: Instant,
    bucket: Bucket,
    running: u32,
    demand: f64,
    counted: Instant,
    returned: f64,
    regional: bool,
}

impl Share {
    /// Creates a share without capacity.
    pub const fn new(now: Instant) -> Self {
        Self {
            floor: Capacity::ZERO,
            floor_until: Instant::ZERO,
            elastic: Capacity::ZERO,
            elastic_until: Instant::ZERO,
            bucket: Bucket::new(now),
            running: 0,
            demand: 0.0,
            counted: now,
            returned: 0.0,
            regional: false,
        }
    }

    /// Sets the floor and the moment at which it lapses.
    ///
    /// `until` is `hold` after the last successful renewal of the slot was sent.
    pub fn set_floor(&mut self, now: Instant, floor: Capacity, until: Instant) {
        self.advance(now);
        self.floor = floor;
        self.floor_until = until;
        let usable = self.usable(now);
        self.bucket.resize(now, &usable);
    }

    /// Applies this workspace's part of a grant that [`Reporter::accept`] found usable.
    ///
    /// A workspace that the grant does not name loses its elastic share.
    ///
    /// [`Reporter::accept`]: super::Reporter::accept
    pub fn apply(&mut self, now: Instant, workspace: &Workspace, grant: &Grant, until: Instant) {
        self.advance(now);
        self.elastic = grant.capacity.get(workspace).copied().unwrap_or_default();
        self.elastic_until = until;
        self.regional = grant.regional.contains(workspace);
        let usable = self.usable(now);
        self.returned += self.bucket.resize(now, &usable);
        self.bucket
            .add(now, grant.tokens.get(workspace).copied().unwrap_or(0.0));
    }

    /// Gives up the elastic share, before a planned stop.
    pub fn stop(&mut self, now: Instant) {
        self.advance(now);
        self.elastic = Capacity::ZERO;
        let usable = self.usable(now);
        self.returned += self.bucket.resize(now, &usable);
    }

    /// Admits one request, which has to be followed by [`finish`](Self::finish).
    ///
    /// # Errors
    ///
    /// Returns the exhausted part of the contract and when to retry.
    pub fn admit(&mut self, now: Instant) -> Result<(), Refused> {
        self.advance(now);
        self.decay(now);
        self.demand += 1.0 / DEMAND_DECAY.as_secs_f64();
        // A caller that waits for a running request would then still wait for the rate.
        self.bucket.check(now).map_err(|wait| Refused {
            reason: if self.regional {
                Reason::RegionalShare
            } else {
                Reason::Rate
            },
            retry_after: wait.unwrap_or(GRANT_DELAY),
        })?;
        if f64::from(self.running) + 1.0 > self.usable(now).concurrency {
            return Err(Refused {
                reason: Reason::Concurrency,
                retry_after: FINISH_DELAY,
            });
        }
        let taken = self.bucket.take(now);
        debug_assert!(taken.is_ok(), "the check found a token");
        self.running += 1;
        Ok(())
    }

    /// Ends a request that was admitted.
    pub const fn finish(&mut self, _now: Instant) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the capacity that can be used at `now`.
    pub fn usable(&self, now: Instant) -> Capacity {
        self.floor_at(now).plus(self.elastic_at(now))
    }

    /// Returns the usage for the next report, or `None` if there is nothing to report.
    ///
    /// Returned tokens are handed out once: they are lost with a lost report.
    pub fn usage(&mut self, now: Instant) -> Option<Usage> {
        self.advance(now);
        self.decay(now);
        let mut held = self.elastic_at(now);
        let beyond_floor = f64::from(self.running) - self.floor_at(now).concurrency;
        held.concurrency = held.concurrency.max(beyond_floor);
        let usage = Usage {
            demand: self.demand,
            running: f64::from(self.running),
            held,
            returned: std::mem::take(&mut self.returned),
        };
        let idle = usage.demand < IDLE_DEMAND && held.is_zero() && self.running == 0;
        (!idle).then_some(usage)
    }

    fn floor_at(&self, now: Instant) -> Capacity {
        if now < self.floor_until {
            self.floor
        } else {
            Capacity::ZERO
        }
    }

    fn elastic_at(&self, now: Instant) -> Capacity {
        if now < self.elastic_until {
            self.elastic
        } else {
            Capacity::ZERO
        }
    }

    /// Lets lapsed parts lapse at their own moment, so that no token is added for the time after.
    fn advance(&mut self, now: Instant) {
        let mut moments = [self.elastic_until, self.floor_until];
        moments.sort_unstable();
        for moment in moments.into_iter().filter(|moment| *moment <= now) {
            let usable = self.usable(moment);
            self.bucket.resize(moment, &usable);
        }
        if self.elastic_until <= now {
            self.elastic = Capacity::ZERO;
            self.returned = 0.0;
        }
        if self.floor_until <= now {
            self.floor = Capacity::ZERO;
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.counted).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_DECAY.as_secs_f64()).exp();
        self.counted = self.counted.max(now);
    }
}

#[cfg(test)]
mod tests;
