use super::*;
use test_case::test_case;

const FAILED: Attempt = Attempt {
    number: 1,
    idempotent: true,
    sent: true,
    consumed: false,
    left: Some(Duration::from_secs(1)),
};

#[test_case(FAILED => true; "idempotent")]
#[test_case(Attempt { idempotent: false, ..FAILED } => false; "not idempotent and sent")]
#[test_case(Attempt { idempotent: false, sent: false, ..FAILED } => true; "not idempotent and nothing sent")]
#[test_case(Attempt { consumed: true, ..FAILED } => false; "body consumed")]
#[test_case(Attempt { left: None, ..FAILED } => false; "deadline passed")]
#[test_case(Attempt { number: MAX_ATTEMPTS, sent: false, ..FAILED } => false; "attempts used up")]
fn permits_only_harmless_retries(attempt: Attempt) -> bool {
    Budget::default().permits(&attempt)
}

#[test]
fn a_failing_service_gets_a_tenth_more_requests() {
    let mut budget = Budget::default();
    let retries = (0..1_000)
        .filter(|_| {
            budget.record_request();
            budget.permits(&FAILED)
        })
        .count();
    // The initial tokens allow ten retries more.
    assert!((100..=111).contains(&retries), "{retries} retries");
}
