//! Callers that a full service has refused, and when each of them comes back.
//!
//! Load pattern: hundreds of callers are refused within a moment and return together, when only a
//! few can be served. The delay therefore follows from how many callers of the workspace are
//! expected back that are served no later, and from the rate at which its requests are answered:
//! they return one after the other at that rate, as long as their time permits.

use super::returning::Recent;
use azurenotch_wire::{Map, time::Instant};
use std::time::Duration;

/// Number of ranks that are distinguished; higher ones are treated like the last.
const RANKS: usize = 5;
/// Shortest delay before a refused caller returns.
const MIN_DELAY_S: f64 = 0.15;
/// Range of the jitter.
const JITTER_S: f64 = 0.3;
/// Largest delay, as a share of the caller's remaining time.
const MAX_SHARE_OF_TIME: f64 = 1.0 / 3.0;
/// Earliest delay of a caller that returns before the queue is short, as a share of the largest.
const MIN_SHARE_OF_LARGEST: f64 = 0.5;
/// Longest delay; what a service frees later is not foreseeable.
const MAX_DELAY_S: f64 = 5.0;
/// Number of requests below which a workspace is forgotten.
const MIN_COUNT: f64 = 0.01;
/// Number of workspaces from which forgotten ones are removed.
const MAX_WORKSPACES: usize = 256;

/// Refused caller.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Hash of the workspace; `None` without one.
    pub workspace: Option<u32>,
    /// Rank of the request; rank 0 is served first.
    pub rank: u32,
    /// Expected time until the queue is short enough for the request.
    pub until_admissible: Duration,
    /// Time until the caller's deadline.
    pub left: Duration,
}

/// Refused callers of one service at one host.
#[derive(Debug, Default)]
pub struct Backlog {
    workspaces: Map<Option<u32>, Workspace>,
}

#[derive(Debug, Default)]
struct Workspace {
    /// Callers refused lately, by rank.
    refused: [Recent; RANKS],
    /// Answers of servers.
    answered: Recent,
}

impl Workspace {
    fn is_idle(&self, now: Instant) -> bool {
        let counts = self.refused.iter().chain([&self.answered]);
        counts.map(|count| count.value(now)).sum::<f64>() < MIN_COUNT
    }
}

impl Backlog {
    /// Records an answer of a server to a request of the workspace.
    pub fn on_answer(&mut self, now: Instant, workspace: Option<u32>) {
        self.entry(now, workspace).answered.add(now, 1.0);
    }

    /// Returns when a refused caller may come back, and counts it; `random` is a number in 0..1.
    ///
    /// A delay longer than the caller's remaining time says that it cannot be served within it.
    pub fn refuse(&mut self, now: Instant, refusal: &Refusal, random: f64) -> Duration {
        let rank = (refusal.rank as usize).min(RANKS - 1);
        let own = self.entry(now, refusal.workspace);
        own.refused[rank].add(now, 1.0);
        let waiting: f64 = own.refused[..=rank].iter().map(|it| it.value(now)).sum();
        let rate = own.answered.rate(now).max(f64::MIN_POSITIVE);
        let ahead = (waiting - 1.0).max(0.0) / rate;
        let until_admissible = refusal.until_admissible.as_secs_f64();
        let from = until_admissible.max(MIN_DELAY_S) + ahead.min(MAX_DELAY_S);
        if refusal.until_admissible >= refusal.left {
            return Duration::from_secs_f64(from + random * JITTER_S);
        }
        let latest = MAX_SHARE_OF_TIME * refusal.left.as_secs_f64();
        let to = (from + JITTER_S).min(latest);
        let from = if to < latest {
            from
        } else {
            from.min(MIN_SHARE_OF_LARGEST * latest)
        };
        Duration::from_secs_f64(from + random * (to - from))
    }

    fn entry(&mut self, now: Instant, workspace: Option<u32>) -> &mut Workspace {
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(&workspace) {
            self.workspaces.retain(|_, it| !it.is_idle(now));
        }
        self.workspaces.entry(workspace).or_default()
    }
}

#[cfg(test)]
mod tests;
