//! Compares the budget ledger with an even split and an ideal central bucket in virtual time.
//!
//! Run with `cargo run --release -p azurenotch-core --example budget -- SEED`.

mod count;
mod slope;

use azurenotch_config::document::Contract;
use azurenotch_core::process::{
    bucket::Bucket,
    budget::{Allocation, Ledger, Reporter, Share, Supply, Timing, Write},
};
use azurenotch_wire::{
    budget::{Capacity, Slot},
    id::{Host, Incarnation, Region, Workspace},
    time::Instant,
};
use count::Count;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

const HOSTS: usize = 12;
const SLOTS: u32 = 16;
/// Rate, burst and concurrency of each workspace.
const CONTRACTS: [(f64, f64, u32); 8] = [
    (1_500.0, 1_500.0, 300),
    (800.0, 800.0, 160),
    (200.0, 200.0, 60),
    (100.0, 100.0, 48),
    (60.0, 60.0, 32),
    (40.0, 40.0, 24),
    (20.0, 24.0, 16),
    (8.0, 10.0, 12),
];
/// Workspace that sends five times its rate.
const FLOOD: usize = 2;
const FLOOD_FACTOR: f64 = 5.0;
/// Mean demand of the other workspaces, relative to their rates.
const LOAD: f64 = 0.6;
/// Mean running time of a request in seconds.
const RUN: f64 = 0.05;
const STEP_MS: u64 = 10;
const SECONDS: u64 = 7_200;
/// Time between two moves of the demand to other hosts, in seconds.
const SHIFT: u64 = 300;
const OUTAGE: std::ops::Range<u64> = 2_400..6_000;
/// Times and hosts of restarts; host 0 holds the role at the start.
const RESTARTS: [(u64, usize); 5] = [(400, 3), (900, 0), (1_500, 7), (4_000, 5), (6_500, 9)];
/// Time until a crashed host is back, in seconds.
const REPLACED: u64 = 10;
/// Time until a crashed holder is succeeded, in seconds.
const TAKEOVER: u64 = 9;

type Ends = BinaryHeap<Reverse<Instant>>;

struct Node {
    reporter: Reporter,
    shares: Vec<(Share, Ends)>,
    even: Vec<(Share, Ends)>,
    slot: Slot,
    floor_until: Instant,
    /// Second from which the host serves.
    ready: u64,
}

struct Ideal {
    bucket: Bucket,
    ends: Ends,
    concurrency: f64,
}

struct Bench {
    rng: SmallRng,
    workspaces: Vec<Workspace>,
    supplies: BTreeMap<Workspace, Supply>,
    nodes: Vec<Node>,
    ideal: Vec<Ideal>,
    ledger: Option<Ledger>,
    holder: usize,
    row: Allocation,
    token: u64,
    next_slot: Slot,
    /// Slots of crashed hosts with the second from which they can be claimed.
    locked: VecDeque<(Slot, u64)>,
    weights: Vec<Vec<f64>>,
    arrivals: Vec<Vec<f64>>,
    /// Ideal buckets that see the admissions of the ledger, to measure excess.
    measure: [Vec<(f64, Instant)>; 2],
    messages: u64,
    bytes: usize,
    writes: u64,
    usable_excess: f64,
}

fn contract(&(rate, burst, concurrency): &(f64, f64, u32)) -> Contract {
    Contract {
        rate,
        burst,
        concurrency,
        regional_share: BTreeMap::new(),
        version_share_step: 0.1,
        version_step_interval: Duration::from_mins(1),
        latency: Duration::from_secs(1),
        refusals: 0.01,
        isolation_limit: Duration::from_mins(1),
    }
}

fn supplies(workspaces: &[Workspace], slots: u32, scale: f64) -> BTreeMap<Workspace, Supply> {
    let contracts = CONTRACTS.map(|(rate, burst, units)| {
        (
            rate * scale,
            burst * scale,
            (f64::from(units) * scale) as u32,
        )
    });
    let supply = |(workspace, terms): (&Workspace, &(f64, f64, u32))| {
        let supply = Supply::from_contract(workspace, &contract(terms), slots);
        (workspace.clone(), supply)
    };
    workspaces.iter().zip(&contracts).map(supply).collect()
}

/// Returns host `host`'s part of an even split, with burst and concurrency in whole units.
fn even(&(rate, burst, concurrency): &(f64, f64, u32), host: usize) -> Capacity {
    let units = |total: u32| {
        f64::from(total / HOSTS as u32 + u32::from((host as u32) < total % HOSTS as u32))
    };
    Capacity {
        rate: rate / HOSTS as f64,
        burst: units(burst as u32),
        concurrency: units(concurrency),
    }
}

fn finish(share: &mut Share, ends: &mut Ends, now: Instant) {
    while ends.peek().is_some_and(|end| end.0 <= now) {
        ends.pop();
        share.finish(now);
    }
}

impl Bench {
    fn new(seed: u64) -> Self {
        let workspaces: Vec<Workspace> = (0..8)
            .map(|i| Workspace::from(format!("workspace-{i}")))
            .collect();
        let ideal = CONTRACTS.iter().map(|(rate, burst, concurrency)| {
            let mut bucket = Bucket::new(Instant::ZERO);
            let capacity = Capacity {
                rate: *rate,
                burst: *burst,
                concurrency: 0.0,
            };
            bucket.resize(Instant::ZERO, &capacity);
            let concurrency = f64::from(*concurrency);
            let ends = Ends::new();
            Ideal {
                bucket,
                ends,
                concurrency,
            }
        });
        let full: Vec<(f64, Instant)> = CONTRACTS
            .iter()
            .map(|terms| (terms.1, Instant::ZERO))
            .collect();
        let mut bench = Self {
            rng: SmallRng::seed_from_u64(seed),
            supplies: supplies(&workspaces, SLOTS, 1.0),
            workspaces,
            nodes: Vec::new(),
            ideal: ideal.collect(),
            ledger: None,
            holder: 0,
            row: Allocation::default(),
            token: 0,
            next_slot: 0,
            locked: VecDeque::new(),
            weights: vec![vec![0.0; HOSTS]; 8],
            arrivals: vec![vec![0.0; HOSTS]; 8],
            measure: [full.clone(), full],
            messages: 0,
            bytes: 0,
            writes: 0,
            usable_excess: 0.0,
        };
        for host in 0..HOSTS {
            let node = bench.node(host, 0);
            bench.nodes.push(node);
        }
        bench.take_role(0, Instant::ZERO);
        bench
    }

    fn node(&mut self, host: usize, second: u64) -> Node {
        let slot = match self.locked.front() {
            Some((slot, free)) if *free <= second => *slot,
            _ => self.next_slot,
        };
        if slot == self.next_slot {
            self.next_slot += 1;
        } else {
            self.locked.pop_front();
        }
        let now = Instant::from_millis(second * 1_000);
        let incarnation = Incarnation(second * HOSTS as u64 + host as u64);
        let name = Host::from(format!("host-{host}"));
        let region = Region::from("centro");
        let empty = || (Share::new(now), Ends::new());
        let mut even_shares: Vec<(Share, Ends)> = CONTRACTS.iter().map(|_| empty()).collect();
        for ((share, _), terms) in even_shares.iter_mut().zip(&CONTRACTS) {
            share.set_floor(now, even(terms, host), now + Duration::from_hours(24));
        }
        Node {
            reporter: Reporter::new(name, incarnation, slot, region, Timing::default()),
            shares: CONTRACTS.iter().map(|_| empty()).collect(),
            even: even_shares,
            slot,
            floor_until: Instant::ZERO,
            ready: second,
        }
    }

    fn take_role(&mut self, host: usize, now: Instant) {
        self.token += 1;
        let mut ledger = Ledger::new(self.token, Timing::default(), now, self.row.clone());
        ledger.set_supplies(now, self.supplies.clone());
        self.ledger = Some(ledger);
        self.holder = host;
    }

    /// Moves the demand of every workspace to other hosts: host ranks follow a Zipf distribution.
    fn shift(&mut self, now: f64) {
        for (workspace, (rate, _, _)) in CONTRACTS.iter().enumerate() {
            let mut weights: Vec<f64> = (1..=HOSTS).map(|rank| 1.0 / rank as f64).collect();
            weights.shuffle(&mut self.rng);
            let sum: f64 = weights.iter().sum();
            let load = if workspace == FLOOD {
                FLOOD_FACTOR
            } else {
                LOAD
            };
            for (host, weight) in weights.iter().enumerate() {
                self.weights[workspace][host] = weight / sum * load * rate;
                self.arrivals[workspace][host] = now + self.gap(workspace, host);
            }
        }
    }

    fn gap(&mut self, workspace: usize, host: usize) -> f64 {
        -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.weights[workspace][host]
    }

    fn second(&mut self, second: u64) {
        let now = Instant::from_millis(second * 1_000);
        let store = !OUTAGE.contains(&second);
        if second.is_multiple_of(SHIFT) {
            self.shift(second as f64);
        }
        for (at, host) in RESTARTS {
            if second == at {
                let hold = Timing::default().holdover.as_secs() + 1;
                self.locked
                    .push_back((self.nodes[host].slot, second + hold));
                self.nodes[host].ready = u64::MAX;
                if host == self.holder {
                    self.ledger = None;
                }
            } else if self.nodes[host].ready == u64::MAX && second >= at + REPLACED && store {
                self.nodes[host] = self.node(host, second);
            }
        }
        let crashed = RESTARTS.iter().find(|(at, _)| second == at + TAKEOVER);
        if crashed.is_some() && self.ledger.is_none() && store {
            self.take_role((self.holder + 1) % HOSTS, now);
        }
        if let Some(ledger) = &mut self.ledger {
            if store {
                ledger.lease_renewed(now);
            }
            if let Some(allocation) = ledger.tick(now) {
                self.row = allocation;
                self.writes += 1;
                ledger.write_finished(Write::Done);
            }
        }
    }

    fn exchange(&mut self, host: usize, now: Instant, second: u64) {
        let node = &mut self.nodes[host];
        if node.ready > second {
            return;
        }
        if !OUTAGE.contains(&second) {
            node.floor_until = now + Timing::default().holdover;
        }
        for (supply, (share, ends)) in self.supplies.values().zip(&mut node.shares) {
            finish(share, ends, now);
            let floor = supply.floor.slot(node.slot, &Region::from("centro"));
            share.set_floor(now, floor, node.floor_until);
        }
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let shares = &mut node.shares;
        let report = node.reporter.report(now, ledger.token(), false, || {
            let usages = self.workspaces.iter().zip(shares.iter_mut());
            let usages =
                usages.filter_map(|(name, (share, _))| Some((name.clone(), share.usage(now)?)));
            usages.collect()
        });
        let Ok(grant) = ledger.report(now, &report) else {
            return;
        };
        self.messages += 2;
        self.bytes += size(&report) + size(&grant);
        if let Some(until) = node.reporter.accept(now, &grant) {
            for (workspace, (share, _)) in self.workspaces.iter().zip(&mut node.shares) {
                share.apply_grant(now, workspace, &grant, until);
            }
        }
    }

    fn serve(&mut self, step: u64, counts: &mut [Count; 3]) {
        let end = (step + 1) as f64 * STEP_MS as f64 / 1_000.0;
        let second = step * STEP_MS / 1_000;
        for workspace in 0..8 {
            for host in 0..HOSTS {
                while self.arrivals[workspace][host] < end {
                    let at = self.arrivals[workspace][host];
                    self.arrivals[workspace][host] += self.gap(workspace, host);
                    // Callers of a host that is down use the next one of their lookup.
                    let alive = (0..HOSTS)
                        .map(|i| (host + i) % HOSTS)
                        .find(|host| self.nodes[*host].ready <= second);
                    if let Some(host) = alive {
                        let now = Instant::from_nanos((at * 1e9) as u64);
                        self.request(workspace, host, now, counts);
                    }
                }
            }
        }
    }

    fn request(&mut self, workspace: usize, host: usize, now: Instant, counts: &mut [Count; 3]) {
        let run = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() * RUN;
        let over = now + Duration::from_secs_f64(run);
        let node = &mut self.nodes[host];
        let [ledger, split, central] = counts;
        let limiters = [(&mut node.shares, ledger, 0), (&mut node.even, split, 1)];
        for (shares, count, index) in limiters {
            let (share, ends) = &mut shares[workspace];
            finish(share, ends, now);
            if share.admit(now).is_ok() {
                ends.push(Reverse(over));
                count.admitted[workspace] += 1.0;
                let (rate, burst, _) = CONTRACTS[workspace];
                let (left, last) = &mut self.measure[index][workspace];
                let refill = now.since(*last).as_secs_f64() * rate;
                *left = (*left + refill).min(burst) - 1.0;
                *last = now.max(*last);
                count.excess = count.excess.max(-*left);
            }
        }
        let ideal = &mut self.ideal[workspace];
        while ideal.ends.peek().is_some_and(|end| end.0 <= now) {
            ideal.ends.pop();
        }
        if (ideal.ends.len() as f64) < ideal.concurrency && ideal.bucket.take(now).is_ok() {
            ideal.ends.push(Reverse(over));
            central.admitted[workspace] += 1.0;
        }
    }

    fn check(&mut self, now: Instant, second: u64) {
        for (i, (rate, burst, concurrency)) in CONTRACTS.iter().enumerate() {
            let nodes = self.nodes.iter().filter(|node| node.ready <= second);
            let sum = nodes.fold(Capacity::ZERO, |sum, node| {
                sum.plus(node.shares[i].0.usable(now))
            });
            let excess = [
                sum.rate / rate,
                sum.burst / burst,
                sum.concurrency / f64::from(*concurrency),
            ];
            let most = excess.into_iter().fold(0.0, f64::max) - 1.0;
            self.usable_excess = self.usable_excess.max(most);
        }
    }
}

fn size(message: &impl serde::Serialize) -> usize {
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len())
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    println!("seed {seed}, {HOSTS} hosts, {SECONDS} s, store down {OUTAGE:?} s");
    let mut bench = Bench::new(seed);
    let mut minute = <[Count; 3]>::default();
    let (mut normal, mut outage) = (minute.clone(), minute.clone());
    let steps = 1_000 / STEP_MS;
    for step in 0..SECONDS * steps {
        let (second, part) = (step / steps, step % steps);
        let now = Instant::from_millis(step * STEP_MS);
        if part == 0 {
            bench.second(second);
            bench.check(now, second);
        }
        if part < HOSTS as u64 {
            bench.exchange(part as usize, now, second);
        }
        bench.serve(step, &mut minute);
        if (step + 1).is_multiple_of(60 * steps) {
            let down = OUTAGE.contains(&second);
            count::settle(&mut minute, if down { &mut outage } else { &mut normal });
        }
    }
    count::print("store up", &normal);
    count::print("store down", &outage);
    let host_seconds = (SECONDS * HOSTS as u64) as f64;
    println!(
        "usable capacity above the contract: {:.6} %\n{:.2} messages and {:.0} bytes per host and second\n\
         {:.2} writes of the allocation per second while the store is up",
        bench.usable_excess.max(0.0) * 100.0,
        bench.messages as f64 / host_seconds,
        bench.bytes as f64 / host_seconds,
        bench.writes as f64 / (SECONDS - (OUTAGE.end - OUTAGE.start)) as f64,
    );
    println!("slopes (8 workspaces, demand random in every round)");
    for hosts in [12, 50, 200, 800] {
        slope::measure(hosts, seed);
    }
}
