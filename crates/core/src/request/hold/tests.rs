use super::{Account, grown};
use test_case::test_case;

/// Bodies that come together, and how many of them are read.
struct Case {
    limit: u64,
    bodies: &'static [u64],
    read: usize,
}

#[test_case(Case { limit: 100, bodies: &[40, 40, 40], read: 2 }; "the third does not fit")]
#[test_case(Case { limit: 100, bodies: &[100, 1], read: 1 }; "one fills the memory")]
#[test_case(Case { limit: 100, bodies: &[101, 60, 40], read: 2 }; "a refused one takes nothing")]
#[test_case(Case { limit: 0, bodies: &[0, 1], read: 1 }; "an empty one always fits")]
fn bodies_that_were_begun_stay_within_the_memory(case: Case) {
    let mut account = Account::new(case.limit);
    let read: Vec<u64> = case
        .bodies
        .iter()
        .copied()
        .filter(|bytes| account.take(*bytes).is_ok())
        .collect();
    assert_eq!(read.len(), case.read);
    assert!(account.held() <= case.limit);
    for bytes in read {
        account.give_back(bytes);
    }
    assert_eq!(account.held(), 0);
}

#[test]
fn a_smaller_limit_lets_what_is_held_end() {
    let mut account = Account::new(100);
    account.take(80).expect("fits");
    account.set_limit(50);
    assert!(account.take(1).is_err());
    account.give_back(80);
    assert!(account.take(50).is_ok());
}

#[test_case(0, 10, 1_000, 10; "first part")]
#[test_case(100, 101, 1_000, 200; "doubled")]
#[test_case(600, 601, 1_000, 1_000; "up to the longest body")]
fn a_body_of_unknown_length_doubles(has: u64, needs: u64, most: u64, wanted: u64) {
    assert_eq!(grown(has, needs, most), wanted);
}
