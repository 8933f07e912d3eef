//! Rows that the store lost when it came back from an older copy.
//!
//! What was in force stays in force until its writer has written it again, or for [`HOLD_TIME`].

use super::{
    Key, Replica, belongs,
    conflict::{self, Conflict},
    is_removed, key,
};
use crate::{
    era::Era,
    model::{Fact, Item, Outcome},
    platform::Subject,
};
use azurenotch_wire::{Map, id::Service, time::Instant};
use std::time::Duration;

/// Time for which rows that the store has lost are kept.
///
/// Operators and servers write theirs again within about two seconds. What is missing after that has
/// been removed meanwhile.
pub(super) const HOLD_TIME: Duration = Duration::from_secs(5);
/// The same time at hosts that learn of lost rows from others, which end their holds before.
pub(super) const PEER_HOLD_TIME: Duration = Duration::from_secs(10);

/// Row that is kept although the store has an older one, or none.
#[derive(Debug, Clone, Copy)]
pub(super) struct Held {
    pub(super) until: Instant,
    /// Version of the store's row; 0 if it has none.
    pub(super) stored: u64,
    /// Whether it ends at `until`; rows that hosts write themselves are written again instead.
    pub(super) ends: bool,
}

/// State of a move that the store has lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostOutcome {
    /// Service that is moved.
    pub service: Service,
    /// State to be written again.
    pub outcome: Outcome,
    /// Version of the order's row.
    pub order_version: u64,
    /// Version of the store's row with the state; 0 if it has none.
    pub state_version: u64,
}

impl Replica {
    /// Keeps the rows of an earlier era that a read at `version` lacks or has in an older form.
    ///
    /// They get this version, so that later writes replace them, and the store's rows of the same
    /// read do not, not even at hosts that read them before.
    pub(super) fn hold_lost(
        &mut self,
        now: Instant,
        subject: Subject,
        version: u64,
        facts: &mut Vec<Fact>,
    ) {
        let era = Era::of(version);
        let copies: Map<Key, usize> = facts.iter().enumerate().filter_map(by_key).collect();
        let mut dropped = Vec::new();
        for (key, known) in &mut self.rows {
            if !belongs(key, subject) {
                continue;
            }
            let copy = copies.get(key).map(|index| (*index, &facts[*index]));
            if Era::of(known.version) >= era {
                // Only a later write replaces a held row.
                let copy = copy.filter(|(_, copy)| copy.version <= known.version);
                let copy = copy.filter(|_| self.held.contains_key(key));
                dropped.extend(copy.map(|(index, _)| index));
                continue;
            }
            let content = known_content(&self.contents, key, known);
            let known_version = known.origin.unwrap_or(known.version);
            let is_current = copy.is_some_and(|(_, copy)| {
                copy.item == known.item || copy.content_number() > content
            });
            let copy_row = copy.map(|(_, copy)| copy);
            if copy_row.map_or(!is_removed(&known.item), |copy| copy.item != known.item) {
                let conflict = Conflict::new(key, known_version, copy_row, !is_current);
                conflict::record(&mut self.conflicts, conflict);
            }
            if is_current {
                continue;
            }
            known.origin = Some(Era::of(known.version).version(content));
            known.version = version;
            if copy.is_none() && is_removed(&known.item) {
                continue;
            }
            dropped.extend(copy.map(|(index, _)| index));
            let held = Held {
                until: now + HOLD_TIME,
                stored: copy.map_or(0, |(_, copy)| copy.version),
                ends: subject != Subject::Outcomes,
            };
            self.held.insert(key.clone(), held);
        }
        dropped.sort_unstable();
        for index in dropped.into_iter().rev() {
            facts.swap_remove(index);
        }
    }

    /// Ends holds that have lasted for their time; returns whether the rows have to be read again.
    pub fn end_holds(&mut self, now: Instant, subject: Subject) -> bool {
        let before = self.held.len();
        self.held
            .retain(|key, held| !belongs(key, subject) || !held.ends || now < held.until);
        self.held.len() < before
    }

    /// Returns whether rows of a subject are held for a limited time.
    pub fn has_holds(&self, subject: Subject) -> bool {
        let mut held = self.held.iter();
        held.any(|(key, held)| held.ends && belongs(key, subject))
    }

    /// Returns the number of held rows.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns the version of a row in the store, which differs from the known one while it is held.
    fn stored_version(&self, key: &Key) -> Option<u64> {
        self.held.get(key).map(|held| held.stored)
    }

    /// Returns the version of the store's row with the state of a move, if the store has lost one.
    pub fn lost_outcome(&self, service: &Service) -> Option<u64> {
        self.stored_version(&Key::Outcome(service.clone()))
    }

    /// Returns whether the known states of moves may be missing from the store.
    ///
    /// That is so from the moment when the store comes back from an older copy until they have been
    /// read, and written again where they are missing.
    pub fn has_unverified_outcomes(&self) -> bool {
        let era = self.era();
        self.outcomes().iter().any(|fact| {
            let key = key(&fact.item);
            let held = key.is_some_and(|key| self.held.contains_key(&key));
            held || Era::of(fact.version) < era
        })
    }

    /// Returns the states of moves that the store has lost, each with the version of its order.
    ///
    /// Orders that have not been written again themselves are left out.
    pub fn lost_outcomes(&self) -> Vec<LostOutcome> {
        let lost = self.held.iter().filter_map(|(key, held)| {
            let Key::Outcome(service) = key else {
                return None;
            };
            let order_key = Key::Move(service.clone());
            let order = self.rows.get(&order_key)?;
            let outcome = match &self.rows.get(key)?.item {
                Item::Outcome(_, Some(outcome)) => outcome.clone(),
                _ => return None,
            };
            let is_written = Era::of(order.version) == self.era()
                && !self.held.contains_key(&order_key)
                && matches!(&order.item, Item::Move(_, Some(order)) if order.to == outcome.to);
            is_written.then(|| LostOutcome {
                service: service.clone(),
                outcome,
                order_version: order.version,
                state_version: held.stored,
            })
        });
        lost.collect()
    }
}

/// Returns the number that orders the content of a known row among others of its key.
pub(super) fn known_content(contents: &Map<Key, u64>, key: &Key, known: &Fact) -> u64 {
    let content = contents.get(key).copied().unwrap_or_default();
    content.max(known.content_number())
}

fn by_key((index, fact): (usize, &Fact)) -> Option<(Key, usize)> {
    Some((key(&fact.item)?, index))
}
