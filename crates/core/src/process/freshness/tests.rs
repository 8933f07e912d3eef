use super::*;
use azurenotch_wire::{peer::State, time::Stamp};
use test_case::test_case;

const LIMIT: Duration = Duration::from_secs(30);
const HELD: Version = Version {
    epoch: 1,
    number: 5,
};
const NEWER: Version = Version {
    epoch: 1,
    number: 6,
};

fn answer(host: &str, incarnation: u64, version: Version, contact: Option<u64>) -> Heartbeat {
    Heartbeat {
        host: host.into(),
        incarnation: Incarnation(incarnation),
        data_centre: "d1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:1".parse().unwrap(),
        operator: "127.0.0.1:1".parse().unwrap(),
        state: State::Live,
        stamp: Stamp::default(),
        version,
        store_contact_ms: contact,
        roles: Vec::new(),
        in_flight: 0,
        load: 0.0,
    }
}

fn freshness() -> Freshness {
    let mut freshness = Freshness::new("n1".into(), PROOF_WINDOW);
    freshness.on_roster(&["n1".into(), "n2".into(), "n3".into()]);
    freshness.on_adopted(HELD);
    freshness.on_head(at(1_000), HELD);
    freshness
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

struct Case {
    /// Host, incarnation, version and contact age of answers at 59 s.
    answers: &'static [(&'static str, u64, Version, Option<u64>)],
    expected: Status,
}

const ISOLATED: Status = Status::Isolated {
    since: Instant::from_millis(1_000),
};

#[test_case(Case { answers: &[], expected: ISOLATED }; "nobody answers")]
#[test_case(Case { answers: &[("n2", 1, HELD, Some(58_500))], expected: ISOLATED }; "one host does not answer")]
#[test_case(Case { answers: &[("n2", 1, HELD, Some(58_500)), ("n3", 1, HELD, Some(70_000))], expected: Status::StoreDown }; "all answer without recent contact")]
#[test_case(Case { answers: &[("n2", 1, HELD, Some(58_500)), ("n3", 1, NEWER, Some(58_500))], expected: ISOLATED }; "one has a version that is not in force here")]
#[test_case(Case { answers: &[("n2", 1, HELD, Some(58_500)), ("n3", 2, HELD, None)], expected: ISOLATED }; "a restarted host has no evidence of its earlier incarnation")]
#[test_case(Case { answers: &[("n2", 1, HELD, Some(200))], expected: Status::Current }; "one has recent contact")]
#[test_case(Case { answers: &[("n2", 1, NEWER, Some(200))], expected: ISOLATED }; "recent contact of a version not in force")]
fn keys_are_accepted_only_with_evidence(case: Case) {
    let mut freshness = freshness();
    for (host, incarnation, version, contact) in case.answers {
        let answer = answer(host, *incarnation, *version, *contact);
        freshness.on_answer(at(59_000), at(59_100), &answer);
    }
    freshness.tick(at(60_000));
    assert_eq!(freshness.status(at(60_000), LIMIT), case.expected);
}

#[test]
fn a_proof_ends_with_its_window_and_with_a_newer_version() {
    let mut freshness = freshness();
    for host in ["n2", "n3"] {
        freshness.on_answer(at(59_000), at(59_100), &answer(host, 1, HELD, Some(58_000)));
    }
    freshness.tick(at(60_000));
    assert_eq!(freshness.status(at(62_000), LIMIT), Status::StoreDown);
    assert_eq!(freshness.status(at(62_001), LIMIT), ISOLATED);
    freshness.on_answer(at(59_500), at(60_100), &answer("n2", 1, NEWER, Some(100)));
    assert_eq!(freshness.status(at(60_100), LIMIT), ISOLATED);
    freshness.on_adopted(NEWER);
    assert_eq!(freshness.status(at(60_100), LIMIT), Status::Current);
}

#[test_case(1_000, 31_000, Status::Current; "limit reached")]
#[test_case(1_000, 31_001, Status::Isolated { since: Instant::from_millis(1_000) }; "limit passed")]
fn the_age_counts_from_when_the_read_was_sent(sent: u64, now: u64, expected: Status) {
    let mut freshness = Freshness::new("n1".into(), PROOF_WINDOW);
    freshness.on_head(at(sent), HELD);
    assert_eq!(freshness.contact_age(at(now)), None, "not in force yet");
    freshness.on_adopted(HELD);
    assert_eq!(
        freshness.contact_age(at(now)),
        Some(Duration::from_millis(now - sent))
    );
    assert_eq!(freshness.status(at(now), LIMIT), expected);
}

/// Guards against a peer's contact before the start of this process that counts as one at its
/// start.
#[test]
fn a_peers_contact_is_dated_from_when_the_heartbeat_was_sent() {
    let mut freshness = Freshness::new("n1".into(), PROOF_WINDOW);
    freshness.on_adopted(HELD);
    freshness.on_answer(at(1_000), at(9_000), &answer("n2", 1, HELD, Some(20_000)));
    // 20 s plus 1 % and the resolution end 19.2 s before the start of the process.
    assert_eq!(freshness.status(at(10_700), LIMIT), Status::Current);
    assert_eq!(
        freshness.status(at(10_900), LIMIT),
        Status::Isolated { since: at(0) }
    );
    assert_eq!(freshness.contact_age(at(9_000)), None);
}
