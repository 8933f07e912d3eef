use super::{Candidate, MAX_WRITERS, Path, Role, WRITE_TURN_DELAY, role, write_delay};
use azurenotch_wire::id::{Host, Region};
use test_case::test_case;

/// Returns the role of each host; all hosts are reachable.
fn roles(hosts: &[(Host, Region)], paths: &[Path]) -> Vec<Role> {
    let candidate = |index: usize| Candidate {
        host: &hosts[index].0,
        region: &hosts[index].1,
        path: paths[index],
    };
    let others = |own: usize| (0..hosts.len()).filter(move |other| *other != own);
    (0..hosts.len())
        .map(|own| role(candidate(own), others(own).map(candidate)))
        .collect()
}

/// Returns hosts in turn in each of the regions.
fn hosts(count: usize, regions: &[&str]) -> Vec<(Host, Region)> {
    let host = |index: usize| {
        let region = regions[index % regions.len()];
        (Host::from(format!("h{index}")), Region::from(region))
    };
    (0..count).map(host).collect()
}

#[test]
fn one_host_reads_the_store_and_another_takes_over() {
    let mut hosts = hosts(28, &["r"]);
    for _ in 0..3 {
        let roles = roles(&hosts, &vec![Path::Untried; hosts.len()]);
        let readers: Vec<_> = roles.iter().filter(|it| **it == Role::Reader).collect();
        assert_eq!(readers.len(), 1);
        let reader = roles.iter().position(|it| *it == Role::Reader);
        hosts.remove(reader.expect("a host reads the store"));
    }
}

/// Guards against one region whose loss takes both hosts that read the store.
#[test]
fn the_standby_is_in_another_region_and_the_others_take_turns() {
    for count in [2, 3, 12, 84] {
        let hosts = hosts(count, &["norte", "norte", "sul"]);
        let roles = roles(&hosts, &vec![Path::Untried; count]);
        let place = |role| roles.iter().position(|it| *it == role);
        let (reader, standby) = (place(Role::Reader), place(Role::Standby));
        let region = |place: Option<usize>| &hosts[place.expect("a host has the role")].1;
        let differ = region(reader) != region(standby);
        assert!(differ || count == 2, "{count} hosts");
        let mut deputies: Vec<_> = roles
            .iter()
            .filter_map(|role| match role {
                Role::Deputy(before) => Some(*before),
                Role::Reader | Role::Standby => None,
            })
            .collect();
        deputies.sort_unstable();
        assert_eq!(deputies, (0..count - 2).collect::<Vec<_>>());
    }
}

#[test]
fn a_host_that_reaches_no_other_reads_the_store() {
    for path in [Path::Proven, Path::Untried, Path::Lost] {
        let roles = roles(&hosts(1, &["r"]), &[path]);
        assert_eq!(roles, [Role::Reader]);
    }
}

/// Numbers of the reachable hosts, and the turn in which this one, number 5, writes.
#[test_case(&[], Some(0); "alone")]
#[test_case(&[6, 7, 8], Some(0); "first by name")]
#[test_case(&[2, 6], Some(1); "second")]
#[test_case(&[1, 2, 3, 4], None; "too many before it")]
fn hosts_take_turns(reachable: &[u32], turns: Option<u32>) {
    let reachable: Vec<Host> = reachable
        .iter()
        .map(|i| Host::from(format!("h{i}")))
        .collect();
    assert_eq!(
        write_delay(&"h5".into(), &reachable),
        turns.map(|turns| WRITE_TURN_DELAY * turns)
    );
}

/// Guards against a move that misses its time limit because the first host's calls are lost.
#[test]
fn a_write_is_due_at_several_hosts_within_two_seconds() {
    let hosts: Vec<Host> = (10..38).map(|i| Host::from(format!("h{i}"))).collect();
    let delays = hosts.iter().filter_map(|own| write_delay(own, &hosts));
    let in_time = delays.filter(|delay| delay.as_millis() < 2_000).count();
    assert_eq!(in_time, MAX_WRITERS as usize);
}

/// The store refuses the host that reads it, then the next one, then all of them.
#[test]
fn another_host_reads_when_the_reader_loses_the_store() {
    let hosts = hosts(4, &["r"]);
    let mut paths = [Path::Untried; 4];
    let readers = |paths: &[Path; 4]| -> Vec<usize> {
        let roles = roles(&hosts, paths);
        (0..4).filter(|own| roles[*own] == Role::Reader).collect()
    };
    let first = readers(&paths)[0];
    paths[first] = Path::Lost;
    let then = readers(&paths);
    assert_eq!(then.len(), 2, "the first goes on trying: {then:?}");
    let second = then.into_iter().find(|host| *host != first);
    let second = second.expect("another host takes over");
    assert_eq!(paths[second], Path::Untried);
    paths[second] = Path::Lost;
    assert!(readers(&paths).iter().any(|it| paths[*it] != Path::Lost));
    paths = [Path::Lost; 4];
    assert_eq!(readers(&paths), [first], "one host tries for all");
}

/// Guards against a role that passes through hosts that have lost the store and do not know it.
#[test]
fn a_host_with_a_proven_path_reads_before_others() {
    let hosts = hosts(12, &["norte", "sul"]);
    for proven in 0..12 {
        let mut paths = [Path::Untried; 12];
        paths[proven] = Path::Proven;
        assert_eq!(roles(&hosts, &paths)[proven], Role::Reader);
    }
}
