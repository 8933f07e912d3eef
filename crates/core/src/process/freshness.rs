//! How current a host's knowledge of withdrawn keys is.

use azurenotch_wire::{
    Map, Set,
    id::{Host, Incarnation},
    peer::Heartbeat,
    time::Instant,
    version::Version,
};
use std::{collections::BTreeMap, time::Duration};

/// Longest age of the peers' answers in a proof that the store is down for everyone.
pub const PROOF_WINDOW: Duration = Duration::from_secs(3);

/// Most versions for which evidence is kept until they are in force.
const PENDING_MAX: usize = 64;
/// Ages that another host measured are stretched by this share for clocks that run slow.
const CLOCK_RATE_PERCENT: u32 = 1;
/// Ages in messages are cut to whole milliseconds.
const AGE_UNIT: Duration = Duration::from_millis(1);

/// Evidence of one host about the withdrawals that it knows.
///
/// Withdrawals are configuration versions, and only hosts write them. A moment is known if every
/// version accepted up to it is in force at this host.
#[derive(Debug)]
pub struct Freshness {
    host: Host,
    window: Duration,
    held: Version,
    /// Latest known moment, also through peers.
    known: Option<Moment>,
    /// Latest moment known from this host's own reads.
    contact: Option<Moment>,
    /// Evidence that counts once its version is in force.
    pending: BTreeMap<Version, Pending>,
    peers: Map<Host, Peer>,
    roster: Option<Set<Host>>,
    /// Time until which all hosts together prove that nothing was accepted.
    proven_until: Option<Instant>,
}

/// How current the knowledge of withdrawn keys is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// Younger than the contract's isolation limit.
    Current,
    /// Older, but no host has reached the store since, so no key was withdrawn.
    StoreDown,
    /// Older, and a withdrawal may have been missed.
    Isolated {
        /// End of the knowledge; the start of the process if it ended earlier or never began.
        since: Instant,
    },
}

/// Nanoseconds relative to the start of the process; negative before it.
type Moment = i128;

#[derive(Debug, Default)]
struct Pending {
    known: Option<Moment>,
    contact: Option<Moment>,
}

#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    /// When the first answer of this incarnation arrived.
    first: Instant,
    /// When the request of the last answer was sent.
    sent: Instant,
    has_contact: bool,
    is_listed: bool,
}

impl Freshness {
    /// Creates the state of `host` without any knowledge.
    ///
    /// `window` is [`PROOF_WINDOW`], or the time in which all peers are probed if that is longer.
    pub fn new(host: Host, window: Duration) -> Self {
        Self {
            host,
            window,
            held: Version::default(),
            known: None,
            contact: None,
            pending: BTreeMap::new(),
            peers: Map::default(),
            roster: None,
            proven_until: None,
        }
    }

    /// Takes the version of a head that this host read with a request sent at `sent`.
    pub fn on_head(&mut self, sent: Instant, version: Version) {
        let moment = Some(moment(sent));
        self.learn(version, moment, moment);
    }

    /// Takes the version that is in force at this host.
    pub fn on_adopted(&mut self, version: Version) {
        self.held = self.held.max(version);
        let later = self.pending.split_off(&self.held);
        for (_, pending) in std::mem::replace(&mut self.pending, later) {
            self.raise(pending.known, pending.contact);
        }
        if let Some(pending) = self.pending.remove(&self.held) {
            self.raise(pending.known, pending.contact);
        }
    }

    /// Takes a peer's answer to a heartbeat that this host sent at `sent`.
    ///
    /// Only answers count. The time that a peer's own message was under way is not bounded.
    pub fn on_answer(&mut self, sent: Instant, received: Instant, answer: &Heartbeat) {
        if answer.host == self.host {
            return;
        }
        let known = answer.store_contact_ms.map(|age| {
            let age = Duration::from_millis(age) + AGE_UNIT;
            moment(sent) - nanos(age + age * CLOCK_RATE_PERCENT / 100)
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
        peer.has_contact = known.is_some();
        self.learn(answer.version, known, None);
    }

    /// Takes the platform's list of hosts.
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

    /// Renews the proof that the store is down for everyone; due once a second.
    pub fn tick(&mut self, now: Instant) {
        self.proven_until = self.prove(now);
    }

    /// Returns the age of this host's last read of the head, for its heartbeats.
    ///
    /// A read counts only once the version that it showed is in force, so that the receiver may
    /// conclude that the heartbeat's version holds everything up to then.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.contact.map(|contact| age(now, contact))
    }

    /// Decides whether keys may be honoured at `now` under a contract's isolation limit.
    pub fn decide(&self, now: Instant, limit: Duration) -> Knowledge {
        match self.known {
            Some(known) if age(now, known) <= limit => Knowledge::Current,
            _ if self.proven_until.is_some_and(|until| now <= until) => Knowledge::StoreDown,
            known => Knowledge::Isolated {
                since: Instant::from_nanos(known.unwrap_or(0).max(0) as u64),
            },
        }
    }

    fn prove(&self, now: Instant) -> Option<Instant> {
        // A version that exists but is not in force may withdraw keys.
        if !self.pending.is_empty() {
            return None;
        }
        let expected = self.roster.as_ref()?.iter().chain(self.peers.keys());
        expected
            .filter(|host| **host != self.host)
            .map(|host| {
                let peer = self.peers.get(host)?;
                let until = peer.sent + self.window;
                // A host without any contact says nothing about its predecessor's.
                let covers =
                    peer.has_contact || self.known.is_some_and(|known| known >= moment(peer.first));
                (now <= until && covers).then_some(until)
            })
            .try_fold(now + self.window, |earliest, until| {
                until.map(|until| earliest.min(until))
            })
    }

    fn learn(&mut self, version: Version, known: Option<Moment>, contact: Option<Moment>) {
        if version <= self.held {
            self.raise(known, contact);
            return;
        }
        self.proven_until = None;
        let pending = self.pending.entry(version).or_default();
        pending.known = pending.known.max(known);
        pending.contact = pending.contact.max(contact);
        if self.pending.len() > PENDING_MAX {
            self.pending.pop_first();
        }
    }

    fn raise(&mut self, known: Option<Moment>, contact: Option<Moment>) {
        self.known = self.known.max(known);
        self.contact = self.contact.max(contact);
    }
}

const fn moment(instant: Instant) -> Moment {
    instant.as_nanos() as Moment
}

const fn nanos(duration: Duration) -> Moment {
    duration.as_nanos().cast_signed()
}

fn age(now: Instant, moment_known: Moment) -> Duration {
    let nanos = (moment(now) - moment_known).max(0);
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

#[cfg(test)]
mod tests;
