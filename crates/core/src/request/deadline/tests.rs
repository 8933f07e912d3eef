use super::*;

#[test]
fn caller_can_only_shorten_the_timeout() {
    let route = Duration::from_secs(2);
    let start = Instant::from_millis(100);
    let left = |wanted| Deadline::new(start, route, wanted).left(start);
    assert_eq!(left(None), Some(route));
    assert_eq!(left(Some(500)), Some(Duration::from_millis(500)));
    assert_eq!(left(Some(60_000)), Some(route));
    assert_eq!(left(Some(0)), None);
}

#[test]
fn no_time_is_left_after_the_deadline() {
    let deadline = Deadline::new(Instant::ZERO, Duration::from_millis(10), None);
    assert_eq!(deadline.left(Instant::from_millis(10)), None);
    assert_eq!(deadline.header(Instant::from_millis(4)), 6);
}
