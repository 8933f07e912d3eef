use super::*;
use test_case::test_case;

const ESTIMATE: Estimate = Estimate {
    expected: Duration::from_millis(300),
    wait: Duration::ZERO,
    left: Duration::from_secs(2),
    objective: Duration::from_millis(500),
    rank: 2,
    allowance: Allowance::Usual,
};

#[test_case(ESTIMATE => true; "an idle server")]
#[test_case(Estimate { wait: Duration::from_millis(300), ..ESTIMATE } => true; "a short queue")]
#[test_case(Estimate { wait: Duration::from_millis(450), ..ESTIMATE } => false; "a queue near the objective")]
#[test_case(Estimate { wait: Duration::from_millis(450), rank: 0, ..ESTIMATE } => true; "a better rank")]
#[test_case(Estimate { left: Duration::from_millis(290), ..ESTIMATE } => false; "too little time left")]
#[test_case(Estimate { wait: Duration::from_millis(440), allowance: Allowance::Longer, ..ESTIMATE } => true; "a returning caller")]
#[test_case(Estimate { wait: Duration::from_millis(900), allowance: Allowance::Longer, ..ESTIMATE } => false; "a queue too long for a returning caller")]
#[test_case(Estimate { expected: Duration::from_secs(2), allowance: Allowance::Longer, ..ESTIMATE } => false; "a returning caller without time")]
#[test_case(Estimate { wait: Duration::from_millis(200), allowance: Allowance::Shorter, ..ESTIMATE } => false; "room is left for others")]
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
