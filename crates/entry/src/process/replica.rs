//! Replica of the platform's rows on one host.

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

/// How current the rows of a subject are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Version of the store up to which all changes are applied.
    pub version: u64,
    /// Last instant at which the store had no later change; `None` if never confirmed.
    pub confirmed: Option<Instant>,
}

/// Change of a row, which the host then applies to its state.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A newer configuration.
    Config(Arc<Config>),
    /// An order to move a service at a version of the store; `None` if it was removed.
    Move(Service, u64, Option<crate::model::Move>),
    /// An evacuation of a data centre began (`true`) or ended.
    Evacuation(DataCentre, bool),
    /// A backend server was added or updated.
    Listed(Server, crate::model::Backend),
    /// A backend server was removed; `true` if it was draining before.
    Unlisted(Server, Service, bool),
    /// The state of a version move at a version of the store; `None` if it was removed.
    Outcome(Service, u64, Option<Outcome>),
    /// Another entry host.
    Peer(crate::model::Peer),
}

/// Replica of the platform's rows; a row is replaced only by a newer version of it.
#[derive(Debug, Default)]
pub struct Replica {
    config: Option<(u64, Arc<Config>)>,
    rows: Map<Key, Fact>,
    orders: Freshness,
    servers: Freshness,
    /// Reading of the store's monotonic clock, and the instant of the reading.
    clock: Option<(Instant, Duration)>,
    /// Recent answers of the store, for updates to hosts that do not follow it.
    answers: VecDeque<StoreAnswer>,
    /// Version up to which removed rows were pruned.
    removals_kept_after: u64,
}

/// Changes of a subject that the store returned in one answer.
#[derive(Debug, Clone)]
struct StoreAnswer {
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

/// Time for which a change is included in updates to other hosts.
const UPDATE_RETENTION: Duration = Duration::from_secs(3);
/// Maximum number of removed rows that are kept.
const MAX_REMOVED_ROWS: usize = 4096;

/// Key of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Key {
    Move(Service),
    Evacuation(DataCentre),
    Backend(Server),
    Outcome(Service),
}

impl Replica {
    /// Returns how current the rows of a subject are.
    ///
    /// Only orders and servers are tracked; other subjects return the freshness of orders.
    pub fn freshness(&self, subject: Subject) -> Freshness {
        match subject {
            Subject::Servers => self.servers,
            Subject::Orders | Subject::Outcomes | Subject::Hosts => self.orders,
        }
    }

    /// Records that at `at` all changes up to `version` were applied and there was no later one.
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

    /// Records that all changes up to `version` were applied, without confirmation by the store.
    pub fn advance(&mut self, subject: Subject, version: u64) {
        if let Some(freshness) = self.freshness_mut(subject) {
            freshness.version = freshness.version.max(version);
        }
    }

    /// Records a reading of the store's monotonic clock.
    pub fn set_clock(&mut self, now: Instant, clock: Duration) {
        self.clock = Some((now, clock));
    }

    /// Returns the time on the store's monotonic clock; `None` if it was never read.
    pub fn clock(&self, now: Instant) -> Option<Duration> {
        self.clock.map(|(at, clock)| clock + now.since(at))
    }

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
        let changes = self.apply(facts);
        self.confirm(subject, up_to, at);
        changes
    }

    /// Applies an update of another host.
    ///
    /// Returns `None` if changes before it are missing or nothing in it is new.
    pub fn apply_peer_update(&mut self, subject: Subject, update: Update) -> Option<Vec<Change>> {
        let freshness = self.freshness_mut(subject)?;
        if freshness.version < update.after || freshness.version >= update.up_to {
            return None;
        }
        freshness.version = update.up_to;
        Some(self.apply(update.facts))
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
    /// Returns all rows, with `after` 0, if removals since then may have been pruned.
    pub fn update_since(&self, subject: Subject, version: u64) -> Update {
        let after = if version < self.removals_kept_after {
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

    /// Drops the older half of the removed rows if there are more than [`MAX_REMOVED_ROWS`].
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

    /// Returns all servers, moves and states of moves as changes, to be applied again.
    pub fn known_as_changes(&self) -> Vec<Change> {
        let rows = self.rows.values();
        let rows = rows.filter(|fact| !matches!(fact.item, Item::Evacuation(..)));
        rows.filter_map(|fact| change(fact.version, &fact.item, None))
            .collect()
    }

    /// Returns all rows as facts.
    fn facts(&self) -> Vec<Fact> {
        let config = self.config.iter().map(|(version, config)| Fact {
            version: *version,
            item: Item::Config(Box::new(config.as_ref().clone())),
        });
        config.chain(self.rows.values().cloned()).collect()
    }

    /// Returns the states of the version moves that are ordered.
    pub fn outcomes(&self) -> Vec<Fact> {
        let rows = self.rows.values().filter(|fact| match &fact.item {
            Item::Outcome(service, Some(_)) => {
                let order = self.rows.get(&Key::Move(service.clone()));
                order.is_some_and(|order| !is_removed(&order.item))
            }
            _ => false,
        });
        rows.cloned().collect()
    }

    /// Returns all backend servers that are not removed.
    pub fn backends(&self) -> impl Iterator<Item = (&Server, &crate::model::Backend)> {
        self.rows.values().filter_map(|fact| match &fact.item {
            Item::Backend(server, Some(backend)) => Some((server, backend)),
            _ => None,
        })
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        let key = Key::Evacuation(data_centre.clone());
        let fact = self.rows.get(&key);
        fact.is_some_and(|fact| matches!(fact.item, Item::Evacuation(_, true)))
    }

    /// Replaces all rows of a subject with those read at `version`.
    ///
    /// Rows that are not among the facts are removed, unless they are newer.
    pub fn replace(&mut self, subject: Subject, version: u64, facts: Vec<Fact>) -> Vec<Change> {
        let named: Vec<Key> = facts.iter().filter_map(|fact| key(&fact.item)).collect();
        let gone: Vec<Fact> = self
            .rows
            .iter()
            .filter(|(key, fact)| {
                belongs(key, subject) && fact.version <= version && !named.contains(key)
            })
            .filter_map(|(key, fact)| removal(key, fact, version))
            .collect();
        let mut changes = self.apply(gone);
        changes.extend(self.apply(facts));
        self.prune();
        changes
    }

    /// Applies the facts that are newer than the rows of the replica; returns what changed.
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
                let key = key(&item)?;
                let known = self.rows.get(&key);
                if known.is_some_and(|known| known.version >= version) {
                    return None;
                }
                let former = known.map(|known| known.item.clone());
                if former.as_ref() == Some(&item) {
                    self.rows.insert(key, Fact { version, item });
                    return None;
                }
                let change = change(version, &item, former);
                self.rows.insert(key, Fact { version, item });
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

fn key(item: &Item) -> Option<Key> {
    match item {
        Item::Move(service, _) => Some(Key::Move(service.clone())),
        Item::Evacuation(centre, _) => Some(Key::Evacuation(centre.clone())),
        Item::Backend(server, _) => Some(Key::Backend(server.clone())),
        Item::Outcome(service, _) => Some(Key::Outcome(service.clone())),
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

fn belongs(key: &Key, subject: Subject) -> bool {
    match key {
        Key::Move(_) | Key::Evacuation(_) => subject == Subject::Orders,
        Key::Backend(_) => subject == Subject::Servers,
        Key::Outcome(_) => subject == Subject::Outcomes,
    }
}

/// Returns the fact that a row was removed; `None` if it was removed before.
fn removal(key: &Key, known: &Fact, version: u64) -> Option<Fact> {
    let item = match (key, &known.item) {
        (Key::Move(service), Item::Move(_, Some(_))) => Item::Move(service.clone(), None),
        (Key::Evacuation(centre), Item::Evacuation(_, true)) => {
            Item::Evacuation(centre.clone(), false)
        }
        (Key::Backend(server), Item::Backend(_, Some(_))) => Item::Backend(server.clone(), None),
        (Key::Outcome(service), Item::Outcome(_, Some(_))) => Item::Outcome(service.clone(), None),
        _ => return None,
    };
    Some(Fact { version, item })
}

#[cfg(test)]
mod tests;
