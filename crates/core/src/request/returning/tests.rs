use super::*;
use test_case::test_case;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against returning callers that are not recognised, and first-time ones taken for them.
#[test_case(&[3_000], 2_900 => Caller::First; "a little network delay")]
#[test_case(&[3_000], 2_000 => Caller::Returning; "a refused caller")]
#[test_case(&[3_000], 8_000 => Caller::First; "more time than usual")]
#[test_case(&[3_000, 3_000, 1_900, 2_100], 1_900 => Caller::Returning; "half of the callers return")]
#[test_case(&[1_000, 3_000], 2_900 => Caller::First; "two kinds of callers")]
fn a_returning_caller_names_less_time(usual_ms: &[u64], named_ms: u64) -> Caller {
    let mut times = Times::default();
    for named in usual_ms.iter().cycle().take(200) {
        times.observe(ms(*named));
    }
    times.observe(ms(named_ms))
}

/// Guards against a single long time that makes all later callers look like returning ones.
#[test]
fn one_long_time_changes_nothing() {
    let mut times = Times::default();
    for _ in 0..100 {
        times.observe(ms(3_000));
    }
    times.observe(Duration::from_hours(1));
    assert_eq!(times.observe(ms(3_000)), Caller::First);
}

#[test]
fn nothing_is_concluded_from_few_requests_or_without_a_time() {
    let mut callers = Callers::default();
    callers.observe(1, Some(ms(3_000)));
    assert_eq!(callers.observe(1, Some(ms(100))), Caller::First);
    assert_eq!(callers.observe(1, None), Caller::First);
}

/// Guards against returning callers that fill a service while first-time ones are refused.
#[test]
fn first_time_callers_keep_half() {
    let mut callers = Callers::default();
    let now = Instant::ZERO;
    for _ in 0..10 {
        callers.record(now, Caller::Returning, true);
    }
    let returning = |callers: &Callers| callers.allowance(now, Caller::Returning);
    assert_eq!(returning(&callers), Allowance::Longer);
    for _ in 0..5 {
        callers.record(now, Caller::First, false);
    }
    assert_eq!(returning(&callers), Allowance::Shorter);
    for _ in 0..10 {
        callers.record(now, Caller::First, true);
    }
    assert_eq!(returning(&callers), Allowance::Longer);
    assert_eq!(callers.allowance(now, Caller::First), Allowance::Usual);
}
