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
const FLOODING_WORKSPACE: usize = 2;
const FLOOD_FACTOR: f64 = 5.0;
/// Mean demand of the other workspaces, relative to their rates.
const LOAD_FRACTION: f64 = 0.6;
/// Mean running time of a request.
const MEAN_RUN_SECONDS: f64 = 0.05;
const STEP_MS: u64 = 10;
const DURATION_SECONDS: u64 = 7_200;
/// Time between two moves of the demand to other hosts.
const SHIFT_INTERVAL_SECONDS: u64 = 300;
/// Time during which the store is down.
const STORE_OUTAGE_SECONDS: std::ops::Range<u64> = 2_400..6_000;
/// Seconds at which hosts crash, and the hosts; host 0 holds the role at the start.
const CRASHES: [(u64, usize); 5] = [(400, 3), (900, 0), (1_500, 7), (4_000, 5), (6_500, 9)];
/// Time from a crash until the host starts again.
const RESTART_SECONDS: u64 = 10;
/// Time from the crash of a holder until another host takes the role.
const TAKEOVER_SECONDS: u64 = 9;

type EndTimes = BinaryHeap<Reverse<Instant>>;

struct Node {
    reporter: Reporter,
    /// Shares of the ledger by workspace, with the end times of the running requests.
    shares: Vec<(Share, EndTimes)>,
    /// The same for the even split.
    even: Vec<(Share, EndTimes)>,
    slot: Slot,
    floor_until: Instant,
    /// Second from which the host serves; `u64::MAX` while it is down.
    ready: u64,
}

/// Central limiter of one workspace that the others are compared with.
struct Ideal {
    bucket: Bucket,
    ends: EndTimes,
    concurrency: f64,
}

struct Simulation {
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
    /// Demand in requests per second, by workspace and host.
    weights: Vec<Vec<f64>>,
    /// Time of the next arrival in seconds, by workspace and host.
    arrivals: Vec<Vec<f64>>,
    /// Central buckets that measure admissions beyond rate and burst, of the ledger and of the even
    /// split.
    excess_buckets: [Vec<(f64, Instant)>; 2],
    messages: u64,
    bytes: usize,
    writes: u64,
    /// Largest fraction by which the usable capacity exceeded the contract.
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

/// Returns the share of `host` in an even split, with burst and concurrency in whole units.
fn even_share(&(rate, burst, concurrency): &(f64, f64, u32), host: usize) -> Capacity {
    let units = |total: u32| {
        f64::from(total / HOSTS as u32 + u32::from((host as u32) < total % HOSTS as u32))
    };
    Capacity {
        rate: rate / HOSTS as f64,
        burst: units(burst as u32),
        concurrency: units(concurrency),
    }
}

fn finish(share: &mut Share, ends: &mut EndTimes, now: Instant) {
    while ends.peek().is_some_and(|end| end.0 <= now) {
        ends.pop();
        share.finish(now);
    }
}

impl Simulation {
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
            let ends = EndTimes::new();
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
        let mut simulation = Self {
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
            excess_buckets: [full.clone(), full],
            messages: 0,
            bytes: 0,
            writes: 0,
            usable_excess: 0.0,
        };
        for host in 0..HOSTS {
            let node = simulation.node(host, 0);
            simulation.nodes.push(node);
        }
        simulation.take_role(0, Instant::ZERO);
        simulation
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
        let empty = || (Share::new(now), EndTimes::new());
        let mut even_shares: Vec<(Share, EndTimes)> = CONTRACTS.iter().map(|_| empty()).collect();
        for ((share, _), terms) in even_shares.iter_mut().zip(&CONTRACTS) {
            share.set_floor(now, even_share(terms, host), now + Duration::from_hours(24));
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

    /// Moves the demand of every workspace to other hosts.
    ///
    /// The demand of the hosts follows a Zipf distribution over random ranks.
    fn shift_demand(&mut self, now: f64) {
        for (workspace, (rate, _, _)) in CONTRACTS.iter().enumerate() {
            let mut weights: Vec<f64> = (1..=HOSTS).map(|rank| 1.0 / rank as f64).collect();
            weights.shuffle(&mut self.rng);
            let sum: f64 = weights.iter().sum();
            let load = if workspace == FLOODING_WORKSPACE {
                FLOOD_FACTOR
            } else {
                LOAD_FRACTION
            };
            for (host, weight) in weights.iter().enumerate() {
                self.weights[workspace][host] = weight / sum * load * rate;
                self.arrivals[workspace][host] = now + self.random_gap(workspace, host);
            }
        }
    }

    fn random_gap(&mut self, workspace: usize, host: usize) -> f64 {
        -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.weights[workspace][host]
    }

    fn run_second(&mut self, second: u64) {
        let now = Instant::from_millis(second * 1_000);
        let store = !STORE_OUTAGE_SECONDS.contains(&second);
        if second.is_multiple_of(SHIFT_INTERVAL_SECONDS) {
            self.shift_demand(second as f64);
        }
        for (at, host) in CRASHES {
            if second == at {
                let lock_seconds = Timing::default().holdover.as_secs() + 1;
                self.locked
                    .push_back((self.nodes[host].slot, second + lock_seconds));
                self.nodes[host].ready = u64::MAX;
                if host == self.holder {
                    self.ledger = None;
                }
            } else if self.nodes[host].ready == u64::MAX && second >= at + RESTART_SECONDS && store
            {
                self.nodes[host] = self.node(host, second);
            }
        }
        let crashed = CRASHES
            .iter()
            .find(|(at, _)| second == at + TAKEOVER_SECONDS);
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

    fn report(&mut self, host: usize, now: Instant, second: u64) {
        let node = &mut self.nodes[host];
        if node.ready > second {
            return;
        }
        if !STORE_OUTAGE_SECONDS.contains(&second) {
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
        self.bytes += encoded_len(&report) + encoded_len(&grant);
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
                    self.arrivals[workspace][host] += self.random_gap(workspace, host);
                    // Callers of a host that is down use the next host of their look-up.
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
        let run = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() * MEAN_RUN_SECONDS;
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
                let (left, last) = &mut self.excess_buckets[index][workspace];
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

    fn check_capacity(&mut self, now: Instant, second: u64) {
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
            let largest = excess.into_iter().fold(0.0, f64::max) - 1.0;
            self.usable_excess = self.usable_excess.max(largest);
        }
    }
}

fn encoded_len(message: &impl serde::Serialize) -> usize {
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len())
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    println!(
        "seed {seed}, {HOSTS} hosts, {DURATION_SECONDS} s, store down {STORE_OUTAGE_SECONDS:?} s"
    );
    let mut simulation = Simulation::new(seed);
    let mut minute = <[Count; 3]>::default();
    let (mut normal, mut outage) = (minute.clone(), minute.clone());
    let steps = 1_000 / STEP_MS;
    for step in 0..DURATION_SECONDS * steps {
        let (second, part) = (step / steps, step % steps);
        let now = Instant::from_millis(step * STEP_MS);
        if part == 0 {
            simulation.run_second(second);
            simulation.check_capacity(now, second);
        }
        if part < HOSTS as u64 {
            simulation.report(part as usize, now, second);
        }
        simulation.serve(step, &mut minute);
        if (step + 1).is_multiple_of(60 * steps) {
            let down = STORE_OUTAGE_SECONDS.contains(&second);
            count::add_minute(&mut minute, if down { &mut outage } else { &mut normal });
        }
    }
    count::print_counts("store up", &normal);
    count::print_counts("store down", &outage);
    let host_seconds = (DURATION_SECONDS * HOSTS as u64) as f64;
    println!(
        "usable capacity above the contract: {:.6} %\n{:.2} messages and {:.0} bytes per host and second\n\
         {:.2} writes of the allocation per second while the store is up",
        simulation.usable_excess.max(0.0) * 100.0,
        simulation.messages as f64 / host_seconds,
        simulation.bytes as f64 / host_seconds,
        simulation.writes as f64
            / (DURATION_SECONDS - (STORE_OUTAGE_SECONDS.end - STORE_OUTAGE_SECONDS.start)) as f64,
    );
    println!("slopes (8 workspaces, demand random in every round)");
    for hosts in [12, 50, 200, 800] {
        slope::measure(hosts, seed);
    }
}
