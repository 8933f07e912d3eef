//! Division of the rate of one backend server between a few hosts.
//!
//! Load pattern: a server takes few requests per second from all hosts together, at times less than
//! one for each host. All hosts derive from the same hash which of them may send to it, so that
//! each of these has a useful part. The others send it nothing, and no host reports what it sent.

use azurenotch_wire::{
    Map, Set,
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
    /// All are given as hashes of their names. `hosts` are the candidates, of which at most `most`
    /// may send; `own` counts as one of them even if it is missing.
    pub fn new(server: u64, own: u64, hosts: &[u64], most: usize) -> Option<Self> {
        let own_order = mix(server, own);
        let others = hosts.iter().filter(|host| **host != own);
        let (mut rank, mut total) = (0, 1);
        for host in others {
            rank += usize::from(mix(server, *host) < own_order);
            total += 1;
        }
        (rank < most).then(|| Self {
            rank,
            senders: total.min(most),
        })
    }
}

/// Hosts of which some may send to a server, by region, as hashes of their names.
///
/// Each name is hashed once, however many servers the hosts are ranked for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Roster {
    regions: Map<Region, Vec<u64>>,
}

impl Roster {
    /// Creates a roster of hosts and their regions.
    pub fn new<'a>(hosts: impl IntoIterator<Item = (&'a Region, &'a Host)>) -> Self {
        let mut regions: Map<Region, Vec<u64>> = Map::default();
        for (region, host) in hosts {
            let hash = hash64(host.as_str());
            match regions.get_mut(region) {
                Some(hosts) => hosts.push(hash),
                None => {
                    regions.insert(region.clone(), vec![hash]);
                }
            }
        }
        // Equal sets of hosts make equal rosters.
        for hosts in regions.values_mut() {
            hosts.sort_unstable();
        }
        Self { regions }
    }

    /// Returns the hosts of a region; `None` if it has none.
    pub fn region(&self, region: &Region) -> Option<&[u64]> {
        self.regions.get(region).map(Vec::as_slice)
    }

    /// Returns all hosts.
    pub fn all(&self) -> Vec<u64> {
        self.regions.values().flatten().copied().collect()
    }

    /// Returns the hosts among which the senders of a server in `region` are chosen.
    ///
    /// These are the hosts of the region and of regions that have no server of the same service;
    /// `served` names those that have one. All hosts are candidates if none of these is known, or if
    /// the region is not.
    pub fn candidates(&self, region: Option<&Region>, served: &Set<&Region>) -> Vec<u64> {
        let regions = self
            .regions
            .iter()
            .filter(|(it, _)| region.is_none_or(|region| *it == region) || !served.contains(it));
        let near: Vec<u64> = regions.flat_map(|(_, hosts)| hosts).copied().collect();
        if near.is_empty() { self.all() } else { near }
    }
}

#[cfg(test)]
mod tests;
