use super::*;
use test_case::test_case;

const LATENCY: Duration = Duration::from_millis(5);

fn candidate(server: &str, tier: Tier) -> Candidate {
    Candidate {
        server: server.into(),
        release: "1".into(),
        tier,
        slots: 4,
        sharing_hosts: 1,
        draining: false,
        cold: false,
    }
}

fn pick(balancer: &mut Balancer, now: Instant) -> Option<String> {
    let release = "1".into();
    let index = balancer.pick(
        now,
        &Query {
            release: &release,
            excluded: &[],
        },
    )?;
    balancer.begin(index);
    Some(balancer.candidate(index).server.to_string())
}

fn fail(balancer: &mut Balancer, index: usize, now: Instant, times: usize) -> Option<Transition> {
    let mut transition = None;
    for _ in 0..times {
        balancer.begin(index);
        transition = balancer
            .end(index, now, Verdict::Failed, LATENCY)
            .or(transition);
    }
    transition
}

#[test]
fn a_remote_server_takes_only_overflow_and_keeps_a_reserve() {
    let mut balancer = Balancer::new(
        &[
            candidate("far", Tier::Remote),
            candidate("near", Tier::Local),
        ],
        1,
    );
    let picks = (0..7)
        .map(|_| pick(&mut balancer, Instant::ZERO))
        .collect::<Vec<_>>();
    let near = picks
        .iter()
        .take(4)
        .all(|pick| pick.as_deref() == Some("near"));
    assert!(near, "local slots come first: {picks:?}");
    assert_eq!(
        picks[4..6],
        [Some("far".to_owned()), Some("far".to_owned())]
    );
    assert_eq!(
        picks[6], None,
        "half of the remote slots are reserved for nearby callers"
    );
}

struct Case {
    change: fn(&mut Candidate),
}

#[test_case(Case { change: |candidate| candidate.draining = true }; "draining")]
#[test_case(Case { change: |candidate| candidate.release = "2".into() }; "other version")]
fn takes_no_new_work(case: Case) {
    let mut changed = candidate("a", Tier::Local);
    (case.change)(&mut changed);
    let mut balancer = Balancer::new(&[candidate("a", Tier::Local)], 1);
    assert!(pick(&mut balancer, Instant::ZERO).is_some());
    balancer.update(Instant::ZERO, &[changed]);
    assert_eq!(pick(&mut balancer, Instant::ZERO), None);
    assert_eq!(
        balancer.in_flight(),
        1,
        "running requests are still counted"
    );
}

#[test]
fn never_ejects_more_than_half_of_a_tier() {
    let servers = ["a", "b", "c"].map(|name| candidate(name, Tier::Local));
    let mut balancer = Balancer::new(&servers, 1);
    assert_eq!(
        fail(&mut balancer, 0, Instant::ZERO, 5),
        Some(Transition::Ejected)
    );
    assert_eq!(fail(&mut balancer, 1, Instant::ZERO, 50), None);
    let picked = pick(&mut balancer, Instant::ZERO);
    assert!(picked.is_some_and(|server| server != "a"));
}

#[test]
fn an_ejected_server_comes_back_in_steps() {
    let mut balancer = Balancer::new(
        &[candidate("a", Tier::Local), candidate("b", Tier::Local)],
        1,
    );
    fail(&mut balancer, 0, Instant::ZERO, 5);
    assert!(
        balancer.entries[0]
            .health
            .is_ejected(Instant::from_millis(4_999))
    );
    let back = Instant::from_millis(5_000);
    assert!(!balancer.entries[0].health.is_ejected(back));
    balancer.begin(0);
    assert!(
        !balancer.entries[0].has_free_slot(back),
        "one request at a time at first"
    );
    balancer.begin(0);
    assert!(balancer.entries[0].has_free_slot(Instant::from_millis(15_000)));
}

#[test]
fn a_slow_server_gets_less_work() {
    let mut balancer = Balancer::new(
        &[
            candidate("slow", Tier::Local),
            candidate("fast", Tier::Local),
        ],
        7,
    );
    for (index, millis) in [(0, 50), (1, 5)] {
        balancer.begin(index);
        let latency = Duration::from_millis(millis);
        balancer.end(index, Instant::ZERO, Verdict::Answered, latency);
    }
    assert_eq!(pick(&mut balancer, Instant::ZERO).as_deref(), Some("fast"));
}

#[test]
fn hosts_share_slots_and_use_idle_ones_of_others() {
    let shared = Candidate {
        sharing_hosts: 4,
        ..candidate("a", Tier::Local)
    };
    let mut balancer = Balancer::new(&[shared], 1);
    assert!(pick(&mut balancer, Instant::ZERO).is_some());
    assert_eq!(
        pick(&mut balancer, Instant::ZERO),
        None,
        "the limit starts at one of four slots"
    );
    for _ in 0..8 {
        balancer.end(0, Instant::ZERO, Verdict::Answered, LATENCY);
        while pick(&mut balancer, Instant::ZERO).is_some() {}
    }
    assert_eq!(
        balancer.in_flight(),
        4,
        "the limit grows to all slots while the server sheds nothing"
    );
    balancer.end(0, Instant::ZERO, Verdict::Shed, LATENCY);
    assert_eq!(
        pick(&mut balancer, Instant::ZERO),
        None,
        "the limit shrinks because other hosts use their slots"
    );
}

#[test]
fn indices_of_running_requests_survive_an_update() {
    let mut balancer = Balancer::new(&[candidate("a", Tier::Local)], 1);
    assert_eq!(pick(&mut balancer, Instant::ZERO).as_deref(), Some("a"));
    balancer.update(Instant::ZERO, &[candidate("b", Tier::Local)]);
    assert_eq!(pick(&mut balancer, Instant::ZERO).as_deref(), Some("b"));
    balancer.end(0, Instant::ZERO, Verdict::Answered, LATENCY);
    assert_eq!(balancer.in_flight(), 1);
    assert_eq!(
        balancer.entries[1].in_flight, 1,
        "the end was counted for server a"
    );
}
