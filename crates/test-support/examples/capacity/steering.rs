//! Look-ups and the planner of version moves.

use super::{
    configuration::BLOCKS,
    fleet::FLEET_SIZES,
    measure::{Sample, Series, cpu, live, since, time},
    report::{Report, number},
    synthetic::{Size, address, block, data_centre, host, region, snapshot},
};
use azurenotch_config::{change::Change, snapshot::Snapshot};
use azurenotch_core::version::{
    rollout::Planner,
    steering::{Fleet, HostStatus, Steering},
};
use azurenotch_wire::{
    event::Reachability,
    evidence::{self, Count, Pair},
    id::Region,
    peer::State,
    time::{Instant, Stamp},
};
use ipnet::IpNet;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use snafu::{ResultExt, Whatever};
use std::{collections::BTreeMap, hint::black_box, net::IpAddr, time::Duration};

/// Distinct orders of regions: one for each site of the target.
const SITES: usize = 570;
/// Client addresses used in turn, so that the table is not always in the processor's cache.
const CYCLED_CLIENTS: usize = 1 << 16;
/// Routes of the moving service.
const ROUTES: usize = 3;

/// Measures look-ups and the planner.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded or a change is refused.
pub fn run(report: &mut Report) -> Result<(), Whatever> {
    report.heading("Look-ups");
    look_ups(report)?;
    groups(report);
    report.heading("Planner of version moves");
    planner(report)
}

fn look_ups(report: &mut Report) -> Result<(), Whatever> {
    let mut region_cost = Series::new("Look-up of the regions of an address", "us", "blocks");
    let mut whole_cost = Series::new("Look-up with the hosts of the answer", "us", "blocks");
    let mut memory = Series::new("Look-up table", "bytes", "blocks");
    let mut build = Series::new("Building the look-up table", "us", "blocks");
    let orders = orders();
    let fleet = Fleet::new(&sites(3_100, 0));
    for count in [10_000, 100_000, 400_000, 1_000_000, BLOCKS] {
        let x = count as f64;
        let mut random = SmallRng::seed_from_u64(report.seed);
        let map = (0..count)
            .map(|index| (block(index), orders[random.random_range(0..SITES)].clone()))
            .collect::<BTreeMap<_, _>>();
        let clients = (0..CYCLED_CLIENTS)
            .map(|_| block(random.random_range(0..count)).addr())
            .collect::<Vec<IpAddr>>();
        let before = live();
        let start = cpu();
        let steering = Steering::new(&map, orders[0].clone());
        build.push(x, Sample::of(vec![since(start)]));
        memory.count(x, live() - before);
        let mut turn = 0;
        region_cost.push(
            x,
            time(|| {
                turn = (turn + 1) % CYCLED_CLIENTS;
                black_box(steering.regions(clients[turn]));
            }),
        );
        whole_cost.push(
            x,
            time(|| {
                turn = (turn + 1) % CYCLED_CLIENTS;
                black_box(steering.choose(clients[turn], &fleet, Duration::from_secs(10)));
            }),
        );
        if count == BLOCKS {
            object(report, &map, &orders)?;
        }
    }
    for (file, fact, series) in [
        ("look-up-regions", "look-up.regions.us", region_cost),
        ("look-up-whole", "look-up.us", whole_cost),
        ("look-up-memory", "look-up.bytes", memory),
        ("look-up-build", "look-up.build.us", build),
    ] {
        // The cost jumps where the table outgrows a cache, so the last point is kept, not the line.
        let last = series.points.last().map_or(0.0, |point| point.1.median);
        report.series(file, series);
        report.keep(fact, last);
    }
    Ok(())
}

/// Measures the bytes of all blocks in a separate object, with a table of the orders.
fn object(
    report: &mut Report,
    map: &BTreeMap<IpNet, Vec<Region>>,
    orders: &[Vec<Region>],
) -> Result<(), Whatever> {
    let index = orders.iter().zip(0_u16..).collect::<BTreeMap<_, _>>();
    let entries = map.iter().map(|(net, regions)| (net, index[regions]));
    let all = rmp_serde::to_vec(&(orders, entries.collect::<Vec<_>>()));
    let all = all.whatever_context("cannot encode the blocks")?.len() as f64;
    let one = rmp_serde::to_vec(&(block(1_000_000), 400_u16));
    let one = one.whatever_context("cannot encode a block")?.len() as f64;
    report.keep("object.bytes", all);
    report.line(&format!(
        "All blocks in an object of their own (`MessagePack`, a table of {SITES} orders and an \
         index for each block): {} MB. One block: {one} bytes.",
        number(all / 1e6)
    ));
    Ok(())
}

/// Returns distinct orders of three regions.
fn orders() -> Vec<Vec<Region>> {
    let triples = (0..10).flat_map(|a| (0..10).flat_map(move |b| (0..10).map(move |c| (a, b, c))));
    triples
        .filter(|(a, b, c)| a != b && b != c && a != c)
        .take(SITES)
        .map(|(a, b, c)| vec![region(a), region(b), region(c)])
        .collect()
}

fn sites(hosts: usize, tenths: usize) -> Vec<HostStatus> {
    (0..hosts)
        .map(|index| HostStatus {
            host: host(index),
            address: address(index, 8080),
            region: region(index % 24),
            data_centre: data_centre(index),
            reachability: Reachability::Live,
            state: State::Live,
            load: ((index + tenths) % 7) as f32 / 10.0,
        })
        .collect()
}

fn groups(report: &mut Report) {
    let mut series = Series::new("Grouping the hosts for look-ups", "us", "hosts");
    for hosts in FLEET_SIZES {
        let sites = sites(hosts, 1);
        series.push(hosts as f64, time(|| drop(black_box(Fleet::new(&sites)))));
    }
    let last = series.points.last().map_or(0.0, |point| point.1.median);
    report.series("look-up-groups", series);
    report.keep("groups.us", last);
}

fn planner(report: &mut Report) -> Result<(), Whatever> {
    let mut take = Series::new("`Planner::on_report` of all hosts", "us", "hosts");
    let mut decide = Series::new("`Planner::decide`, one move", "us", "hosts");
    let snapshot = moving()?;
    for hosts in FLEET_SIZES {
        let mut planner = Planner::new();
        let mut requests = 0;
        let mut reports = || {
            requests += 7;
            (0..hosts)
                .map(|index| evidence(index, requests))
                .collect::<Vec<_>>()
        };
        let mut second = 0;
        let (mut taken, mut decided) = (Vec::new(), Vec::new());
        for _ in 0..9 {
            second += 1;
            let now = Instant::from_millis(second * 1_000);
            let round = reports();
            let start = cpu();
            for report in round {
                planner.on_report(now, report);
            }
            taken.push(since(start));
            let start = cpu();
            black_box(planner.decide(now, second * 1_000, &snapshot));
            decided.push(since(start));
        }
        take.push(hosts as f64, Sample::of(taken));
        decide.push(hosts as f64, Sample::of(decided));
    }
    let line = report.series("planner-take", take);
    report.keep("planner.take.us", line.slope);
    let line = report.series("planner-decide", decide);
    report.keep("planner.decide.start", line.start);
    report.keep("planner.decide.us", line.slope);
    let message = rmp_serde::to_vec(&evidence(7, 100_000)).whatever_context("cannot encode")?;
    report.keep("evidence.bytes", message.len() as f64);
    report.line(&format!(
        "A report on one move with {ROUTES} routes has {} bytes. The snapshot has 10,000 \
         workspaces, whose pace the planner reads each second.",
        message.len()
    ));
    Ok(())
}

/// Returns a snapshot with a version move in progress.
fn moving() -> Result<Snapshot, Whatever> {
    let snapshot = snapshot(Size {
        workspaces: 10_000,
        ..Size::default()
    });
    let change = Change::StartMove {
        service: "service-00".into(),
        to: "2".into(),
        deadline: Duration::from_hours(1),
    };
    snapshot
        .apply(&change, Stamp::default())
        .whatever_context("the move was refused")
}

/// Returns a report with equal counts for both versions.
fn evidence(index: usize, requests: u64) -> evidence::Report {
    let count = Count {
        requests,
        failures: requests / 100,
        slow: requests / 20,
    };
    let pair = Pair {
        old: count,
        new: count,
    };
    evidence::Report {
        host: host(index),
        service: "service-00".into(),
        release: "2".into(),
        serial: 1,
        routes: (0..ROUTES)
            .map(|route| (format!("route-{route:02}").into(), pair))
            .collect(),
        fault: None,
    }
}
