//! Age of a host's information about withdrawn keys.

use super::moment::Moment;
use azurenotch_wire::{
    Map, Set,
    id::{Host, Incarnation},
    peer::Heartbeat,
    time::Instant,
    version::Version,
};
use std::{collections::BTreeMap, time::Duration};

/// Longest age of the peers' answers in a proof that the store is down for all hosts.
pub const PROOF_WINDOW: Duration = Duration::from_secs(3);

/// Largest number of versions for which evidence is kept until they are in force.
const MAX_PENDING_VERSIONS: usize = 64;
/// Percentage added to ages that another host measured, because its clock may run slow.
const CLOCK_RATE_TOLERANCE_PERCENT: u32 = 1;
/// Resolution of ages in messages, which are rounded down to whole milliseconds.
const AGE_RESOLUTION: Duration = Duration::from_millis(1);

/// Evidence of one host that it has applied all withdrawals up to some time.
///
/// Withdrawals are configuration versions, and only hosts write them. A time is covered if every
/// version that was accepted until then is in force at this host.
#[derive(Debug)]
pub struct Freshness {
    host: Host,
    window: Duration,
    /// Version in force at this host.
    held: Version,
    /// Latest covered time, from own reads and from peers.
    covered: Option<Moment>,
    /// Latest covered time from this host's own reads.
    contact: Option<Moment>,
    /// Evidence for versions that are not in force yet.
    pending: BTreeMap<Version, Pending>,
    peers: Map<Host, Peer>,
    roster: Option<Set<Host>>,
    /// Time until which all hosts together prove that no version was accepted.
    proven_until: Option<Instant>,
}

/// Whether the information about withdrawn keys is recent enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// At most as old as the contract's isolation limit.
    Current,
    /// Older, but no host has reached the store since, so no key can have been withdrawn.
    StoreDown,
    /// Older, and a withdrawal may have been missed.
    Isolated {
        /// Latest covered time; the start of the process if it is earlier or if there is none.
        since: Instant,
    },
}

#[derive(Debug, Default)]
struct Pending {
    covered: Option<Moment>,
    contact: Option<Moment>,
}

#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    /// When the first answer of this incarnation was received.
    first: Instant,
    /// When the request of the last answer was sent.
    sent: Instant,
    has_contact: bool,
    is_listed: bool,
}

impl Freshness {
    /// Creates the state of `host` without any evidence.
    ///
    /// `window` limits the age of answers in a proof. It is [`PROOF_WINDOW`], or the time in which
    /// all peers are probed if that is longer.
    pub fn new(host: Host, window: Duration) -> Self {
        Self {
            host,
            window,
            held: Version::default(),
            covered: None,
            contact: None,
            pending: BTreeMap::new(),
            peers: Map::default(),
            roster: None,
            proven_until: None,
        }
    }

    /// Records the version of a head that this host read with a request sent at `sent`.
    pub fn on_head(&mut self, sent: Instant, version: Version) {
        let moment = Some(sent.into());
        self.add_evidence(version, moment, moment);
    }

    /// Records the version that is in force at this host.
    pub fn on_adopted(&mut self, version: Version) {
        self.held = self.held.max(version);
        let later = self.pending.split_off(&self.held);
        for (_, pending) in std::mem::replace(&mut self.pending, later) {
            self.extend_coverage(pending.covered, pending.contact);
        }
        if let Some(pending) = self.pending.remove(&self.held) {
            self.extend_coverage(pending.covered, pending.contact);
        }
    }

    /// Handles a peer's answer to a heartbeat that this host sent at `sent`.
    ///
    /// Only answers are evidence, because the transit time of a message that a peer sends unasked
    /// has no bound.
    pub fn on_answer(&mut self, sent: Instant, received: Instant, answer: &Heartbeat) {
        if answer.host == self.host {
            return;
        }
        let covered = answer.store_contact_ms.map(|age| {
            let age = Duration::from_millis(age) + AGE_RESOLUTION;
            Moment::from(sent) - (age + age * CLOCK_RATE_TOLERANCE_PERCENT / 100)
        });
        let peer = self
            .peers
            .entry(answer.host.clone())
            .or_insert_with(|| Peer {
                incarnation: answer.incarnation,
                first: received,
                sent,
                has_contact: false,
                is_listed: false,
            });
        if answer.incarnation < peer.incarnation || sent < peer.sent {
            return;
        }
        if answer.incarnation > peer.incarnation {
            peer.incarnation = answer.incarnation;
            peer.first = received;
            self.proven_until = None;
        }
        peer.sent = sent;
        peer.has_contact = covered.is_some();
        self.add_evidence(answer.version, covered, None);
    }

    /// Applies the platform's list of hosts.
    pub fn on_roster<'a>(&mut self, hosts: impl IntoIterator<Item = &'a Host>) {
        let roster = hosts.into_iter().cloned().collect::<Set<_>>();
        self.peers.retain(|host, peer| {
            let is_listed = roster.contains(host);
            // A host that was never listed may be newer than the list.
            let keep = is_listed || !peer.is_listed;
            peer.is_listed = is_listed;
            keep
        });
        self.roster = Some(roster);
        self.proven_until = None;
    }

    /// Renews the proof that the store is down for all hosts; due once a second.
    pub fn tick(&mut self, now: Instant) {
        self.proven_until = self.prove(now);
    }

    /// Returns the age of this host's last read of the head, for its heartbeats.
    ///
    /// A read counts only once the version that it showed is in force, so the receiver may conclude
    /// that the heartbeat's version contains every change up to then. Returns `None` before that.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.contact.map(|contact| contact.age(now))
    }

    /// Returns the status at `now` under a contract's isolation limit.
    pub fn status(&self, now: Instant, limit: Duration) -> Status {
        match self.covered {
            Some(covered) if covered.age(now) <= limit => Status::Current,
            _ if self.proven_until.is_some_and(|until| now <= until) => Status::StoreDown,
            covered => Status::Isolated {
                since: covered.map_or(Instant::ZERO, Moment::instant),
            },
        }
    }

    fn prove(&self, now: Instant) -> Option<Instant> {
        // A version that was accepted but is not in force may withdraw keys.
        if !self.pending.is_empty() {
            return None;
        }
        let expected = self.roster.as_ref()?.iter().chain(self.peers.keys());
        expected
            .filter(|host| **host != self.host)
            .map(|host| {
                let peer = self.peers.get(host)?;
                let until = peer.sent + self.window;
                // A host without contact is no evidence about its earlier incarnation.
                let covers = peer.has_contact
                    || self
                        .covered
                        .is_some_and(|covered| covered >= Moment::from(peer.first));
                (now <= until && covers).then_some(until)
            })
            .try_fold(now + self.window, |earliest, until| {
                until.map(|until| earliest.min(until))
            })
    }

    fn add_evidence(&mut self, version: Version, covered: Option<Moment>, contact: Option<Moment>) {
        if version <= self.held {
            self.extend_coverage(covered, contact);
            return;
        }
        self.proven_until = None;
        let pending = self.pending.entry(version).or_default();
        pending.covered = pending.covered.max(covered);
        pending.contact = pending.contact.max(contact);
        if self.pending.len() > MAX_PENDING_VERSIONS {
            self.pending.pop_first();
        }
    }

    fn extend_coverage(&mut self, covered: Option<Moment>, contact: Option<Moment>) {
        self.covered = self.covered.max(covered);
        self.contact = self.contact.max(contact);
    }
}

#[cfg(test)]
mod tests;
