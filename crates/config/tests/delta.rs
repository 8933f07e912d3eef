//! Creating and applying deltas between snapshots.

use azurenotch_config::{
    change::Change,
    delta::{Delta, Error},
    snapshot::{KeyHash, Snapshot},
};
use azurenotch_wire::{time::Stamp, version::Version};
use proptest::{prelude::*, test_runner::RngSeed};
use std::{fmt::Write, time::Duration};
use test_case::test_case;

/// Returns a document with one service in two versions and the given workspaces and rates.
fn text(workspaces: &[(u8, u16)]) -> String {
    let mut text = "[region norte]\n[data-centre n1]\nregion = norte\n[service consulta]\n\
                    version = 1\n[block 127.1.0.0/16]\nregions = norte\n"
        .to_owned();
    for release in ["1", "2"] {
        let _ = write!(
            text,
            "[server c{release}]\nservice = consulta\nversion = {release}\ndata-centre = n1\n\
             address = 127.0.0.1:900{release}\nslots = 9\nconnections = 390\n"
        );
    }
    for (name, rate) in workspaces {
        let _ = write!(
            text,
            "[workspace w{name}]\nrate = {rate}/s\nburst = 1\nconcurrency = 1\nlatency = 1s\n"
        );
    }
    text
}

fn change(snapshot: &Snapshot, change: &Change) -> Snapshot {
    snapshot
        .apply(change, Stamp::default())
        .expect("the change is valid")
}

fn replace(snapshot: &Snapshot, text: String) -> Snapshot {
    let expect = snapshot.version;
    change(snapshot, &Change::Apply { text, expect })
}

fn grant(key: &str) -> Change {
    Change::GrantKey {
        hash: KeyHash::of(key.as_bytes()),
        workspace: "w1".into(),
        name: key.to_owned(),
    }
}

fn drain(draining: bool) -> Change {
    Change::Drain {
        server: "c1".into(),
        draining,
    }
}

/// Returns a snapshot with two workspaces, a key and a drain.
fn base() -> Snapshot {
    let snapshot = replace(&Snapshot::default(), text(&[(1, 5), (2, 7)]));
    change(&change(&snapshot, &grant("k1")), &drain(true))
}

fn assert_delta_restores(old: &Snapshot, new: &Snapshot) {
    let bytes = Delta::between(old, new).unwrap().encode().unwrap();
    let delta = Delta::decode(&bytes).unwrap();
    assert_eq!(delta.apply(old).unwrap(), *new);
}

/// Guards against deltas that omit an entry, a tombstone or a part of the text.
#[test_case(&grant("k2"); "key granted")]
#[test_case(&Change::WithdrawKey { workspace: "w1".into(), name: "k1".into() }; "key withdrawn")]
#[test_case(&drain(false); "drain ended")]
#[test_case(&Change::StartMove {
    service: "consulta".into(), to: "2".into(), deadline: Duration::from_mins(1)
}; "move started")]
#[test_case(&Change::Apply {
    text: text(&[(1, 5), (3, 7)]), expect: Version { epoch: 0, number: 3 }
}; "workspace replaced")]
#[test_case(&Change::Apply {
    text: format!("[fleet]\nslots = 99\n{}", text(&[(1, 5)]).replace("127.1.0.0", "127.2.0.0")),
    expect: Version { epoch: 0, number: 3 }
}; "fleet and block replaced")]
fn delta_restores_the_new_snapshot(step: &Change) {
    let old = base();
    assert_delta_restores(&old, &change(&old, step));
}

/// Guards against applying a delta to a version other than its base.
#[test]
fn other_version_is_refused() {
    let old = base();
    let next = change(&old, &grant("k2"));
    let last = change(&next, &grant("k3"));
    let delta = Delta::between(&next, &last).unwrap();
    assert!(matches!(delta.apply(&old), Err(Error::Base { .. })));
    assert!(matches!(delta.apply(&last), Err(Error::Base { .. })));
}

/// Guards against a base with the right version but different content, as after a fork.
#[test_case("k9", &grant("k2"); "untouched entry differs")]
#[test_case("k1", &Change::Apply {
    text: text(&[(1, 6), (2, 7)]), expect: Version { epoch: 0, number: 3 }
}; "text differs")]
fn other_content_is_refused(key: &str, step: &Change) {
    let old = base();
    let delta = Delta::between(&old, &change(&old, step)).unwrap();
    let other = replace(&Snapshot::default(), text(&[(1, 5), (2, 8)]));
    let other = change(&change(&other, &grant(key)), &drain(true));
    assert_eq!(other.version, old.version);
    assert!(matches!(delta.apply(&other), Err(Error::Mismatch { .. })));
}

/// Guards against deltas to an older version or another epoch.
#[test]
fn delta_only_leads_forward() {
    let old = base();
    let mut other = change(&old, &grant("k2"));
    assert!(matches!(
        Delta::between(&other, &old),
        Err(Error::Order { .. })
    ));
    assert!(matches!(
        Delta::between(&old, &old),
        Err(Error::Order { .. })
    ));
    other.version.epoch += 1;
    assert!(matches!(
        Delta::between(&old, &other),
        Err(Error::Order { .. })
    ));
}

proptest! {
    // Fixed seed: the same cases on every run.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against documents whose differences a delta does not restore completely.
    #[test]
    fn delta_restores_any_document(
        before in prop::collection::btree_map(0..9_u8, 1..99_u16, 0..6),
        after in prop::collection::btree_map(0..9_u8, 1..99_u16, 0..6),
        comments in ("[ é日]{0,4}", "[ é日]{0,4}"),
    ) {
        let document = |workspaces: &std::collections::BTreeMap<u8, u16>, comment: &str| {
            let workspaces = workspaces.iter().map(|(name, rate)| (*name, *rate));
            format!("{}; {comment}\n", text(&workspaces.collect::<Vec<_>>()))
        };
        let old = replace(&Snapshot::default(), document(&before, &comments.0));
        assert_delta_restores(&old, &replace(&old, document(&after, &comments.1)));
    }
}
