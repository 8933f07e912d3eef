//! Measures the cost of one ledger by the number of hosts.

use super::{CONTRACTS, HOSTS, encoded_len, supplies};
use azurenotch_core::process::budget::{Allocation, Ledger, Timing, Write};
use azurenotch_wire::{
    Map,
    budget::{Capacity, Report, Usage},
    id::{Host, Incarnation, Region, Workspace},
    time::Instant,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Prints message bytes and processing time per host for a ledger of `hosts` hosts.
pub fn measure(hosts: u32, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let workspaces: Vec<Workspace> = (0..8)
        .map(|i| Workspace::from(format!("workspace-{i}")))
        .collect();
    let scale = f64::from(hosts) / HOSTS as f64;
    let mut ledger = Ledger::new(1, Timing::default(), Instant::ZERO, Allocation::default());
    ledger.set_supplies(
        Instant::ZERO,
        supplies(&workspaces, hosts + hosts / 3, scale),
    );
    let mut held: Vec<Map<Workspace, Capacity>> = vec![Map::default(); hosts as usize];
    let (mut bytes, mut processing_time, mut writes) = (0, Duration::ZERO, 0);
    let rounds = 30;
    for round in 1..=rounds {
        let now = Instant::from_millis(round * 1_000);
        ledger.lease_renewed(now);
        for slot in 0..hosts {
            let usage = workspaces.iter().enumerate().map(|(i, workspace)| {
                let usage = Usage {
                    demand: CONTRACTS[i].0 / 12.0 * rng.random_range(0.0..1.5),
                    running: 2.0,
                    held: held[slot as usize]
                        .get(workspace)
                        .copied()
                        .unwrap_or_default(),
                    returned: 0.0,
                };
                (workspace.clone(), usage)
            });
            let report = Report {
                host: Host::from(format!("host-{slot}")),
                incarnation: Incarnation(1),
                slot,
                region: Region::from("centro"),
                token: 1,
                leaving: false,
                sequence: round,
                usage: usage.collect(),
            };
            let start = std::time::Instant::now();
            let grant = ledger.report(now, &report);
            processing_time += start.elapsed();
            if let Ok(grant) = grant {
                bytes += encoded_len(&report) + encoded_len(&grant);
                held[slot as usize] = grant.capacity;
            }
        }
        let start = std::time::Instant::now();
        if ledger.tick(now).is_some() {
            ledger.write_finished(Write::Done);
            writes += 1;
        }
        processing_time += start.elapsed();
    }
    let per_host = (rounds * u64::from(hosts)) as f64;
    println!(
        "  {hosts:4} hosts  {:6.0} bytes per host and second  {:6.2} us per host and round  \
         row {:7} bytes  {writes} writes in {rounds} rounds",
        bytes as f64 / per_host,
        processing_time.as_secs_f64() * 1e6 / per_host,
        encoded_len(ledger.allocation()),
    );
}
