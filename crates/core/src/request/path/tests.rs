use super::*;
use test_case::test_case;

#[test_case("/open/item" => false; "plain")]
#[test_case("/open/v1.2/..item" => false; "dots inside a segment")]
#[test_case("/open/../keyed" => true; "dot segment")]
#[test_case("/open/%2E%2e/keyed" => true; "encoded dots")]
#[test_case("/open/x%2f..%2F..%2fkeyed" => true; "encoded slashes")]
#[test_case("/open/..%5ckeyed" => true; "encoded backslash")]
#[test_case("/open/..;a=b/keyed" => true; "path parameter after dots")]
fn a_path_cannot_leave_its_route_by_normalisation(path: &str) -> bool {
    is_ambiguous(path)
}
