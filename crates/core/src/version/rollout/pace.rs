//! Pace at which one workspace's traffic may move.

use super::SHARE_FIRST;
use azurenotch_config::document::Contract;
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Shortest interval and smallest step, in case a contract holds a zero.
const INTERVAL_MIN: Duration = Duration::from_millis(100);
const STEP_MIN: f64 = 0.001;

/// Step and interval of a contract.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Largest increase of the share at once.
    pub step: f64,
    /// Shortest time between two steps.
    pub interval: Duration,
}

impl Pace {
    /// Reads the pace of a contract.
    pub fn new(contract: &Contract) -> Self {
        Self {
            step: contract.version_share_step.clamp(STEP_MIN, 1.0),
            interval: contract.version_step_interval.max(INTERVAL_MIN),
        }
    }

    /// Returns the highest share that the pace allows `elapsed` after the start of a move.
    pub fn share_after(&self, elapsed: Duration) -> f64 {
        let steps = (elapsed.as_secs_f64() / self.interval.as_secs_f64()).floor();
        (SHARE_FIRST + steps * self.step).min(1.0)
    }

    /// Returns the shortest time from `share` to all traffic.
    pub fn time_from(&self, share: f64) -> Duration {
        // The tolerance keeps a rounding error from adding a step.
        let steps = ((1.0 - share) / self.step - 1e-9).ceil().max(0.0);
        self.interval.mul_f64(steps)
    }

    /// Returns the share gained per second.
    pub fn speed(&self) -> f64 {
        self.step / self.interval.as_secs_f64()
    }
}

/// Share of one workspace at one host, with the error that is carried to the next request.
#[derive(Debug, Clone)]
pub struct Flow {
    pace: Option<Pace>,
    /// Share of the move, towards which the workspace's share grows.
    target: f64,
    share: f64,
    raised: Instant,
    carried: f64,
}

impl Flow {
    /// Creates the flow of a workspace, or of open routes, `elapsed` after the start of the move.
    pub fn new(now: Instant, pace: Option<Pace>, target: f64, elapsed: Duration) -> Self {
        let allowed = pace.map_or(1.0, |pace| pace.share_after(elapsed));
        Self {
            pace,
            target,
            share: target.min(allowed),
            raised: now,
            carried: 0.0,
        }
    }

    /// Takes a new share of the move or another pace.
    pub fn retarget(&mut self, now: Instant, pace: Option<Pace>, target: f64) {
        self.advance(now);
        self.pace = pace;
        if let Some(pace) = pace {
            // Time spent at the target allows one step at once and not several.
            self.raised = self.raised.max(now - pace.interval);
        }
        self.target = target;
        self.share = self.share.min(target);
        self.advance(now);
    }

    /// Returns whether the next request goes to the new version.
    ///
    /// Over any requests, the new version gets at most the sum of their shares.
    pub fn next(&mut self, now: Instant) -> bool {
        self.advance(now);
        self.carried += self.share;
        let is_new = self.carried >= 1.0;
        if is_new {
            self.carried -= 1.0;
        }
        is_new
    }

    fn advance(&mut self, now: Instant) {
        let Some(pace) = self.pace else {
            self.share = self.target;
            return;
        };
        while self.share < self.target && now.since(self.raised) >= pace.interval {
            self.share = (self.share + pace.step).min(self.target);
            self.raised = self.raised + pace.interval;
        }
    }
}
