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
fn retries_of_failing_servers_stay_within_the_budget(per_second: u64, hosts: usize) {
    let mut budget = Budget::new(LIMIT);
    let mut retries = Vec::new();
    for step in 0..per_second * 30 {
        let now = Instant::from_millis(step * 1000 / per_second);
        budget.record_request(now);
        if budget.take_retry(now, hosts) {
            retries.push(now);
        }
    }
    let permitted = 0.2 * per_second as f64 * 10.0 + 64.0 / hosts as f64;
    for first in &retries {
        let count = retries
            .iter()
            .filter(|it| *it >= first && it.since(*first) < LIMIT.window)
            .count();
        assert!(count as f64 <= permitted, "{count} above {permitted}");
    }
}

#[test]
fn a_host_with_a_single_request_may_retry() {
    let mut budget = Budget::new(LIMIT);
    budget.record_request(Instant::ZERO);
    assert!(budget.take_retry(Instant::ZERO, 12));
}
