//! Retry budget of one service, shared by all hosts.
//!
//! Load pattern: many backend servers fail or shed load at once, and every retry adds load to the
//! others. Each host counts its own requests and retries in a sliding window and stays within its
//! part of the budget, so the hosts together respect it without communication.

use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Number of buckets that the window is divided into.
const BUCKET_COUNT: usize = 10;
/// Share of the permitted retries that is used.
///
/// The window slides by whole buckets, so another window of the same length may contain more.
const USED_SHARE: f64 = 0.8;

/// Limit on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window that all hosts together may send in addition.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Retry budget of one service at one host, with the counts of the last window.
#[derive(Debug, Clone)]
pub struct Budget {
    limit: Limit,
    buckets: [Bucket; BUCKET_COUNT],
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Creates a budget without requests.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            buckets: [Bucket::default(); BUCKET_COUNT],
        }
    }

    /// Sets the limit and keeps the counts; a change of the window length resets them.
    pub fn set_limit(&mut self, limit: Limit) {
        if limit.window != self.limit.window {
            self.buckets = [Bucket::default(); BUCKET_COUNT];
        }
        self.limit = limit;
    }

    /// Counts a new request, which raises the budget.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry out of the budget; returns whether the budget permitted it.
    ///
    /// `hosts` is the number of hosts that share the slack.
    pub fn take_retry(&mut self, now: Instant, hosts: usize) -> bool {
        let number = self.number(now);
        let (requests, retries) = self
            .buckets
            .iter()
            .filter(|it| it.number + BUCKET_COUNT as u64 > number && it.number <= number)
            .fold((0.0, 0.0), |(requests, retries), bucket| {
                (
                    requests + f64::from(bucket.requests),
                    retries + f64::from(bucket.retries),
                )
            });
        let slack = self.limit.slack / hosts.max(1) as f64;
        let permitted = USED_SHARE * (self.limit.ratio * requests + slack);
        if retries + 1.0 > permitted {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    // Numbers start at `BUCKET_COUNT`, so unused buckets (number 0) are never in the window.
    fn number(&self, now: Instant) -> u64 {
        let length = (self.limit.window.as_nanos() as u64 / BUCKET_COUNT as u64).max(1);
        now.as_nanos() / length + BUCKET_COUNT as u64
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let number = self.number(now);
        let bucket = &mut self.buckets[(number % BUCKET_COUNT as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}

#[cfg(test)]
mod tests;
