use super::*;
use crate::request::clock::Monotonic;
use azurenotch_config::document::Document;

/// Guards against two hosts that use the floors of one slot, because one of them lost the slot but
/// keeps its floors.
#[test]
fn floors_end_with_the_slot() {
    let text = include_str!("../../../tests/fleet/document.ini");
    let document = Document::parse(text).expect("the document is valid");
    let snapshot = Snapshot {
        document,
        ..Snapshot::default()
    };
    let shares = Shares::new(Arc::new(Monotonic::new()));
    let now = Instant::from_millis(1);
    shares.adopt(now, &snapshot);
    let held_slot = HeldSlot {
        slot: 0,
        region: "r".into(),
        until: Instant::from_millis(60_000),
    };
    shares.set_held_slot(now, Some(held_slot), &snapshot);
    let rate = |all: &Shares| all.usable(now).iter().map(|(_, it)| it.rate).sum::<f64>();
    assert!(rate(&shares) > 0.0, "the slot has floors");
    shares.set_held_slot(now, None, &snapshot);
    assert!(rate(&shares) <= 0.0, "the floors went with the slot");
}
