//! Callers that return after a refusal, and how long they may wait.
//!
//! Load pattern: a service is full, refused callers return with less time left and are refused
//! again. A caller that names clearly less time than most callers of its route do has been refused
//! or failed before. It may wait up to what its time permits, so that its second attempt is served.
//! While first-time callers are refused, returning ones get the longer wait only up to half of what
//! is admitted, and a shorter wait beyond that, so that first-time callers keep the other half.

use super::admission::Allowance;
use azurenotch_wire::{Map, time::Instant};
use std::time::Duration;

/// Width of a bucket of named times, as a factor.
const BUCKET_FACTOR: f64 = 1.05;
/// Number of buckets; they reach from 10 ms to more than 10 min.
const BUCKETS: usize = 256;
/// Lower bound of the first bucket, in seconds.
const MIN_TIME_S: f64 = 0.01;
/// Share of the requests that name the longest usual time or a longer one.
///
/// Single callers with a very long time would otherwise make all others look like returning ones.
const LONGEST_SHARE: f64 = 0.1;
/// Number of requests after which the weight of earlier ones is halved.
const HALVING_REQUESTS: f64 = 1_000.0;
/// Number of requests before which no caller counts as returning.
const MIN_REQUESTS: f64 = 20.0;
/// Share of the longest usual time below which a time is clearly less.
const RETURNING_SHARE: f64 = 0.9;
/// Time constant of the counts of admitted and refused requests, in seconds.
const COUNT_TIME_CONSTANT_S: f64 = 2.0;
/// Returning callers that may be admitted beyond half of the requests.
const SLACK: f64 = 2.0;

/// Whether a caller comes for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Caller {
    /// Names about as much time as most callers of the route, or none.
    #[default]
    First,
    /// Names clearly less time, since a part of it has passed in an earlier attempt.
    Returning,
}

impl Caller {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Returning => "returning",
        }
    }
}

/// Times that the callers of one route name.
#[derive(Debug, Clone)]
pub struct Times {
    buckets: [f32; BUCKETS],
    total: f64,
    /// Lower bound of the longest usual time, in seconds.
    longest: f64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            buckets: [0.0; BUCKETS],
            total: 0.0,
            longest: 0.0,
        }
    }
}

impl Times {
    /// Returns which kind of caller names this time, and adds it to the times of the route.
    pub fn observe(&mut self, named: Duration) -> Caller {
        let caller =
            if self.total >= MIN_REQUESTS && named.as_secs_f64() < RETURNING_SHARE * self.longest {
                Caller::Returning
            } else {
                Caller::First
            };
        if self.total >= HALVING_REQUESTS {
            for weight in &mut self.buckets {
                *weight /= 2.0;
            }
            self.total /= 2.0;
        }
        self.buckets[bucket(named)] += 1.0;
        self.total += 1.0;
        self.longest = self.longest_usual();
        caller
    }

    /// Returns the lower bound, in seconds, of the bucket of the longest time that is usual.
    fn longest_usual(&self) -> f64 {
        let mut above = 0.0;
        let last = self.buckets.iter().rposition(|weight| {
            above += f64::from(*weight);
            above >= LONGEST_SHARE * self.total
        });
        let last = last.unwrap_or_default() as f64;
        MIN_TIME_S * BUCKET_FACTOR.powf(last)
    }
}

fn bucket(named: Duration) -> usize {
    let ratio = (named.as_secs_f64() / MIN_TIME_S).max(1.0);
    let index = ratio.ln() / BUCKET_FACTOR.ln();
    (index as usize).min(BUCKETS - 1)
}

/// Count whose earlier parts lose weight with time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Recent {
    at: Instant,
    value: f64,
}

impl Recent {
    pub(super) fn value(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / COUNT_TIME_CONSTANT_S).exp()
    }

    /// Returns the average rate per second.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        self.value(now) / COUNT_TIME_CONSTANT_S
    }

    pub(super) fn add(&mut self, now: Instant, count: f64) {
        self.value = self.value(now) + count;
        self.at = now;
    }
}

/// First-time and returning callers of one service at one host.
#[derive(Debug, Default)]
pub struct Callers {
    routes: Map<u32, Times>,
    first_admitted: Recent,
    first_refused: Recent,
    returning_admitted: Recent,
}

impl Callers {
    /// Returns which kind of caller sent a request that names this time on the route.
    ///
    /// To be called once for each request.
    pub fn observe(&mut self, route: u32, named: Option<Duration>) -> Caller {
        let Some(named) = named else {
            return Caller::First;
        };
        self.routes.entry(route).or_default().observe(named)
    }

    /// Returns how long a caller may wait, compared with the usual.
    pub fn allowance(&self, now: Instant, caller: Caller) -> Allowance {
        if caller == Caller::First {
            return Allowance::Usual;
        }
        let no_first_refused = self.first_refused.value(now) < 1.0;
        let returning = self.returning_admitted.value(now);
        if no_first_refused || returning < self.first_admitted.value(now) + SLACK {
            Allowance::Longer
        } else {
            Allowance::Shorter
        }
    }

    /// Records whether a request was admitted.
    pub fn record(&mut self, now: Instant, caller: Caller, admitted: bool) {
        let count = match (caller, admitted) {
            (Caller::First, true) => &mut self.first_admitted,
            (Caller::First, false) => &mut self.first_refused,
            (Caller::Returning, true) => &mut self.returning_admitted,
            (Caller::Returning, false) => return,
        };
        count.add(now, 1.0);
    }
}

#[cfg(test)]
mod tests;
