//! Limit on the rate of requests that all hosts together send to a cold backend server.
//!
//! Load pattern: a data centre returns with all its backend servers cold while every host has
//! requests waiting, and a cold server that receives more than its permitted rate crashes. A few
//! hosts, which all hosts derive from the same hash, share the rate of a cold server. The others
//! send it nothing.

use azurenotch_wire::{id::Host, time::Instant};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// Largest number of hosts that send to one cold backend server.
const MAX_SENDERS: usize = 3;
/// Share of the permitted rate that the senders use; each may exceed it by one request.
const USED_RATE_SHARE: f64 = 0.7;

/// Rate limiter of one host for one cold backend server.
#[derive(Debug, Clone, Copy)]
pub struct Limiter {
    tokens: f64,
    updated: Instant,
}

impl Limiter {
    /// Creates a limiter that permits one request at once.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            updated: now,
        }
    }

    /// Returns whether this host, one of `senders` hosts, may send now.
    ///
    /// `per_second` is the rate that all hosts together may send to the server.
    pub fn has_token(&mut self, now: Instant, per_second: f64, senders: usize) -> bool {
        let rate = USED_RATE_SHARE * per_second / senders.max(1) as f64;
        let elapsed = now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(1.0);
        self.updated = now;
        self.tokens >= 1.0
    }

    /// Takes one token for a request that was sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Returns how many hosts may send to a cold server, or `None` if `own` is not among them.
///
/// `hosts` are the candidates; `own` counts as one of them even if it is missing.
pub fn sender_count(server: u64, own: &Host, hosts: &[Host]) -> Option<usize> {
    let rank = |host: &Host| {
        let mut hasher = FxHasher::default();
        (server, host.as_str()).hash(&mut hasher);
        hasher.finish()
    };
    let own_rank = rank(own);
    let before = hosts
        .iter()
        .filter(|host| *host != own && rank(host) < own_rank)
        .count();
    let total = hosts.iter().filter(|host| *host != own).count() + 1;
    (before < MAX_SENDERS).then_some(total.min(MAX_SENDERS))
}

#[cfg(test)]
mod tests;
