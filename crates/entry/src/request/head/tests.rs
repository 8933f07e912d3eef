use super::*;
use test_case::test_case;

const USUAL: Duration = Duration::from_secs(5);

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            let name = HeaderName::from_static(name);
            (name, HeaderValue::from_static(value))
        })
        .collect()
}

#[test_case(&[] => Some(USUAL); "nothing named")]
#[test_case(&[("keep-alive", "timeout=10, max=5")] => Some(Duration::from_secs(7)); "named")]
#[test_case(&[("connection", "Close")] => None; "closed")]
#[test_case(&[("connection", "keep-alive"), ("keep-alive", "timeout=soon")] => Some(USUAL); "unreadable")]
fn a_connection_is_kept_for_less_than_its_server_says(
    pairs: &[(&'static str, &'static str)],
) -> Option<Duration> {
    keep(&headers(pairs), USUAL)
}

#[test]
fn headers_of_one_connection_are_not_passed_on() {
    let mut headers = headers(&[
        ("connection", "x-own, close"),
        ("x-own", "1"),
        ("te", "trailers"),
        ("x-other", "1"),
    ]);
    strip(&mut headers);
    assert_eq!(headers.len(), 1);
    assert!(headers.contains_key("x-other"));
}
