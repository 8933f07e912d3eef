use super::*;

/// Guards against a rollback for a latency increase of a few percent, and against a version that is
/// 50 % slower and is not detected.
#[test]
fn slow_is_clearly_slower_than_usual() {
    let mut latency = Latency::new(Instant::ZERO);
    for count in 0..MIN_ANSWERS {
        latency.record(Instant::ZERO, Duration::from_micros(5_000 + 200 * count));
    }
    assert!(
        !latency.is_slow(Duration::from_millis(26)),
        "1 ms above the slowest"
    );
    assert!(latency.is_slow(Duration::from_millis(36)));
}
