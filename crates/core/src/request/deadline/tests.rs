use super::*;

#[test]
fn caller_can_only_shorten_the_timeout() {
    let route = Duration::from_secs(2);
    let start = Instant::from_millis(100);
    let remaining = |requested_ms| Deadline::new(start, route, requested_ms).remaining(start);
    assert_eq!(remaining(None), Some(route));
    assert_eq!(remaining(Some(500)), Some(Duration::from_millis(500)));
    assert_eq!(remaining(Some(60_000)), Some(route));
    assert_eq!(remaining(Some(0)), None);
}

#[test]
fn no_time_is_left_after_the_deadline() {
    let deadline = Deadline::new(Instant::ZERO, Duration::from_millis(10), None);
    assert_eq!(deadline.remaining(Instant::from_millis(10)), None);
    assert_eq!(deadline.remaining_ms(Instant::from_millis(4)), 6);
}
