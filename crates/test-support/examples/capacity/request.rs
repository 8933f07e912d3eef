//! Cost of the admission and balancing decision for one request.

use super::{
    measure::{Series, live, time},
    report::{Report, number},
    synthetic::{Size, snapshot},
};
use azurenotch_core::{
    process::budget::Share,
    request::access::Access,
    version::balance::{Balancer, Candidate, Query, Tier, Verdict},
};
use azurenotch_wire::{
    Map,
    budget::Capacity,
    id::{Release, Workspace},
    time::Instant,
};
use std::{hint::black_box, time::Duration};

/// Keys used in turn, so that the index is not always in the processor's cache.
const CYCLED_KEYS: usize = 4_096;

/// Measures the limit, the key and the choice of a server, together and separately.
pub fn run(report: &mut Report) {
    report.heading("Decision per request");
    let snapshot = snapshot(Size {
        workspaces: 10_000,
        keys: 20_000,
        ..Size::default()
    });
    let before = live();
    let access = Access::new(&snapshot);
    report.keep("access.bytes", live() - before);
    let headers = (0..CYCLED_KEYS)
        .map(|index| format!("Bearer key-{:05}", index * 20_011 % 20_000))
        .collect::<Vec<_>>();
    let mut shares = shares(
        &snapshot
            .document
            .workspaces
            .keys()
            .cloned()
            .collect::<Vec<_>>(),
    );
    let mut turn = 0;
    let mut now = Instant::from_millis(1_000);
    let key = time(|| {
        turn = (turn + 1) % CYCLED_KEYS;
        black_box(
            access
                .admit("GET", "/service-29/a", Some(headers[turn].as_bytes()))
                .is_ok(),
        );
    });
    let names = snapshot.document.workspaces.keys().collect::<Vec<_>>();
    let limit = time(|| {
        turn = (turn + 1) % CYCLED_KEYS;
        now = now + Duration::from_micros(1);
        let share = shares
            .get_mut(names[turn])
            .expect("the workspace is listed");
        assert!(share.admit(now).is_ok());
        share.finish(now);
    });
    report.line(&format!(
        "`Access::admit` with 20,000 keys and 30 routes: {} ± {} us. `Share::admit` and `finish`, \
         with the look-up among 10,000 workspaces: {} ± {} us.",
        number(key.median),
        number(key.spread),
        number(limit.median),
        number(limit.spread)
    ));
    report.keep("admit.us", limit.median);
    let release = Release::from("1");
    for (name, file, full) in [
        ("Limit, key and choice", "request", false),
        (
            "Limit, key and choice, no free slot nearby",
            "request-full",
            true,
        ),
    ] {
        let mut series = Series::new(name, "us", "candidates");
        for count in [12, 24, 100, 285, 570] {
            let mut balancer = balancer(count, full, report.seed);
            let query = Query {
                release: &release,
                excluded: &[],
            };
            let sample = time(|| {
                turn = (turn + 1) % CYCLED_KEYS;
                now = now + Duration::from_micros(1);
                let header = Some(headers[turn].as_bytes());
                let grant = access
                    .admit("GET", "/service-29/a", header)
                    .expect("the key is valid");
                let holder = grant.holder.expect("the route needs a key");
                let share = shares.get_mut(&holder.workspace).expect("it has a share");
                assert!(share.admit(now).is_ok());
                let index = balancer.pick(now, &query).expect("a slot is free");
                balancer.begin(index);
                balancer.end(index, now, Verdict::Answered, Duration::from_millis(2));
                share.finish(now);
            });
            series.push(count as f64, sample);
        }
        let last = series.points.last().map_or(0.0, |point| point.1.median);
        report.series(file, series);
        report.keep(
            if full {
                "decision.full.us"
            } else {
                "decision.us"
            },
            last,
        );
    }
}

/// Returns shares with enough capacity for every measured request.
fn shares(names: &[Workspace]) -> Map<Workspace, Share> {
    let now = Instant::from_millis(1_000);
    let plenty = Capacity {
        rate: 1e9,
        burst: 1e9,
        concurrency: 1e6,
    };
    names
        .iter()
        .map(|name| {
            let mut share = Share::new(now);
            share.set_floor(now, plenty, now + Duration::from_hours(24));
            (name.clone(), share)
        })
        .collect()
}

/// Returns candidates in 24 data centres; if `full`, those nearby have all slots taken.
fn balancer(count: usize, full: bool, seed: u64) -> Balancer {
    let candidate = |index: usize| Candidate {
        server: format!("server-{index:04}").into(),
        release: "1".into(),
        tier: match index % 24 {
            0 => Tier::Local,
            1 | 2 => Tier::Region,
            _ => Tier::Remote,
        },
        slots: 9,
        sharing_hosts: 1,
        draining: false,
        cold: false,
    };
    let candidates = (0..count).map(candidate).collect::<Vec<_>>();
    let mut balancer = Balancer::new(&candidates, seed);
    if full {
        for index in (0..count).filter(|index| index % 24 < 3) {
            for _ in 0..9 {
                balancer.begin(index);
            }
        }
    }
    balancer
}
