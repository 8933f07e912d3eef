use super::*;

fn capacity(rate: f64, burst: f64) -> Capacity {
    Capacity {
        rate,
        burst,
        concurrency: 0.0,
    }
}

#[test]
fn a_new_bucket_has_no_burst() {
    let mut bucket = Bucket::new(Instant::ZERO);
    bucket.resize(Instant::ZERO, &capacity(10.0, 5.0));
    assert_eq!(
        bucket.take(Instant::ZERO),
        Err(Some(Duration::from_millis(100)))
    );
    assert_eq!(bucket.take(Instant::from_millis(100)), Ok(()));
}

#[test]
fn never_admits_more_than_rate_and_burst() {
    let mut bucket = Bucket::new(Instant::ZERO);
    bucket.resize(Instant::ZERO, &capacity(10.0, 5.0));
    let admitted = (0..10_000)
        .filter(|millis| bucket.take(Instant::from_millis(60_000 + millis)).is_ok())
        .count();
    assert!(
        admitted <= 105,
        "admitted {admitted} in 10 s at 10/s with burst 5"
    );
    assert!(admitted >= 104, "admitted only {admitted}");
}

#[test]
fn a_smaller_capacity_returns_surplus_tokens() {
    let mut bucket = Bucket::new(Instant::ZERO);
    bucket.resize(Instant::ZERO, &capacity(10.0, 8.0));
    let now = Instant::from_millis(10_000);
    assert!((bucket.resize(now, &capacity(1.0, 3.0)) - 5.0).abs() < 1e-9);
    assert!((bucket.tokens(now) - 3.0).abs() < 1e-9);
}

#[test]
fn a_clock_that_moves_backwards_adds_no_tokens() {
    let mut bucket = Bucket::new(Instant::from_millis(5_000));
    bucket.resize(Instant::from_millis(5_000), &capacity(10.0, 5.0));
    assert!(bucket.tokens(Instant::from_millis(1_000)) < 1e-9);
    assert!(bucket.tokens(Instant::from_millis(5_000)) < 1e-9);
}
