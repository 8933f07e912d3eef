use super::*;
use crate::request::clock::Monotonic;
use azurenotch_config::document::Document;

/// Guards against two hosts that use the floors of one slot.
#[test]
fn floors_end_with_the_slot() {
    let text = include_str!("../../../tests/fleet/document.ini");
    let document = Document::parse(text).expect("the document is valid");
    let snapshot = Snapshot {
        document,
        ..Snapshot::default()
    };
    let fleet = Fleet::new(Arc::new(Monotonic::new()));
    let now = Instant::from_millis(1);
    fleet.adopt(now, &snapshot);
    let seat = Seat {
        slot: 0,
        region: "r".into(),
        until: Instant::from_millis(60_000),
    };
    fleet.set_seat(now, Some(seat), &snapshot);
    let rate = |fleet: &Fleet| fleet.usable(now).iter().map(|(_, it)| it.rate).sum::<f64>();
    assert!(rate(&fleet) > 0.0, "the slot has floors");
    fleet.set_seat(now, None, &snapshot);
    assert!(rate(&fleet) <= 0.0, "the floors went with the slot");
}
