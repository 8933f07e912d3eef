//! Replica of the platform's rows on one host.

mod adopt;
mod complete;
mod conflict;
mod hold;
mod lineage;
mod update;

pub use conflict::Conflict;
pub use hold::LostOutcome;
pub use update::Update;

use crate::{
    era::Era,
    model::{Config, Fact, Item, Outcome},
    platform::Subject,
};
use azurenotch_core::process::follow::Knowledge;
use azurenotch_wire::{
    Map, Set,
    id::{DataCentre, Server, Service},
    time::Instant,
};
use complete::Completeness;
use derive_more::Display;
use hold::Held;
use lineage::{Eras, Lineage};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use update::Received;

/// How current the rows of a subject are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Version of the store up to which all changes are applied.
    pub version: u64,
    /// Last instant at which the store had no later change; `None` if never confirmed.
    pub confirmed: Option<Instant>,
    /// The same instant by what other hosts say, if their messages were not delayed.
    ///
    /// It decides when this host asks the store by itself, never whether knowledge is current.
    pub heard: Option<Instant>,
}

impl Freshness {
    /// Returns what decides whether the host follows the store.
    pub const fn knowledge(&self) -> Knowledge {
        Knowledge {
            confirmed: self.confirmed,
            heard: self.heard,
        }
    }
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
    /// Up to when the configuration has all changes that the operator was told are accepted.
    completeness: Completeness,
    /// Reading of the store's monotonic clock, and the instant of the reading.
    clock: Option<(Instant, Duration)>,
    /// Recent changes, for updates to hosts that do not follow the store.
    received: VecDeque<Received>,
    /// Whether the facts that are applied are all rows, as of the present version or later.
    reads_all: bool,
    /// Versions up to which this host may not know which rows of a subject were removed.
    ///
    /// It was not there, or has pruned them.
    removals_unknown: Map<Subject, u64>,
    /// Rows that the store lost when it came back from an older copy, until they are written again.
    held: Map<Key, Held>,
    /// Contents of rows that changed, or were read in several eras.
    lineages: Map<Key, Lineage>,
    eras: Eras,
    /// Decisions between contents of different eras that were not logged yet.
    conflicts: VecDeque<Conflict>,
}

/// Maximum number of removed rows that are kept.
const MAX_REMOVED_ROWS: usize = 4096;

/// Key of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
enum Key {
    #[display("move {_0}")]
    Move(Service),
    #[display("evacuation {_0}")]
    Evacuation(DataCentre),
    #[display("server {_0}")]
    Backend(Server),
    #[display("state of move {_0}")]
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
            freshness.heard = freshness.heard.max(Some(at));
        }
        if subject == Subject::Orders {
            self.completeness.confirm(at);
        }
        self.eras.see(at, version);
    }

    /// Records that, by what another host says, there was no later change at `at`.
    pub fn hear(&mut self, subject: Subject, at: Instant) {
        if let Some(freshness) = self.freshness_mut(subject) {
            freshness.heard = freshness.heard.max(Some(at));
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

    /// Drops the older half of the removed rows if there are more than [`MAX_REMOVED_ROWS`].
    fn prune(&mut self) {
        let removed = self.rows.values().filter(|fact| is_removed(&fact.item));
        let mut versions: Vec<u64> = removed.map(|fact| fact.version).collect();
        if versions.len() > MAX_REMOVED_ROWS {
            versions.sort_unstable();
            let pruned = versions[MAX_REMOVED_ROWS / 2];
            self.rows
                .retain(|_, fact| fact.version > pruned || !is_removed(&fact.item));
            for subject in [Subject::Orders, Subject::Servers, Subject::Outcomes] {
                self.forget_removals(subject, pruned);
            }
            self.lineages.retain(|key, _| self.rows.contains_key(key));
        }
    }

    /// Records that rows may have been removed up to a version without this host knowing them.
    fn forget_removals(&mut self, subject: Subject, version: u64) {
        let known = self.removals_unknown.entry(subject).or_default();
        *known = version.max(*known);
    }

    /// Returns all servers, moves and states of moves as changes, to be applied again.
    pub fn known_as_changes(&self) -> Vec<Change> {
        let rows = self.rows.values();
        let rows = rows.filter(|fact| !matches!(fact.item, Item::Evacuation(..)));
        rows.filter_map(|fact| change(fact.version, &fact.item, None))
            .collect()
    }

    /// Returns the rows of a subject after a version as facts, as other hosts get them.
    ///
    /// Of a row that is held without certainty they get what the store has, and decide themselves.
    fn facts(&self, subject: Subject, after: u64) -> Vec<Fact> {
        let config = self.config.iter();
        let config = config.filter(|(version, _)| subject == Subject::Orders && *version > after);
        let config = config.map(|(version, config)| {
            let item = Item::Config(Box::new(config.as_ref().clone()));
            Fact::new(*version, item)
        });
        let rows = self.rows.iter().filter_map(|(key, fact)| {
            let local = self
                .held
                .get(key)
                .filter(|held| !held.is_shared(&fact.item));
            let fact = local.map_or(Some(fact), |held| held.stored.as_ref())?;
            (belongs(key, subject) && fact.version > after).then(|| fact.clone())
        });
        config.chain(rows).collect()
    }

    /// Returns what other hosts may not find in the store.
    ///
    /// These are the states of the version moves that are ordered, and at most `most` rows that the
    /// store has lost; a later call with a higher `round` returns the next of them.
    pub fn shared(&self, round: usize, most: usize) -> Vec<Fact> {
        let mut shared = self.outcomes();
        let held = self.held.iter().filter_map(|(key, held)| {
            let fact = self.rows.get(key)?;
            (held.ends && held.is_shared(&fact.item)).then_some(fact)
        });
        let held: Vec<&Fact> = held.collect();
        let first = (round * most) % held.len().max(1);
        let rows = held.iter().cycle().skip(first);
        shared.extend(rows.take(most.min(held.len())).copied().cloned());
        shared
    }

    /// Returns the states of the version moves that are ordered.
    fn outcomes(&self) -> Vec<Fact> {
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
    /// Rows that are not among the facts are removed, unless they are newer. If the store has come
    /// back from an older copy, rows that it lost are kept until they are written again.
    pub fn replace(
        &mut self,
        now: Instant,
        subject: Subject,
        version: u64,
        mut facts: Vec<Fact>,
    ) -> Vec<Change> {
        self.eras.read(now, version);
        if subject == Subject::Orders {
            self.completeness.enter_era(now, version);
        }
        self.hold_lost(now, subject, version, &mut facts);
        let named: Set<Key> = facts.iter().filter_map(|fact| key(&fact.item)).collect();
        // Another host names rows that it knows to be removed, also if they came back and went since.
        let present = facts.iter().filter(|fact| !is_removed(&fact.item));
        let present: Set<Key> = present.filter_map(|fact| key(&fact.item)).collect();
        // The store decides about rows that were held and not written again.
        for (key, known) in &mut self.rows {
            let was_held = known.origin.is_some() && !self.held.contains_key(key);
            let is_decided = named.contains(key) || !is_removed(&known.item);
            if was_held && is_decided && belongs(key, subject) && known.version <= version {
                known.version = 0;
                known.origin = None;
                self.lineages.remove(key);
            }
        }
        let gone: Vec<Fact> = self
            .rows
            .iter()
            .filter(|(key, fact)| {
                belongs(key, subject)
                    && fact.version <= version
                    && !present.contains(key)
                    && !self.held.contains_key(*key)
            })
            .filter_map(|(key, fact)| removal(key, fact, version))
            .collect();
        let mut changes = self.apply(now, gone);
        self.reads_all = version >= self.freshness(subject).version;
        changes.extend(self.apply(now, facts));
        self.reads_all = false;
        // Rows that were added and removed since the last read are in neither.
        self.forget_removals(subject, version);
        self.prune();
        changes
    }

    /// Returns the era of the rows that are most current.
    pub fn era(&self) -> Era {
        Era::of(self.orders.version.max(self.servers.version))
    }

    /// Applies the facts that are newer than the rows of the replica; returns what changed.
    pub fn apply(&mut self, now: Instant, facts: Vec<Fact>) -> Vec<Change> {
        facts
            .into_iter()
            .filter_map(|fact| self.adopt(now, fact))
            .collect()
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
        Item::Config(_) | Item::Patch(_) | Item::Peer(..) => None,
    }
}

/// Returns the subject to which a fact belongs.
pub(crate) fn subject_of(fact: &Fact) -> Subject {
    match fact.item {
        Item::Config(_) | Item::Patch(_) | Item::Move(..) | Item::Evacuation(..) => Subject::Orders,
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
        Item::Config(_) | Item::Patch(_) | Item::Peer(..) => false,
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
    Some(Fact::new(version, item))
}

#[cfg(test)]
mod tests;
