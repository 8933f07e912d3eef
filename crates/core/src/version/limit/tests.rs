use super::{Change, Error, Limit, MAX_AGE, Statement, parse};
use azurenotch_wire::time::Instant;
use std::time::Duration;
use test_case::test_case;

/// Values of a header and what they say.
struct Header {
    values: &'static [&'static str],
    limit: Result<Option<f64>, Error>,
}

#[test_case(Header { values: &[], limit: Ok(None) }; "no header")]
#[test_case(Header { values: &["4"], limit: Ok(Some(4.0)) }; "a whole number")]
#[test_case(Header { values: &["3.7"], limit: Ok(Some(3.7)) }; "a decimal")]
#[test_case(Header { values: &[" 3.7 "], limit: Ok(Some(3.7)) }; "blanks around it")]
#[test_case(Header { values: &["0"], limit: Ok(Some(0.0)) }; "zero")]
#[test_case(Header { values: &["0.001"], limit: Ok(Some(0.001)) }; "one in a while")]
#[test_case(Header { values: &["1000000000"], limit: Ok(Some(1e9)) }; "more than anyone sends")]
#[test_case(Header { values: &["5", "3"], limit: Ok(Some(3.0)) }; "two headers")]
#[test_case(Header { values: &["5, 3"], limit: Ok(Some(3.0)) }; "a list")]
#[test_case(Header { values: &["5, x"], limit: Err(Error) }; "a list with another word")]
#[test_case(Header { values: &["5", ""], limit: Err(Error) }; "two headers of which one is empty")]
#[test_case(Header { values: &[""], limit: Err(Error) }; "an empty value")]
#[test_case(Header { values: &["-1"], limit: Err(Error) }; "negative")]
#[test_case(Header { values: &["+1"], limit: Err(Error) }; "a sign")]
#[test_case(Header { values: &["4/s"], limit: Err(Error) }; "a unit")]
#[test_case(Header { values: &["1e9"], limit: Err(Error) }; "an exponent")]
#[test_case(Header { values: &["1e-9"], limit: Err(Error) }; "a negative exponent")]
#[test_case(Header { values: &["NaN"], limit: Err(Error) }; "not a number")]
#[test_case(Header { values: &["inf"], limit: Err(Error) }; "infinite")]
#[test_case(Header { values: &["4 5"], limit: Err(Error) }; "two numbers")]
#[test_case(Header { values: &["1."], limit: Err(Error) }; "no digit behind the point")]
#[test_case(Header { values: &[".5"], limit: Err(Error) }; "no digit before the point")]
fn only_decimal_numbers_are_accepted(header: Header) {
    let values = header.values.iter().map(|value| value.as_bytes());
    assert_eq!(parse(values), header.limit);
}

fn statement(limit: impl Into<Option<f64>>, sent_ms: u64, received_ms: u64) -> Statement {
    Statement {
        limit: limit.into(),
        sent: Instant::from_millis(sent_ms),
        received: Instant::from_millis(received_ms),
    }
}

/// Two statements in the order in which they arrive, and the limit that holds.
struct Pair {
    statements: [Statement; 2],
    limit: Option<f64>,
}

#[test_case(Pair { statements: [statement(4.0, 0, 10), statement(9.0, 20, 30)], limit: Some(9.0) }; "it rises")]
#[test_case(Pair { statements: [statement(4.0, 0, 10), statement(None, 20, 30)], limit: None }; "it ends")]
#[test_case(Pair { statements: [statement(4.0, 20, 30), statement(None, 0, 10)], limit: Some(4.0) }; "an older answer without a limit")]
#[test_case(Pair { statements: [statement(None, 20, 30), statement(4.0, 0, 10)], limit: None }; "an older answer with a limit")]
#[test_case(Pair { statements: [statement(4.0, 0, 20), statement(None, 10, 30)], limit: Some(4.0) }; "requests that overlap, the second without a limit")]
#[test_case(Pair { statements: [statement(None, 0, 20), statement(4.0, 10, 30)], limit: Some(4.0) }; "requests that overlap, the first without a limit")]
#[test_case(Pair { statements: [statement(4.0, 0, 20), statement(2.0, 10, 30)], limit: Some(2.0) }; "requests that overlap, the second with less")]
#[test_case(Pair { statements: [statement(4.0, 0, 20), statement(9.0, 10, 30)], limit: Some(4.0) }; "requests that overlap, the second with more")]
fn the_later_statement_holds_or_else_the_stricter(pair: Pair) {
    let [first, second] = pair.statements;
    let mut limit = Limit::new(first);
    limit.observe(second);
    assert_eq!(limit.in_force(Instant::from_millis(40)), pair.limit);
}

/// Guards against a limit that no later answer can end, because requests always overlap.
#[test]
fn a_limit_ends_while_requests_overlap() {
    let mut limit = Limit::new(statement(4.0, 0, 100));
    for sent in (10..300).step_by(10) {
        limit.observe(statement(None, sent, sent + 100));
    }
    assert_eq!(limit.in_force(Instant::from_millis(400)), None);
}

#[test]
fn a_statement_does_not_hold_forever() {
    let limit = Limit::new(statement(4.0, 0, 0));
    let end = Instant::ZERO + MAX_AGE;
    assert_eq!(limit.in_force(end - Duration::from_millis(1)), Some(4.0));
    assert_eq!(limit.in_force(end), None);
}

#[test]
fn reports_of_a_limit_that_comes_and_goes_are_bounded() {
    let mut limit = Limit::new(statement(4.0, 1, 2));
    let mut reports = Vec::new();
    for ms in 3..3_000 {
        let named = (ms % 2 == 0).then_some(4.0);
        limit.observe(statement(named, ms, ms));
        reports.extend(limit.report(Instant::from_millis(ms)));
    }
    assert!(reports.len() <= 4, "{} reports", reports.len());
    assert_eq!(reports[0], Change::Named(4.0));
}
