//! Decides whether a fact replaces what is in force.

use super::{
    Change, Key, Replica, change,
    conflict::{self, Conflict},
    hold::{Held, PEER_HOLD_TIME},
    is_removed, key,
    lineage::{Lineage, Order},
    subject_of,
};
use crate::{
    era::Era,
    model::{Config, Fact, Item},
    platform::Subject,
};
use azurenotch_wire::time::Instant;
use std::sync::Arc;

impl Replica {
    pub(super) fn adopt(&mut self, now: Instant, fact: Fact) -> Option<Change> {
        let version = fact.version;
        match fact.item {
            Item::Config(config) => self.adopt_config(now, version, *config),
            Item::Patch(patch) => {
                let (row, former) = self.config.as_ref()?;
                let follows = patch.follows(*row, former.version);
                let config = follows.then(|| patch.apply(former))?;
                self.adopt_config(now, version, config)
            }
            Item::Peer(_, peer) => peer.map(Change::Peer),
            item => {
                let fact = Fact {
                    version,
                    item,
                    origin: fact.origin,
                };
                self.adopt_row(now, fact)
            }
        }
    }

    fn adopt_config(&mut self, now: Instant, version: u64, config: Config) -> Option<Change> {
        if let Some((row, known)) = &mut self.config {
            if self
                .completeness
                .is_rewrite(*row, known.version, version, config.version)
            {
                self.completeness.record_rewrite(now);
            }
            // Patches start from the content of a row, which another one of its version is not.
            if **known == config {
                *row = version.max(*row);
            }
            if known.version >= config.version {
                return None;
            }
        }
        let config = Arc::new(config);
        self.completeness.adopt(config.version);
        self.config = Some((version, Arc::clone(&config)));
        Some(Change::Config(config))
    }

    fn adopt_row(&mut self, now: Instant, fact: Fact) -> Option<Change> {
        let key = key(&fact.item)?;
        if self.was_removed(&key, &fact) {
            return None;
        }
        let Some(known) = self.rows.get(&key) else {
            return self.put_row(now, key, fact);
        };
        if known.version >= fact.version {
            return None;
        }
        if known.item == fact.item {
            return self.confirm_row(now, key, fact);
        }
        let order = self.order(&key, &fact);
        if Era::of(known.version) < Era::of(fact.version) || fact.origin.is_some() {
            let known_version = self.lineage(&key).latest();
            let conflict = Conflict::new(&key, known_version, Some(&fact), order != Order::Later);
            conflict::record(&mut self.conflicts, conflict);
        }
        if order == Order::Later {
            return self.put_row(now, key, fact);
        }
        if fact.origin.is_none() {
            self.keep(&key, fact.version);
            let held = Held {
                until: now + PEER_HOLD_TIME,
                ends: !matches!(key, Key::Outcome(_)),
                is_certain: order == Order::Earlier,
                stored: Some(fact),
            };
            self.held.insert(key, held);
        }
        None
    }

    /// Returns whether a row that this host does not have was removed after a fact of it.
    ///
    /// A host has all rows up to its version, but does not know of all removals: an answer that the
    /// store gave before it, and that arrives late, may still have the row.
    fn was_removed(&self, key: &Key, fact: &Fact) -> bool {
        let subject = subject_of(fact);
        let is_complete = matches!(subject, Subject::Orders | Subject::Servers);
        let known = self.rows.get(key);
        is_complete
            && known.is_none_or(|known| is_removed(&known.item))
            && fact.origin.is_none()
            && !self.reads_all
            && !self.held.contains_key(key)
            && fact.version <= self.freshness(subject).version
    }

    /// Returns the lineage of a row; that of a row without one has its version alone.
    pub(super) fn lineage(&self, key: &Key) -> Lineage {
        let known = self.rows.get(key);
        let version = known.map_or(0, |known| known.origin.unwrap_or(known.version));
        let lineage = self.lineages.get(key).cloned();
        lineage.unwrap_or_else(|| Lineage::new(version))
    }

    /// Returns when the content of a fact was written, compared with the known one.
    pub(super) fn order(&self, key: &Key, fact: &Fact) -> Order {
        let lineage = self.lineage(key);
        let Some(origin) = fact.origin else {
            return self.eras.order(&lineage, fact.version, &fact.item);
        };
        let known = lineage.version_in(Era::of(fact.version));
        match (lineage.version_in(Era::of(origin)), known) {
            // The host that holds it has compared it with all that the store had up to this version.
            (None, Some(known)) if known <= fact.version => Order::Later,
            (None, Some(_)) => Order::Earlier,
            _ => self.eras.order(&lineage, origin, &fact.item),
        }
    }

    /// Puts the content of a fact in force.
    fn put_row(&mut self, now: Instant, key: Key, fact: Fact) -> Option<Change> {
        let Fact { version, item, .. } = fact.clone();
        if let Some(known) = self.rows.get(&key) {
            let mut lineage = self.lineage(&key);
            let read = match key {
                // Their reads are not tracked.
                Key::Outcome(_) => 0,
                _ => self.freshness(subject_of(known)).version,
            };
            lineage.replace(&known.item, fact.origin.unwrap_or(version), read);
            self.lineages.insert(key.clone(), lineage);
        }
        self.set_held(now, &key, &fact);
        let former = self.rows.insert(key, fact).map(|known| known.item);
        if former.as_ref() == Some(&item) {
            return None;
        }
        change(version, &item, former)
    }

    /// Records that the store, or a host that holds it, has the content in force at another version.
    fn confirm_row(&mut self, now: Instant, key: Key, fact: Fact) -> Option<Change> {
        let known = self.rows.get(&key)?;
        let is_later_era = Era::of(known.version) < Era::of(fact.version);
        let is_in_one_era = !is_later_era && known.origin.is_none() && fact.origin.is_none();
        if !is_in_one_era || self.lineages.contains_key(&key) {
            let mut lineage = self.lineage(&key);
            lineage.confirm(fact.origin.unwrap_or(fact.version));
            // A row that the store has in this era is not held because another host holds it.
            let is_stored = lineage.version_in(Era::of(fact.version)).is_some();
            self.lineages.insert(key.clone(), lineage);
            if fact.origin.is_some() && is_stored {
                return None;
            }
        }
        self.set_held(now, &key, &fact);
        // Versions of orders and states are conditions of writes.
        let tells = is_later_era && matches!(fact.item, Item::Move(..) | Item::Outcome(..));
        let change = tells.then(|| change(fact.version, &fact.item, None));
        self.rows.insert(key, fact);
        change.flatten()
    }

    fn set_held(&mut self, now: Instant, key: &Key, fact: &Fact) {
        if fact.origin.is_none() {
            self.held.remove(key);
            return;
        }
        let held = Held {
            until: now + PEER_HOLD_TIME,
            ends: !matches!(key, Key::Outcome(_)),
            is_certain: true,
            stored: None,
        };
        self.held.insert(key.clone(), held);
    }
}
