//! Budgets: the holder's rounds and reports, and every host's shares.

use super::{
    measure::{Sample, Series, cpu, live, since, time},
    report::{Report, number},
    synthetic::{Size, contract, host, region, snapshot, workspace},
};
use azurenotch_core::process::budget::{Allocation, Ledger, Supply, Timing, Write};
use azurenotch_daemon::{
    process::admission::{HeldSlot, Shares},
    request::{admission::Admission, clock::Clock},
};
use azurenotch_wire::{
    Map,
    budget::{self, Grant, Usage},
    id::Incarnation,
    time::Instant,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use snafu::{OptionExt, ResultExt, Whatever, ensure_whatever};
use std::{hint::black_box, sync::Arc, time::Duration};

/// Rounds before the measurement, until all shares are recorded and granted.
const WARM_UP_ROUNDS: usize = 4;
/// Measured rounds.
const ROUNDS: usize = 7;

/// Measures budgets.
///
/// # Errors
///
/// Returns an error if a ledger refuses a report or a message cannot be encoded.
pub fn run(report: &mut Report) -> Result<(), Whatever> {
    report.heading("Budget: holder's round");
    let hosts = [12, 50, 130, 400, 800, 3_100].map(|hosts| (hosts, 20));
    rounds(report, "hosts", &hosts)?;
    let workspaces = [100, 500, 1_000, 2_500, 5_000].map(|workspaces| (24, workspaces));
    rounds(report, "workspaces", &workspaces)?;
    report.heading("Budget: report and grant");
    reports(report)?;
    report.heading("Budget: shares of a host");
    shares(report);
    Ok(())
}

/// A ledger with hosts that report once a second.
struct Driver {
    ledger: Ledger,
    reports: Vec<budget::Report>,
    now: Instant,
    random: SmallRng,
}

impl Driver {
    fn new(hosts: usize, workspaces: usize, seed: u64) -> Self {
        let mut ledger = Ledger::new(1, Timing::default(), Instant::ZERO, Allocation::default());
        let supplies = (0..workspaces).map(|index| {
            let mut contract = contract(20.0 * hosts as f64);
            contract.concurrency = 8 * hosts as u32;
            let name = workspace(index);
            let supply = Supply::from_contract(&name, &contract, hosts as u32);
            (name, supply)
        });
        ledger.set_supplies(Instant::ZERO, supplies.collect());
        let report = |index: usize| budget::Report {
            host: host(index),
            incarnation: Incarnation(0x5f37_59df_1234_5678),
            slot: index as u32,
            region: region(index),
            token: 1,
            leaving: false,
            sequence: 0,
            usage: (0..workspaces)
                .map(|index| (workspace(index), Usage::default()))
                .collect(),
        };
        Self {
            ledger,
            reports: (0..hosts).map(report).collect(),
            now: Instant::ZERO,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Reports new random demand of all hosts, then runs and times the holder's allocation.
    fn round(&mut self) -> Result<(f64, Grant), Whatever> {
        self.now = self.now + Duration::from_secs(1);
        self.ledger.lease_renewed(self.now);
        let mut last = None;
        for report in &mut self.reports {
            report.sequence += 1;
            for usage in report.usage.values_mut() {
                usage.demand = self.random.random_range(1.0..40.0);
                usage.running = self.random.random_range(0.0_f64..4.0).floor();
            }
            let grant = self
                .ledger
                .report(self.now, report)
                .whatever_context("the ledger refused a report")?;
            for (workspace, capacity) in &grant.capacity {
                if let Some(usage) = report.usage.get_mut(workspace) {
                    usage.held = *capacity;
                }
            }
            last = Some(grant);
        }
        let start = cpu();
        let proposal = self.ledger.tick(self.now);
        let cost = since(start);
        if proposal.is_some() {
            self.ledger.write_finished(Write::Done);
        }
        Ok((cost, last.whatever_context("no host reported")?))
    }
}

fn rounds(
    report: &mut Report,
    name: &'static str,
    sizes: &[(usize, usize)],
) -> Result<(), Whatever> {
    let is_hosts = name == "hosts";
    let (title, files): (_, [&'static str; 3]) = if is_hosts {
        (
            "20 workspaces, by hosts",
            [
                "ledger-hosts-tick",
                "ledger-hosts-bytes",
                "ledger-hosts-memory",
            ],
        )
    } else {
        (
            "24 reporters, by workspaces",
            ["ledger-tick", "ledger-bytes", "ledger-memory"],
        )
    };
    let size = if is_hosts { "hosts" } else { "workspaces" };
    let mut tick = Series::new(&format!("`Ledger::tick`, {title}"), "us", size);
    let mut bytes = Series::new(&format!("Allocation row, {title}"), "bytes", size);
    let mut memory = Series::new(&format!("Ledger, {title}"), "bytes", size);
    for (hosts, workspaces) in sizes {
        let x = if is_hosts { *hosts } else { *workspaces } as f64;
        let mut driver = Driver::new(*hosts, *workspaces, report.seed);
        for _ in 0..WARM_UP_ROUNDS {
            driver.round()?;
        }
        let mut costs = Vec::new();
        for _ in 0..ROUNDS {
            costs.push(driver.round()?.0);
        }
        tick.push(x, Sample::of(costs));
        let row = rmp_serde::to_vec(driver.ledger.allocation());
        let row = row.whatever_context("cannot encode the allocation")?;
        ensure_whatever!(
            driver.ledger.allocation().slots.len() == *hosts,
            "not every host has a share"
        );
        bytes.count(x, row.len() as f64);
        let before = live();
        let copy = driver.ledger.clone();
        memory.count(x, live() - before);
        drop(copy);
    }
    for (file, series) in files.into_iter().zip([tick, bytes, memory]) {
        let line = report.series(file, series);
        report.keep(file, line.slope);
    }
    Ok(())
}

fn reports(report: &mut Report) -> Result<(), Whatever> {
    let mut cost = Series::new("`Ledger::report`", "us", "active workspaces");
    let mut sent = Series::new("Report and grant", "bytes", "active workspaces");
    let mut codec = Series::new(
        "Decoding a report, encoding a grant",
        "us",
        "active workspaces",
    );
    for workspaces in [8, 50, 200, 1_000, 2_000] {
        let x = workspaces as f64;
        let mut driver = Driver::new(12, workspaces, report.seed);
        for _ in 0..WARM_UP_ROUNDS {
            driver.round()?;
        }
        let (_, grant) = driver.round()?;
        let mut message = driver.reports.remove(0);
        let bytes = rmp_serde::to_vec(&message).whatever_context("cannot encode")?;
        let answer = rmp_serde::to_vec(&grant).whatever_context("cannot encode")?;
        sent.count(x, (bytes.len() + answer.len()) as f64);
        let sample = time(|| {
            drop(black_box(rmp_serde::from_slice::<budget::Report>(&bytes)));
            drop(black_box(rmp_serde::to_vec(&grant)));
        });
        codec.push(x, sample);
        let sample = time(|| {
            message.sequence += 1;
            drop(black_box(driver.ledger.report(driver.now, &message)));
        });
        cost.push(x, sample);
    }
    let line = report.series("report-cost", cost);
    report.keep("report.us", line.slope);
    let line = report.series("report-bytes", sent);
    report.keep("report.bytes", line.slope);
    report.keep("report.bytes.start", line.start);
    let line = report.series("report-codec", codec);
    report.keep("report.codec.us", line.slope);
    Ok(())
}

/// Clock that always returns the same instant.
#[derive(Debug)]
struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> Instant {
        Instant::from_millis(1_000)
    }
}

fn shares(report: &mut Report) {
    let mut idle = Series::new("Usage of idle workspaces, one second", "us", "workspaces");
    let mut apply = Series::new("Applying a grant to all workspaces", "us", "workspaces");
    let mut memory = Series::new("Shares of a host", "bytes", "workspaces");
    let now = Instant::from_millis(1_000);
    let active = 100.0;
    for workspaces in [100, 1_000, 2_500, 5_000, 10_000] {
        let x = workspaces as f64;
        let snapshot = snapshot(Size {
            workspaces,
            ..Size::default()
        });
        let before = live();
        let shares = Shares::new(Arc::new(FixedClock));
        shares.adopt(now, &snapshot);
        let held_slot = HeldSlot {
            slot: 7,
            region: region(7),
            until: now + Duration::from_mins(75),
        };
        shares.set_held_slot(now, Some(held_slot), &snapshot);
        memory.count(x, live() - before);
        let capacity = (0..100).map(|index| (workspace(index), budget::Capacity::ZERO));
        let grant = Grant {
            token: 1,
            sequence: 1,
            capacity: capacity.collect::<Map<_, _>>(),
            tokens: Map::default(),
            regional: Vec::new(),
        };
        let until = now + Duration::from_secs(5);
        idle.push(x, time(|| drop(black_box(shares.usage(now)))));
        apply.push(x, time(|| shares.grant(now, &grant, until)));
    }
    report.line(&format!(
        "Grants name {} workspaces; all shares of the host are visited.",
        number(active)
    ));
    let line = report.series("shares-usage", idle);
    report.keep("shares.usage.us", line.at(10_000.0));
    let line = report.series("shares-apply", apply);
    report.keep("shares.apply.us", line.at(10_000.0));
    let line = report.series("shares-memory", memory);
    report.keep("shares.bytes", line.at(10_000.0));
}
