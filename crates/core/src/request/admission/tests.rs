use super::*;
use test_case::test_case;

const OFFER: Offer = Offer {
    expected: Duration::from_millis(300),
    wait: Duration::ZERO,
    left: Duration::from_secs(2),
    objective: Duration::from_millis(500),
    rank: 2,
};

#[test_case(OFFER => true; "an idle server")]
#[test_case(Offer { wait: Duration::from_millis(300), ..OFFER } => true; "a short queue")]
#[test_case(Offer { wait: Duration::from_millis(450), ..OFFER } => false; "a queue near the objective")]
#[test_case(Offer { wait: Duration::from_millis(450), rank: 0, ..OFFER } => true; "a better rank")]
#[test_case(Offer { left: Duration::from_millis(290), ..OFFER } => false; "too little time left")]
fn requests_that_cannot_be_served_well_are_refused(offer: Offer) -> bool {
    decide(&offer, 0.5) == Decision::Send
}

#[test]
fn refused_callers_do_not_return_together() {
    let offer = Offer {
        wait: Duration::from_millis(900),
        ..OFFER
    };
    let (first, last) = (decide(&offer, 0.0), decide(&offer, 1.0));
    let (Decision::Refuse(first), Decision::Refuse(last)) = (first, last) else {
        panic!("both are refused");
    };
    assert!(first >= Duration::from_millis(400), "{first:?}");
    assert_eq!(last, first + SPREAD);
}
