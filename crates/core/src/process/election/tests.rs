use super::{MAX_WRITERS, WRITE_TURN_DELAY, is_store_reader, write_delay};
use azurenotch_wire::id::Host;
use test_case::test_case;

#[test]
fn one_host_reads_the_store_and_another_takes_over() {
    let hosts: Vec<Host> = (0..28).map(|i| Host::from(format!("h{i}"))).collect();
    let reader = |hosts: &[Host]| {
        let all = || hosts.iter().map(|host| (host, true));
        let mut readers = hosts.iter().filter(|own| is_store_reader(own, true, all()));
        let first = readers.next().cloned();
        assert_eq!(readers.next(), None);
        first
    };
    let first = reader(&hosts).expect("a host reads the store");
    let rest: Vec<Host> = hosts.into_iter().filter(|host| *host != first).collect();
    assert!(reader(&rest).is_some());
}

#[test]
fn a_host_that_reaches_no_other_reads_the_store() {
    assert!(is_store_reader(&"h1".into(), true, []));
    assert!(is_store_reader(&"h1".into(), false, []));
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
    let hosts: Vec<Host> = (0..4).map(|i| Host::from(format!("h{i}"))).collect();
    let mut reaches = [true; 4];
    let readers = |reaches: &[bool; 4]| -> Vec<usize> {
        let all = || hosts.iter().zip(reaches.iter().copied());
        let reads = |own: &usize| is_store_reader(&hosts[*own], reaches[*own], all());
        (0..hosts.len()).filter(reads).collect()
    };
    let first = readers(&reaches)[0];
    reaches[first] = false;
    let then = readers(&reaches);
    assert_eq!(then.len(), 2, "the first goes on trying: {then:?}");
    let second = then.into_iter().find(|host| *host != first);
    let second = second.expect("another host takes over");
    assert!(reaches[second]);
    reaches[second] = false;
    assert!(readers(&reaches).iter().any(|host| reaches[*host]));
    reaches = [false; 4];
    assert_eq!(readers(&reaches), [first], "one host tries for all");
}
