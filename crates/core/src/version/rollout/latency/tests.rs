use super::*;

/// Guards against a version that is taken back for a shift of a few percent, and against one
/// that is half as slow again and stays.
#[test]
fn slow_is_clearly_slower_than_usual() {
    let mut latency = Latency::new(Instant::ZERO);
    for count in 0..ANSWERS_MIN {
        latency.record(Instant::ZERO, Duration::from_micros(5_000 + 200 * count));
    }
    assert!(
        !latency.is_slow(Duration::from_millis(26)),
        "1 ms above the slowest"
    );
    assert!(latency.is_slow(Duration::from_millis(36)));
}
