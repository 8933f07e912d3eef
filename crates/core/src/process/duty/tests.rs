use super::{TURN, TURNS, follows, turn};
use azurenotch_wire::id::Host;
use test_case::test_case;

#[test]
fn one_host_follows_and_another_takes_over() {
    let hosts: Vec<Host> = (0..28).map(|i| Host::from(format!("h{i}"))).collect();
    let follower = |hosts: &[Host]| {
        let all = || hosts.iter().map(|host| (host, true));
        let mut followers = hosts.iter().filter(|own| follows(own, true, all()));
        let first = followers.next().cloned();
        assert_eq!(followers.next(), None);
        first
    };
    let first = follower(&hosts).expect("a host follows");
    let rest: Vec<Host> = hosts.into_iter().filter(|host| *host != first).collect();
    assert!(follower(&rest).is_some());
}

#[test]
fn a_host_that_hears_nobody_follows() {
    assert!(follows(&"h1".into(), true, []));
    assert!(follows(&"h1".into(), false, []));
}

/// Hosts that are heard, by number, and when this one, number 5, writes in turns.
#[test_case(&[], Some(0); "alone")]
#[test_case(&[6, 7, 8], Some(0); "first by name")]
#[test_case(&[2, 6], Some(1); "second")]
#[test_case(&[1, 2, 3, 4], None; "too many before it")]
fn hosts_take_turns(heard: &[u32], turns: Option<u32>) {
    let heard: Vec<Host> = heard.iter().map(|i| Host::from(format!("h{i}"))).collect();
    assert_eq!(turn(&"h5".into(), &heard), turns.map(|turns| TURN * turns));
}

/// The first host's calls are lost; the others try before the time of a move is over.
#[test]
fn a_write_is_due_at_several_hosts_within_two_seconds() {
    let hosts: Vec<Host> = (10..38).map(|i| Host::from(format!("h{i}"))).collect();
    let turns = hosts.iter().filter_map(|own| turn(own, &hosts));
    let in_time = turns.filter(|turn| turn.as_millis() < 2_000).count();
    assert_eq!(in_time, TURNS as usize);
}

/// The store refuses the host that follows it, then the next one, then all of them.
#[test]
fn hosts_that_lost_the_store_pass_the_duty_on() {
    let hosts: Vec<Host> = (0..4).map(|i| Host::from(format!("h{i}"))).collect();
    let mut reaches = [true; 4];
    let followers = |reaches: &[bool; 4]| -> Vec<usize> {
        let all = || hosts.iter().zip(reaches.iter().copied());
        let follow = |own: &usize| follows(&hosts[*own], reaches[*own], all());
        (0..hosts.len()).filter(follow).collect()
    };
    let first = followers(&reaches)[0];
    reaches[first] = false;
    let then = followers(&reaches);
    assert_eq!(then.len(), 2, "the first goes on trying: {then:?}");
    let second = then.into_iter().find(|host| *host != first);
    let second = second.expect("another host takes over");
    assert!(reaches[second]);
    reaches[second] = false;
    assert!(followers(&reaches).iter().any(|host| reaches[*host]));
    reaches = [false; 4];
    assert_eq!(followers(&reaches), [first], "one host tries for all");
}
