use super::*;
use test_case::test_case;

const ESTIMATE: Estimate = Estimate {
    expected: Duration::from_millis(300),
    wait: Duration::ZERO,
    left: Duration::from_secs(2),
    objective: Duration::from_millis(500),
    rank: 2,
};

#[test_case(ESTIMATE => true; "an idle server")]
#[test_case(Estimate { wait: Duration::from_millis(300), ..ESTIMATE } => true; "a short queue")]
#[test_case(Estimate { wait: Duration::from_millis(450), ..ESTIMATE } => false; "a queue near the objective")]
#[test_case(Estimate { wait: Duration::from_millis(450), rank: 0, ..ESTIMATE } => true; "a better rank")]
#[test_case(Estimate { left: Duration::from_millis(290), ..ESTIMATE } => false; "too little time left")]
fn requests_that_cannot_be_served_well_are_refused(estimate: Estimate) -> bool {
    decide(&estimate, 0.5) == Decision::Send
}

#[test]
fn refused_callers_do_not_return_together() {
    let estimate = Estimate {
        wait: Duration::from_millis(900),
        ..ESTIMATE
    };
    let (first, last) = (decide(&estimate, 0.0), decide(&estimate, 1.0));
    let (Decision::Refuse(first), Decision::Refuse(last)) = (first, last) else {
        panic!("both are refused");
    };
    assert!(first >= Duration::from_millis(400), "{first:?}");
    assert_eq!(last, first + RETRY_JITTER);
}

/// Request on a host that stops within [`GRACE`].
struct Stop {
    /// Timeout of the route.
    time_ms: u64,
    repeatable: bool,
    /// Time since the stop was announced.
    since_ms: u64,
    accepted: bool,
}

/// Time from the announcement of a stop until running requests are cut off.
const GRACE: Duration = Duration::from_millis(5_850);

#[test_case(Stop { time_ms: 2_500, repeatable: true, since_ms: 0, accepted: true }; "at the announcement")]
#[test_case(Stop { time_ms: 2_500, repeatable: true, since_ms: 3_300, accepted: true }; "its whole time fits")]
#[test_case(Stop { time_ms: 2_500, repeatable: true, since_ms: 3_400, accepted: false }; "it might be cut off")]
#[test_case(Stop { time_ms: 400, repeatable: true, since_ms: 5_400, accepted: true }; "a short one")]
#[test_case(Stop { time_ms: 400, repeatable: true, since_ms: 5_500, accepted: false }; "a short one, too late")]
#[test_case(Stop { time_ms: 60_000, repeatable: true, since_ms: 1_000, accepted: true }; "longer than the whole stop")]
#[test_case(Stop { time_ms: 60_000, repeatable: true, since_ms: 3_500, accepted: false }; "longer than the whole stop, late")]
#[test_case(Stop { time_ms: 2_500, repeatable: false, since_ms: 3_300, accepted: true }; "once only, its whole time fits")]
#[test_case(Stop { time_ms: 3_500, repeatable: false, since_ms: 2_400, accepted: false }; "once only, it might be given up")]
#[test_case(Stop { time_ms: 60_000, repeatable: false, since_ms: 0, accepted: false }; "once only, longer than the whole stop")]
fn a_stopping_host_decides_by_timeout_and_remaining_time(stop: Stop) {
    let left = GRACE.saturating_sub(Duration::from_millis(stop.since_ms));
    let time = Duration::from_millis(stop.time_ms);
    assert_eq!(
        ends_before_stop(time, stop.repeatable, left, GRACE),
        stop.accepted
    );
}
