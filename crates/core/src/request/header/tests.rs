use super::*;
use http::HeaderValue;
use test_case::test_case;

struct Case {
    name: &'static str,
    kept: bool,
}

#[test_case(Case { name: "authorization", kept: false }; "key")]
#[test_case(Case { name: "azurenotch-workspace", kept: false }; "forged workspace")]
#[test_case(Case { name: "azurenotch-request", kept: false }; "forged request id")]
#[test_case(Case { name: "azurenotch-replayed", kept: false }; "forged replay")]
#[test_case(Case { name: "transfer-encoding", kept: false }; "hop by hop")]
#[test_case(Case { name: "x-named", kept: false }; "named by connection")]
#[test_case(Case { name: "accept", kept: true }; "ordinary header")]
fn backend_servers_see_only_end_to_end_headers(case: Case) {
    let mut headers = HeaderMap::new();
    headers.insert("connection", HeaderValue::from_static("close, X-Named"));
    headers.append(case.name, HeaderValue::from_static("value"));
    headers.append(case.name, HeaderValue::from_static("second"));
    clean_request(&mut headers);
    assert_eq!(headers.contains_key(case.name), case.kept);
    assert!(!headers.contains_key("connection"));
}
