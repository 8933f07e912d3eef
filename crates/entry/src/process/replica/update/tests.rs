use super::{super::Replica, UPDATE_RETENTION, Update, size};
use crate::{
    era::Era,
    model::{Backend, Config, Fact, Item, Kind, Limits, Route},
    platform::Subject,
    process::{relay, replica::Change},
};
use azurenotch_wire::{Map, time::Instant};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;
use test_case::test_case;

const SERVERS: Subject = Subject::Servers;
const ORDERS: Subject = Subject::Orders;
const BYTES: usize = 400;

fn listed(version: u64, server: &str) -> Fact {
    let backend = Backend {
        service: "s".into(),
        address: "127.0.0.1:80".parse().expect("valid address"),
        data_centre: "a".into(),
        release: "v1".into(),
        slots: 9,
        draining: false,
        cold: Duration::ZERO,
        born_ms: None,
    };
    Fact::new(version, Item::Backend(server.into(), Some(backend)))
}

fn update(after: u64, facts: Vec<Fact>, up_to: u64) -> Update {
    Update {
        after,
        up_to,
        facts,
    }
}

/// Returns how many servers two replicas have in common, each with the same row.
fn servers(replica: &Replica) -> Vec<String> {
    let mut servers: Vec<_> = replica.backends().map(|(it, _)| it.to_string()).collect();
    servers.sort_unstable();
    servers
}

/// Guards against a change that is too large for a message and has to be requested.
#[test]
fn a_large_change_is_divided_into_parts_that_follow_each_other() {
    let mut sender = Replica::default();
    let now = Instant::ZERO;
    let facts: Vec<Fact> = (1..=60).map(|it| listed(it, &format!("i-{it}"))).collect();
    sender.apply_store_update(now, SERVERS, update(0, facts, 75), now);
    let parts = sender.recent_updates(now, SERVERS, BYTES);
    assert!(parts.len() > 4);
    let mut receiver = Replica::default();
    for part in &parts {
        let bytes: usize = part.facts.iter().filter_map(size).sum();
        assert!(bytes <= BYTES);
        let applied = receiver.apply_peer_update(now, SERVERS, part.clone());
        assert!(applied.is_some());
    }
    assert_eq!(servers(&receiver), servers(&sender));
    assert_eq!(receiver.freshness(SERVERS).version, 75);
}

/// Guards against one row that makes all messages too large to be sent.
#[test]
fn a_row_that_is_too_large_ends_the_updates_before_it() {
    let mut sender = Replica::default();
    let now = Instant::ZERO;
    let large = "x".repeat(2 * BYTES);
    let answers = [
        update(0, vec![listed(1, "i-1")], 1),
        update(1, vec![listed(2, &large)], 2),
        update(2, vec![listed(3, "i-3")], 4),
    ];
    for answer in answers {
        sender.apply_store_update(now, SERVERS, answer, now);
    }
    let expected = [update(2, vec![listed(3, "i-3")], 4)];
    assert_eq!(sender.recent_updates(now, SERVERS, BYTES), expected);
}

#[test]
fn old_changes_are_not_sent() {
    let mut sender = Replica::default();
    let now = Instant::ZERO;
    sender.apply_store_update(now, SERVERS, update(0, vec![listed(1, "i-1")], 1), now);
    let later = now + UPDATE_RETENTION + Duration::from_millis(1);
    assert_eq!(
        sender.recent_updates(later, SERVERS, BYTES),
        [Update::none(1)]
    );
}

/// Two hosts read the store at their own times and tell a third one, in any order and with losses.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_host_never_counts_as_having_what_it_lacks(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    for _ in 0..300 {
        let mut now = Instant::ZERO;
        let mut readers = [Replica::default(), Replica::default()];
        let mut receiver = Replica::default();
        let mut rows: Vec<Fact> = Vec::new();
        for _ in 0..40 {
            now = now + Duration::from_millis(random.random_range(1..400));
            let version = rows.last().map_or(1, |fact| fact.version + 1);
            for offset in 0..random.random_range(0..6) {
                let server = format!("i-{}", random.random_range(0..9));
                rows.push(listed(version + offset, &server));
            }
            let newest = rows.last().map_or(0, |fact| fact.version);
            let reader = &mut readers[random.random_range(0..2)];
            let after = reader.freshness(SERVERS).version;
            let facts = rows.iter().filter(|fact| fact.version > after);
            let answer = update(after, facts.cloned().collect(), newest);
            reader.apply_store_update(now, SERVERS, answer, now);
            let mut parts = reader.recent_updates(now, SERVERS, BYTES);
            if random.random_bool(0.3) {
                parts.reverse();
            }
            for part in parts {
                if random.random_bool(0.7) {
                    receiver.apply_peer_update(now, SERVERS, part);
                }
            }
            let known = receiver.freshness(SERVERS).version;
            let held = receiver.update_since(SERVERS, 0).facts;
            for fact in rows.iter().filter(|fact| fact.version <= known) {
                let has = |it: &Fact| it.item == fact.item && it.version >= fact.version;
                assert!(held.iter().any(has), "{fact:?} at {known}");
            }
        }
    }
}

fn route(number: usize) -> Route {
    Route {
        host: "a.example".into(),
        prefix: format!("/{number}/"),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 0,
        parts: vec![("s".into(), 1)],
        attempts: 2,
        open: true,
        sticky: false,
        homes: Vec::new(),
    }
}

/// Returns a configuration of 300 routes, the first of which may run in one region.
fn config(version: u64, region: &str) -> Config {
    config_of(version, 300, region)
}

fn config_of(version: u64, routes: usize, region: &str) -> Config {
    let mut first = route(0);
    first.homes = vec![region.into()];
    let others = (1..routes).map(|it| (format!("r-{it}").into(), route(it)));
    let first = std::iter::once(("r-0".into(), first));
    Config {
        version,
        routes: first.chain(others).collect(),
        services: Map::default(),
        limits: Limits {
            header_bytes: 1000,
            body_bytes: 1000,
            header_time: Duration::from_secs(1),
            idle_time: Duration::from_secs(1),
        },
        workspaces: None,
    }
}

fn configured(version: u64, config: Config) -> Fact {
    Fact::new(version, Item::Config(Box::new(config)))
}

/// Guards against a change of one route that every host has to request as a whole configuration.
#[test]
fn a_small_change_of_a_large_configuration_fits_into_a_message() {
    let now = Instant::ZERO;
    let first = update(0, vec![configured(10, config(1, "norte"))], 10);
    let mut sender = Replica::default();
    sender.apply_store_update(now, ORDERS, first.clone(), now);
    let mut receiver = Replica::default();
    receiver.apply_store_update(now, ORDERS, first, now);
    let second = config(2, "centro");
    let change = update(10, vec![configured(12, second.clone())], 13);
    sender.apply_store_update(now, ORDERS, change, now);
    let mut adopted = Vec::new();
    for part in sender.recent_updates(now, ORDERS, BYTES) {
        let bytes: usize = part.facts.iter().filter_map(size).sum();
        assert!(bytes <= BYTES);
        adopted.extend(
            receiver
                .apply_peer_update(now, ORDERS, part)
                .into_iter()
                .flatten(),
        );
    }
    assert_eq!(adopted, [Change::Config(second.into())]);
    assert_eq!(receiver.freshness(ORDERS).version, 13);
}

/// Store of the orders, with what its operator has written.
#[derive(Default)]
struct Store {
    era: u16,
    number: u64,
    /// Written configurations of the present era, and those that the copy had.
    rows: Vec<Fact>,
    /// All configurations that were ever written.
    written: Vec<Config>,
    /// Whether the operator has to write again what the store has lost.
    lost: bool,
}

impl Store {
    fn version(&self) -> u64 {
        Era(self.era).version(self.number)
    }

    /// Writes the newest configuration again, or another one under its version or a later one.
    fn write(&mut self, random: &mut SmallRng) {
        self.number += random.random_range(1..4);
        let newest = self.written.last().cloned();
        let mut next = newest.unwrap_or_else(|| config_of(0, 60, "norte"));
        let is_again = std::mem::take(&mut self.lost);
        if !is_again || random.random_bool(0.4) {
            let regions = ["norte", "centro", "sul"];
            let region = regions[random.random_range(0..regions.len())];
            // Most changes fit into a message, some do not.
            let routes = if random.random_bool(0.8) { 3 } else { 60 };
            for number in 0..routes {
                let name = format!("r-{}", random.random_range(0..60)).into();
                let mut route = route(number);
                route.homes = vec![region.into()];
                if random.random_bool(0.2) {
                    next.routes.remove(&name);
                } else {
                    next.routes.insert(name, route);
                }
            }
            let step = u64::from(!is_again);
            next.version += random.random_range(step..3);
        }
        self.rows.push(configured(self.version(), next.clone()));
        self.written.push(next);
    }

    /// Comes back from a copy that lacks the last changes.
    fn restore(&mut self, random: &mut SmallRng) {
        let kept = self.rows.len() - random.random_range(0..self.rows.len().min(3));
        self.rows.truncate(kept);
        self.number = Era::number(self.rows[kept - 1].version) + random.random_range(0..2);
        self.era += 1;
        let era = Era(self.era);
        for row in &mut self.rows {
            row.version = era.version(Era::number(row.version));
        }
        self.lost = true;
    }

    /// Returns the newest configuration up to a version of the present era.
    fn newest(&self, version: u64) -> Option<&Config> {
        let mut rows = self.rows.iter().rev();
        let row = rows.find(|row| row.version <= version)?;
        match &row.item {
            Item::Config(config) => Some(config),
            _ => None,
        }
    }

    /// Brings a host up to date as its feed does.
    fn read(&self, now: Instant, host: &mut Replica, random: &mut SmallRng) {
        let known = host.freshness(ORDERS).version;
        let later = self.rows.iter().filter(|row| row.version > known);
        let later: Vec<Fact> = later.cloned().collect();
        if known == 0 || Era::of(known) != Era(self.era) {
            let newest = self.rows.last().cloned();
            host.replace(now, ORDERS, self.version(), newest.into_iter().collect());
            host.confirm(ORDERS, self.version(), now);
            return;
        }
        let only_last = random.random_bool(0.5);
        let skipped = usize::from(only_last) * later.len().saturating_sub(1);
        let facts = later.into_iter().skip(skipped).collect();
        host.apply_store_update(now, ORDERS, update(known, facts, self.version()), now);
    }
}

/// Hosts read the store, tell one another late, twice or never, and request what they lack, while the
/// store comes back from older copies.
#[test_case(1, 0.0; "seed 1, no restore")]
#[test_case(2, 0.03; "seed 2, restores")]
#[test_case(3, 0.1; "seed 3, many restores")]
fn a_host_that_has_a_version_has_its_configuration(seed: u64, restores: f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let random = &mut random;
    let mut patched = 0;
    for schedule in 0..150 {
        let mut now = Instant::ZERO;
        let mut store = Store {
            era: 1,
            ..Store::default()
        };
        store.write(random);
        let mut hosts: [Replica; 4] = Default::default();
        let mut messages: Vec<Update> = Vec::new();
        for step in 0..60 {
            now = now + Duration::from_millis(random.random_range(1..400));
            if random.random_bool(0.4) {
                store.write(random);
            }
            if random.random_bool(restores) {
                store.restore(random);
            }
            let reader = random.random_range(0..hosts.len());
            store.read(now, &mut hosts[reader], random);
            let sender = random.random_range(0..hosts.len());
            messages.extend(hosts[sender].recent_updates(now, ORDERS, 1_000));
            for _ in 0..8 {
                let receiver = random.random_range(0..hosts.len());
                // Mostly one of the last.
                let oldest = random.random_range(0..messages.len());
                let age = random.random_range(0..=oldest);
                let message = messages[messages.len() - 1 - age].clone();
                let is_patch = |fact: &Fact| matches!(fact.item, Item::Patch(_));
                let has_patch = message.facts.iter().any(is_patch);
                let changes = hosts[receiver].apply_peer_update(now, ORDERS, message);
                patched += usize::from(has_patch && changes.is_some_and(|it| !it.is_empty()));
            }
            if random.random_bool(0.3) {
                let asking = random.random_range(0..hosts.len());
                let known = hosts[asking].freshness(ORDERS).version;
                let version = hosts[asking].config.as_ref().map_or(0, |it| it.1.version);
                let answer = hosts[sender].orders_since(known, version);
                relay::apply_update(now, &mut hosts[asking], ORDERS, known, answer);
            }
            for host in &hosts {
                let context = format!("schedule {schedule}, step {step}");
                let Some((_, config)) = &host.config else {
                    assert_eq!(host.freshness(ORDERS).version, 0, "{context}");
                    continue;
                };
                let is_whole = store.written.iter().any(|it| it == config.as_ref());
                assert!(is_whole, "{context}: never written");
                let known = host.freshness(ORDERS).version;
                if Era::of(known) == Era(store.era) {
                    let newest = store.newest(known).map_or(0, |it| it.version);
                    assert!(newest <= config.version, "{context}: lacks {newest}");
                }
            }
            if messages.len() > 40 {
                messages.drain(..20);
            }
        }
    }
    assert!(patched > 100, "{patched} patches");
}
