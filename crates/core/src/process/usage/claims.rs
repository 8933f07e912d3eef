//! What hosts tell each other of the duty.

use azurenotch_wire::{
    Map,
    id::{Host, Incarnation},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};

/// Time without a claim after which a host may have stopped.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Number of lost hosts that are remembered; half of a large fleet.
const MAX_LOSSES: usize = 64;

/// What a host knows of the duty; each datagram carries it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Highest token; 0 if there is none.
    pub token: u64,
    /// Hash of the name of the host that took the token ([`hash32`](azurenotch_wire::hash::hash32)).
    pub holder: u32,
    /// Highest window whose report was written; 0 if there is none.
    pub written: u64,
    /// Highest window whose report was accepted; 0 if there is none.
    pub accepted: u64,
}

impl Claim {
    /// Returns what is known from both claims together.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let newer = if other.token > self.token {
            other
        } else {
            self
        };
        Self {
            token: newer.token,
            holder: newer.holder,
            written: self.written.max(other.written),
            accepted: self.accepted.max(other.accepted),
        }
    }
}

/// Claims of the other hosts.
#[derive(Debug, Clone, Default)]
pub struct Claims {
    hosts: Map<Host, Heard>,
    merged: Claim,
    /// When the last host was removed or restarted.
    lost: Option<Instant>,
    /// When lost hosts were heard of last, the latest loss at the back.
    losses: VecDeque<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    incarnation: Incarnation,
    last: Instant,
}

impl Claims {
    /// Records the claim in a datagram that arrived at `now`.
    ///
    /// A host without the duty in its settings sends no claim and is not recorded.
    pub fn receive(&mut self, now: Instant, host: &Host, incarnation: Incarnation, claim: Claim) {
        self.merged = self.merged.merge(claim);
        let heard = Heard {
            incarnation,
            last: now,
        };
        match self.hosts.get_mut(host) {
            Some(known) if known.incarnation > incarnation => {}
            Some(known) => {
                let former = *known;
                *known = heard;
                if former.incarnation < incarnation {
                    self.lose(now, former);
                }
            }
            None => {
                self.hosts.insert(host.clone(), heard);
            }
        }
    }

    /// Removes a host that no longer runs.
    pub fn forget(&mut self, now: Instant, host: &Host) {
        if let Some(heard) = self.hosts.remove(host) {
            self.lose(now, heard);
        }
    }

    fn lose(&mut self, now: Instant, heard: Heard) {
        self.lost = Some(now);
        if self.losses.len() == MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(heard.last);
    }

    /// Returns what is known from all claims together.
    pub fn merged(&self) -> Claim {
        self.merged
    }

    /// Returns whether the claims contain all that other hosts did until `at`.
    ///
    /// A host that was lost within `memory` before may have done something that it could not tell.
    pub fn is_complete(&self, at: Instant, memory: Duration) -> bool {
        let is_heard = self.hosts.values().all(|heard| heard.last > at);
        is_heard && self.lost.is_none_or(|lost| lost + memory < at)
    }
    /// Returns whether a host was heard of last less than `age` ago and before `until`.
    ///
    /// A host that is silent for long counts, as it may have stopped.
    pub(super) fn has_lost(&self, now: Instant, age: Duration, until: Instant) -> bool {
        let hosts = self.hosts.values().map(|heard| heard.last);
        let silent = hosts.filter(|last| now.since(*last) >= MAX_SILENCE);
        let mut lost = silent.chain(self.losses.iter().copied());
        lost.any(|last| now.since(last) <= age && last < until)
    }
}
