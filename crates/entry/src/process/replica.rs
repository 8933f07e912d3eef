//! What this host knows of the platform's rows.

use crate::{
    model::{Config, Fact, Item, Outcome},
    platform::Subject,
};
use azurenotch_wire::{
    Map,
    id::{DataCentre, Server, Service},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, sync::Arc, time::Duration};

/// How current the knowledge of a subject is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Version of the store up to which this host knows everything.
    pub version: u64,
    /// Moment at which that was everything; `None` if never.
    pub confirmed: Option<Instant>,
}

/// What a fact changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A newer configuration.
    Config(Arc<Config>),
    /// An order to move a service, or its end.
    Move(Service, u64, Option<crate::model::Move>),
    /// A data centre is evacuated, or taken back.
    Evacuation(DataCentre, bool),
    /// A backend server appeared or changed.
    Listed(Server, crate::model::Backend),
    /// A backend server is gone, and whether it said so before.
    Unlisted(Server, Service, bool),
    /// The state of a version move.
    Outcome(Service, u64, Option<Outcome>),
    /// Another entry host.
    Peer(crate::model::Peer),
}

/// What this host knows of the platform's rows; a row only moves forward.
#[derive(Debug, Default)]
pub struct Replica {
    config: Option<(u64, Arc<Config>)>,
    rows: Map<RowKey, Fact>,
    orders: Freshness,
    servers: Freshness,
    /// Reading of the store's steady clock and when it was taken.
    clock: Option<(Instant, Duration)>,
    /// What the store said lately, for the hosts that do not follow it.
    answers: VecDeque<StoreAnswer>,
    /// Facts about rows that were removed before this version are forgotten.
    removals_kept_after: u64,
}

/// One answer of the store.
#[derive(Debug, Clone)]
struct StoreAnswer {
    at: Instant,
    subject: Subject,
    /// Version of the store before it.
    from: u64,
    /// Version of the store after it.
    to: u64,
    facts: Vec<Fact>,
}

/// Everything that changed about a subject between two versions of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Version before the changes.
    pub after: u64,
    /// Version after the changes.
    pub upto: u64,
    /// The changes.
    pub facts: Vec<Fact>,
}

/// Time for which hosts are told what changed.
const UPDATE_RETENTION: Duration = Duration::from_secs(3);
/// Removed rows that are remembered.
const MAX_REMOVED_ROWS: usize = 4096;

/// Name of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum RowKey {
    Move(Service),
    Evacuation(DataCentre),
    Backend(Server),
    Outcome(Service),
}

impl Replica {
    /// Returns how current the knowledge of orders or servers is.
    pub fn freshness(&self, subject: Subject) -> Freshness {
        match subject {
            Subject::Servers => self.servers,
            Subject::Orders | Subject::Outcomes | Subject::Hosts => self.orders,
        }
    }

    /// Takes note that everything up to `version` is known as of `at`.
    pub fn confirm(&mut self, subject: Subject, version: u64, at: Instant) {
        if let Some(freshness) = self.freshness_mut(subject) {
            freshness.version = freshness.version.max(version);
            freshness.confirmed = freshness.confirmed.max(Some(at));
        }
    }

    fn freshness_mut(&mut self, subject: Subject) -> Option<&mut Freshness> {
        match subject {
            Subject::Orders => Some(&mut self.orders),
            Subject::Servers => Some(&mut self.servers),
            Subject::Outcomes | Subject::Hosts => None,
        }
    }

    /// Takes note that everything up to `version` is known, by the word of another host.
    pub fn advance(&mut self, subject: Subject, version: u64) {
        if let Some(freshness) = self.freshness_mut(subject) {
            freshness.version = freshness.version.max(version);
        }
    }

    /// Takes note of a reading of the store's steady clock.
    pub fn set_clock(&mut self, now: Instant, clock: Duration) {
        self.clock = Some((now, clock));
    }

    /// Returns what the store's steady clock shows, if it was ever read.
    pub fn clock(&self, now: Instant) -> Option<Duration> {
        self.clock.map(|(at, clock)| clock + now.since(at))
    }

    /// Adopts an answer of the store that holds all changes between two versions.
    ///
    /// `at` is the moment as of which the answer was complete.
    pub fn apply_store_update(
        &mut self,
        now: Instant,
        subject: Subject,
        update: Update,
        at: Instant,
    ) -> Vec<Change> {
        let Update { after, upto, facts } = update;
        self.answers.push_back(StoreAnswer {
            at: now,
            subject,
            from: after,
            to: upto,
            facts: facts.clone(),
        });
        while let Some(answer) = self.answers.front()
            && now.since(answer.at) > UPDATE_RETENTION
        {
            self.answers.pop_front();
        }
        let changes = self.apply(facts);
        self.confirm(subject, upto, at);
        changes
    }

    /// Adopts what another host was told by the store; `None` if changes before it are missing.
    pub fn apply_peer_update(&mut self, subject: Subject, update: Update) -> Option<Vec<Change>> {
        let freshness = self.freshness_mut(subject)?;
        if freshness.version < update.after || freshness.version >= update.upto {
            return None;
        }
        freshness.version = update.upto;
        Some(self.apply(update.facts))
    }

    /// Returns what the store said lately about a subject in at most `facts` facts.
    pub fn recent_update(&self, now: Instant, subject: Subject, facts: usize) -> Update {
        let version = self.freshness(subject).version;
        let mut update = Update {
            after: version,
            upto: version,
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

    /// Returns what changed after a version of the store; everything if that is no longer known.
    pub fn update_since(&self, subject: Subject, version: u64) -> Update {
        let after = if version < self.removals_kept_after {
            0
        } else {
            version
        };
        let facts = self.facts().into_iter();
        Update {
            after,
            upto: self.freshness(subject).version,
            facts: facts
                .filter(|fact| subject_of(fact) == subject && fact.version > after)
                .collect(),
        }
    }

    /// Forgets some rows that were removed if there are too many.
    fn prune(&mut self) {
        let removed = self.rows.values().filter(|fact| is_removed(&fact.item));
        let mut versions: Vec<u64> = removed.map(|fact| fact.version).collect();
        if versions.len() > MAX_REMOVED_ROWS {
            versions.sort_unstable();
            self.removals_kept_after = versions[MAX_REMOVED_ROWS / 2];
            let removals_kept_after = self.removals_kept_after;
            self.rows
                .retain(|_, fact| fact.version > removals_kept_after || !is_removed(&fact.item));
        }
    }

    /// Returns what is known of servers, moves and their states as if it had just changed.
    pub fn known_as_changes(&self) -> Vec<Change> {
        let rows = self.rows.values();
        let rows = rows.filter(|fact| !matches!(fact.item, Item::Evacuation(..)));
        rows.filter_map(|fact| change(fact.version, &fact.item, None))
            .collect()
    }

    /// Returns all facts for another host.
    fn facts(&self) -> Vec<Fact> {
        let config = self.config.iter().map(|(version, config)| Fact {
            version: *version,
            item: Item::Config(Box::new(config.as_ref().clone())),
        });
        config.chain(self.rows.values().cloned()).collect()
    }

    /// Returns the backend servers that are listed.
    pub fn backends(&self) -> impl Iterator<Item = (&Server, &crate::model::Backend)> {
        self.rows.values().filter_map(|fact| match &fact.item {
            Item::Backend(server, Some(backend)) => Some((server, backend)),
            _ => None,
        })
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        let row = RowKey::Evacuation(data_centre.clone());
        let fact = self.rows.get(&row);
        fact.is_some_and(|fact| matches!(fact.item, Item::Evacuation(_, true)))
    }

    /// Adopts the whole of a subject: rows that are not among the facts are gone.
    pub fn replace(&mut self, subject: Subject, version: u64, facts: Vec<Fact>) -> Vec<Change> {
        let named: Vec<RowKey> = facts
            .iter()
            .filter_map(|fact| row_key(&fact.item))
            .collect();
        let gone: Vec<Fact> = self
            .rows
            .iter()
            .filter(|(row, fact)| {
                belongs(row, subject) && fact.version <= version && !named.contains(row)
            })
            .filter_map(|(row, fact)| removal(row, fact, version))
            .collect();
        let mut changes = self.apply(gone);
        changes.extend(self.apply(facts));
        self.prune();
        changes
    }

    /// Adopts facts that are newer than what is known.
    pub fn apply(&mut self, facts: Vec<Fact>) -> Vec<Change> {
        facts
            .into_iter()
            .filter_map(|fact| self.adopt(fact))
            .collect()
    }

    fn adopt(&mut self, fact: Fact) -> Option<Change> {
        let version = fact.version;
        match fact.item {
            Item::Config(config) => {
                let newer = self
                    .config
                    .as_ref()
                    .is_none_or(|(_, it)| it.version < config.version);
                newer.then(|| {
                    let config = Arc::new(*config);
                    self.config = Some((version, Arc::clone(&config)));
                    Change::Config(config)
                })
            }
            Item::Peer(_, peer) => peer.map(Change::Peer),
            item => {
                let row = row_key(&item)?;
                let known = self.rows.get(&row);
                if known.is_some_and(|known| known.version >= version) {
                    return None;
                }
                let former = known.map(|known| known.item.clone());
                if former.as_ref() == Some(&item) {
                    self.rows.insert(row, Fact { version, item });
                    return None;
                }
                let change = change(version, &item, former);
                self.rows.insert(row, Fact { version, item });
                change
            }
        }
    }
}

fn change(version: u64, item: &Item, former: Option<Item>) -> Option<Change> {
    match (item.clone(), former) {
        (Item::Move(service, order), _) => Some(Change::Move(service, version, order)),
        (Item::Evacuation(centre, on), _) => Some(Change::Evacuation(centre, on)),
        (Item::Backend(server, Some(backend)), _) => Some(Change::Listed(server, backend)),
        (Item::Backend(server, None), Some(Item::Backend(_, Some(former)))) => {
            Some(Change::Unlisted(server, former.service, former.draining))
        }
        (Item::Outcome(service, outcome), _) => Some(Change::Outcome(service, version, outcome)),
        _ => None,
    }
}

fn row_key(item: &Item) -> Option<RowKey> {
    match item {
        Item::Move(service, _) => Some(RowKey::Move(service.clone())),
        Item::Evacuation(centre, _) => Some(RowKey::Evacuation(centre.clone())),
        Item::Backend(server, _) => Some(RowKey::Backend(server.clone())),
        Item::Outcome(service, _) => Some(RowKey::Outcome(service.clone())),
        Item::Config(_) | Item::Peer(..) => None,
    }
}

/// Returns the subject to which a fact belongs.
pub(crate) fn subject_of(fact: &Fact) -> Subject {
    match fact.item {
        Item::Config(_) | Item::Move(..) | Item::Evacuation(..) => Subject::Orders,
        Item::Backend(..) => Subject::Servers,
        Item::Outcome(..) => Subject::Outcomes,
        Item::Peer(..) => Subject::Hosts,
    }
}

fn is_removed(item: &Item) -> bool {
    match item {
        Item::Move(_, order) => order.is_none(),
        Item::Evacuation(_, on) => !on,
        Item::Backend(_, backend) => backend.is_none(),
        Item::Outcome(_, outcome) => outcome.is_none(),
        Item::Config(_) | Item::Peer(..) => false,
    }
}

fn belongs(row: &RowKey, subject: Subject) -> bool {
    match row {
        RowKey::Move(_) | RowKey::Evacuation(_) => subject == Subject::Orders,
        RowKey::Backend(_) => subject == Subject::Servers,
        RowKey::Outcome(_) => subject == Subject::Outcomes,
    }
}

/// Returns the fact that a row is gone, unless that is known.
fn removal(row: &RowKey, known: &Fact, version: u64) -> Option<Fact> {
    let item = match (row, &known.item) {
        (RowKey::Move(service), Item::Move(_, Some(_))) => Item::Move(service.clone(), None),
        (RowKey::Evacuation(centre), Item::Evacuation(_, true)) => {
            Item::Evacuation(centre.clone(), false)
        }
        (RowKey::Backend(server), Item::Backend(_, Some(_))) => Item::Backend(server.clone(), None),
        (RowKey::Outcome(service), Item::Outcome(_, Some(_))) => {
            Item::Outcome(service.clone(), None)
        }
        _ => return None,
    };
    Some(Fact { version, item })
}

#[cfg(test)]
mod tests;
