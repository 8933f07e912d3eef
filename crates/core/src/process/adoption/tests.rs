//! Tests of the parent module.

use super::*;
use azurenotch_wire::id::Operation;
use test_case::test_case;

const fn version(epoch: u64, number: u64) -> Version {
    Version { epoch, number }
}

fn digest(bytes: &[u8]) -> Digest {
    Digest(hex::encode(Sha256::digest(bytes)))
}

fn head(version: Version, bytes: &[u8]) -> Head {
    Head {
        version,
        digest: digest(bytes),
        operation: Operation(1),
    }
}

fn fetch_from_peer(host: &str, version: Version) -> Action {
    Action::FetchFromPeer {
        host: host.into(),
        version,
    }
}

fn load_from_store(version: Version, bytes: &[u8]) -> Action {
    Action::LoadFromStore {
        version,
        digest: digest(bytes),
    }
}

fn snapshot(version: Version, named: &[u8], bytes: &[u8]) -> Fetched {
    Fetched::Snapshot {
        version,
        digest: digest(named),
        bytes: bytes.to_vec(),
    }
}

struct Case {
    /// Host, epoch and number.
    offers: &'static [(&'static str, u64, u64)],
    head: Option<Version>,
    expected: Action,
}

#[test_case(Case { offers: &[], head: None, expected: Action::Wait(None) }; "nothing announced")]
#[test_case(Case { offers: &[("n1", 1, 4)], head: Some(version(1, 5)), expected: Action::Wait(None) }; "nothing newer")]
#[test_case(Case { offers: &[("n1", 1, 6)], head: Some(version(1, 6)), expected: fetch_from_peer("n1", version(1, 6)) }; "peer before store")]
#[test_case(Case { offers: &[("n1", 1, 6)], head: Some(version(1, 7)), expected: load_from_store(version(1, 7), b"5") }; "store if no peer has the newest")]
#[test_case(Case { offers: &[("n1", 1, 9), ("n2", 2, 1)], head: None, expected: fetch_from_peer("n2", version(2, 1)) }; "higher epoch before higher number")]
fn fetches_the_newest_version(case: Case) {
    let mut adoption = Adoption::new();
    adoption.adopt(version(1, 5), &digest(b"5")).unwrap();
    for (host, epoch, number) in case.offers {
        adoption.on_heartbeat(&(*host).into(), version(*epoch, *number));
    }
    if let Some(version) = case.head {
        adoption.on_head(&head(version, b"5")).unwrap();
    }
    assert_eq!(adoption.poll(Instant::ZERO), case.expected);
}

/// Guards against a host without configuration that waits for an unavailable store although peers
/// have the configuration.
#[test]
fn a_new_host_asks_peers_and_then_others_after_a_bad_answer() {
    let (mut adoption, now) = (Adoption::new(), Instant::ZERO);
    let newest = version(1, 1);
    for host in ["n1", "n2"] {
        adoption.on_heartbeat(&host.into(), newest);
    }
    assert_eq!(adoption.poll(now), fetch_from_peer("n2", newest));
    let bad = snapshot(newest, b"right", b"wrong");
    let result = adoption.on_fetched(now, &"n2".into(), &bad);
    assert!(matches!(result, Err(Error::Mismatch { .. })));
    assert_eq!(adoption.held(), None);
    assert_eq!(adoption.poll(now), fetch_from_peer("n1", newest));
    adoption.on_failed(now, &Origin::Peer("n1".into()));
    assert_eq!(
        adoption.poll(now),
        Action::Wait(Some(now + RETRY_DELAY_MIN))
    );
    let later = version(1, 2);
    adoption.on_heartbeat(&"n2".into(), later);
    assert_eq!(
        adoption.poll(now),
        fetch_from_peer("n2", later),
        "bad for one version"
    );
    let good = snapshot(later, b"right", b"right");
    let candidate = adoption.on_fetched(now, &"n2".into(), &good).unwrap();
    assert_eq!(candidate.unwrap().version, later);
}

#[test]
fn never_goes_back_and_reports_two_digests_of_one_version() {
    let (mut adoption, now) = (Adoption::new(), Instant::ZERO);
    adoption.adopt(version(2, 3), &digest(b"a")).unwrap();
    let old = snapshot(version(1, 9), b"b", b"b");
    let fork = snapshot(version(2, 3), b"b", b"b");
    let host = "n1".into();
    assert!(matches!(
        adoption.on_fetched(now, &host, &old),
        Err(Error::Older { .. })
    ));
    assert!(matches!(
        adoption.on_fetched(now, &host, &fork),
        Err(Error::Fork { .. })
    ));
    assert!(matches!(
        adoption.on_head(&head(version(2, 3), b"b")),
        Err(Error::Fork { .. })
    ));
    assert!(adoption.adopt(version(2, 2), &digest(b"b")).is_err());
    assert_eq!(adoption.held(), Some(version(2, 3)));
}
