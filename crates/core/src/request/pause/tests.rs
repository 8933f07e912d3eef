use super::{MAX_PAUSE, end, parse};
use azurenotch_wire::time::Instant;
use std::time::Duration;
use test_case::test_case;

/// Value of a header and the pause that it asks for.
struct Case {
    text: &'static str,
    ms: Option<u64>,
}

#[test_case(Case { text: "2", ms: Some(2_000) }; "whole seconds")]
#[test_case(Case { text: "0", ms: Some(0) }; "none")]
#[test_case(Case { text: "1.25", ms: Some(1_250) }; "a fraction")]
#[test_case(Case { text: "0.05", ms: Some(50) }; "less than a second")]
#[test_case(Case { text: "-1", ms: None }; "negative")]
#[test_case(Case { text: "+1", ms: None }; "a sign")]
#[test_case(Case { text: "1e3", ms: None }; "an exponent")]
#[test_case(Case { text: "inf", ms: None }; "infinite")]
#[test_case(Case { text: "NaN", ms: None }; "not a number")]
#[test_case(Case { text: "1.", ms: None }; "no digit behind the point")]
#[test_case(Case { text: ".5", ms: None }; "no digit before the point")]
#[test_case(Case { text: "", ms: None }; "empty")]
#[test_case(Case { text: "1 2", ms: None }; "two numbers")]
#[test_case(Case { text: "Fri, 31 Dec 1999 23:59:59 GMT", ms: None }; "a date")]
fn only_seconds_are_accepted(case: Case) {
    assert_eq!(parse(case.text), case.ms.map(Duration::from_millis));
}

#[test_case("99999999999"; "many years")]
#[test_case("99999999999999999999999999999999999999"; "more than a duration holds")]
fn huge_pauses_are_bounded(text: &str) {
    assert_eq!(parse(text), Some(MAX_PAUSE));
}

#[test]
fn hosts_return_at_different_times_and_never_early() {
    let pause = Duration::from_secs(2);
    let first = end(Instant::ZERO, pause, 0.0);
    let last = end(Instant::ZERO, pause, 1.0);
    assert_eq!(first, Instant::ZERO + pause);
    assert_eq!(last, Instant::ZERO + pause + Duration::from_millis(500));
}
