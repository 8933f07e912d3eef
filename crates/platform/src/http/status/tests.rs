use super::*;
use test_case::test_case;

#[test_case(100, false)]
#[test_case(101, false)]
#[test_case(199, false)]
#[test_case(200, true)]
#[test_case(304, true)]
#[test_case(599, true)]
#[test_case(600, false)]
#[test_case(999, false)]
fn a_final_status_is_one_that_http_defines(status: u16, expected: bool) {
    let status = StatusCode::from_u16(status).expect("three digits");
    assert_eq!(is_final(status), expected);
}
