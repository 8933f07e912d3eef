use super::*;
use test_case::test_case;

const DEFAULT: Duration = Duration::from_secs(5);

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            let name = HeaderName::from_static(name);
            (name, HeaderValue::from_static(value))
        })
        .collect()
}

#[test_case(&[] => Some(DEFAULT); "nothing named")]
#[test_case(&[("keep-alive", "timeout=10, max=5")] => Some(Duration::from_secs(7)); "named")]
#[test_case(&[("connection", "Close")] => None; "closed")]
#[test_case(&[("connection", "keep-alive"), ("keep-alive", "timeout=soon")] => Some(DEFAULT); "unreadable")]
fn a_connection_is_kept_for_less_than_its_server_says(
    pairs: &[(&'static str, &'static str)],
) -> Option<Duration> {
    keep_alive(&headers(pairs), DEFAULT)
}

#[test]
fn connection_headers_are_not_forwarded() {
    let mut headers = headers(&[
        ("connection", "x-own, close"),
        ("x-own", "1"),
        ("te", "trailers"),
        ("x-other", "1"),
    ]);
    remove_connection_headers(&mut headers);
    assert_eq!(headers.len(), 1);
    assert!(headers.contains_key("x-other"));
}
