use super::*;
use crate::process::budget::{Allocation, Supply, Timing, allocation::Entry};
use azurenotch_wire::id::Incarnation;

/// Guards against a takeover in which hosts lose their recorded shares because they report to the
/// new holder only after its first division.
#[test]
fn a_new_holder_grants_what_is_recorded() {
    let share = Capacity {
        rate: 40.0,
        burst: 40.0,
        concurrency: 4.0,
    };
    let workspace = Workspace::from("w");
    let entry = |slot: u64| Entry {
        incarnation: Incarnation(slot),
        region: "r".into(),
        capacity: BTreeMap::from([(workspace.clone(), share)]),
    };
    let recorded = Allocation {
        token: 1,
        number: 1,
        slots: BTreeMap::from([(0, entry(0)), (1, entry(1))]),
    };
    let mut ledger = Ledger::new(2, Timing::default(), Instant::ZERO, recorded);
    let total = Supply::from_grant(share.plus(share));
    ledger.set_supplies(Instant::ZERO, BTreeMap::from([(workspace.clone(), total)]));
    for slot in [0, 1] {
        let usage = Usage {
            demand: 30.0,
            running: 1.0,
            held: share,
            returned: 0.0,
        };
        let report = Report {
            host: "h".into(),
            incarnation: Incarnation(u64::from(slot)),
            slot,
            region: "r".into(),
            token: 2,
            leaving: false,
            sequence: 1,
            usage: Map::from_iter([(workspace.clone(), usage)]),
        };
        let grant = ledger.report(Instant::ZERO, &report).expect("answered");
        assert_eq!(grant.capacity.get(&workspace), Some(&share), "slot {slot}");
        // Slot 1 has not reported yet, so the first division covers only slot 0.
        ledger.tick(Instant::ZERO);
    }
}
