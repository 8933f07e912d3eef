//! Error codes of writes that did not take effect.

use super::{Error, TableError};
use test_case::test_case;

/// A failed write and the code that the operator gets.
struct Case {
    source: TableError,
    code: &'static str,
}

#[test_case(Case {
    source: TableError::Fenced { key: "lease".to_owned(), token: 7 },
    code: "conflict",
}; "the role has passed to another host")]
#[test_case(Case {
    source: TableError::Unavailable { key: "head".to_owned() },
    code: "store-down",
}; "the table did not answer")]
fn a_failed_write_has_the_code_of_its_cause(case: Case) {
    assert_eq!(Error::of_write(case.source).code(), case.code);
}
