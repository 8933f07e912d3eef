//! Which other hosts are there, by what this host hears from them.
//!
//! Hosts tell one another their state several times a second. A host that falls silent leaves the
//! look-ups within seconds, but its part of the contracts stays reserved for longer, because it may
//! be cut off and still serve callers.

use azurenotch_wire::{Map, id::Host, time::Instant};
use std::time::Duration;

/// Silence after which a host is not named in look-ups.
pub const SILENT: Duration = Duration::from_secs(2);
/// Silence after which the part of a host in the contracts is free, if most hosts are heard.
///
/// A host that is cut off from the store refuses keys before this time is over.
const FORGOTTEN: Duration = Duration::from_secs(8);
/// Silence after which the part of a host is free in any case.
const FORGOTTEN_ALONE: Duration = Duration::from_mins(1);

/// What a host says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Number of its start.
    pub incarnation: u64,
    /// Whether it takes callers.
    pub serving: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether its last calls to the store were answered.
    pub reaches_store: bool,
}

/// Other hosts with what was heard of them.
#[derive(Debug, Clone, Default)]
pub struct Presence {
    hosts: Map<Host, Heard>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Instant,
    status: Status,
}

impl Presence {
    /// Takes note of what a host says; returns whether it is new or was restarted.
    pub fn hear(&mut self, now: Instant, host: &Host, status: Status) -> bool {
        match self.hosts.get_mut(host) {
            Some(heard) if heard.status.incarnation > status.incarnation => false,
            Some(heard) => {
                let restarted = heard.status.incarnation < status.incarnation;
                *heard = Heard { at: now, status };
                restarted
            }
            None => {
                self.hosts.insert(host.clone(), Heard { at: now, status });
                true
            }
        }
    }

    /// Returns whether callers may be sent to a host.
    pub fn is_serving(&self, now: Instant, host: &Host) -> bool {
        self.hosts.get(host).is_some_and(|heard| {
            let Status {
                serving, leaving, ..
            } = heard.status;
            serving && !leaving && now.since(heard.at) < SILENT
        })
    }

    /// Returns whether a host was heard lately.
    pub fn is_heard(&self, now: Instant, host: &Host) -> bool {
        let heard = self.hosts.get(host);
        heard.is_some_and(|heard| now.since(heard.at) < SILENT)
    }

    /// Returns whether a host said that the store answers it.
    pub fn reaches_store(&self, host: &Host) -> bool {
        let heard = self.hosts.get(host);
        heard.is_some_and(|heard| heard.status.reaches_store)
    }

    /// Returns the hosts that were heard lately and do not leave.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = &Host> {
        let hosts = self.hosts.iter();
        hosts
            .filter(move |(_, heard)| now.since(heard.at) < SILENT && !heard.status.leaving)
            .map(|(host, _)| host)
    }

    /// Returns how many hosts there are, this one and silent ones included.
    pub fn count(&self) -> usize {
        self.hosts.len() + 1
    }

    /// Returns the share of all hosts that this one and those it hears are.
    pub fn share(&self, now: Instant) -> f64 {
        let heard = self.hosts.values();
        let heard = heard.filter(|heard| now.since(heard.at) < SILENT).count();
        (heard + 1) as f64 / self.count() as f64
    }

    /// Drops the hosts that are gone and returns them.
    pub fn forget(&mut self, now: Instant) -> Vec<Host> {
        let limit = if self.share(now) > 0.5 {
            FORGOTTEN
        } else {
            FORGOTTEN_ALONE
        };
        let gone: Vec<Host> = self
            .hosts
            .iter()
            .filter(|(_, heard)| {
                let silence = now.since(heard.at);
                silence >= limit || (heard.status.leaving && silence >= SILENT)
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in &gone {
            self.hosts.remove(host);
        }
        gone
    }
}

#[cfg(test)]
mod tests;
