//! Requests of a workspace at this host, and what the host reports of them.

use super::DEMAND_TIME_CONSTANT_S;
use azurenotch_wire::time::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after the last request during which counts are reported.
///
/// It covers several rounds of reports, because some are lost.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests of a workspace at one host since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that callers sent, including refused ones.
    pub asked: u64,
    /// Requests that were admitted.
    pub admitted: u64,
}

/// Beginning of the requests that arrive with less than [`ACTIVE_TIMEOUT`] between them.
#[derive(Debug, Clone, Copy)]
struct Activity {
    since: Instant,
    /// Requests before it.
    before: Count,
    /// When the last of these arrived.
    last: Instant,
}

/// Requests of a workspace at one host, as the host reports them to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests since the start of the process.
    pub count: Count,
    /// Requests before recent activity, for hosts that have no earlier report; `None` if there are
    /// no such hosts, or the activity is not recent.
    pub before: Option<Count>,
}

impl Report {
    /// Returns the counts that the report consists of, oldest first.
    pub fn counts(self) -> impl Iterator<Item = Count> {
        self.before.into_iter().chain([self.count])
    }
}

/// Requests of a workspace at this host.
#[derive(Debug, Clone)]
pub(super) struct Own {
    pub(super) count: Count,
    activity: Activity,
    /// Average rate of requests, per second.
    pub(super) demand: f64,
    demand_at: Instant,
}

impl Own {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            count: Count::default(),
            activity: Activity {
                since: now,
                before: Count::default(),
                last: now,
            },
            demand: 0.0,
            demand_at: now,
        }
    }

    /// Counts a request that a caller sent.
    pub(super) fn ask(&mut self, now: Instant) {
        if !self.is_active(now) {
            self.activity = Activity {
                since: now,
                before: self.count,
                last: self.demand_at,
            };
        }
        self.count.asked += 1;
        let elapsed = now.since(self.demand_at).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT_S).exp();
        self.demand += 1.0 / DEMAND_TIME_CONSTANT_S;
        self.demand_at = now;
    }

    /// Returns the report to send; see the method of the bucket.
    pub(super) fn report(&self, now: Instant, joined: Option<Instant>) -> Option<Report> {
        if !self.is_active(now) {
            return None;
        }
        let Activity {
            since,
            before,
            last,
        } = self.activity;
        let is_recent = now.since(since) < ACTIVE_TIMEOUT;
        let is_unknown = before.asked == 0 || joined.is_some_and(|joined| joined >= last);
        Some(Report {
            count: self.count,
            before: (is_recent && is_unknown).then_some(before),
        })
    }

    /// Returns whether requests arrived recently.
    fn is_active(&self, now: Instant) -> bool {
        self.count.asked > 0 && now.since(self.demand_at) < ACTIVE_TIMEOUT
    }
}
