//! Requests of a workspace at another host, from its reports.

use super::Count;
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Lower limit of the time between two reports from which a rate is computed, in seconds.
const MIN_REPORT_INTERVAL_S: f64 = 0.02;

/// Last report of another host and the estimate since then.
#[derive(Debug, Clone)]
pub(super) struct RemoteUsage {
    /// Incarnation of the last report; `None` before the first one.
    pub(super) incarnation: Option<u64>,
    pub(super) count: Count,
    pub(super) reported: Instant,
    /// Average rate of requests at that host, per second.
    pub(super) demand: f64,
    /// Long-term average of that rate, per second.
    pub(super) usual_demand: f64,
    /// Tokens taken since the last report for requests that the host may have admitted.
    ///
    /// Up to [`Self::since`]; those after it follow from the totals of all hosts.
    pub(super) assumed: f64,
    /// Total that applies to the host when it was last added to the sums.
    pub(super) since: f64,
    /// Part of the tokens and the rate that is set aside while the host is silent.
    pub(super) silent_part: Option<f64>,
}

impl RemoteUsage {
    pub(super) fn new(incarnation: Option<u64>, count: Count, reported: Instant) -> Self {
        Self {
            incarnation,
            count,
            reported,
            demand: 0.0,
            usual_demand: 0.0,
            assumed: 0.0,
            since: 0.0,
            silent_part: None,
        }
    }
}

/// Requests between two reports of a host.
pub(super) struct Requests {
    pub(super) elapsed: Duration,
    pub(super) before: Count,
    pub(super) after: Count,
}

impl Requests {
    /// Returns the moving average of the rate that was `former` before them.
    pub(super) fn average(&self, former: f64, time_constant_s: f64) -> f64 {
        let elapsed = self.elapsed.as_secs_f64().max(MIN_REPORT_INTERVAL_S);
        let weight = (elapsed / time_constant_s).min(1.0);
        let asked = self.after.asked.saturating_sub(self.before.asked) as f64;
        former + weight * (asked / elapsed - former)
    }
}
