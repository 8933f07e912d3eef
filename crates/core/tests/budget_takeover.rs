//! Replay of a crash of the budget holder while all hosts serve within rate.

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

/// Hosts, of which the first one holds the role and crashes.
const HOSTS: u32 = 6;
/// Requests a second of each host; all together use 60 % of the rate.
const DEMAND: u64 = 100;
/// Rate of the contract, in requests a second.
const RATE: f64 = 1000.0;
/// Concurrent requests of the contract, more than ever run.
const CONCURRENCY: u32 = 1_000;
/// Length of one step.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two reports of a host.
const REPORT: u64 = 100;
/// When the holder crashes, in steps.
const CRASH: u64 = 1_500;
/// End of the replay, in steps.
const END: u64 = 5_000;

fn supplies() -> BTreeMap<Workspace, Supply> {
    let supply = Supply::from_contract(
        &workspace(),
        &contract(RATE, RATE / 2.0, CONCURRENCY),
        HOSTS,
    );
    BTreeMap::from([(workspace(), supply)])
}

struct Seat {
    reporter: Reporter,
    share: Share,
}

impl Seat {
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

/// Shares outlast the longest takeover, so that no request within rate is refused.
#[test_case(Duration::from_secs(6); "as soon as the lease may be taken")]
#[test_case(lease::LONGEST_TAKEOVER; "as late as a candidate may notice")]
fn a_crash_of_the_holder_refuses_nothing_within_rate(takeover: Duration) {
    let timing = Timing::default();
    let mut seats: Vec<Seat> = (0..HOSTS).map(|slot| Seat::new(slot, timing)).collect();
    let mut ledger = Some(Ledger::new(1, timing, Instant::ZERO, Allocation::default()));
    if let Some(ledger) = &mut ledger {
        ledger.set_supplies(Instant::ZERO, supplies());
    }
    let mut recorded = Allocation::default();
    let takeover = CRASH + (takeover.as_millis() / STEP.as_millis()) as u64;
    let (mut asked, mut refused) = (0_u64, 0_u64);
    for step in 0..END {
        let now = Instant::from_millis(step * STEP.as_millis() as u64);
        if step == CRASH {
            ledger = None;
        }
        if step == takeover {
            let mut next = Ledger::new(2, timing, now, recorded.clone());
            next.set_supplies(now, supplies());
            ledger = Some(next);
        }
        let alive = usize::from(step >= CRASH);
        if let Some(ledger) = &mut ledger {
            ledger.lease_renewed(now);
            for (slot, seat) in seats.iter_mut().enumerate().skip(alive) {
                if step % REPORT == slot as u64 * 7 {
                    seat.report(now, ledger);
                }
            }
            if step % REPORT == REPORT - 1
                && let Some(allocation) = ledger.tick(now)
            {
                recorded = allocation;
                ledger.write_finished(Write::Done);
            }
        }
        // One request a step and host; callers of the crashed host move to the others.
        let moved = u64::from(step >= CRASH && step % u64::from(HOSTS - 1) == 0);
        for seat in seats.iter_mut().skip(alive) {
            for _ in 0..DEMAND * STEP.as_millis() as u64 / 1000 + moved {
                let admitted = seat.share.admit(now);
                seat.share.finish(now);
                if step >= CRASH - 300 {
                    asked += 1;
                    refused += u64::from(admitted.is_err());
                }
            }
        }
    }
    assert!(asked > 10_000, "the replay sends requests");
    assert_eq!(refused, 0, "of {asked} requests within rate");
}
