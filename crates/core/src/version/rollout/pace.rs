//! Pace at which the traffic of one workspace may move to a new version.

use super::INITIAL_SHARE;
use azurenotch_config::document::Contract;
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Lower bounds of the interval and the step, in case a contract contains zero.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
const MIN_STEP: f64 = 0.001;

/// Pace of a version move, as limited by a contract.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Largest increase of the share in one step.
    pub step: f64,
    /// Shortest time between two steps.
    pub interval: Duration,
}

impl Pace {
    /// Creates the pace that a contract allows.
    pub fn new(contract: &Contract) -> Self {
        Self {
            step: contract.version_share_step.clamp(MIN_STEP, 1.0),
            interval: contract.version_step_interval.max(MIN_INTERVAL),
        }
    }

    /// Returns the highest permitted share at the time `elapsed` after the start of a move.
    pub fn share_after(&self, elapsed: Duration) -> f64 {
        let steps = (elapsed.as_secs_f64() / self.interval.as_secs_f64()).floor();
        (INITIAL_SHARE + steps * self.step).min(1.0)
    }

    /// Returns the shortest time in which `share` can grow to all traffic.
    pub fn time_from(&self, share: f64) -> Duration {
        // The tolerance prevents a rounding error from adding a step.
        let steps = ((1.0 - share) / self.step - 1e-9).ceil().max(0.0);
        self.interval.mul_f64(steps)
    }

    /// Returns the increase of the share per second.
    pub fn share_per_second(&self) -> f64 {
        self.step / self.interval.as_secs_f64()
    }
}

/// Traffic split of one workspace on one host between the running and the new version.
///
/// The fraction of a request that rounding leaves over is carried to the next request.
#[derive(Debug, Clone)]
pub struct Split {
    pace: Option<Pace>,
    /// Share of the move; the workspace's share grows towards it.
    target: f64,
    share: f64,
    raised_at: Instant,
    carry: f64,
}

impl Split {
    /// Creates the split at the time `elapsed` after the start of the move.
    ///
    /// `pace` is `None` for open routes, whose share follows the move without a limit.
    pub fn new(now: Instant, pace: Option<Pace>, target: f64, elapsed: Duration) -> Self {
        let allowed = pace.map_or(1.0, |pace| pace.share_after(elapsed));
        Self {
            pace,
            target,
            share: target.min(allowed),
            raised_at: now,
            carry: 0.0,
        }
    }

    /// Sets the share of the move and the pace.
    pub fn set_target(&mut self, now: Instant, pace: Option<Pace>, target: f64) {
        self.advance(now);
        self.pace = pace;
        if let Some(pace) = pace {
            // Time spent at the previous target permits a single immediate step, not several.
            self.raised_at = self.raised_at.max(now - pace.interval);
        }
        self.target = target;
        self.share = self.share.min(target);
        self.advance(now);
    }

    /// Returns whether the next request goes to the new version.
    ///
    /// The number of requests to the new version never exceeds the sum of the shares that applied
    /// to the requests so far.
    pub fn next(&mut self, now: Instant) -> bool {
        self.advance(now);
        self.carry += self.share;
        let is_new = self.carry >= 1.0;
        if is_new {
            self.carry -= 1.0;
        }
        is_new
    }

    fn advance(&mut self, now: Instant) {
        let Some(pace) = self.pace else {
            self.share = self.target;
            return;
        };
        while self.share < self.target && now.since(self.raised_at) >= pace.interval {
            self.share = (self.share + pace.step).min(self.target);
            self.raised_at = self.raised_at + pace.interval;
        }
    }
}
