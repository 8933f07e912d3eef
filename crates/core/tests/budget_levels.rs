//! A ledger whose total is a share that another ledger grants.

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

const RATE: f64 = 120.0;

struct Node {
    reporter: Reporter,
    share: Share,
    demand: u32,
}

/// A data centre: one ledger that reports upwards, and two hosts.
struct Centre {
    reporter: Reporter,
    ledger: Ledger,
    nodes: Vec<Node>,
    /// Whether hosts report only every 4 s, so that they use their old shares for a while.
    late: bool,
}

fn workspace() -> Workspace {
    Workspace::from("w")
}

fn upper() -> Timing {
    // A data centre that is cut off keeps its share for `hold`.
    Timing {
        grant_validity: Duration::from_mins(1),
        ..Timing::default()
    }
}

fn reporter(slot: u32, timing: Timing) -> Reporter {
    let region = Region::from("norte");
    Reporter::new(Host::from("h"), Incarnation(1), slot, region, timing)
}

fn record(ledger: &mut Ledger, now: Instant) {
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
            reporter: reporter(slot, upper()),
            ledger: Ledger::new(1, Timing::default(), now, Allocation::default()),
            nodes: (0..2).map(node).collect(),
            late: slot == 0,
        }
    }

    fn round(&mut self, now: Instant, fleet: Option<&mut Ledger>) {
        if let Some(fleet) = fleet {
            let report = self.reporter.report(now, 1, false, || self.ledger.usage());
            let grant = fleet.report(now, &report).unwrap();
            let until = self.reporter.accept(now, &grant).unwrap();
            self.ledger.apply_grant(&grant, until);
        }
        record(&mut self.ledger, now);
        for (i, node) in self.nodes.iter_mut().enumerate() {
            let late = self.late && now.as_nanos() / 1_000_000_000 % 4 != i as u64;
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

/// Guards against a data centre that confirms a smaller total before its hosts have given it up.
#[test_case(100)]
#[test_case(101)]
#[test_case(102)]
#[test_case(103)]
fn a_shrinking_total_is_confirmed_only_after_the_hosts_gave_it_up(cut: u64) {
    let mut fleet = Ledger::new(1, upper(), Instant::ZERO, Allocation::default());
    let total = Capacity {
        rate: RATE,
        burst: RATE,
        concurrency: RATE,
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
            // The first data centre is cut off, in different phases of its hosts' reports.
            let connected = i == 1 || second < cut;
            centre.round(now, connected.then_some(&mut fleet));
        }
        record(&mut fleet, now);
        let usable = [centres[0].usable(now), centres[1].usable(now)];
        let sum: f64 = usable.iter().sum();
        assert!(sum <= RATE + 1e-6, "{usable:?} after {second} s");
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
    assert!(shares[140][0] > 0.0, "a cut data centre keeps its share");
    assert!(
        shares[170][0] <= 0.0 && shares[239][1] > 0.95 * RATE,
        "{:?}",
        shares[239]
    );
}
