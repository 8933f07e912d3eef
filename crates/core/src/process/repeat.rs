//! Budget of repeated sends of one service, shared by all hosts.
//!
//! Load pattern: many backend servers fail or shed at once, and every repeated send adds load to
//! the others. Each host counts its own requests and repeats in a sliding window and stays within
//! its part of the budget, so that the hosts together keep it without talking to one another.

use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Parts of the window in which counts are kept.
const PARTS: usize = 10;
/// Share of the permitted repeats that is used; the rest covers windows that slide.
const USED: f64 = 0.8;

/// Limit on repeated sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats of all hosts that are permitted besides.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and repeats of one service in the last window.
#[derive(Debug, Clone)]
pub struct Budget {
    limit: Limit,
    parts: [Part; PARTS],
}

#[derive(Debug, Clone, Copy, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl Budget {
    /// Creates a budget without requests.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            parts: [Part::default(); PARTS],
        }
    }

    /// Sets the limit and keeps what was counted; a window of another length starts anew.
    pub fn set_limit(&mut self, limit: Limit) {
        if limit.window != self.limit.window {
            self.parts = [Part::default(); PARTS];
        }
        self.limit = limit;
    }

    /// Counts a new request.
    pub fn request(&mut self, now: Instant) {
        self.part(now).requests += 1;
    }

    /// Takes one repeat out of the budget; returns whether there was one.
    pub fn repeat(&mut self, now: Instant, hosts: usize) -> bool {
        let number = self.number(now);
        let (requests, repeats) = self
            .parts
            .iter()
            .filter(|part| part.number + PARTS as u64 > number && part.number <= number)
            .fold((0.0, 0.0), |(requests, repeats), part| {
                (
                    requests + f64::from(part.requests),
                    repeats + f64::from(part.repeats),
                )
            });
        let slack = self.limit.slack / hosts.max(1) as f64;
        let permitted = USED * (self.limit.ratio * requests + slack);
        if repeats + 1.0 > permitted {
            return false;
        }
        self.part(now).repeats += 1;
        true
    }

    fn number(&self, now: Instant) -> u64 {
        let length = (self.limit.window.as_nanos() as u64 / PARTS as u64).max(1);
        now.as_nanos() / length + PARTS as u64
    }

    fn part(&mut self, now: Instant) -> &mut Part {
        let number = self.number(now);
        let part = &mut self.parts[(number % PARTS as u64) as usize];
        if part.number != number {
            *part = Part {
                number,
                ..Part::default()
            };
        }
        part
    }
}

#[cfg(test)]
mod tests;
