//! Operations on the platform's table by leases and slot claims.

use super::{fleet::FLEET_SIZES, measure::Series, report::Report, synthetic::host};
use azurenotch_core::process::{
    lease::{self, Lease, Read, Row},
    slot::{self, Answer, Claim, Slot},
};
use azurenotch_wire::{Map, id::Incarnation, time::Instant};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Virtual time before the operations are counted.
const WARM_UP: Duration = Duration::from_mins(2);
/// Virtual time in which operations are counted; two renewals of each slot.
const COUNTED_TIME: Duration = Duration::from_mins(10);
/// Shortest interval between two steps of a host, as in the daemon.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Reads and writes that were counted.
#[derive(Debug, Default)]
struct Count {
    reads: u64,
    writes: u64,
}

impl Count {
    fn per_second(&self) -> (f64, f64) {
        let seconds = COUNTED_TIME.as_secs_f64();
        (self.reads as f64 / seconds, self.writes as f64 / seconds)
    }
}

/// Counts operations of a fleet in virtual time.
pub fn run(report: &mut Report) {
    report.heading("Table operations");
    let mut reads = Series::new("Reads for one leased role", "reads/s", "hosts");
    let mut writes = Series::new("Writes for one leased role", "writes/s", "hosts");
    let mut claims = Series::new("Writes for slots", "writes/s", "hosts");
    for hosts in FLEET_SIZES {
        let x = hosts as f64;
        let (read, write) = leases(hosts, report.seed).per_second();
        reads.count(x, read);
        writes.count(x, write);
        claims.count(x, slots(hosts).per_second().1);
    }
    report.line(
        "Every host is a candidate, as today. Operations are counted over ten minutes of virtual \
         time with a table that answers at once.",
    );
    let line = report.series("lease-reads", reads);
    report.keep("lease.reads", line.slope);
    let line = report.series("lease-writes", writes);
    report.keep("lease.writes", line.at(3_100.0));
    let line = report.series("slot-writes", claims);
    report.keep("slot.writes", line.at(3_100.0));
}

fn leases(hosts: usize, seed: u64) -> Count {
    let mut leases = (0..hosts)
        .map(|index| {
            let seed = seed.wrapping_mul(1_000_003).wrapping_add(index as u64);
            Lease::new("budget", host(index), Incarnation(1), seed)
        })
        .collect::<Vec<_>>();
    let mut row: Option<Row> = None;
    simulate(hosts, |now, index, count| {
        let lease = &mut leases[index];
        match lease.poll(now) {
            lease::Action::Wait(until) => until,
            lease::Action::Read => {
                count.reads += 1;
                let read = lease.on_read(now, Read::Row(row.clone()));
                assert!(read.is_ok(), "the row of the lease is readable");
                now
            }
            lease::Action::Write { value, expect } => {
                count.writes += 1;
                let held = row.as_ref().map(|row| row.version);
                let write = if held == expect {
                    let version = held.unwrap_or_default() + 1;
                    row = Some(Row { version, value });
                    lease::Write::Written(version)
                } else {
                    lease::Write::Conflict(row.clone())
                };
                let write = lease.on_write(now, write);
                assert!(write.is_ok(), "the row of the lease is readable");
                now
            }
        }
    })
}

fn slots(hosts: usize) -> Count {
    let total = hosts as u32 + hosts as u32 / 30 + 4;
    let mut slots = (0..hosts)
        .map(|index| Slot::new(host(index), Incarnation(1), (index as u64).into(), total))
        .collect::<Vec<_>>();
    let mut rows = Map::<u32, (u64, Claim)>::default();
    simulate(hosts, |now, index, count| {
        let machine = &mut slots[index];
        match machine.poll(now) {
            slot::Action::Wait(until) => until,
            slot::Action::Read(number) => {
                count.reads += 1;
                machine.on_answer(now, Answer::Row(rows.get(&number).cloned()));
                now
            }
            slot::Action::Write {
                slot,
                claim,
                expect,
            } => {
                count.writes += 1;
                let held = rows.get(&slot).map(|row| row.0);
                let answer = if held == expect {
                    let version = held.unwrap_or_default() + 1;
                    rows.insert(slot, (version, claim));
                    Answer::Written(version)
                } else {
                    Answer::Row(rows.get(&slot).cloned())
                };
                machine.on_answer(now, answer);
                now
            }
        }
    })
}

/// Steps every host at its due time; the starts are spread evenly over ten seconds.
fn simulate(hosts: usize, mut step: impl FnMut(Instant, usize, &mut Count) -> Instant) -> Count {
    let start = |index: usize| Instant::from_millis((index * 10_000 / hosts) as u64);
    let mut due = (0..hosts)
        .map(|index| Reverse((start(index), index)))
        .collect::<BinaryHeap<_>>();
    let begin = Instant::ZERO + WARM_UP;
    let (mut before, mut count) = (Count::default(), Count::default());
    while let Some(Reverse((now, index))) = due.pop() {
        if now >= begin + COUNTED_TIME {
            break;
        }
        let counted = if now < begin { &mut before } else { &mut count };
        let next = step(now, index, counted).max(now + MIN_STEP_INTERVAL);
        due.push(Reverse((next, index)));
    }
    count
}
