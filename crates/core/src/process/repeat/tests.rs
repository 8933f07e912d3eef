use super::*;
use test_case::test_case;

const LIMIT: Limit = Limit {
    ratio: 0.2,
    slack: 64.0,
    window: Duration::from_secs(10),
};

#[test_case(50, 12; "usual load")]
#[test_case(2, 12; "little load")]
#[test_case(50, 1; "one host")]
fn repeats_of_failing_servers_stay_within_the_budget(per_second: u64, hosts: usize) {
    let mut budget = Budget::new(LIMIT);
    let mut repeats = Vec::new();
    for step in 0..per_second * 30 {
        let now = Instant::from_millis(step * 1000 / per_second);
        budget.request(now);
        if budget.repeat(now, hosts) {
            repeats.push(now);
        }
    }
    let permitted = 0.2 * per_second as f64 * 10.0 + 64.0 / hosts as f64;
    for first in &repeats {
        let count = repeats
            .iter()
            .filter(|it| *it >= first && it.since(*first) < LIMIT.window)
            .count();
        assert!(count as f64 <= permitted, "{count} above {permitted}");
    }
}

#[test]
fn a_quiet_host_may_repeat() {
    let mut budget = Budget::new(LIMIT);
    budget.request(Instant::ZERO);
    assert!(budget.repeat(Instant::ZERO, 12));
}
