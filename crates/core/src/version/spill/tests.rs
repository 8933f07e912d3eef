use super::*;
use test_case::test_case;

/// Demand and slots of a region; each request occupies a slot for [`WORK_S`] seconds.
struct Case {
    hosts: usize,
    /// Requests per second at each host.
    per_host: f64,
    slots: f64,
    /// Bounds of the utilization by the requests that stay.
    used: (f64, f64),
}

/// Time for which one request occupies a slot, in seconds.
const WORK_S: f64 = 0.2;

#[test_case(Case { hosts: 4, per_host: 30.0, slots: 72.0, used: (0.3, 0.35) }; "enough servers, all stay")]
#[test_case(Case { hosts: 4, per_host: 30.0, slots: 18.0, used: (0.7, 1.0) }; "few servers")]
#[test_case(Case { hosts: 28, per_host: 20.0, slots: 40.0, used: (0.7, 1.0) }; "a third of the servers needed")]
fn the_surplus_of_a_region_leaves_it(case: Case) {
    let mut spill = Spill::default();
    for step in 0..90_u32 {
        let at = f64::from(step) * 1000.0 / case.per_host;
        spill.count(Instant::from_millis(at as u64));
    }
    let now = Instant::from_millis((90_000.0 / case.per_host) as u64);
    for host in 1..case.hosts {
        spill.receive_rate(now, &format!("h{host}").into(), case.per_host);
    }
    let share = spill.share(now, WORK_S, case.slots, case.hosts);
    let demand = case.per_host * case.hosts as f64 * WORK_S;
    let used = (1.0 - share) * demand / case.slots;
    let (least, most) = case.used;
    assert!(
        (least..=most).contains(&used),
        "{used} with {share} leaving"
    );
}

#[test]
fn a_region_without_servers_keeps_few_requests() {
    let mut spill = Spill::default();
    spill.count(Instant::ZERO);
    assert!(spill.share(Instant::from_millis(10), WORK_S, 0.0, 1) >= 0.9);
}

#[test]
fn hosts_without_a_report_count_like_this_one() {
    let mut spill = Spill::default();
    for step in 0..90 {
        spill.count(Instant::from_millis(step * 33));
    }
    let now = Instant::from_millis(3_000);
    let alone = spill.share(now, 0.2, 18.0, 1);
    let four = spill.share(now, 0.2, 18.0, 4);
    assert!(alone < 1e-9 && four > 0.3, "{alone} {four}");
}

/// Requests of a host at a constant rate, from its first one on.
struct Start {
    per_s: f64,
    /// Time since the first request.
    elapsed: Duration,
}

/// Guards against a rate that is too low after a start: all requests then stay in the region
/// until its queues are long.
#[test_case(Start { per_s: 30.0, elapsed: Duration::from_millis(500) }; "few requests")]
#[test_case(Start { per_s: 65.0, elapsed: Duration::from_millis(150) }; "a seventh of a second")]
fn the_rate_is_known_after_a_few_requests(start: Start) {
    let mut spill = Spill::default();
    let count = (start.per_s * start.elapsed.as_secs_f64()) as u32;
    for step in 0..count {
        spill.count(Instant::ZERO + Duration::from_secs_f64(f64::from(step) / start.per_s));
    }
    let ratio = spill.rate(Instant::ZERO + start.elapsed) / start.per_s;
    assert!((0.8..1.2).contains(&ratio), "{ratio}");
}

/// Guards against a surplus that stays in the region at the start of all traffic, since the last
/// reports of the other hosts are from before it, and then leaves all at once.
#[test]
fn idle_reports_from_before_the_start_do_not_keep_the_surplus() {
    let others: Vec<Host> = (1..10).map(|host| format!("h{host}").into()).collect();
    let mut spill = Spill::default();
    let start = Instant::from_millis(10_000);
    for host in &others {
        spill.receive_rate(start - Duration::from_millis(50), host, 0.0);
    }
    for step in 0..8 {
        spill.count(start + Duration::from_millis(step * 25));
    }
    let now = start + Duration::from_millis(200);
    let share = spill.share(now, 1.0, 168.0, 10);
    assert!(share > 0.3, "{share}");
    for host in &others {
        spill.receive_rate(start + START_TIME, host, 0.0);
    }
    let idle = spill.share(start + START_TIME, 1.0, 168.0, 10);
    assert!(idle < 1e-9, "{idle}");
}

#[test]
fn objects_leave_by_share_and_stay_away() {
    let objects: Vec<u64> = (0..10_000_u64)
        .map(|it| it.wrapping_mul(0x9e37_79b9))
        .collect();
    let left: Vec<_> = objects.iter().filter(|it| leaves(**it, 0.3)).collect();
    assert!((2_800..3_200).contains(&left.len()), "{}", left.len());
    assert!(left.iter().all(|it| leaves(**it, 0.4)));
}
