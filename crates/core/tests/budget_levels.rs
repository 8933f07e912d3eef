//! Test of data-centre ledgers whose capacity is granted by a ledger of the fleet.

use azurenotch_core::process::budget::{
    Allocation, Ledger, Reporter, Share, Supply, Timing, Write,
};
use azurenotch_wire::{
    Map,
    budget::Capacity,
    id::{Host, Incarnation, Region, Workspace},
    time::Instant,
};
use std::{collections::BTreeMap, time::Duration};
use test_case::test_case;

/// Rate, burst and concurrency that the fleet ledger divides.
const FLEET_CAPACITY: f64 = 120.0;

struct Node {
    reporter: Reporter,
    share: Share,
    demand: u32,
}

/// Data centre with two hosts and a ledger that reports to the fleet ledger.
struct Centre {
    reporter: Reporter,
    ledger: Ledger,
    nodes: Vec<Node>,
    /// Whether each host reports only every 4 s and uses its old share in between.
    reports_late: bool,
}

fn workspace() -> Workspace {
    Workspace::from("w")
}

fn fleet_timing() -> Timing {
    // A data centre that is cut off keeps its share for `grant_validity`.
    Timing {
        grant_validity: Duration::from_mins(1),
        ..Timing::default()
    }
}

fn reporter(slot: u32, timing: Timing) -> Reporter {
    let region = Region::from("norte");
    Reporter::new(Host::from("h"), Incarnation(1), slot, region, timing)
}

fn renew_and_tick(ledger: &mut Ledger, now: Instant) {
    ledger.lease_renewed(now);
    if ledger.tick(now).is_some() {
        ledger.write_finished(Write::Done);
    }
}

impl Centre {
    fn new(slot: u32, demand: u32) -> Self {
        let now = Instant::ZERO;
        let node = |slot| Node {
            reporter: reporter(slot, Timing::default()),
            share: Share::new(now),
            demand,
        };
        Self {
            reporter: reporter(slot, fleet_timing()),
            ledger: Ledger::new(1, Timing::default(), now, Allocation::default()),
            nodes: (0..2).map(node).collect(),
            reports_late: slot == 0,
        }
    }

    fn run_second(&mut self, now: Instant, fleet: Option<&mut Ledger>) {
        if let Some(fleet) = fleet {
            let report = self.reporter.report(now, 1, false, || self.ledger.usage());
            let grant = fleet.report(now, &report).unwrap();
            let until = self.reporter.accept(now, &grant).unwrap();
            self.ledger.apply_grant(&grant, until);
        }
        renew_and_tick(&mut self.ledger, now);
        for (i, node) in self.nodes.iter_mut().enumerate() {
            let late = self.reports_late && now.as_nanos() / 1_000_000_000 % 4 != i as u64;
            if late {
                continue;
            }
            for _ in 0..node.demand {
                if node.share.admit(now).is_ok() {
                    node.share.finish(now);
                }
            }
            let share = &mut node.share;
            let report = node.reporter.report(now, 1, false, || {
                Map::from_iter(share.usage(now).map(|usage| (workspace(), usage)))
            });
            let grant = self.ledger.report(now, &report).unwrap();
            let until = node.reporter.accept(now, &grant).unwrap();
            node.share.apply_grant(now, &workspace(), &grant, until);
        }
    }

    fn usable(&self, now: Instant) -> f64 {
        let usable = self.nodes.iter().map(|node| node.share.usable(now).rate);
        usable.sum()
    }
}

/// Guards against a data centre that confirms a decrease before its hosts have given up capacity.
#[test_case(100)]
#[test_case(101)]
#[test_case(102)]
#[test_case(103)]
fn a_shrinking_total_is_confirmed_only_after_the_hosts_gave_it_up(cut_off_second: u64) {
    let mut fleet = Ledger::new(1, fleet_timing(), Instant::ZERO, Allocation::default());
    let total = Capacity {
        rate: FLEET_CAPACITY,
        burst: FLEET_CAPACITY,
        concurrency: FLEET_CAPACITY,
    };
    fleet.set_supplies(
        Instant::ZERO,
        BTreeMap::from([(workspace(), Supply::from_grant(total))]),
    );
    let mut centres = [Centre::new(0, 150), Centre::new(1, 0)];
    let mut shares = Vec::new();
    for second in 1..=240_u64 {
        let now = Instant::from_millis(second * 1_000);
        if second == 40 {
            for (centre, demand) in centres.iter_mut().zip([0, 150]) {
                centre
                    .nodes
                    .iter_mut()
                    .for_each(|node| node.demand = demand);
            }
        }
        for (i, centre) in centres.iter_mut().enumerate() {
            // The cases cut off the first data centre at different phases of its hosts' reports.
            let connected = i == 1 || second < cut_off_second;
            centre.run_second(now, connected.then_some(&mut fleet));
        }
        renew_and_tick(&mut fleet, now);
        let usable = [centres[0].usable(now), centres[1].usable(now)];
        let sum: f64 = usable.iter().sum();
        assert!(sum <= FLEET_CAPACITY + 1e-6, "{usable:?} after {second} s");
        shares.push(usable);
    }
    assert!(
        shares[38][0] > 2.0 * shares[38][1],
        "before: {:?}",
        shares[38]
    );
    assert!(
        shares[98][1] > 2.0 * shares[98][0],
        "after: {:?}",
        shares[98]
    );
    assert!(
        shares[140][0] > 0.0,
        "a data centre that is cut off keeps its share"
    );
    assert!(
        shares[170][0] <= 0.0 && shares[239][1] > 0.95 * FLEET_CAPACITY,
        "{:?}",
        shares[239]
    );
}
