//! Claim of a slot, which entitles its host to a guaranteed minimum share (floor) of every budget.

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
/// 3,100 hosts that renew every five minutes write to the table about ten times per second.
pub const RENEW_INTERVAL: Duration = Duration::from_mins(5);
/// Time for which a claim is valid after its last renewal was sent.
///
/// A claim stays valid through an hour-long outage of the table that starts just before a renewal.
pub const CLAIM_VALIDITY: Duration = Duration::from_mins(75);
/// Additional time before a claim is reaped; covers clock rates that differ by up to 1 %.
pub const REAP_MARGIN: Duration = Duration::from_mins(5);
/// Delay before the next round after all slots were found taken.
const ALL_TAKEN_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Delay before the next read after the table did not answer.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns the table key of a slot.
pub fn row_key(slot: Number) -> String {
    format!("slot/{slot}")
}

/// Content of the table row of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Host that claims the slot.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Random identifier of the claim.
    pub operation: Operation,
}

/// Claim of a slot by one host incarnation.
#[derive(Debug)]
pub struct Slot {
    claim: Claim,
    slots: u32,
    /// Slot that is held, or the next one to try.
    candidate: Number,
    /// Slots found taken in this round.
    taken: u32,
    version: Option<u64>,
    valid_until: Option<Instant>,
    /// When the last write was sent.
    sent: Instant,
    next_action: Instant,
    /// Whether the row has to be read before it is written.
    reread: bool,
}

/// Next action of the caller.
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
    /// The current row with its version, after a read or a conflict; `None` if there is no row.
    Row(Option<(u64, Claim)>),
    /// The write took effect and the row has this version.
    Written(u64),
    /// The table did not answer, or the answer of a write was lost.
    Unavailable,
}

impl Slot {
    /// Creates the state of a host without a slot; `operation` must be random.
    pub fn new(host: Host, incarnation: Incarnation, operation: Operation, slots: u32) -> Self {
        let slots = slots.max(1);
        // Hosts start at different slots, so that hosts that start together do not compete for one.
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
            next_action: Instant::ZERO,
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
        self.valid_until.map(|until| until - CLAIM_VALIDITY)
    }

    /// Returns the held slot with its row version, which a graceful stop needs to delete the row.
    pub fn version(&self, now: Instant) -> Option<(Number, u64)> {
        Some((self.held(now)?, self.version?))
    }

    /// Returns what to do at `now`.
    pub fn poll(&mut self, now: Instant) -> Action {
        if now < self.next_action {
            return Action::Wait(self.next_action);
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

    /// Handles the table's answer to the last action.
    pub fn on_answer(&mut self, now: Instant, answer: Answer) {
        match answer {
            Answer::Unavailable => {
                self.reread = true;
                self.next_action = now + UNAVAILABLE_RETRY_DELAY;
            }
            Answer::Written(version) => {
                self.version = Some(version);
                self.valid_until = Some(self.sent + CLAIM_VALIDITY);
                self.next_action = self.sent + RENEW_INTERVAL;
                self.reread = false;
            }
            Answer::Row(None) => {
                self.clear_validity();
                self.version = None;
                self.reread = false;
            }
            Answer::Row(Some((version, claim))) if claim == self.claim => {
                // The answer to an own write was lost: renew at once, as its validity is unknown.
                self.version = Some(version);
                self.reread = false;
                self.next_action = now;
            }
            Answer::Row(Some(_)) => self.try_next(now),
        }
    }

    /// Tries the next slot after one that another host holds.
    fn try_next(&mut self, now: Instant) {
        self.clear_validity();
        self.version = None;
        self.reread = true;
        self.taken += 1;
        self.candidate = (self.candidate + 1) % self.slots;
        if self.taken >= self.slots {
            self.taken = 0;
            self.next_action = now + ALL_TAKEN_RETRY_DELAY;
        }
    }

    fn clear_validity(&mut self) {
        self.valid_until = None;
    }
}

/// Detects claims that were not renewed in time, because their hosts stopped without a release.
#[derive(Debug, Default)]
pub struct Reaper {
    /// Version of each row and when it was first observed.
    seen: BTreeMap<Number, (u64, Instant)>,
}

impl Reaper {
    /// Records a row's version and returns whether the claim has expired for certain.
    ///
    /// `version` is `None` if there is no row.
    pub fn observe(&mut self, now: Instant, slot: Number, version: Option<u64>) -> bool {
        let Some(version) = version else {
            self.seen.remove(&slot);
            return false;
        };
        let entry = self.seen.entry(slot).or_insert((version, now));
        if entry.0 != version {
            *entry = (version, now);
        }
        now.since(entry.1) >= CLAIM_VALIDITY + REAP_MARGIN
    }
}

#[cfg(test)]
mod tests;
