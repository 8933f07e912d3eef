//! Pace of requests to a backend server that is cold, over all hosts together.
//!
//! Load pattern: a data centre returns with all its backend servers cold while every host has
//! requests waiting; a cold server that gets more than its pace crashes. A few sponsor hosts, which
//! all hosts derive from the same hash, share the pace of a cold server; the others leave it alone.

use azurenotch_wire::{id::Host, time::Instant};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// Hosts that may send to one cold backend server.
const SPONSORS: usize = 3;
/// Share of the permitted pace that the sponsors use; one request each may come on top.
const USED: f64 = 0.7;

/// Pace of one host towards one cold backend server.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    tokens: f64,
    updated: Instant,
}

impl Pace {
    /// Creates a pace that permits one request at once.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            updated: now,
        }
    }

    /// Returns whether one of `sponsors` hosts may send now, given the pace of all hosts.
    pub fn is_open(&mut self, now: Instant, per_second: f64, sponsors: usize) -> bool {
        let rate = USED * per_second / sponsors.max(1) as f64;
        let elapsed = now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(1.0);
        self.updated = now;
        self.tokens >= 1.0
    }

    /// Counts a request that was sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Returns how many sponsors a server has, or `None` if `own` is not one of them.
pub fn sponsors(server: u64, own: &Host, hosts: &[Host]) -> Option<usize> {
    let rank = |host: &Host| {
        let mut hasher = FxHasher::default();
        (server, host.as_str()).hash(&mut hasher);
        hasher.finish()
    };
    let mine = rank(own);
    let before = hosts
        .iter()
        .filter(|host| *host != own && rank(host) < mine)
        .count();
    let total = hosts.iter().filter(|host| *host != own).count() + 1;
    (before < SPONSORS).then_some(total.min(SPONSORS))
}

#[cfg(test)]
mod tests;
