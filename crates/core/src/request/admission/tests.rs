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

/// A request at a host that stops within [`GRACE`].
struct Stop {
    /// Time of the route.
    time_ms: u64,
    /// Time since the stop was announced.
    since_ms: u64,
    taken: bool,
}

/// Time from the announcement of a stop until requests are cut.
const GRACE: Duration = Duration::from_millis(5_850);

#[test_case(Stop { time_ms: 2_500, since_ms: 0, taken: true }; "at the announcement")]
#[test_case(Stop { time_ms: 2_500, since_ms: 3_300, taken: true }; "its whole time fits")]
#[test_case(Stop { time_ms: 2_500, since_ms: 3_400, taken: false }; "it might be cut")]
#[test_case(Stop { time_ms: 400, since_ms: 5_400, taken: true }; "a short one")]
#[test_case(Stop { time_ms: 400, since_ms: 5_500, taken: false }; "a short one, too late")]
#[test_case(Stop { time_ms: 60_000, since_ms: 1_000, taken: true }; "longer than the whole stop")]
#[test_case(Stop { time_ms: 60_000, since_ms: 3_500, taken: false }; "longer than the whole stop, late")]
fn a_stopping_host_takes_what_it_can_end(stop: Stop) {
    let left = GRACE.saturating_sub(Duration::from_millis(stop.since_ms));
    let time = Duration::from_millis(stop.time_ms);
    assert_eq!(ends_before_stop(time, left, GRACE), stop.taken);
}
