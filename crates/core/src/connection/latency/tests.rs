use super::*;
use test_case::test_case;

#[test_case(&[] => DEFAULT_HEDGE_DELAY; "no measurement")]
#[test_case(&[Duration::from_millis(1); 100] => MIN_HEDGE_DELAY; "fast server")]
#[test_case(&[Duration::from_millis(64); 100] => Duration::from_millis(64); "slow server")]
fn the_hedge_delay_follows_the_latency(latencies: &[Duration]) -> Duration {
    let mut record = Latency::new(Instant::ZERO);
    for latency in latencies {
        record.record(Instant::ZERO, *latency);
    }
    // The histogram keeps two significant digits.
    Duration::from_millis(record.hedge_delay().as_millis() as u64)
}
