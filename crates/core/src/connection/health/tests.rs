use super::*;
use test_case::test_case;

#[test_case(&[] => HEDGE_UNMEASURED; "no measurement")]
#[test_case(&[Duration::from_millis(1); 100] => HEDGE_MIN; "fast server")]
#[test_case(&[Duration::from_millis(64); 100] => Duration::from_millis(64); "slow server")]
fn a_hedge_waits_for_usual_answers(latencies: &[Duration]) -> Duration {
    let mut health = Health::new(Instant::ZERO);
    for latency in latencies {
        health.record(Instant::ZERO, *latency);
    }
    // The histogram keeps two digits.
    Duration::from_millis(health.hedge_after().as_millis() as u64)
}
