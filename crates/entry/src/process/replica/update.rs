//! Updates of a replica: what the store returned, and what hosts send to one another.

use super::{Change, Replica};
use crate::{
    era::Era,
    model::{Fact, Item, Patch},
    platform::Subject,
};
use azurenotch_wire::time::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which a change is included in updates to other hosts.
const UPDATE_RETENTION: Duration = Duration::from_secs(3);

/// Changes of a subject that the store or another host has just sent.
#[derive(Debug, Clone)]
pub(super) struct Received {
    at: Instant,
    subject: Subject,
    update: Update,
    /// Size of the largest fact in a message, in bytes; `None` if messages do not contain one of them.
    largest: Option<usize>,
}

/// All changes of a subject between two versions of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Version before the changes; 0 if the facts are all rows of the subject.
    pub after: u64,
    /// Version after the changes.
    pub up_to: u64,
    /// Changed rows.
    pub facts: Vec<Fact>,
}

impl Update {
    /// Returns the update that contains nothing, at a version.
    pub const fn none(version: u64) -> Self {
        Self {
            after: version,
            up_to: version,
            facts: Vec::new(),
        }
    }
}

impl Replica {
    /// Applies an answer of the store, and keeps it for updates to other hosts.
    ///
    /// `at` is the instant as of which the answer was complete.
    pub fn apply_store_update(
        &mut self,
        now: Instant,
        subject: Subject,
        update: Update,
        at: Instant,
    ) -> Vec<Change> {
        self.keep_received(now, subject, &update);
        let changes = self.apply(now, update.facts);
        self.confirm(subject, update.up_to, at);
        changes
    }

    fn keep_received(&mut self, now: Instant, subject: Subject, update: &Update) {
        let update = self.patched(update);
        let mut facts = update.facts.iter();
        let largest = facts.try_fold(0, |largest, fact| Some(size(fact)?.max(largest)));
        self.received.push_back(Received {
            at: now,
            subject,
            update,
            largest,
        });
        while let Some(oldest) = self.received.front()
            && now.since(oldest.at) > UPDATE_RETENTION
        {
            self.received.pop_front();
        }
    }

    /// Returns the update with patches in place of configurations that follow a known one.
    fn patched(&self, update: &Update) -> Update {
        let known = self.config.as_ref();
        let mut known = known.map(|(row, config)| (*row, config.as_ref()));
        let facts = update.facts.iter().map(|fact| {
            let Item::Config(config) = &fact.item else {
                return fact.clone();
            };
            let former = known.replace((fact.version, config));
            // Versions of a restored store say nothing about rows that were written before.
            let former = former.filter(|(row, former)| {
                let in_one_era = Era::of(*row) == Era::of(fact.version);
                in_one_era && *row < fact.version && former.version < config.version
            });
            match former {
                Some((row, former)) => {
                    let patch = Patch::between(row, former, config);
                    Fact::new(fact.version, Item::Patch(Box::new(patch)))
                }
                None => fact.clone(),
            }
        });
        let facts = facts.collect();
        Update { facts, ..*update }
    }

    /// Returns whether this host has the configurations from which the patches of an update start.
    fn has_bases(&self, update: &Update) -> bool {
        let known = self.config.as_ref();
        let mut known = known.map(|(row, config)| (*row, config.version));
        update.facts.iter().all(|fact| {
            let Item::Patch(patch) = &fact.item else {
                return true;
            };
            if known.is_some_and(|(_, version)| version >= patch.version) {
                return true;
            }
            let former = known.replace((fact.version, patch.version));
            former.is_some_and(|(row, version)| patch.follows(row, version))
        })
    }

    /// Applies an update of another host.
    ///
    /// Returns `None` if changes before it are missing or nothing in it is new.
    pub fn apply_peer_update(
        &mut self,
        now: Instant,
        subject: Subject,
        update: Update,
    ) -> Option<Vec<Change>> {
        let freshness = *self.freshness_mut(subject)?;
        if freshness.version < update.after || freshness.version >= update.up_to {
            return None;
        }
        if !self.has_bases(&update) {
            return None;
        }
        self.keep_received(now, subject, &update);
        let changes = self.apply(now, update.facts);
        self.advance(subject, update.up_to);
        self.eras.see(now, update.up_to);
        Some(changes)
    }

    /// Returns the recent changes of a subject in parts of at most about `bytes`, oldest first.
    ///
    /// Each part follows the one before it; the last one ends with the present version. There is
    /// always a last part, which may be empty. Rows that are too large for a message are not in them, so
    /// that the parts begin after those: among them are configurations without a patch.
    pub fn recent_updates(&self, now: Instant, subject: Subject, bytes: usize) -> Vec<Update> {
        let version = self.freshness(subject).version;
        let recent = self.received.iter().filter(|it| {
            let fits = it.largest.is_some_and(|largest| largest <= bytes);
            let is_recent = now.since(it.at) <= UPDATE_RETENTION;
            it.subject == subject && is_recent && fits
        });
        let recent: Vec<&Update> = recent.map(|it| &it.update).collect();
        let mut after = version;
        let mut facts: Vec<&Fact> = Vec::new();
        while let Some(update) = recent
            .iter()
            .filter(|update| update.after < after && after <= update.up_to)
            .min_by_key(|update| update.after)
        {
            after = update.after;
            facts.extend(&update.facts);
        }
        facts.sort_by_key(|fact| fact.version);
        facts.dedup();
        split(after, version, &facts, bytes)
    }

    /// Returns all changes after a version of the store.
    ///
    /// Returns all rows, with `after` 0, if this host may not know all removals since then, or if the
    /// version is of an earlier era: rows that the store lost and nobody else knew are not changes.
    pub fn update_since(&self, subject: Subject, version: u64) -> Update {
        let is_earlier = Era::of(version) < Era::of(self.freshness(subject).version);
        let unknown = self.removals_unknown.get(&subject);
        let after = if unknown.is_some_and(|unknown| version < *unknown) || is_earlier {
            0
        } else {
            version
        };
        Update {
            after,
            up_to: self.freshness(subject).version,
            facts: self.facts(subject, after),
        }
    }

    /// Returns all changes of orders after a version of the store, and a newer configuration.
    ///
    /// A host whose configuration has a lower version than `configuration` gets this one even if its
    /// row has an older version: the store may have lost the row.
    pub fn orders_since(&self, version: u64, configuration: u64) -> Update {
        let mut update = self.update_since(Subject::Orders, version);
        let listed = |fact: &Fact| matches!(fact.item, Item::Config(_));
        if let Some((row, config)) = &self.config
            && config.version > configuration
            && !update.facts.iter().any(listed)
        {
            let item = Item::Config(Box::new(config.as_ref().clone()));
            update.facts.push(Fact::new(*row, item));
        }
        update
    }
}

/// Returns the size of a fact in a message, in bytes; `None` if messages do not contain it.
fn size(fact: &Fact) -> Option<usize> {
    if matches!(fact.item, Item::Config(_)) {
        return None;
    }
    rmp_serde::to_vec(fact).ok().map(|bytes| bytes.len())
}

/// Divides the changes between two versions into parts of at most about `bytes`.
///
/// A part ends between two versions, since a host that has it counts as having all up to its end.
fn split(after: u64, up_to: u64, facts: &[&Fact], bytes: usize) -> Vec<Update> {
    let mut parts = Vec::new();
    let mut part = Update::none(after);
    let mut used = 0;
    for of_version in facts.chunk_by(|one, other| one.version == other.version) {
        let needed: usize = of_version.iter().filter_map(|fact| size(fact)).sum();
        if used + needed > bytes && !part.facts.is_empty() {
            let next = Update::none(part.up_to);
            parts.push(std::mem::replace(&mut part, next));
            used = 0;
        }
        used += needed;
        part.facts.extend(of_version.iter().copied().cloned());
        part.up_to = of_version[0].version;
    }
    part.up_to = up_to;
    parts.push(part);
    parts
}

#[cfg(test)]
mod tests;
