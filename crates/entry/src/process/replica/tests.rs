//! Rows that arrive twice, out of order, or not at all.

use super::{
    Change, Replica, Update,
    hold::{HOLD_TIME, PEER_HOLD_TIME},
};
use crate::{
    era::Era,
    model::{Backend, Fact, Item},
    platform::Subject,
};
use azurenotch_wire::time::Instant;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};
use test_case::test_case;

fn listed(version: u64, server: &str, draining: bool) -> Fact {
    let backend = Backend {
        service: "s".into(),
        address: "127.0.0.1:80".parse().expect("valid address"),
        data_centre: "a".into(),
        release: "v1".into(),
        slots: 9,
        draining,
        cold: Duration::ZERO,
        born_ms: None,
    };
    let item = Item::Backend(server.into(), Some(backend));
    Fact::new(version, item)
}

fn evacuated(version: u64, on: bool) -> Fact {
    let item = Item::Evacuation("a".into(), on);
    Fact::new(version, item)
}

#[test]
fn an_older_row_changes_nothing() {
    let mut replica = Replica::default();
    assert_eq!(
        replica.apply(Instant::ZERO, vec![evacuated(5, true)]).len(),
        1
    );
    assert!(
        replica
            .apply(Instant::ZERO, vec![evacuated(4, false)])
            .is_empty()
    );
    assert!(replica.is_evacuated(&"a".into()));
    assert_eq!(
        replica
            .apply(Instant::ZERO, vec![evacuated(6, false)])
            .len(),
        1
    );
    assert!(!replica.is_evacuated(&"a".into()));
}

/// Guards against removed servers that stay listed.
///
/// A full read after compaction contains no row for them, so `replace` has to remove the rows that
/// it lacks.
#[test]
fn a_row_missing_from_a_full_read_is_removed() {
    let mut replica = Replica::default();
    replica.apply(
        Instant::ZERO,
        vec![listed(1, "x", false), listed(2, "y", false)],
    );
    let changes = replica.replace(
        Instant::ZERO,
        Subject::Servers,
        9,
        vec![listed(2, "y", false)],
    );
    assert_eq!(
        changes,
        vec![Change::Unlisted("x".into(), "s".into(), false)]
    );
    assert_eq!(replica.backends().count(), 1);
}

#[test]
fn a_row_newer_than_a_full_read_stays() {
    let mut replica = Replica::default();
    replica.apply(Instant::ZERO, vec![listed(12, "x", false)]);
    assert!(
        replica
            .replace(Instant::ZERO, Subject::Servers, 9, Vec::new())
            .is_empty()
    );
}

#[test]
fn an_unchanged_row_is_no_change() {
    let mut replica = Replica::default();
    replica.apply(Instant::ZERO, vec![listed(1, "x", false)]);
    assert!(
        replica
            .apply(Instant::ZERO, vec![listed(2, "x", false)])
            .is_empty()
    );
    assert_eq!(
        replica
            .apply(Instant::ZERO, vec![listed(3, "x", true)])
            .len(),
        1
    );
}

const FIRST: Era = Era(0);
const SECOND: Era = Era(1);

/// A row that a host knows, and the store's row after it came back from an older copy.
struct Restored {
    known: (u64, bool),
    copy: Option<(u64, bool)>,
    /// Whether the data centre counts as evacuated.
    evacuated: bool,
}

#[test_case(Restored { known: (9, true), copy: None, evacuated: true }; "lost")]
#[test_case(Restored { known: (9, true), copy: Some((4, false)), evacuated: true }; "older in the copy")]
#[test_case(Restored { known: (9, false), copy: Some((4, true)), evacuated: false }; "removed, and back in the copy")]
#[test_case(Restored { known: (9, true), copy: Some((7, true)), evacuated: true }; "written again with a lower number")]
#[test_case(Restored { known: (9, true), copy: Some((12, false)), evacuated: false }; "changed after the restore")]
fn rows_that_the_store_lost_are_kept(case: Restored) {
    let mut replica = Replica::default();
    replica.apply(
        Instant::ZERO,
        vec![evacuated(FIRST.version(case.known.0), case.known.1)],
    );
    let copy = case
        .copy
        .map(|(number, on)| evacuated(SECOND.version(number), on));
    let facts: Vec<Fact> = copy.into_iter().collect();
    let read = SECOND.version(13);
    replica.replace(Instant::ZERO, Subject::Orders, read, facts.clone());
    assert_eq!(replica.is_evacuated(&"a".into()), case.evacuated);
    // Neither another read nor a host that has read the same changes that.
    replica.replace(Instant::ZERO, Subject::Orders, read, facts.clone());
    replica.apply(Instant::ZERO, facts);
    assert_eq!(replica.is_evacuated(&"a".into()), case.evacuated);
}

#[test]
fn a_held_row_ends_with_a_write_or_its_time() {
    for written in [true, false] {
        let mut replica = Replica::default();
        replica.apply(Instant::ZERO, vec![evacuated(FIRST.version(9), true)]);
        replica.replace(
            Instant::ZERO,
            Subject::Orders,
            SECOND.version(5),
            Vec::new(),
        );
        assert!(replica.has_holds(Subject::Orders));
        let end = Instant::ZERO + HOLD_TIME;
        assert!(!replica.end_holds(Instant::ZERO, Subject::Orders));
        if written {
            replica.apply(Instant::ZERO, vec![evacuated(SECOND.version(6), false)]);
        } else {
            assert!(replica.end_holds(end, Subject::Orders));
            replica.replace(end, Subject::Orders, SECOND.version(8), Vec::new());
        }
        assert!(!replica.has_holds(Subject::Orders));
        assert!(!replica.is_evacuated(&"a".into()));
    }
}

/// What a host has in force and the store has lost, as facts and as whether another host acts on it.
struct Shared {
    subject: Subject,
    lost: fn(u64) -> Fact,
    copy: Option<fn(u64) -> Fact>,
    in_force: fn(&Replica) -> bool,
}

/// Guards against a host that takes the copy for the truth although a peer knows better.
///
/// It has started since the restore, or was behind, and reads the store itself.
#[test_case(Shared {
    subject: Subject::Orders,
    lost: |version| evacuated(version, true),
    copy: None,
    in_force: |host| host.is_evacuated(&"a".into()),
}; "an evacuation")]
#[test_case(Shared {
    subject: Subject::Servers,
    lost: |version| listed(version, "x", true),
    copy: Some(|version| listed(version, "x", false)),
    in_force: |host| host.backends().all(|(_, backend)| backend.draining),
}; "a server that leaves")]
#[test_case(Shared {
    subject: Subject::Servers,
    lost: |version| Fact::new(version, Item::Backend("x".into(), None)),
    copy: Some(|version| listed(version, "x", false)),
    in_force: |host| host.backends().count() == 0,
}; "a server that has left")]
fn a_host_that_has_read_the_copy_learns_what_others_hold(case: Shared) {
    let mut knowing = Replica::default();
    let mut started = Replica::default();
    let copied = case.copy.map(|copy| copy(FIRST.version(4)));
    knowing.apply(Instant::ZERO, copied.into_iter().collect());
    knowing.apply(Instant::ZERO, vec![(case.lost)(FIRST.version(9))]);
    let copy: Vec<Fact> = case
        .copy
        .map(|copy| copy(SECOND.version(4)))
        .into_iter()
        .collect();
    for host in [&mut knowing, &mut started] {
        host.replace(
            Instant::ZERO,
            case.subject,
            SECOND.version(13),
            copy.clone(),
        );
    }
    assert!((case.in_force)(&knowing));
    started.apply(Instant::ZERO, knowing.shared(0, 1));
    assert!((case.in_force)(&started));
}

/// A row of the first read after a restore, at a host that had followed the store.
///
/// The host saw 9 slots at number 5 and nothing else until 20, then 8 slots at 30. The read is at 25.
struct Read {
    followed: Duration,
    number: u64,
    slots: u32,
    in_force: u32,
}

/// Guards against content that is taken for that of the copy because of its number.
#[test_case(Read { followed: Duration::from_mins(1), number: 12, slots: 7, in_force: 7 }; "a number of other content is written anew")]
#[test_case(Read { followed: Duration::from_mins(1), number: 5, slots: 9, in_force: 8 }; "former content under its number is that of the copy")]
#[test_case(Read { followed: Duration::from_mins(1), number: 22, slots: 7, in_force: 8 }; "a number between two reads may be that of the copy")]
#[test_case(Read { followed: Duration::from_secs(5), number: 12, slots: 7, in_force: 8 }; "a copy may be older than what the host has seen")]
fn content_is_ordered_by_what_the_host_saw(case: Read) {
    let slots = |version, slots| {
        let mut fact = listed(version, "x", false);
        if let Item::Backend(_, Some(backend)) = &mut fact.item {
            backend.slots = slots;
        }
        fact
    };
    let mut host = Replica::default();
    let start = Instant::ZERO;
    let end = start + case.followed;
    for (at, after, up_to, facts) in [
        (start, 4, 5, vec![slots(SECOND.version(5), 9)]),
        (end, 5, 20, Vec::new()),
        (end, 20, 30, vec![slots(SECOND.version(30), 8)]),
    ] {
        let update = Update {
            after: SECOND.version(after),
            up_to: SECOND.version(up_to),
            facts,
        };
        host.apply_store_update(at, Subject::Servers, update, at);
    }
    let third = Era(2);
    let row = slots(third.version(case.number), case.slots);
    host.replace(end, Subject::Servers, third.version(25), vec![row]);
    assert_eq!(serials(&host).get("x"), Some(&case.in_force));
}

/// Guards against a row that stays at one host for ever, because no other host knew it.
#[test]
fn a_host_that_learns_of_an_era_from_another_gets_all_rows() {
    let mut reader = Replica::default();
    let mut other = Replica::default();
    other.apply(Instant::ZERO, vec![listed(FIRST.version(9), "x", false)]);
    let read = SECOND.version(12);
    reader.replace(Instant::ZERO, Subject::Servers, read, Vec::new());
    reader.confirm(Subject::Servers, read, Instant::ZERO);
    let update = reader.update_since(Subject::Servers, FIRST.version(9));
    assert_eq!(update.after, 0, "rows that it lacks are not known as lost");
    other.replace(Instant::ZERO, Subject::Servers, update.up_to, update.facts);
    assert!(other.has_holds(Subject::Servers));
}

/// The store of the search: rows with their versions and serial numbers.
#[derive(Debug, Clone, Default)]
struct Store {
    era: Era,
    number: u64,
    rows: BTreeMap<u32, (u64, u32)>,
}

impl Store {
    fn write(&mut self, row: u32, serial: u32) {
        self.number += 1;
        self.rows.insert(row, (self.number, serial));
    }

    fn restore(&mut self, copy: &Self) {
        *self = Self {
            era: Era(self.era.0 + 1),
            ..copy.clone()
        };
    }

    /// Writes the rows again that differ from the wanted ones.
    fn write_again(&mut self, wanted: &BTreeMap<u32, u32>) {
        for (row, serial) in wanted {
            if self.rows.get(row).map(|(_, it)| it) != Some(serial) {
                self.write(*row, *serial);
            }
        }
    }

    fn read_by(&self, host: &mut Replica, now: Instant) {
        let facts = self.rows.iter().map(|(row, (number, serial))| {
            let mut fact = listed(self.era.version(*number), &format!("i-{row}"), false);
            if let Item::Backend(_, Some(backend)) = &mut fact.item {
                backend.slots = *serial;
            }
            fact
        });
        let version = self.era.version(self.number);
        host.replace(now, Subject::Servers, version, facts.collect());
    }
}

fn serials(host: &Replica) -> BTreeMap<String, u32> {
    let backends = host.backends();
    backends
        .map(|(server, backend)| (server.to_string(), backend.slots))
        .collect()
}

/// Schedules that the search plays.
struct Search {
    /// Largest number of restores in a schedule.
    restores: u16,
    /// Whether new content may be written between a restore and the first read by each host.
    changes_at_once: bool,
}

/// Plays writes, restores between any two of them, rewrites and reads by two hosts.
///
/// Each write of a row has a higher serial number, so that a row that goes back is seen.
#[test_case(Search { restores: 2, changes_at_once: false }; "up to two restores")]
#[test_case(Search { restores: 60, changes_at_once: true }; "any number of restores and changes at once")]
fn no_row_goes_back_in_a_thousand_schedules(search: Search) {
    for seed in 0..1_000 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut store = Store::default();
        let mut copy = store.clone();
        let mut wanted: BTreeMap<u32, u32> = BTreeMap::new();
        let mut hosts = [Replica::default(), Replica::default()];
        let mut seen = [BTreeMap::new(), BTreeMap::new()];
        let mut unread = [false; 2];
        for step in 0..60 {
            // All holds are younger than their time, and rewrites come before it ends.
            let now = Instant::ZERO + Duration::from_millis(step * 20);
            match random.random_range(0..8) {
                0 | 1 if !search.changes_at_once && unread.contains(&true) => {}
                0 | 1 => {
                    let row = random.random_range(0..3);
                    wanted.insert(row, step as u32);
                    store.write(row, step as u32);
                }
                2 => copy = store.clone(),
                3 if store.era.0 < search.restores => {
                    store.restore(&copy);
                    unread = [true; 2];
                }
                3 | 4 => store.write_again(&wanted),
                action => {
                    let reader = usize::from(action > 5);
                    store.read_by(&mut hosts[reader], now);
                    unread[reader] = false;
                    // The other host may get all rows from this one, and may be behind or ahead.
                    if random.random_bool(0.5) {
                        let update = hosts[reader].update_since(Subject::Servers, 0);
                        hosts[1 - reader].apply(now, update.facts);
                    }
                }
            }
            for (host, seen) in hosts.iter().zip(&mut seen) {
                let serials = serials(host);
                for (server, last) in &*seen {
                    let serial = serials.get(server);
                    assert!(
                        serial >= Some(last),
                        "seed {seed}, step {step}: {server} went back from {last} to {serial:?}"
                    );
                }
                *seen = serials;
            }
        }
        store.write_again(&wanted);
        let end = Instant::ZERO + Duration::from_mins(1);
        let wanted = wanted.iter().map(|(row, it)| (format!("i-{row}"), *it));
        let wanted: BTreeMap<_, _> = wanted.collect();
        for host in &mut hosts {
            // A host that has not read the last era yet holds rows from now on.
            store.read_by(host, end);
            host.end_holds(end + PEER_HOLD_TIME, Subject::Servers);
            store.read_by(host, end + PEER_HOLD_TIME);
            assert_eq!(
                serials(host),
                wanted,
                "seed {seed}: the host does not agree"
            );
        }
    }
}
