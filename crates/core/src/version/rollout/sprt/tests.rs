use super::*;
use test_case::test_case;

/// Guards against a false alarm that the search error causes after many requests to the running
/// version.
#[test_case(0, 12_976; "no request")]
#[test_case(624, 31_076; "some requests")]
#[test_case(1, 10_000_000; "very many old requests")]
fn a_version_without_failures_or_slow_answers_is_never_bad(new: u64, old: u64) {
    let count = |requests| Count {
        requests,
        ..Count::default()
    };
    let pair = Pair {
        old: count(old),
        new: count(new),
    };
    for measure in [Measure::Failures, Measure::Latency] {
        assert_ne!(
            Test::new(measure, 1).evaluate(&pair),
            Verdict::Bad,
            "{measure:?}"
        );
    }
}
