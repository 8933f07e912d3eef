use super::*;
use crate::version::placement::Backend;
use std::collections::BTreeSet;
use test_case::test_case;

/// Guards against homes that the demand does not need, that the caches cannot keep, or that rest on
/// a few requests.
#[test_case(Demand::NONE, 90, 100, 1; "nothing is known")]
#[test_case(Demand { needed: 20.0, room: 8.0 }, 50, 100, 4; "a popular object")]
#[test_case(Demand { needed: 20.0, room: 2.5 }, 50, 100, 2; "a popular object and little room")]
#[test_case(Demand { needed: 20.0, room: 0.4 }, 50, 100, 1; "no room")]
#[test_case(Demand { needed: 20.0, room: 8.0 }, 2, 10, 1; "few requests")]
#[test_case(Demand { needed: 1.0, room: 8.0 }, 90, 100, 1; "little demand")]
#[test_case(Demand { needed: 20.0, room: 8.0 }, 0, 0, 1; "no request")]
fn homes_follow_demand_and_room(demand: Demand, count: u32, all: u32, expected: usize) {
    assert_eq!(demand.homes(count, all), expected);
}

fn ranking(homes: usize) -> Ranking {
    let mut ranking = Ranking::default();
    for index in 0..20 {
        let backend = Backend {
            server: format!("s{index}").into(),
            incarnation: 1,
            release: "v1".into(),
            data_centre: "a".into(),
            region: Some("near".into()),
            tier: Tier::Local,
            slots: 4,
            draining: false,
            cold: Duration::ZERO,
        };
        let entry = Entry::new(Instant::ZERO, &backend);
        ranking.insert(index, &entry, entry.rank(7), homes);
    }
    ranking
}

/// Guards against objects that move when their number of homes changes: one more home must leave the
/// others as they are, and hosts that prefer one of these must keep it or move to the new one.
#[test]
fn another_home_takes_only_its_own_part_of_the_hosts() {
    for homes in 1..MAX_HOMES {
        let (before, after) = (ranking(homes), ranking(homes + 1));
        let servers = |ranking: &Ranking| ranking.regions[0].servers.map(|(_, index)| index);
        assert_eq!(servers(&before)[..homes], servers(&after)[..homes]);
        let added = servers(&after)[homes];
        let mut moved = 0;
        for host in 0..1_000 {
            let host = mix(host, 1);
            let first = (homes == 1).then(|| servers(&before)[0]);
            let (one, other) = (
                before.preferred(host, 7).or(first),
                after.preferred(host, 7),
            );
            moved += usize::from(one != other);
            assert!(one == other || other == Some(added));
        }
        let fair = 1_000 / (homes + 1);
        assert!(moved > fair / 2 && moved < 2 * fair, "{moved}");
    }
}

/// Guards against hosts that all prefer the same home of one object, or of all objects.
#[test]
fn hosts_and_objects_divide_between_the_homes() {
    let ranking = ranking(4);
    let preferred = |host, object| ranking.preferred(mix(host, 1), object);
    let by_host: BTreeSet<_> = (0..50).map(|host| preferred(host, 7)).collect();
    let by_object: BTreeSet<_> = (0..50).map(|object| preferred(3, object)).collect();
    assert_eq!((by_host.len(), by_object.len()), (4, 4));
    assert!(!by_host.contains(&None));
}
