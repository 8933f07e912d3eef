use super::*;
use test_case::test_case;

const fn claim(demand: f64, weight: f64) -> Claim {
    Claim { demand, weight }
}

/// Guards against shares that leave capacity unused or take it from a workspace that asks for less.
#[test_case(10.0, &[claim(2.0, 1.0), claim(9.0, 1.0), claim(9.0, 1.0)] => vec![2.0, 4.0, 4.0]; "unused shares are lent")]
#[test_case(10.0, &[claim(9.0, 1.0), claim(9.0, 4.0)] => vec![2.0, 8.0]; "shares follow the weights")]
#[test_case(10.0, &[claim(1.0, 1.0), claim(2.0, 1.0)] => vec![1.0, 2.0]; "there is enough")]
#[test_case(0.0, &[claim(1.0, 1.0)] => vec![0.0]; "there is nothing")]
#[test_case(1.0, &[] => Vec::<f64>::new(); "nobody asks")]
fn shares_are_max_min_fair(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    divide(capacity, claims)
}

const LARGE: Demand = Demand {
    workspace: 1,
    own: 90.0,
    total: 900.0,
    rate: 0.0,
};
const SMALL: Demand = Demand {
    workspace: 2,
    own: 10.0,
    total: 100.0,
    rate: 0.0,
};

/// Returns shares after 100 requests in a second, of which `refused` were refused.
fn shares(refused: u32) -> (Instant, Shares) {
    let mut shares = Shares::default();
    let mut now = Instant::ZERO;
    for number in 0..100 {
        now = now + Duration::from_millis(10);
        let workspace = if number % 10 == 0 { 2 } else { 1 };
        shares.record(now, Some(workspace), Caller::First, number >= refused);
        if number >= refused {
            shares.on_answer(now);
        }
    }
    (now, shares)
}

/// Guards against shares in a service that refuses nothing.
#[test]
fn a_service_that_refuses_nothing_has_no_shares() {
    let (now, mut shares) = shares(0);
    shares.update(now, &[LARGE, SMALL]);
    assert!(!shares.is_due(now));
    assert!(shares.part(now, Some(1)) >= 1.0);
}

/// Guards against small workspaces that are refused because of a large one.
#[test_case(0.0, 0.0; "no contracts")]
#[test_case(1_000.0, 1_000.0; "equal contracts")]
#[test_case(1_000.0, 0.0; "one contract")]
fn only_the_large_workspace_is_beyond_its_share(large: f64, small: f64) {
    let (now, mut shares) = shares(50);
    assert!(shares.is_due(now));
    let large = Demand {
        rate: large,
        ..LARGE
    };
    let small = Demand {
        rate: small,
        ..SMALL
    };
    shares.update(now, &[large, small]);
    assert!(shares.part(now, Some(2)) >= 1.0);
    assert!(shares.part(now, None) >= 1.0);
    assert!(shares.part(now, Some(1)) < 0.7);
    let standing = |random| shares.standing(now, Some(1), Caller::First, random);
    assert_eq!(standing(0.9), Standing::Beyond);
    assert_eq!(standing(0.1), Standing::Within);
    let later = now + Duration::from_secs(20);
    assert!(shares.part(later, Some(1)) >= 1.0);
}

/// Guards against first-time callers that get less than half of a share, and against returning ones
/// that are refused while it has room for them.
#[test_case(10, Caller::Returning => true; "few callers return")]
#[test_case(90, Caller::Returning => false; "most callers return")]
#[test_case(90, Caller::First => true; "the first-time callers among many that return")]
fn returning_callers_get_half_of_a_share(returning: u32, caller: Caller) -> bool {
    let (now, mut shares) = shares(50);
    shares.update(now, &[LARGE, SMALL]);
    for number in 0..1_000 {
        let kind = if number % 100 < returning {
            Caller::Returning
        } else {
            Caller::First
        };
        shares.record(now, Some(1), kind, false);
    }
    shares.standing(now, Some(1), caller, 0.5) == Standing::Within
}
