//! Rows that the store lost when it came back from an older copy.
//!
//! What was in force stays in force until its writer has written it again, or for [`HOLD_TIME`].

use super::{
    Key, Replica, belongs,
    conflict::{self, Conflict},
    is_removed, key,
    lineage::Order,
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
#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) until: Instant,
    /// The store's row, if it has one.
    pub(super) stored: Option<Fact>,
    /// Whether it ends at `until`; rows that hosts write themselves are written again instead.
    pub(super) ends: bool,
    /// Whether the store's row is known to be the older one.
    pub(super) is_certain: bool,
}

impl Held {
    /// Returns whether other hosts learn of the row: it is in force for certain, or asks for caution.
    pub(super) fn is_shared(&self, item: &Item) -> bool {
        let is_cautious = match item {
            Item::Backend(_, backend) => backend.as_ref().is_none_or(|it| it.draining),
            Item::Evacuation(_, on) => *on,
            Item::Outcome(..) => true,
            Item::Move(..) | Item::Config(_) | Item::Patch(_) | Item::Peer(..) => false,
        };
        self.is_certain || is_cautious
    }

    fn stored_version(&self) -> u64 {
        self.stored.as_ref().map_or(0, |fact| fact.version)
    }
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
        let known: Vec<Key> = self.rows.keys().cloned().collect();
        let mut dropped = Vec::new();
        for key in known.iter().filter(|key| belongs(key, subject)) {
            let copy = copies.get(key).map(|index| &facts[*index]);
            let known = &self.rows[key];
            if Era::of(known.version) >= era {
                // Only a later write replaces a held row.
                let is_decided = copy.is_some_and(|copy| copy.version <= known.version);
                if is_decided && self.held.contains_key(key) {
                    dropped.extend(copies.get(key));
                }
                continue;
            }
            if self.hold_row(now, key, version, copy) {
                dropped.extend(copies.get(key));
            }
        }
        dropped.sort_unstable();
        for index in dropped.into_iter().rev() {
            facts.swap_remove(index);
        }
    }

    /// Holds a row of an earlier era unless the store's row is the same or was written later.
    ///
    /// `version` is that of a read in which the store had `copy`. Returns whether what was in force stays.
    fn hold_row(&mut self, now: Instant, key: &Key, version: u64, copy: Option<&Fact>) -> bool {
        let latest = self.lineage(key).latest();
        let known = &self.rows[key];
        let order = match copy {
            Some(copy) if copy.item == known.item => return false,
            Some(copy) => self.order(key, copy),
            None if Era::number(latest) > Era::number(version) => Order::Earlier,
            None => Order::Unknown,
        };
        let is_removed = is_removed(&known.item);
        if copy.is_some() || !is_removed {
            let conflict = Conflict::new(key, latest, copy, order != Order::Later);
            conflict::record(&mut self.conflicts, conflict);
        }
        if order == Order::Later {
            return false;
        }
        self.keep(key, version);
        if copy.is_some() || !is_removed {
            let held = Held {
                until: now + HOLD_TIME,
                ends: !matches!(key, Key::Outcome(_)),
                is_certain: order == Order::Earlier,
                stored: copy.cloned(),
            };
            self.held.insert(key.clone(), held);
        }
        true
    }

    /// Keeps the content in force instead of what the store has up to a version.
    pub(super) fn keep(&mut self, key: &Key, version: u64) {
        let latest = self.lineage(key).latest();
        if let Some(known) = self.rows.get_mut(key) {
            known.origin = Some(latest);
            known.version = version;
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
        self.held.get(key).map(Held::stored_version)
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
                state_version: held.stored_version(),
            })
        });
        lost.collect()
    }
}

fn by_key((index, fact): (usize, &Fact)) -> Option<(Key, usize)> {
    Some((key(&fact.item)?, index))
}
