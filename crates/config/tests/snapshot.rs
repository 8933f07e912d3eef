//! Applying changes to snapshots, and their encoding.

use azurenotch_config::{
    change::{Change, Error},
    snapshot::{self, KeyHash, MoveState, Snapshot, digest_of},
};
use azurenotch_wire::{id::Release, time::Stamp, version::Version};
use std::time::Duration;
use test_case::test_case;

const NOW: Stamp = Stamp {
    wall_ms: 1000,
    logical: 0,
};

fn server(name: &str, release: &str, port: u16) -> String {
    format!(
        "[server {name}]\nservice = consulta\nversion = {release}\ndata-centre = n1\n\
         address = 127.0.0.1:{port}\nslots = 9\nconnections = 390\n"
    )
}

fn workspace(name: &str) -> String {
    format!("[workspace {name}]\nrate = 1/s\nburst = 1\nconcurrency = 1\nlatency = 1s\n")
}

/// Returns a document with one backend server per release; release `1` runs on server `c1`.
fn text(version: &str, releases: &[&str], workspaces: &[&str]) -> String {
    let mut text = format!(
        "[region norte]\n[data-centre n1]\nregion = norte\n\
         [service consulta]\nversion = {version}\n[block 127.1.0.0/16]\nregions = norte\n"
    );
    for (index, release) in releases.iter().enumerate() {
        text += &server(&format!("c{release}"), release, 9000 + index as u16);
    }
    for name in workspaces {
        text += &workspace(name);
    }
    text
}

fn apply(snapshot: &Snapshot, text: String) -> Result<Snapshot, Error> {
    let expect = snapshot.version;
    snapshot.apply(&Change::Apply { text, expect }, NOW)
}

fn grant(key: &str, workspace: &str, name: &str) -> Change {
    Change::GrantKey {
        hash: KeyHash::of(key.as_bytes()),
        workspace: workspace.into(),
        name: name.to_owned(),
    }
}

fn withdraw(workspace: &str, name: &str) -> Change {
    Change::WithdrawKey {
        workspace: workspace.into(),
        name: name.to_owned(),
    }
}

fn drain(server: &str, draining: bool) -> Change {
    Change::Drain {
        server: server.into(),
        draining,
    }
}

fn start(service: &str, to: &str) -> Change {
    Change::StartMove {
        service: service.into(),
        to: to.into(),
        deadline: Duration::from_mins(10),
    }
}

fn share(serial: u64, share: f64) -> Change {
    Change::ShareMove {
        service: "consulta".into(),
        serial,
        share,
        note: "no fault seen".to_owned(),
    }
}

fn end(serial: u64, done: bool) -> Change {
    Change::EndMove {
        service: "consulta".into(),
        serial,
        done,
        note: "evidence".to_owned(),
    }
}

fn cancel() -> Change {
    Change::CancelMove {
        service: "consulta".into(),
    }
}

fn after(changes: &[Change]) -> Snapshot {
    let first = apply(
        &Snapshot::default(),
        text("1", &["1", "2", "3"], &["a", "b"]),
    );
    changes
        .iter()
        .fold(first.expect("the document is valid"), |snapshot, change| {
            snapshot
                .apply(change, NOW)
                .unwrap_or_else(|error| panic!("{change}: {error}"))
        })
}

fn in_force(snapshot: &Snapshot) -> &str {
    snapshot
        .release(&"consulta".into())
        .map_or("", Release::as_str)
}

struct Refusal {
    before: Vec<Change>,
    change: Change,
    expected: &'static str,
    code: &'static str,
}

/// Guards against accepting changes that contradict the snapshot.
#[test_case(Refusal { before: vec![], change: Change::Apply { text: String::new(), expect: Version { epoch: 0, number: 9 } }, expected: "the change expects a version other than the current version 0.1", code: "conflict" }; "stale apply")]
#[test_case(Refusal { before: vec![], change: Change::Apply { text: "x".to_owned(), expect: Version { epoch: 0, number: 1 } }, expected: "the document is invalid:\nline 1: syntax error in \"x\", expected a section header, a field of a section or a comment", code: "invalid" }; "invalid document")]
#[test_case(Refusal { before: vec![], change: grant("k", "c", "n"), expected: "workspace c does not exist", code: "unknown-name" }; "grant to unknown workspace")]
#[test_case(Refusal { before: vec![], change: grant("k", "a", "x y"), expected: "a key name must have 1 to 63 letters, digits, '.', '_' or '-'", code: "invalid" }; "malformed key name")]
#[test_case(Refusal { before: vec![grant("k", "a", "n")], change: grant("l", "a", "n"), expected: "workspace a already has a granted or withdrawn key n", code: "invalid" }; "key name in use")]
#[test_case(Refusal { before: vec![grant("k", "a", "n"), withdraw("a", "n")], change: grant("l", "a", "n"), expected: "workspace a already has a granted or withdrawn key n", code: "invalid" }; "key name withdrawn")]
#[test_case(Refusal { before: vec![grant("k", "a", "n"), withdraw("a", "n")], change: grant("k", "b", "m"), expected: "this key was granted before and cannot be granted again", code: "invalid" }; "key withdrawn")]
#[test_case(Refusal { before: vec![grant("k", "a", "n")], change: withdraw("b", "n"), expected: "workspace b has no key n", code: "unknown-name" }; "unknown key")]
#[test_case(Refusal { before: vec![], change: drain("c9", true), expected: "backend server c9 does not exist", code: "unknown-name" }; "unknown server")]
#[test_case(Refusal { before: vec![], change: start("registo", "2"), expected: "service registo does not exist", code: "unknown-name" }; "unknown service")]
#[test_case(Refusal { before: vec![], change: start("consulta", "1"), expected: "service consulta already runs version 1", code: "invalid" }; "same version")]
#[test_case(Refusal { before: vec![], change: start("consulta", "9"), expected: "service consulta has no backend server of version 9", code: "invalid" }; "version without server")]
#[test_case(Refusal { before: vec![start("consulta", "2")], change: start("consulta", "3"), expected: "move 1 of service consulta is running", code: "invalid" }; "second move")]
#[test_case(Refusal { before: vec![], change: share(1, 0.1), expected: "no version move of service consulta is running", code: "invalid" }; "share without move")]
#[test_case(Refusal { before: vec![start("consulta", "2")], change: share(2, 0.1), expected: "move 1 of service consulta is running, not move 2", code: "invalid" }; "share of another move")]
#[test_case(Refusal { before: vec![start("consulta", "2")], change: end(0, true), expected: "move 1 of service consulta is running, not move 0", code: "invalid" }; "end of another move")]
#[test_case(Refusal { before: vec![start("consulta", "2"), share(1, 0.5)], change: share(1, 0.4), expected: "share 0.4 is not between the current share 0.5 and 1; end the move to reset it", code: "invalid" }; "share goes down")]
#[test_case(Refusal { before: vec![start("consulta", "2")], change: share(1, f64::NAN), expected: "share NaN is not between the current share 0 and 1; end the move to reset it", code: "invalid" }; "share is not a number")]
#[test_case(Refusal { before: vec![start("consulta", "2"), end(1, false)], change: end(1, true), expected: "no version move of service consulta is running", code: "invalid" }; "taken back is final")]
#[test_case(Refusal { before: vec![start("consulta", "2"), cancel()], change: share(1, 0.5), expected: "no version move of service consulta is running", code: "invalid" }; "cancelled is final")]
fn contradicting_changes_are_refused(case: Refusal) {
    let error = after(&case.before)
        .apply(&case.change, NOW)
        .expect_err("the change is refused");
    assert_eq!(
        (error.to_string().as_str(), error.code()),
        (case.expected, case.code)
    );
}

struct Ending {
    last: Change,
    state: MoveState,
    share: f64,
    in_force: &'static str,
}

#[test_case(Ending { last: end(1, true), state: MoveState::Done, share: 1.0, in_force: "2" }; "done")]
#[test_case(Ending { last: end(1, false), state: MoveState::TakenBack, share: 0.0, in_force: "1" }; "taken back")]
#[test_case(Ending { last: cancel(), state: MoveState::Cancelled, share: 0.0, in_force: "1" }; "cancelled")]
fn a_move_ends_with_one_version_in_force(case: Ending) {
    let snapshot = after(&[start("consulta", "2"), share(1, 0.5), case.last]);
    let ended = &snapshot.moves["consulta"];
    assert_eq!(
        (ended.state, ended.share, ended.started),
        (case.state, case.share, NOW)
    );
    assert_eq!(
        (in_force(&snapshot), snapshot.version.number),
        (case.in_force, 4)
    );
    let again = snapshot
        .apply(&start("consulta", "3"), NOW)
        .expect("no move is running");
    assert_eq!(again.moves["consulta"].serial, 2);
}

struct Replacement {
    before: Vec<Change>,
    text: String,
    /// Version in force afterwards, or the error.
    expected: Result<&'static str, &'static str>,
}

/// Guards against a document that undoes a finished move or changes a version without a move.
#[test_case(Replacement { before: vec![start("consulta", "2"), end(1, true)], text: text("1", &["1", "2"], &["a"]), expected: Ok("2") }; "unchanged document keeps the move")]
#[test_case(Replacement { before: vec![start("consulta", "2"), end(1, true)], text: text("2", &["2"], &["a"]), expected: Ok("2") }; "document follows the move")]
#[test_case(Replacement { before: vec![start("consulta", "2"), end(1, true)], text: text("1", &["1"], &["a"]), expected: Err("service consulta has no backend server of version 2") }; "version in force loses its servers")]
#[test_case(Replacement { before: vec![], text: text("2", &["1", "2"], &["a"]), expected: Err("service consulta runs version 1; version 2 needs a version move") }; "version changed without a move")]
#[test_case(Replacement { before: vec![start("consulta", "2")], text: text("1", &["1"], &["a"]), expected: Err("service consulta has no backend server of version 2") }; "running move loses its servers")]
#[test_case(Replacement { before: vec![start("consulta", "2")], text: String::new(), expected: Err("service consulta cannot be removed while its version move is running") }; "service removed while it moves")]
#[test_case(Replacement { before: vec![start("consulta", "2"), end(1, true)], text: String::new(), expected: Ok("") }; "service removed after its move")]
fn a_document_keeps_versions_in_force(case: Replacement) {
    let result = apply(&after(&case.before), case.text);
    let found = result.as_ref().map(in_force).map_err(ToString::to_string);
    assert_eq!(found, case.expected.map_err(str::to_owned));
}

/// Guards against a new service that inherits the version of a removed one of the same name.
#[test]
fn a_service_that_returns_starts_with_the_version_of_the_document() {
    let moved = after(&[start("consulta", "2"), end(1, true)]);
    let removed = apply(&moved, String::new()).expect("no move is running");
    let returned = apply(&removed, text("1", &["1", "2"], &[])).expect("the document is valid");
    assert_eq!(in_force(&returned), "1");
    let again = returned.apply(&start("consulta", "2"), NOW);
    assert_eq!(
        again.expect("no move is running").moves["consulta"].serial,
        2
    );
}

/// Guards against a new document that deletes or reactivates keys or keeps obsolete drains.
#[test]
fn keys_and_drains_follow_the_document() {
    let before = after(&[
        grant("k", "a", "n"),
        grant("l", "b", "n"),
        drain("c3", true),
        drain("c2", true),
    ]);
    let without = apply(&before, text("1", &["1", "2"], &["a"])).expect("the document is valid");
    let restored = apply(&without, text("1", &["1", "2", "3"], &["a", "b"])).expect("still valid");
    for snapshot in [&without, &restored] {
        assert!(
            !snapshot.keys[&KeyHash::of(b"k")].withdrawn,
            "the workspace still exists"
        );
        assert!(
            snapshot.keys[&KeyHash::of(b"l")].withdrawn,
            "the workspace was removed"
        );
        assert_eq!(snapshot.drains, [("c2".into())].into());
    }
    let error = restored
        .apply(&grant("l", "b", "m"), NOW)
        .expect_err("the key was withdrawn");
    assert_eq!(error, Error::KeyHashUsed);
    let undone = restored
        .apply(&drain("c2", false), NOW)
        .expect("the server exists");
    assert!(undone.drains.is_empty());
}

/// Guards against objects that were stored incompletely or under another object's digest.
#[test]
fn incomplete_and_different_objects_are_detected() {
    let snapshot = after(&[
        grant("k", "a", "n"),
        start("consulta", "2"),
        drain("c3", true),
    ]);
    let bytes = snapshot.encode().expect("the snapshot is encodable");
    let digest = snapshot.digest().expect("the snapshot is encodable");
    assert_eq!(
        Snapshot::decode_verified(&bytes, &digest).expect("intact"),
        snapshot
    );
    let mut changed = bytes.clone();
    changed[bytes.len() / 2] ^= 1;
    for wrong in [
        &bytes[..bytes.len() - 1],
        &changed,
        &[bytes.as_slice(), b"x"].concat(),
        b"",
    ] {
        let error = Snapshot::decode_verified(wrong, &digest).expect_err("the bytes are wrong");
        assert!(matches!(error, snapshot::Error::Mismatch { .. }), "{error}");
    }
    let longer = [bytes.as_slice(), b"x"].concat();
    let error = Snapshot::decode_verified(&longer, &digest_of(&longer)).expect_err("too long");
    assert!(
        matches!(error, snapshot::Error::Trailing { bytes: 1 }),
        "{error}"
    );
    assert!(matches!(
        Snapshot::decode(&bytes[..9]),
        Err(snapshot::Error::Decode { .. })
    ));
}

/// Guards against key hashes that JSON cannot represent, as map keys or as values.
#[test]
fn snapshots_and_changes_survive_json() {
    let snapshot = after(&[grant("k", "a", "n")]);
    let json = serde_json::to_string(&snapshot).expect("the snapshot has a JSON form");
    assert!(json.contains(&KeyHash::of(b"k").to_string()));
    assert_eq!(
        serde_json::from_str::<Snapshot>(&json).expect("the JSON is intact"),
        snapshot
    );
    for change in [grant("k", "a", "n"), start("consulta", "2"), share(1, 0.5)] {
        let json = serde_json::to_string(&change).expect("the change has a JSON form");
        assert_eq!(
            serde_json::from_str::<Change>(&json).expect("the JSON is intact"),
            change
        );
    }
}

/// Guards against secrets and line breaks in the timeline.
#[test]
fn descriptions_are_one_line_without_secrets() {
    let hash = KeyHash::of(b"k").to_string();
    let granted = grant("k", "a", "n\nx").describe().to_string();
    assert_eq!(granted, "grant key n x to workspace a");
    assert!(!granted.contains(&hash));
    let expect = Version::default();
    let text = "[workspace secret]".to_owned();
    let applied = Change::Apply { text, expect }.to_string();
    assert_eq!(applied, "apply a document of 18 bytes to version 0.0");
    assert_eq!(
        end(1, false).to_string(),
        "take back move 1 of service consulta: evidence"
    );
}
