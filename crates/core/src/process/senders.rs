//! Division of the rate of one backend server between a few hosts.
//!
//! Load pattern: a server takes few requests per second from all hosts together, at times less than
//! one for each host. All hosts derive from the same hash which of them may send to it, so that
//! each of these has a useful part. The others send it nothing, and no host reports what it sent.

use azurenotch_wire::{
    hash::{hash64, mix},
    id::{Host, Region},
    time::Instant,
};
use std::time::Duration;

/// Rate limiter of one host for one backend server.
#[derive(Debug, Clone, Copy)]
pub struct Limiter {
    tokens: f64,
    updated: Instant,
}

impl Limiter {
    /// Creates a limiter that permits `tokens` requests at once.
    pub fn new(now: Instant, tokens: f64) -> Self {
        Self {
            tokens,
            updated: now,
        }
    }

    /// Returns whether this host may send now.
    ///
    /// It may send `rate` requests per second, and up to `burst` of them at once.
    pub fn has_token(&mut self, now: Instant, rate: f64, burst: f64) -> bool {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        self.updated = now;
        self.tokens >= 1.0
    }

    /// Takes one token for a request that was sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the time from the last update until there is a token; `None` if that never happens.
    pub fn wait(&self, rate: f64) -> Option<Duration> {
        let lacking = (1.0 - self.tokens).max(0.0);
        Duration::try_from_secs_f64(lacking / rate).ok()
    }
}

/// Place of a host among those that may send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of senders before this one, which differs between them.
    pub rank: usize,
    /// Number of senders.
    pub senders: usize,
}

impl Place {
    /// Returns the place of `own` among the hosts that may send to a server; `None` if it may not.
    ///
    /// `hosts` are the candidates, of which at most `most` may send; `own` counts as one of them
    /// even if it is missing.
    pub fn new(server: u64, own: &Host, hosts: &[Host], most: usize) -> Option<Self> {
        let order = |host: &Host| mix(server, hash64(host.as_str()));
        let own_order = order(own);
        let others = hosts.iter().filter(|host| *host != own);
        let (mut rank, mut total) = (0, 1);
        for host in others {
            rank += usize::from(order(host) < own_order);
            total += 1;
        }
        (rank < most).then(|| Self {
            rank,
            senders: total.min(most),
        })
    }
}

/// Returns the hosts among which the senders of a server in `region` are chosen.
///
/// These are the hosts of the region and of regions that have no server of the same service;
/// `served` names those that have one. All hosts are candidates if none of these is known, or if the
/// region is not.
pub fn candidates(
    hosts: &[(Region, Host)],
    region: Option<&Region>,
    served: &[&Region],
) -> Vec<Host> {
    let near = hosts
        .iter()
        .filter(|(it, _)| region.is_none_or(|region| it == region) || !served.contains(&it));
    let near: Vec<Host> = near.map(|(_, host)| host.clone()).collect();
    if near.is_empty() {
        return hosts.iter().map(|(_, host)| host.clone()).collect();
    }
    near
}

#[cfg(test)]
mod tests;
