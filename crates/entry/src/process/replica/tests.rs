//! Rows that arrive twice, out of order, or not at all.

use super::{Change, Replica};
use crate::{
    model::{Backend, Fact, Item},
    platform::Subject,
};
use std::time::Duration;

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
    Fact { version, item }
}

fn evacuated(version: u64, on: bool) -> Fact {
    let item = Item::Evacuation("a".into(), on);
    Fact { version, item }
}

#[test]
fn an_older_row_changes_nothing() {
    let mut replica = Replica::default();
    assert_eq!(replica.apply(vec![evacuated(5, true)]).len(), 1);
    assert!(replica.apply(vec![evacuated(4, false)]).is_empty());
    assert!(replica.is_evacuated(&"a".into()));
    assert_eq!(replica.apply(vec![evacuated(6, false)]).len(), 1);
    assert!(!replica.is_evacuated(&"a".into()));
}

/// Guards against removed servers that stay listed.
///
/// A full read after compaction contains no row for them, so `replace` has to remove the rows that
/// it lacks.
#[test]
fn a_row_missing_from_a_full_read_is_removed() {
    let mut replica = Replica::default();
    replica.apply(vec![listed(1, "x", false), listed(2, "y", false)]);
    let changes = replica.replace(Subject::Servers, 9, vec![listed(2, "y", false)]);
    assert_eq!(
        changes,
        vec![Change::Unlisted("x".into(), "s".into(), false)]
    );
    assert_eq!(replica.backends().count(), 1);
}

#[test]
fn a_row_newer_than_a_full_read_stays() {
    let mut replica = Replica::default();
    replica.apply(vec![listed(12, "x", false)]);
    assert!(replica.replace(Subject::Servers, 9, Vec::new()).is_empty());
}

#[test]
fn an_unchanged_row_is_no_change() {
    let mut replica = Replica::default();
    replica.apply(vec![listed(1, "x", false)]);
    assert!(replica.apply(vec![listed(2, "x", false)]).is_empty());
    assert_eq!(replica.apply(vec![listed(3, "x", true)]).len(), 1);
}
