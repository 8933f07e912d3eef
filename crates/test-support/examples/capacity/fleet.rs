//! Membership, the platform's list of hosts, timeline and adoption.

use super::{
    measure::{Series, live, time},
    report::{Report, number},
    synthetic::{address, data_centre, heartbeat, host, list},
};
use azurenotch_core::process::{
    adoption::{Action, Adoption},
    membership::{Membership, PROBE_FANOUT},
    timeline::{CAPACITY, Timeline},
};
use azurenotch_platform::roster::Entry;
use azurenotch_wire::{
    Map,
    event::{Kind, Reachability},
    id::Host,
    peer::Heartbeat,
    time::Instant,
    version::{Digest, Head, Version},
};
use std::{hint::black_box, time::Duration};

/// Numbers of hosts that are measured.
pub const FLEET_SIZES: [usize; 5] = [12, 50, 200, 800, 3_100];

/// Measures the state that a host keeps about the others.
pub fn run(report: &mut Report) {
    report.heading("Membership");
    membership(report);
    failure_detection(report);
    report.heading("Time line and adoption");
    timeline(report);
    adoption(report);
}

/// Membership of one host with simulated heartbeats of all others, advanced in steps of a second.
struct Driver {
    membership: Membership,
    heartbeats: Map<Host, Heartbeat>,
    now: Instant,
    seed: u64,
    /// Host that does not answer.
    silent: Option<Host>,
}

impl Driver {
    fn new(hosts: usize, seed: u64) -> Self {
        let mut membership = Membership::new(host(0), data_centre(0));
        membership.on_roster(Instant::ZERO, &list(hosts));
        let heartbeats = (1..hosts)
            .map(|index| (host(index), heartbeat(index, 0)))
            .collect();
        Self {
            membership,
            heartbeats,
            now: Instant::ZERO,
            seed,
            silent: None,
        }
    }

    /// Advances one second: ticks, probes, handles the answers and returns the probed hosts.
    fn run_second(&mut self) -> Vec<Host> {
        self.now = self.now + Duration::from_secs(1);
        black_box(self.membership.tick(self.now));
        let hosts = self.membership.probes(self.now, self.seed);
        for host in &hosts {
            if self.silent.as_ref() != Some(host) {
                self.membership
                    .on_heartbeat(self.now, &self.heartbeats[host]);
            }
        }
        hosts
    }
}

fn membership(report: &mut Report) {
    let mut round = Series::new("Tick, probes and answers of one second", "us", "hosts");
    let mut roster = Series::new("Taking the list of hosts", "us", "hosts");
    let mut decode = Series::new("Decoding the list of hosts", "us", "hosts");
    let mut memory = Series::new("Membership and last heartbeats", "bytes", "hosts");
    let mut bytes = Series::new("Encoded list of hosts", "bytes", "hosts");
    for hosts in FLEET_SIZES {
        let size = hosts as f64;
        let before = live();
        let mut driver = Driver::new(hosts, report.seed);
        // Every host's heartbeat is received once before the measurement, as after a minute of
        // operation.
        for index in 1..hosts {
            driver
                .membership
                .on_heartbeat(driver.now, &heartbeat(index, 0));
        }
        for _ in 0..hosts {
            driver.run_second();
        }
        memory.count(size, live() - before);
        round.push(size, time(|| drop(driver.run_second())));
        let listed = list(hosts);
        let now = driver.now;
        roster.push(
            size,
            time(|| drop(driver.membership.on_roster(now, &listed))),
        );
        let json = serde_json::to_vec(&entries(hosts)).unwrap_or_default();
        bytes.count(size, json.len() as f64);
        decode.push(
            size,
            time(|| drop(black_box(serde_json::from_slice::<Vec<Entry>>(&json)))),
        );
    }
    // In a small fleet a host probes all others, so this point is not part of the line.
    let all = round.points.remove(0);
    report.line(&format!(
        "With 12 hosts, which all probe each other, a second costs {} us. The larger fleets below \
         probe {PROBE_FANOUT} hosts a second.",
        number(all.1.median)
    ));
    let line = report.series("membership-round", round);
    report.keep("membership.us", line.at(3_100.0));
    let line = report.series("membership-memory", memory);
    report.keep("membership.bytes", line.at(3_100.0));
    let line = report.series("roster-take", roster);
    report.keep("roster.take.us", line.at(3_100.0));
    let line = report.series("roster-decode", decode);
    report.keep("roster.decode.us", line.at(3_100.0));
    let line = report.series("roster-bytes", bytes);
    report.keep("roster.bytes", line.at(3_100.0));
    report.keep("roster.bytes.slope", line.slope);
}

/// Counts the seconds until a host that stops answering after a heartbeat is declared dead.
fn failure_detection(report: &mut Report) {
    for (name, file, fact, target) in [
        (
            "Judging a host of the same data centre dead",
            "dead-own",
            "dead.own",
            24,
        ),
        (
            "Judging a host of another data centre dead",
            "dead-remote",
            "dead.remote",
            1,
        ),
    ] {
        let mut series = Series::new(name, "s", "hosts");
        for hosts in FLEET_SIZES.into_iter().skip(1) {
            let mut driver = Driver::new(hosts, report.seed);
            let target = host(target);
            while driver.run_second().iter().all(|host| *host != target) {}
            driver.silent = Some(target.clone());
            let start = driver.now;
            let is_dead = |driver: &Driver| {
                let member = driver.membership.get(&target);
                member.is_none_or(|member| member.state == Reachability::Dead)
            };
            while !is_dead(&driver) {
                driver.run_second();
            }
            series.count(hosts as f64, driver.now.since(start).as_secs_f64());
        }
        let last = series.points.last().map_or(0.0, |point| point.1.median);
        report.series(file, series);
        report.keep(fact, last);
    }
}

fn entries(hosts: usize) -> Vec<Entry> {
    (0..hosts)
        .map(|index| Entry {
            host: host(index),
            data_centre: data_centre(index),
            address: address(index, 8080),
            peer: address(index, 8081),
            operator: address(index, 8082),
            leaving: false,
        })
        .collect()
}

fn timeline(report: &mut Report) {
    let before = live();
    let mut timeline = Timeline::new(host(0), CAPACITY);
    let mut wall = 1_796_000_000_000;
    let mut record = || {
        wall += 1;
        let kind = Kind::Peer {
            peer: host(7),
            state: Reachability::Suspect,
        };
        black_box(timeline.record(kind, wall));
    };
    for _ in 0..CAPACITY.get() {
        record();
    }
    let memory = live() - before;
    let sample = time(record);
    report.keep("timeline.us", sample.median);
    report.keep("timeline.bytes", memory);
    report.line(&format!(
        "`Timeline::record` on a full ring: {} ± {} us an event. A ring of {CAPACITY} such events \
         has {} bytes.",
        number(sample.median),
        number(sample.spread),
        number(memory)
    ));
}

fn adoption(report: &mut Report) {
    let mut cost = Series::new(
        "Adopting one version that every host announced",
        "us",
        "hosts",
    );
    for hosts in FLEET_SIZES {
        let names = (1..hosts).map(host).collect::<Vec<_>>();
        let mut adoption = Adoption::new();
        let mut number = 0;
        let sample = time(|| {
            number += 1;
            let version = Version { epoch: 1, number };
            let digest = Digest(format!("{number:064x}"));
            for name in &names {
                adoption.on_heartbeat(name, version);
            }
            let now = Instant::from_millis(number * 20_000);
            let head = Head {
                version,
                digest: digest.clone(),
                operation: number.into(),
            };
            assert!(adoption.on_head(&head).is_ok());
            assert!(matches!(
                adoption.poll(now),
                Action::FetchFromPeer { .. } | Action::LoadFromStore { .. }
            ));
            // The fetch itself is measured with the snapshots.
            adoption.on_failed(now, &azurenotch_core::process::adoption::Origin::Store);
            assert!(adoption.adopt(version, &digest).is_ok());
        });
        cost.push(hosts as f64, sample);
    }
    let line = report.series("adoption", cost);
    report.keep("adoption.us", line.at(3_100.0));
}
