//! Guards against counts that are left out, and against ends where the settings ask for none.

use super::with_ends;
use test_case::test_case;

/// Numbers of bodies and ends, and for each datagram whether it has a body of its own and an end.
struct Case {
    bodies: usize,
    ends: Option<usize>,
    expected: &'static [(bool, bool)],
}

#[test_case(Case { bodies: 2, ends: None, expected: &[(true, false), (true, false)] }; "no usage")]
#[test_case(Case { bodies: 1, ends: Some(1), expected: &[(true, true)] }; "one of each")]
#[test_case(Case { bodies: 2, ends: Some(1), expected: &[(true, true), (true, false)] }; "many changes")]
#[test_case(Case { bodies: 1, ends: Some(2), expected: &[(true, true), (false, true)] }; "many counts")]
fn each_body_and_each_end_is_sent_once(case: Case) {
    let body = [1_u8];
    let bodies = vec![&body[..]; case.bodies];
    let ends = case.ends.map(|ends| vec![vec![2_u8]; ends]);
    let pairs = with_ends(&bodies, &[0], ends);
    let found: Vec<_> = pairs
        .iter()
        .map(|(body, end)| (**body == [1], !end.is_empty()))
        .collect();
    assert_eq!(found, case.expected);
}
