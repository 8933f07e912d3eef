//! Claim of a slot, to which a floor of every budget belongs.

use azurenotch_wire::{
    budget::Slot as Number,
    id::{Host, Incarnation, Operation},
    time::Instant,
};
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    time::Duration,
};

/// Time between two renewals of a claim.
///
/// 3,100 hosts that renew every five minutes cost the table about ten writes per second.
pub const RENEW_INTERVAL: Duration = Duration::from_mins(5);
/// Time for which a claim is valid after its last renewal was sent.
///
/// It outlasts an hour without the table that starts just before a renewal.
pub const HOLD: Duration = Duration::from_mins(75);
/// Time after [`HOLD`] by which a claim is certainly over; covers clock rates within 1 %.
pub const REAP_MARGIN: Duration = Duration::from_mins(5);
/// Pause after all slots were found taken.
const FULL_PAUSE: Duration = Duration::from_secs(5);
/// Pause after the table did not answer.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Returns the table key of a slot.
pub fn row(slot: Number) -> String {
    format!("slot/{slot}")
}

/// Content of the table row of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Host that claims the slot.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Identity of the claim.
    pub operation: Operation,
}

/// Claim of one host incarnation.
#[derive(Debug)]
pub struct Slot {
    claim: Claim,
    slots: u32,
    /// Slot that is held or tried next.
    candidate: Number,
    /// Slots found taken in this round.
    taken: u32,
    version: Option<u64>,
    valid_until: Option<Instant>,
    /// When the write under way was sent.
    sent: Instant,
    next: Instant,
    /// Whether the row has to be read before it is written.
    reread: bool,
}

/// What the caller has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the row of a slot.
    Read(Number),
    /// Write the claim to the row of a slot.
    Write {
        /// Slot.
        slot: Number,
        /// New content.
        claim: Claim,
        /// Version that the row must have; `None` if there must be no row.
        expect: Option<u64>,
    },
    /// Do nothing until this time.
    Wait(Instant),
}

/// Answer of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The row as it is now, with its version, after a read or a conflict.
    Row(Option<(u64, Claim)>),
    /// The write took effect and the row has this version.
    Written(u64),
    /// The table did not answer, or the answer of a write was lost.
    Unavailable,
}

impl Slot {
    /// Creates a host without a slot; `operation` must be random.
    pub fn new(host: Host, incarnation: Incarnation, operation: Operation, slots: u32) -> Self {
        let slots = slots.max(1);
        // Hosts start at different slots, so that a fleet that starts at once does not race.
        let mut hasher = FxHasher::default();
        host.hash(&mut hasher);
        let candidate = u32::try_from(hasher.finish() % u64::from(slots)).unwrap_or_default();
        Self {
            claim: Claim {
                host,
                incarnation,
                operation,
            },
            slots,
            candidate,
            taken: 0,
            version: None,
            valid_until: None,
            sent: Instant::ZERO,
            next: Instant::ZERO,
            reread: true,
        }
    }

    /// Returns the slot that the host holds at `now`.
    pub fn held(&self, now: Instant) -> Option<Number> {
        self.valid_until
            .is_some_and(|until| now < until)
            .then_some(self.candidate)
    }

    /// Returns when the last renewal that took effect was sent.
    pub fn renewed(&self) -> Option<Instant> {
        self.valid_until.map(|until| until - HOLD)
    }

    /// Returns the row version of the held slot, to delete it on a graceful stop.
    pub fn version(&self, now: Instant) -> Option<(Number, u64)> {
        Some((self.held(now)?, self.version?))
    }

    /// Returns what to do at `now`.
    pub fn poll(&mut self, now: Instant) -> Action {
        if now < self.next {
            return Action::Wait(self.next);
        }
        if self.reread {
            return Action::Read(self.candidate);
        }
        self.sent = now;
        Action::Write {
            slot: self.candidate,
            claim: self.claim.clone(),
            expect: self.version,
        }
    }

    /// Takes the table's answer to the last action.
    pub fn on_answer(&mut self, now: Instant, answer: Answer) {
        match answer {
            Answer::Unavailable => {
                self.reread = true;
                self.next = now + RETRY_PAUSE;
            }
            Answer::Written(version) => {
                self.version = Some(version);
                self.valid_until = Some(self.sent + HOLD);
                self.next = self.sent + RENEW_INTERVAL;
                self.reread = false;
            }
            Answer::Row(None) => {
                self.lose();
                self.version = None;
                self.reread = false;
            }
            Answer::Row(Some((version, claim))) if claim == self.claim => {
                // Own write whose answer was lost: renew at once, so that the validity is known.
                self.version = Some(version);
                self.reread = false;
                self.next = now;
            }
            Answer::Row(Some(_)) => self.advance(now),
        }
    }

    /// Tries the next slot after one that another host holds.
    fn advance(&mut self, now: Instant) {
        self.lose();
        self.version = None;
        self.reread = true;
        self.taken += 1;
        self.candidate = (self.candidate + 1) % self.slots;
        if self.taken >= self.slots {
            self.taken = 0;
            self.next = now + FULL_PAUSE;
        }
    }

    fn lose(&mut self) {
        self.valid_until = None;
    }
}

/// Finds claims whose hosts are gone without having released them.
#[derive(Debug, Default)]
pub struct Reaper {
    seen: BTreeMap<Number, (u64, Instant)>,
}

impl Reaper {
    /// Takes note of a row's version and returns whether the claim is certainly over.
    pub fn observe(&mut self, now: Instant, slot: Number, version: Option<u64>) -> bool {
        let Some(version) = version else {
            self.seen.remove(&slot);
            return false;
        };
        let entry = self.seen.entry(slot).or_insert((version, now));
        if entry.0 != version {
            *entry = (version, now);
        }
        now.since(entry.1) >= HOLD + REAP_MARGIN
    }
}

#[cfg(test)]
mod tests;
