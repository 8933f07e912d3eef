use super::*;
use test_case::test_case;

/// Guards against a reason or retry delay with which a retry meets the same refusal again.
#[test_case(0.0, 0.0, Reason::Rate, NO_CAPACITY_RETRY_DELAY; "no share has arrived")]
#[test_case(1.0, 1.0, Reason::Rate, Duration::from_millis(900); "rate and concurrency are used up")]
#[test_case(20.0, 1.0, Reason::Concurrency, CONCURRENCY_RETRY_DELAY; "concurrency is used up")]
fn a_refusal_names_the_limit(rate: f64, units: f64, reason: Reason, retry_after: Duration) {
    let second = |count: u64| Instant::from_millis(1_000 * count);
    let mut share = Share::new(Instant::ZERO);
    let floor = Capacity {
        rate,
        burst: units,
        concurrency: units,
    };
    share.set_floor(Instant::ZERO, floor, second(60));
    // The first request uses up the concurrency, if there is any.
    let admitted = share.admit(second(1)).is_ok();
    assert_eq!(admitted, units > 0.0);
    let refused = share.admit(Instant::from_millis(1_100));
    assert_eq!(
        refused,
        Err(Refused {
            reason,
            retry_after
        })
    );
}
