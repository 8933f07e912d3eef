//! Simulates a crash of the budget holder while the demand is within the contract's rate.

mod support;

use azurenotch_core::process::{
    budget::{Allocation, Floor, Ledger, Reporter, Share, Supply, Timing, Write},
    lease,
};
use azurenotch_wire::{
    Map,
    id::{Host, Incarnation, Region, Workspace},
    time::Instant,
};
use std::{collections::BTreeMap, time::Duration};
use support::{contract, workspace};
use test_case::test_case;

/// Number of hosts; the first one holds the role and crashes.
const HOSTS: u32 = 6;
/// Requests at each host; all hosts together use 60 % of the rate.
const DEMAND_PER_SECOND: u64 = 100;
/// Rate of the contract, in requests per second.
const RATE: f64 = 1000.0;
/// Concurrency of the contract, more than the test ever uses.
const CONCURRENCY: u32 = 1_000;
/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(10);
/// One second, the interval between two reports of a host.
const REPORT_INTERVAL_STEPS: u64 = 100;
const CRASH_STEP: u64 = 1_500;
const END_STEP: u64 = 5_000;

fn supplies() -> BTreeMap<Workspace, Supply> {
    let supply = Supply::from_contract(
        &workspace(),
        &contract(RATE, RATE / 2.0, CONCURRENCY),
        HOSTS,
    );
    BTreeMap::from([(workspace(), supply)])
}

struct Node {
    reporter: Reporter,
    share: Share,
}

impl Node {
    fn new(slot: u32, timing: Timing) -> Self {
        let name = Host::from(format!("h{slot}").as_str());
        let incarnation = Incarnation(u64::from(slot) + 1);
        let region = Region::from("norte");
        let mut share = Share::new(Instant::ZERO);
        let floor = Floor::new(
            &workspace(),
            &contract(RATE, RATE / 2.0, CONCURRENCY),
            HOSTS,
        )
        .largest(slot);
        share.set_floor(Instant::ZERO, floor, Instant::from_millis(3_600_000));
        Self {
            reporter: Reporter::new(name, incarnation, slot, region, timing),
            share,
        }
    }

    fn report(&mut self, now: Instant, ledger: &mut Ledger) {
        let token = ledger.token();
        let share = &mut self.share;
        let usage = || Map::from_iter(share.usage(now).map(|usage| (workspace(), usage)));
        let report = self.reporter.report(now, token, false, usage);
        let Ok(grant) = ledger.report(now, &report) else {
            return;
        };
        if let Some(until) = self.reporter.accept(now, &grant) {
            self.share.apply_grant(now, &workspace(), &grant, until);
        }
    }
}

/// Guards against shares that lapse during a takeover, so that hosts refuse requests within rate.
#[test_case(Duration::from_secs(6); "as soon as the lease may be taken")]
#[test_case(lease::MAX_TAKEOVER_TIME; "after the longest takeover")]
fn a_crash_of_the_holder_refuses_nothing_within_rate(takeover: Duration) {
    let timing = Timing::default();
    let mut nodes: Vec<Node> = (0..HOSTS).map(|slot| Node::new(slot, timing)).collect();
    let mut ledger = Some(Ledger::new(1, timing, Instant::ZERO, Allocation::default()));
    if let Some(ledger) = &mut ledger {
        ledger.set_supplies(Instant::ZERO, supplies());
    }
    let mut recorded = Allocation::default();
    let takeover = CRASH_STEP + (takeover.as_millis() / STEP.as_millis()) as u64;
    let (mut attempts, mut refused) = (0_u64, 0_u64);
    for step in 0..END_STEP {
        let now = Instant::from_millis(step * STEP.as_millis() as u64);
        if step == CRASH_STEP {
            ledger = None;
        }
        if step == takeover {
            let mut next = Ledger::new(2, timing, now, recorded.clone());
            next.set_supplies(now, supplies());
            ledger = Some(next);
        }
        let first_alive = usize::from(step >= CRASH_STEP);
        if let Some(ledger) = &mut ledger {
            ledger.lease_renewed(now);
            for (slot, node) in nodes.iter_mut().enumerate().skip(first_alive) {
                if step % REPORT_INTERVAL_STEPS == slot as u64 * 7 {
                    node.report(now, ledger);
                }
            }
            if step % REPORT_INTERVAL_STEPS == REPORT_INTERVAL_STEPS - 1
                && let Some(allocation) = ledger.tick(now)
            {
                recorded = allocation;
                ledger.write_finished(Write::Done);
            }
        }
        // Each host receives one request per step; callers of the crashed host move to the others.
        let moved = u64::from(step >= CRASH_STEP && step % u64::from(HOSTS - 1) == 0);
        for node in nodes.iter_mut().skip(first_alive) {
            for _ in 0..DEMAND_PER_SECOND * STEP.as_millis() as u64 / 1000 + moved {
                let admitted = node.share.admit(now);
                node.share.finish(now);
                if step >= CRASH_STEP - 300 {
                    attempts += 1;
                    refused += u64::from(admitted.is_err());
                }
            }
        }
    }
    assert!(attempts > 10_000, "the simulation sends requests");
    assert_eq!(refused, 0, "of {attempts} requests within rate");
}
