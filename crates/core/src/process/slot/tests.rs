use super::*;

fn slot(host: &str) -> Slot {
    Slot::new(host.into(), Incarnation(1), Operation(7), 2)
}

fn claim(host: &str) -> Claim {
    Claim {
        host: host.into(),
        incarnation: Incarnation(1),
        operation: Operation(9),
    }
}

fn write(slot: &mut Slot, now: Instant, version: u64) -> Number {
    let Action::Read(number) = slot.poll(now) else {
        panic!("a claim starts with a read")
    };
    slot.on_answer(now, Answer::Row(None));
    let Action::Write { expect: None, .. } = slot.poll(now) else {
        panic!("a free slot is claimed")
    };
    slot.on_answer(now, Answer::Written(version));
    number
}

#[test]
fn validity_counts_from_the_moment_the_renewal_was_sent() {
    let mut slot = slot("n1");
    let number = write(&mut slot, Instant::from_millis(1_000), 3);
    assert_eq!(slot.held(Instant::from_millis(4_500_999)), Some(number));
    assert_eq!(slot.held(Instant::from_millis(4_501_000)), None);
}

#[test]
fn a_taken_slot_is_passed_over_and_a_full_table_is_not_polled_in_a_loop() {
    let mut slot = slot("n1");
    let now = Instant::ZERO;
    let Action::Read(first) = slot.poll(now) else {
        panic!("a claim starts with a read")
    };
    slot.on_answer(now, Answer::Row(Some((1, claim("n2")))));
    assert_eq!(slot.poll(now), Action::Read(1 - first));
    slot.on_answer(now, Answer::Row(Some((1, claim("n3")))));
    assert!(matches!(slot.poll(now), Action::Wait(until) if until > now));
}

#[test]
fn a_lost_answer_is_recognised_and_does_not_claim_a_second_slot() {
    let mut slot = slot("n1");
    let Action::Read(number) = slot.poll(Instant::ZERO) else {
        panic!("read first")
    };
    slot.on_answer(Instant::ZERO, Answer::Row(None));
    slot.poll(Instant::ZERO);
    slot.on_answer(Instant::ZERO, Answer::Unavailable);
    assert_eq!(
        slot.held(Instant::ZERO),
        None,
        "the write may not have taken effect"
    );
    let later = Instant::from_millis(1_000);
    assert_eq!(slot.poll(later), Action::Read(number));
    let own = slot.claim.clone();
    slot.on_answer(later, Answer::Row(Some((5, own))));
    assert!(matches!(
        slot.poll(later),
        Action::Write {
            expect: Some(5),
            ..
        }
    ));
    slot.on_answer(later, Answer::Written(6));
    assert_eq!(slot.held(later), Some(number));
}

#[test]
fn a_slot_that_another_host_claimed_is_lost_at_once() {
    let mut slot = slot("n1");
    let now = Instant::ZERO;
    write(&mut slot, now, 3);
    let later = now + RENEW_INTERVAL;
    assert!(matches!(
        slot.poll(later),
        Action::Write {
            expect: Some(3),
            ..
        }
    ));
    slot.on_answer(later, Answer::Row(Some((9, claim("n2")))));
    assert_eq!(slot.held(later), None);
}

#[test]
fn a_claim_is_reaped_only_after_its_validity_and_a_margin() {
    let mut reaper = Reaper::default();
    let start = Instant::from_millis(500);
    assert!(!reaper.observe(start, 0, Some(1)));
    let renewed = start + CLAIM_VALIDITY;
    assert!(
        !reaper.observe(renewed, 0, Some(2)),
        "a renewal restarts the time"
    );
    assert!(!reaper.observe(renewed + CLAIM_VALIDITY, 0, Some(2)));
    assert!(reaper.observe(renewed + CLAIM_VALIDITY + REAP_MARGIN, 0, Some(2)));
}
