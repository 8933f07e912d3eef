use super::{DELEGATES, Path, receivers};
use azurenotch_wire::{
    Set,
    id::{DataCentre, Host},
};
use test_case::test_case;

/// A fleet with one reader.
struct Case {
    hosts: usize,
    data_centres: usize,
    /// Largest number of hosts to which one host sends changes.
    most: usize,
}

fn fleet(case: &Case) -> Vec<(Host, DataCentre)> {
    let host = |index: usize| {
        let data_centre = format!("z{}", index % case.data_centres);
        (Host::from(format!("h{index}")), data_centre.as_str().into())
    };
    (0..case.hosts).map(host).collect()
}

/// Returns the hosts to which a host of the fleet sends changes.
fn sends_to<'a>(fleet: &'a [(Host, DataCentre)], own: &'a Host, path: Path) -> Vec<&'a Host> {
    let data_centre = fleet.iter().find(|(host, _)| host == own);
    let (_, data_centre) = data_centre.expect("a host of the fleet");
    let others = fleet.iter().filter(|(host, _)| host != own);
    receivers(
        (own, data_centre),
        path,
        others.map(|(host, dc)| (host, dc)),
    )
}

/// Guards against a reader whose link is the bottleneck, and against hosts that hear of nothing.
#[test_case(Case { hosts: 1, data_centres: 1, most: 0 }; "one host")]
#[test_case(Case { hosts: 12, data_centres: 6, most: 11 }; "12 hosts")]
#[test_case(Case { hosts: 75, data_centres: 9, most: 24 }; "75 hosts")]
#[test_case(Case { hosts: 295, data_centres: 9, most: 48 }; "295 hosts")]
#[test_case(Case { hosts: 3_000, data_centres: 24, most: 171 }; "3000 hosts")]
fn every_host_gets_changes_in_two_hops(case: Case) {
    let fleet = fleet(&case);
    let reader = &fleet[0].0;
    let first = sends_to(&fleet, reader, Path::Proven);
    assert!(first.len() <= case.most, "{} receivers", first.len());
    let mut reached: Set<&Host> = first.iter().copied().collect();
    for host in &first {
        let second = sends_to(&fleet, host, Path::Untried);
        assert!(second.len() <= case.most);
        reached.extend(second);
    }
    reached.insert(reader);
    assert_eq!(reached.len(), case.hosts);
}

/// Guards against a data centre that hears of nothing because one of its hosts fails.
#[test]
fn a_delegate_may_fail() {
    let case = Case {
        hosts: 75,
        data_centres: 9,
        most: 24,
    };
    let fleet = fleet(&case);
    let reader = &fleet[0].0;
    let first = sends_to(&fleet, reader, Path::Proven);
    for failed in &first {
        let live = first.iter().filter(|host| *host != failed);
        let mut reached: Set<&Host> = live.clone().copied().collect();
        for host in live {
            reached.extend(sends_to(&fleet, host, Path::Untried));
        }
        reached.insert(reader);
        reached.insert(failed);
        assert_eq!(reached.len(), case.hosts);
    }
    assert_eq!(DELEGATES, 2);
}
