//! Small model of a fleet with faults: capacity and admissions never exceed the contract.

use azurenotch_config::document::Contract;
use azurenotch_core::process::budget::{
    Allocation, Floor, Ledger, Rejection, Reporter, Share, Supply, Timing, Write,
};
use azurenotch_wire::{
    Map,
    budget::{Capacity, Grant, Report, Slot},
    id::{Host, Incarnation, Region, Workspace},
    time::Instant,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};

const HOSTS: usize = 4;
const SLOTS: u32 = 5;
const STEP_MS: u64 = 100;
const SECOND: u64 = 1_000 / STEP_MS;
/// Difference of clock speeds between hosts, in parts per thousand.
const DRIFT: [u64; HOSTS] = [1_000, 997, 1_003, 1_001];
const TERM_STEPS: u64 = 35;
const TIMING: Timing = Timing {
    grant_validity: Duration::from_secs(3),
    holdover: Duration::from_secs(20),
    clock_margin: Duration::from_millis(500),
    lease_validity: Duration::from_secs(3),
    max_run_time: Duration::from_secs(6),
};

#[derive(Debug, Clone, Copy)]
enum Fault {
    Demand(u32),
    Crash,
    Stop,
    Pause,
    Cut,
    /// Only the store is out of reach, so that the host may be a holder in holdover.
    StoreCut,
    StoreDown,
    LostAnswers,
    LossyNetwork,
}

type Script = Vec<(Fault, usize, u64, u64)>;

enum Message {
    Report(Report),
    Answer(Result<Grant, Rejection>),
}

struct Envelope {
    due: u64,
    from: usize,
    to: usize,
    incarnation: u64,
    message: Message,
}

struct Put {
    due: u64,
    from: usize,
    incarnation: u64,
    allocation: Allocation,
    expected: u64,
    answered: bool,
}

struct Process {
    incarnation: u64,
    slot: Slot,
    reporter: Reporter,
    share: Share,
    ledger: Option<Ledger>,
    holder: (u64, usize),
    seen: (u64, u64),
    running: Vec<u64>,
}

#[derive(Default)]
struct Node {
    process: Option<Process>,
    demand: u32,
    paused: u64,
    cut: u64,
    store_cut: u64,
    down: u64,
}

struct World {
    rng: SmallRng,
    step: u64,
    contract: Contract,
    nodes: Vec<Node>,
    mail: Vec<Envelope>,
    puts: Vec<Put>,
    row: (u64, Allocation),
    /// Token, version and holder of the lease row.
    lease: (u64, u64, (usize, u64)),
    /// Incarnation and last renewal of each slot.
    claims: BTreeMap<Slot, (u64, u64)>,
    incarnations: u64,
    store_down: u64,
    lost_answers: u64,
    lossy: u64,
    /// Tokens of an ideal bucket that sees every admission.
    ideal: f64,
    admitted: u64,
}

fn workspace() -> Workspace {
    Workspace::from("w")
}

fn region() -> Region {
    Region::from("norte")
}

impl World {
    fn new(seed: u64) -> Self {
        let contract = Contract {
            rate: 60.0,
            burst: 40.0,
            // Either concurrency or rate is what limits admissions.
            concurrency: if seed.is_multiple_of(2) { 40 } else { 1_000 },
            regional_share: BTreeMap::new(),
            version_share_step: 0.1,
            version_step_interval: Duration::from_secs(1),
            latency: Duration::from_secs(1),
            refusals: 0.01,
            isolation_limit: Duration::from_secs(30),
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            step: 0,
            ideal: contract.burst,
            contract,
            nodes: (0..HOSTS).map(|_| Node::default()).collect(),
            mail: Vec::new(),
            puts: Vec::new(),
            row: (0, Allocation::default()),
            lease: (0, 0, (0, 0)),
            claims: BTreeMap::new(),
            incarnations: 0,
            store_down: 0,
            lost_answers: 0,
            lossy: 0,
            admitted: 0,
        }
    }

    fn clock(&self, host: usize) -> Instant {
        let nanos = self.step * STEP_MS * DRIFT[host] * 1_000;
        Instant::from_nanos(nanos + host as u64 * 77_000_000_000)
    }

    fn apply(&mut self, (fault, host, length, _): (Fault, usize, u64, u64)) {
        let until = self.step + length * SECOND;
        match fault {
            Fault::Demand(demand) => self.nodes[host].demand = demand,
            Fault::Crash => {
                self.nodes[host].process = None;
                self.nodes[host].down = self.step + length;
            }
            Fault::Stop => self.stop(host, until),
            Fault::Pause => self.nodes[host].paused = until,
            Fault::Cut => self.nodes[host].cut = until,
            Fault::StoreCut => self.nodes[host].store_cut = until,
            Fault::StoreDown => self.store_down = until,
            Fault::LostAnswers => self.lost_answers = until,
            Fault::LossyNetwork => self.lossy = until,
        }
    }

    fn stop(&mut self, host: usize, until: u64) {
        let now = self.clock(host);
        let Some(mut process) = self.nodes[host].process.take() else {
            return;
        };
        process.share.set_floor(now, Capacity::ZERO, now);
        process.share.release_elastic(now);
        let holder = process.holder;
        let report = process.reporter.report(now, holder.0, true, Map::default);
        self.send(host, holder.1, process.incarnation, Message::Report(report));
        if self.store_up(host) {
            self.claims.remove(&process.slot);
        }
        self.nodes[host].down = until;
    }

    fn store_up(&self, host: usize) -> bool {
        let node = &self.nodes[host];
        self.step >= self.store_down.max(node.cut).max(node.store_cut)
    }

    fn awake(&self, host: usize) -> bool {
        self.step >= self.nodes[host].paused
    }

    fn send(&mut self, from: usize, to: usize, incarnation: u64, message: Message) {
        let cut = self.step < self.nodes[from].cut || self.step < self.nodes[to].cut;
        let lossy = self.step < self.lossy;
        if cut || lossy && self.rng.random_bool(0.3) {
            return;
        }
        let most = if lossy { 45 } else { 2 };
        let again = lossy && self.rng.random_bool(0.3);
        for _ in 0..=usize::from(again) {
            let due = self.step + self.rng.random_range(1..=most);
            let message = match &message {
                Message::Report(report) => Message::Report(report.clone()),
                Message::Answer(answer) => Message::Answer(answer.clone()),
            };
            self.mail.push(Envelope {
                due,
                from,
                to,
                incarnation,
                message,
            });
        }
    }

    /// Returns a slot that was never claimed or is certainly over.
    fn free_slot(&self) -> Option<Slot> {
        let wait = (TIMING.holdover + TIMING.clock_margin + TIMING.max_run_time).as_millis() as u64
            / STEP_MS;
        let free = |slot: &Slot| {
            self.claims
                .get(slot)
                .is_none_or(|(_, renewed)| renewed + wait < self.step)
        };
        (0..SLOTS).find(free)
    }

    fn start(&mut self, host: usize) {
        let Some(slot) = self.free_slot().filter(|_| self.store_up(host)) else {
            return;
        };
        self.incarnations += 1;
        let (incarnation, name) = (self.incarnations, Host::from(format!("h{host}")));
        self.claims.insert(slot, (incarnation, self.step));
        let number = Incarnation(incarnation);
        self.nodes[host].process = Some(Process {
            incarnation,
            slot,
            reporter: Reporter::new(name, number, slot, region(), TIMING),
            share: Share::new(self.clock(host)),
            ledger: None,
            holder: (0, 0),
            seen: (self.lease.1, self.step),
            running: Vec::new(),
        });
    }

    fn deliver(&mut self) {
        let due = |step, awake| move |envelope: &Envelope| envelope.due <= step && awake;
        let mut ready = Vec::new();
        let mut later = Vec::new();
        for envelope in std::mem::take(&mut self.mail) {
            let awake = self.awake(envelope.to);
            let list = if due(self.step, awake)(&envelope) {
                &mut ready
            } else {
                &mut later
            };
            list.push(envelope);
        }
        self.mail = later;
        for Envelope {
            from,
            to,
            incarnation,
            message,
            ..
        } in ready
        {
            let now = self.clock(to);
            let Some(process) = &mut self.nodes[to].process else {
                continue;
            };
            match message {
                Message::Report(report) => {
                    if let Some(ledger) = &mut process.ledger {
                        let answer = ledger.report(now, &report);
                        self.send(to, from, incarnation, Message::Answer(answer));
                    }
                }
                Message::Answer(Ok(grant)) if process.incarnation == incarnation => {
                    if let Some(until) = process.reporter.accept(now, &grant) {
                        process.share.apply_grant(now, &workspace(), &grant, until);
                    }
                }
                Message::Answer(_) => {}
            }
        }
    }

    fn write(&mut self) {
        let step = self.step;
        for mut put in std::mem::take(&mut self.puts) {
            if put.due > step {
                self.puts.push(put);
                continue;
            }
            let reachable = self.store_up(put.from) || put.answered;
            let outcome = if !reachable {
                Write::Unavailable
            } else if put.allocation.token != self.lease.0 {
                Write::Fenced
            } else if put.expected != self.row.0 {
                Write::Conflict
            } else if !put.answered && step < self.lost_answers && self.rng.random_bool(0.3) {
                // The response times out before the write takes effect.
                put.due = step + 12;
                Write::Ambiguous
            } else {
                self.row = (self.row.0 + 1, put.allocation.clone());
                let lost = step < self.lost_answers && self.rng.random_bool(0.5);
                if lost { Write::Ambiguous } else { Write::Done }
            };
            let process = self.nodes[put.from].process.as_mut();
            let ledger = process
                .filter(|process| process.incarnation == put.incarnation && !put.answered)
                .and_then(|process| process.ledger.as_mut())
                .filter(|ledger| ledger.token() == put.allocation.token);
            if let Some(ledger) = ledger {
                ledger.write_finished(outcome);
            }
            if put.due > step {
                put.answered = true;
                self.puts.push(put);
            }
        }
    }

    /// Renews or takes the lease, and drives the ledger of a holder.
    fn hold(&mut self, host: usize) {
        let (now, step, up) = (self.clock(host), self.step, self.store_up(host));
        let lost = step < self.lost_answers && self.rng.random_bool(0.5);
        let Some(process) = &mut self.nodes[host].process else {
            return;
        };
        let own = (host, process.incarnation);
        if up && process.seen.0 != self.lease.1 {
            process.seen = (self.lease.1, step);
        }
        if let Some(ledger) = &mut process.ledger {
            if up && self.lease.0 == ledger.token() && self.lease.2 == own {
                self.lease.1 += 1;
                if !lost {
                    ledger.lease_renewed(now);
                }
            }
            if up && ledger.must_reread() && !lost {
                ledger.resolve_write(&self.row.1);
            }
            if let Some(allocation) = ledger.tick(now) {
                let due = step + self.rng.random_range(1..4);
                let (incarnation, expected) = (process.incarnation, self.row.0);
                let answered = false;
                self.puts.push(Put {
                    due,
                    from: host,
                    incarnation,
                    allocation,
                    expected,
                    answered,
                });
            }
            if !ledger.accepts_reports(now) {
                process.ledger = None;
            }
        }
        let leads = process
            .ledger
            .as_ref()
            .is_some_and(|ledger| ledger.holds_lease(now));
        if up && !leads && step >= process.seen.1 + TERM_STEPS {
            self.lease = (self.lease.0 + 1, self.lease.1 + 1, own);
            process.seen = (self.lease.1, step);
            if !lost {
                let mut ledger = Ledger::new(self.lease.0, TIMING, now, self.row.1.clone());
                let supply = Supply::from_contract(&workspace(), &self.contract, SLOTS);
                ledger.set_supplies(now, BTreeMap::from([(workspace(), supply)]));
                process.ledger = Some(ledger);
            }
        }
    }

    fn serve(&mut self, host: usize) {
        let (now, up) = (self.clock(host), self.store_up(host));
        let listens = self.rng.random_bool(0.7);
        let length = self
            .rng
            .random_range(1..=TIMING.max_run_time.as_millis() as u64 / STEP_MS);
        let heard = self.holders(host).filter(|_| listens);
        let (step, free) = (self.step, self.free_slot());
        let Node {
            process: Some(process),
            demand,
            ..
        } = &mut self.nodes[host]
        else {
            return;
        };
        process.running.retain(|end| {
            if *end <= step {
                process.share.finish(now);
            }
            *end > step
        });
        for _ in 0..*demand {
            if process.share.admit(now).is_ok() {
                process.running.push(step + length);
                self.admitted += 1;
                self.ideal -= 1.0;
            }
        }
        if step % SECOND != host as u64 {
            return;
        }
        let lost = self
            .claims
            .get(&process.slot)
            .is_none_or(|claim| claim.0 != process.incarnation);
        if let Some(slot) = free.filter(|_| up && lost) {
            process.share.release_elastic(now);
            process.reporter.move_to_slot(slot);
            process.slot = slot;
            self.claims.insert(slot, (process.incarnation, step));
        }
        let claim = self.claims.get_mut(&process.slot);
        if let Some(claim) = claim.filter(|claim| up && claim.0 == process.incarnation) {
            claim.1 = step;
            let floor = Floor::new(&workspace(), &self.contract, SLOTS);
            let floor = floor.slot(process.slot, &region());
            process.share.set_floor(now, floor, now + TIMING.holdover);
        }
        process.holder = process.holder.max(heard.unwrap_or_default());
        let (holder, share) = (process.holder, &mut process.share);
        let report = process.reporter.report(now, holder.0, false, || {
            share
                .usage(now)
                .map(|usage| (workspace(), usage))
                .into_iter()
                .collect()
        });
        let incarnation = process.incarnation;
        self.send(host, holder.1, incarnation, Message::Report(report));
    }

    /// Returns a random holder, also in holdover, that `host` can hear.
    fn holders(&mut self, host: usize) -> Option<(u64, usize)> {
        let other = self.rng.random_range(0..HOSTS);
        let cut = self.step < self.nodes[host].cut || self.step < self.nodes[other].cut;
        let ledger = self.nodes[other].process.as_ref()?.ledger.as_ref()?;
        (!cut || host == other).then_some((ledger.token(), other))
    }

    fn advance(&mut self) -> Result<(), TestCaseError> {
        self.step += 1;
        let fastest = self.contract.rate * 1.003 * STEP_MS as f64 / 1_000.0;
        self.ideal = (self.ideal + fastest).min(self.contract.burst);
        self.write();
        self.deliver();
        for host in 0..HOSTS {
            if self.awake(host) {
                if self.nodes[host].process.is_none() && self.step >= self.nodes[host].down {
                    self.start(host);
                }
                if self.step % SECOND == 5 {
                    self.hold(host);
                }
                self.serve(host);
            }
        }
        self.check()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let mut sum = Capacity::ZERO;
        let mut running = 0;
        for (host, node) in self.nodes.iter().enumerate() {
            if let Some(process) = &node.process {
                sum = sum.plus(process.share.usable(self.clock(host)));
                // A request of a paused host ends at its deadline all the same.
                running += process
                    .running
                    .iter()
                    .filter(|end| **end > self.step)
                    .count();
            }
        }
        let (step, contract) = (self.step, &self.contract);
        let within = sum.rate <= contract.rate + 1e-6
            && sum.burst <= contract.burst + 1e-6
            && sum.concurrency <= f64::from(contract.concurrency) + 1e-6;
        prop_assert!(within, "step {}: {:?} is usable", step, sum);
        prop_assert!(
            self.ideal > -1e-6,
            "step {}: {} tokens left",
            step,
            self.ideal
        );
        let most = contract.concurrency as usize;
        prop_assert!(running <= most, "step {}: {} requests run", step, running);
        Ok(())
    }
}

fn run(seed: u64, script: Script) -> Result<(), TestCaseError> {
    let mut world = World::new(seed);
    for node in &mut world.nodes {
        node.demand = 3;
    }
    for event in script {
        world.apply(event);
        for _ in 0..event.3 {
            world.advance()?;
        }
    }
    // Every lock ends after `hold`, so that the whole contract is usable again.
    let end = world.step + 60 * SECOND;
    (world.store_down, world.lost_answers, world.lossy) = (0, 0, 0);
    for node in &mut world.nodes {
        (node.paused, node.cut, node.store_cut, node.down) = (0, 0, 0, 0);
        node.demand = 3;
    }
    while world.step < end {
        world.advance()?;
    }
    let usable = world.nodes.iter().enumerate().filter_map(|(host, node)| {
        let share = &node.process.as_ref()?.share;
        Some(share.usable(world.clock(host)).rate)
    });
    // One of five floors has no host.
    let usable: f64 = usable.sum();
    prop_assert!(
        usable > 0.9 * world.contract.rate,
        "only {} is usable",
        usable
    );
    prop_assert!(world.admitted > 0);
    Ok(())
}

#[test]
fn capacity_and_admissions_never_exceed_the_contract() {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let fault = prop_oneof![
        4 => (0..12_u32).prop_map(Fault::Demand),
        2 => Just(Fault::Crash),
        1 => Just(Fault::Stop),
        2 => Just(Fault::Pause),
        2 => Just(Fault::Cut),
        3 => Just(Fault::StoreCut),
        1 => Just(Fault::StoreDown),
        2 => Just(Fault::LostAnswers),
        2 => Just(Fault::LossyNetwork),
    ];
    let event = (fault, 0..HOSTS, 1..45_u64, 1..80_u64);
    let script = proptest::collection::vec(event, 1..40);
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<u64>(), script), |(seed, script)| run(seed, script))
        .unwrap();
}
