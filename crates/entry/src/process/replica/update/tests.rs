use super::{super::Replica, UPDATE_RETENTION, Update, size};
use crate::{
    model::{Backend, Config, Fact, Item, Kind, Limits, Route},
    platform::Subject,
    process::replica::Change,
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

/// Returns a configuration of 300 routes, the first of which may run in one region.
fn config(version: u64, region: &str) -> Config {
    let route = |number: usize| Route {
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
        homes: (number == 0).then(|| region.into()).into_iter().collect(),
    };
    Config {
        version,
        routes: (0..300)
            .map(|it| (format!("r-{it}").into(), route(it)))
            .collect(),
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
