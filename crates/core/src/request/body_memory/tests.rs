use super::{Account, next_capacity};
use test_case::test_case;

/// Bodies that arrive together, and how many of them get memory.
struct Case {
    limit: u64,
    bodies: &'static [u64],
    read: usize,
}

#[test_case(Case { limit: 100, bodies: &[40, 40, 40], read: 2 }; "the third does not fit")]
#[test_case(Case { limit: 100, bodies: &[100, 1], read: 1 }; "one fills the memory")]
#[test_case(Case { limit: 100, bodies: &[101, 60, 40], read: 2 }; "a refused one takes nothing")]
#[test_case(Case { limit: 0, bodies: &[0, 1], read: 1 }; "an empty one always fits")]
fn reservations_stay_within_the_limit(case: Case) {
    let mut account = Account::new(case.limit);
    let read: Vec<u64> = case
        .bodies
        .iter()
        .copied()
        .filter(|bytes| account.reserve(*bytes).is_ok())
        .collect();
    assert_eq!(read.len(), case.read);
    assert!(account.reserved() <= case.limit);
    for bytes in read {
        account.release(bytes);
    }
    assert_eq!(account.reserved(), 0);
}

#[test]
fn a_lower_limit_keeps_existing_reservations() {
    let mut account = Account::new(100);
    account.reserve(80).expect("fits");
    account.set_limit(50);
    assert!(account.reserve(1).is_err());
    account.release(80);
    assert!(account.reserve(50).is_ok());
}

#[test_case(0, 10, 1_000, 10; "first part")]
#[test_case(100, 101, 1_000, 200; "doubled")]
#[test_case(600, 601, 1_000, 1_000; "up to the longest body")]
fn the_capacity_of_a_body_of_unknown_length_doubles(
    current: u64,
    required: u64,
    limit: u64,
    expected: u64,
) {
    assert_eq!(next_capacity(current, required, limit), expected);
}
