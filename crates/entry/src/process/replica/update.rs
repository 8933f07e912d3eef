//! Updates of a replica: what the store returned, and what hosts send to one another.

use super::{Change, Replica, subject_of};
use crate::{
    era::Era,
    model::{Fact, Item},
    platform::Subject,
};
use azurenotch_wire::time::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which a change is included in updates to other hosts.
const UPDATE_RETENTION: Duration = Duration::from_secs(3);
/// Changes of a subject that the store returned in one answer.
#[derive(Debug, Clone)]
pub(super) struct StoreAnswer {
    at: Instant,
    subject: Subject,
    /// Version of the store before the changes.
    from: u64,
    /// Version of the store after the changes.
    to: u64,
    facts: Vec<Fact>,
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
        let Update {
            after,
            up_to,
            facts,
        } = update;
        self.answers.push_back(StoreAnswer {
            at: now,
            subject,
            from: after,
            to: up_to,
            facts: facts.clone(),
        });
        while let Some(answer) = self.answers.front()
            && now.since(answer.at) > UPDATE_RETENTION
        {
            self.answers.pop_front();
        }
        let changes = self.apply(now, facts);
        self.confirm(subject, up_to, at);
        changes
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
        let changes = self.apply(now, update.facts);
        self.advance(subject, update.up_to);
        self.eras.see(now, update.up_to);
        Some(changes)
    }

    /// Returns the most recent changes of a subject, at most `facts` of them.
    ///
    /// Configurations are too large for a message and end the update.
    pub fn recent_update(&self, now: Instant, subject: Subject, facts: usize) -> Update {
        let version = self.freshness(subject).version;
        let mut update = Update {
            after: version,
            up_to: version,
            facts: Vec::new(),
        };
        for answer in self
            .answers
            .iter()
            .rev()
            .filter(|answer| answer.subject == subject)
        {
            let fits = update.facts.len() + answer.facts.len() <= facts;
            let large = answer
                .facts
                .iter()
                .any(|fact| matches!(fact.item, Item::Config(_)));
            if now.since(answer.at) > UPDATE_RETENTION
                || answer.to != update.after
                || !fits
                || large
            {
                break;
            }
            update.after = answer.from;
            update.facts.extend(answer.facts.iter().cloned());
        }
        update
    }

    /// Returns all changes after a version of the store.
    ///
    /// Returns all rows, with `after` 0, if removals since then may have been pruned, or if the
    /// version is of an earlier era: rows that the store lost and nobody else knew are not changes.
    pub fn update_since(&self, subject: Subject, version: u64) -> Update {
        let is_earlier = Era::of(version) < Era::of(self.freshness(subject).version);
        let after = if version < self.removals_kept_after || is_earlier {
            0
        } else {
            version
        };
        let facts = self.facts().into_iter();
        Update {
            after,
            up_to: self.freshness(subject).version,
            facts: facts
                .filter(|fact| subject_of(fact) == subject && fact.version > after)
                .collect(),
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
