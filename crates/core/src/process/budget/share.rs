//! Admission of one workspace's requests at one host.

use crate::process::bucket::Bucket;
use azurenotch_wire::{
    budget::{Capacity, Grant, Usage},
    id::Workspace,
    refusal::Reason,
    time::Instant,
};
use std::time::Duration;

/// Time after which the weight of an arrival in the demand estimate has fallen to 1/e.
pub(super) const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Demand below which a workspace counts as idle.
const IDLE_DEMAND_PER_SECOND: f64 = 0.01;
/// Retry delay when the host has no capacity until its next grants.
const NO_CAPACITY_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Retry delay when the concurrency is used up.
const CONCURRENCY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a request was not admitted, and when to retry it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Limit of the contract that is exhausted.
    pub reason: Reason,
    /// Delay after which a retry may be admitted.
    pub retry_after: Duration,
}

/// Floor and elastic share of one workspace at one host.
///
/// Both lapse by the host's own clock, even if the process was paused in the meantime.
#[derive(Debug, Clone)]
pub struct Share {
    floor: Capacity,
    floor_until: Instant,
    elastic: Capacity,
    elastic_until: Instant,
    bucket: Bucket,
    running: u32,
    /// Estimated arrivals per second, admitted or not.
    demand: f64,
    /// Time of the last update of `demand`.
    demand_updated: Instant,
    /// Tokens given up since the last report.
    returned: f64,
    /// Whether the regional share limits the elastic capacity.
    region_limited: bool,
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
            demand_updated: now,
            returned: 0.0,
            region_limited: false,
        }
    }

    /// Sets the floor and the time at which it lapses.
    ///
    /// `until` is [`Timing::holdover`](super::Timing::holdover) after the time at which the last
    /// successful renewal of the slot was sent.
    pub fn set_floor(&mut self, now: Instant, floor: Capacity, until: Instant) {
        self.remove_lapsed(now);
        self.floor = floor;
        self.floor_until = until;
        let usable = self.usable(now);
        self.bucket.resize(now, &usable);
    }

    /// Applies this workspace's part of a grant that [`Reporter::accept`] accepted until `until`.
    ///
    /// A workspace that is not in the grant loses its elastic share.
    ///
    /// [`Reporter::accept`]: super::Reporter::accept
    pub fn apply_grant(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        grant: &Grant,
        until: Instant,
    ) {
        self.remove_lapsed(now);
        self.elastic = grant.capacity.get(workspace).copied().unwrap_or_default();
        self.elastic_until = until;
        self.region_limited = grant.regional.contains(workspace);
        let usable = self.usable(now);
        self.returned += self.bucket.resize(now, &usable);
        self.bucket
            .add(now, grant.tokens.get(workspace).copied().unwrap_or(0.0));
    }

    /// Gives up the elastic share, before a planned stop or a change of the slot.
    pub fn release_elastic(&mut self, now: Instant) {
        self.remove_lapsed(now);
        self.elastic = Capacity::ZERO;
        let usable = self.usable(now);
        self.returned += self.bucket.resize(now, &usable);
    }

    /// Admits one request; the caller must call [`finish`](Self::finish) when it ends.
    ///
    /// # Errors
    ///
    /// Returns the exhausted limit of the contract and when to retry.
    pub fn admit(&mut self, now: Instant) -> Result<(), Refused> {
        self.remove_lapsed(now);
        self.decay_demand(now);
        self.demand += 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        // The rate is checked first: a caller refused for concurrency would retry after
        // `CONCURRENCY_RETRY_DELAY` and might then be refused for the rate.
        self.bucket.check(now).map_err(|wait| Refused {
            reason: if self.region_limited {
                Reason::RegionalShare
            } else {
                Reason::Rate
            },
            retry_after: wait.unwrap_or(NO_CAPACITY_RETRY_DELAY),
        })?;
        if f64::from(self.running) + 1.0 > self.usable(now).concurrency {
            return Err(Refused {
                reason: Reason::Concurrency,
                retry_after: CONCURRENCY_RETRY_DELAY,
            });
        }
        let taken = self.bucket.take(now);
        debug_assert!(taken.is_ok(), "the bucket had a token when it was checked");
        self.running += 1;
        Ok(())
    }

    /// Records that an admitted request ended.
    pub const fn finish(&mut self, _now: Instant) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the floor and elastic capacity that are valid at `now`.
    pub fn usable(&self, now: Instant) -> Capacity {
        self.floor_at(now).plus(self.elastic_at(now))
    }

    /// Returns the usage for the next report, or `None` if there is nothing to report.
    ///
    /// Each returned token appears in one report only; a lost report loses its tokens.
    pub fn usage(&mut self, now: Instant) -> Option<Usage> {
        self.remove_lapsed(now);
        self.decay_demand(now);
        let mut held = self.elastic_at(now);
        let beyond_floor = f64::from(self.running) - self.floor_at(now).concurrency;
        held.concurrency = held.concurrency.max(beyond_floor);
        let usage = Usage {
            demand: self.demand,
            running: f64::from(self.running),
            held,
            returned: std::mem::take(&mut self.returned),
        };
        let idle = usage.demand < IDLE_DEMAND_PER_SECOND && held.is_zero() && self.running == 0;
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

    /// Removes the floor and elastic share that have lapsed by `now`.
    ///
    /// The bucket is resized as of the lapse time, so that no tokens are added for later time.
    fn remove_lapsed(&mut self, now: Instant) {
        let mut lapse_times = [self.elastic_until, self.floor_until];
        lapse_times.sort_unstable();
        for lapse_time in lapse_times
            .into_iter()
            .filter(|lapse_time| *lapse_time <= now)
        {
            let usable = self.usable(lapse_time);
            self.bucket.resize(lapse_time, &usable);
        }
        if self.elastic_until <= now {
            self.elastic = Capacity::ZERO;
            self.returned = 0.0;
        }
        if self.floor_until <= now {
            self.floor = Capacity::ZERO;
        }
    }

    fn decay_demand(&mut self, now: Instant) {
        let elapsed = now.since(self.demand_updated).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.demand_updated = self.demand_updated.max(now);
    }
}

#[cfg(test)]
mod tests;
