//! Simulates a fleet with random faults and checks that capacity and admissions stay within the
//! contract.

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
const STEPS_PER_SECOND: u64 = 1_000 / STEP_MS;
/// Clock speed of each host, in parts per thousand of real time.
const CLOCK_SPEED_PER_MILLE: [u64; HOSTS] = [1_000, 997, 1_003, 1_001];
/// Steps without a renewal after which another host may take the lease.
const LEASE_TERM_STEPS: u64 = 35;
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
    /// A crash after which the host starts again within seconds; the length is in steps.
    Restart,
    Stop,
    Pause,
    Cut,
    /// The host is cut off from the store only, so that a holder continues in holdover.
    StoreCut,
    StoreDown,
    LostAnswers,
    LossyNetwork,
}

/// Faults, each with its host, its length and the number of steps until the next fault.
///
/// The length is in seconds, but in steps for a restart.
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

struct PendingWrite {
    due: u64,
    from: usize,
    incarnation: u64,
    allocation: Allocation,
    /// Version of the row that the write replaces.
    expected: u64,
    /// Whether the ledger was already given an ambiguous outcome.
    answered: bool,
}

struct Process {
    incarnation: u64,
    slot: Slot,
    reporter: Reporter,
    share: Share,
    ledger: Option<Ledger>,
    /// Token and host of the holder that reports are sent to.
    holder: (u64, usize),
    /// Version of the lease row, and the step at which this host first read it.
    lease_seen: (u64, u64),
    /// End steps of running requests.
    running: Vec<u64>,
}

#[derive(Default)]
struct Node {
    process: Option<Process>,
    /// Requests per step.
    demand: u32,
    // The following times are in steps.
    paused_until: u64,
    cut_until: u64,
    store_cut_until: u64,
    down_until: u64,
}

struct Simulation {
    rng: SmallRng,
    step: u64,
    contract: Contract,
    nodes: Vec<Node>,
    in_flight: Vec<Envelope>,
    pending_writes: Vec<PendingWrite>,
    /// Version and content of the allocation row.
    row: (u64, Allocation),
    /// Token, version and holder of the lease row.
    lease: (u64, u64, (usize, u64)),
    /// Incarnation and step of the last renewal of each slot.
    claims: BTreeMap<Slot, (u64, u64)>,
    incarnations: u64,
    store_down_until: u64,
    lost_answers_until: u64,
    lossy_until: u64,
    /// Tokens of a central bucket from which every admission takes one.
    ideal_tokens: f64,
    admitted: u64,
}

fn workspace() -> Workspace {
    Workspace::from("w")
}

fn region() -> Region {
    Region::from("norte")
}

impl Simulation {
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
            ideal_tokens: contract.burst,
            contract,
            nodes: (0..HOSTS).map(|_| Node::default()).collect(),
            in_flight: Vec::new(),
            pending_writes: Vec::new(),
            row: (0, Allocation::default()),
            lease: (0, 0, (0, 0)),
            claims: BTreeMap::new(),
            incarnations: 0,
            store_down_until: 0,
            lost_answers_until: 0,
            lossy_until: 0,
            admitted: 0,
        }
    }

    fn clock(&self, host: usize) -> Instant {
        let nanos = self.step * STEP_MS * CLOCK_SPEED_PER_MILLE[host] * 1_000;
        Instant::from_nanos(nanos + host as u64 * 77_000_000_000)
    }

    fn apply(&mut self, (fault, host, length, _): (Fault, usize, u64, u64)) {
        let until = self.step + length * STEPS_PER_SECOND;
        match fault {
            Fault::Demand(demand) => self.nodes[host].demand = demand,
            Fault::Crash => self.crash(host, until),
            Fault::Restart => self.crash(host, self.step + length),
            Fault::Stop => self.stop(host, until),
            Fault::Pause => self.nodes[host].paused_until = until,
            Fault::Cut => self.nodes[host].cut_until = until,
            Fault::StoreCut => self.nodes[host].store_cut_until = until,
            Fault::StoreDown => self.store_down_until = until,
            Fault::LostAnswers => self.lost_answers_until = until,
            Fault::LossyNetwork => self.lossy_until = until,
        }
    }

    fn crash(&mut self, host: usize, until: u64) {
        self.nodes[host].process = None;
        self.nodes[host].down_until = until;
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
        if self.store_reachable(host) {
            self.claims.remove(&process.slot);
        }
        self.nodes[host].down_until = until;
    }

    fn store_reachable(&self, host: usize) -> bool {
        let node = &self.nodes[host];
        self.step
            >= self
                .store_down_until
                .max(node.cut_until)
                .max(node.store_cut_until)
    }

    fn awake(&self, host: usize) -> bool {
        self.step >= self.nodes[host].paused_until
    }

    fn send(&mut self, from: usize, to: usize, incarnation: u64, message: Message) {
        let cut = self.step < self.nodes[from].cut_until || self.step < self.nodes[to].cut_until;
        let lossy = self.step < self.lossy_until;
        if cut || lossy && self.rng.random_bool(0.3) {
            return;
        }
        let max_delay = if lossy { 45 } else { 2 };
        let duplicate = lossy && self.rng.random_bool(0.3);
        for _ in 0..=usize::from(duplicate) {
            let due = self.step + self.rng.random_range(1..=max_delay);
            let message = match &message {
                Message::Report(report) => Message::Report(report.clone()),
                Message::Answer(answer) => Message::Answer(answer.clone()),
            };
            self.in_flight.push(Envelope {
                due,
                from,
                to,
                incarnation,
                message,
            });
        }
    }

    /// Returns a slot that was never claimed or whose last claim has certainly lapsed.
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
        let Some(slot) = self.free_slot().filter(|_| self.store_reachable(host)) else {
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
            lease_seen: (self.lease.1, self.step),
            running: Vec::new(),
        });
    }

    fn deliver(&mut self) {
        let due = |step, awake| move |envelope: &Envelope| envelope.due <= step && awake;
        let mut ready = Vec::new();
        let mut later = Vec::new();
        for envelope in std::mem::take(&mut self.in_flight) {
            let awake = self.awake(envelope.to);
            let list = if due(self.step, awake)(&envelope) {
                &mut ready
            } else {
                &mut later
            };
            list.push(envelope);
        }
        self.in_flight = later;
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
        for mut write in std::mem::take(&mut self.pending_writes) {
            if write.due > step {
                self.pending_writes.push(write);
                continue;
            }
            let reachable = self.store_reachable(write.from) || write.answered;
            let outcome = if !reachable {
                Write::Unavailable
            } else if write.allocation.token != self.lease.0 {
                Write::Fenced
            } else if write.expected != self.row.0 {
                Write::Conflict
            } else if !write.answered && step < self.lost_answers_until && self.rng.random_bool(0.3)
            {
                // The response times out before the write takes effect.
                write.due = step + 12;
                Write::Ambiguous
            } else {
                self.row = (self.row.0 + 1, write.allocation.clone());
                let lost = step < self.lost_answers_until && self.rng.random_bool(0.5);
                if lost { Write::Ambiguous } else { Write::Done }
            };
            let process = self.nodes[write.from].process.as_mut();
            let ledger = process
                .filter(|process| process.incarnation == write.incarnation && !write.answered)
                .and_then(|process| process.ledger.as_mut())
                .filter(|ledger| ledger.token() == write.allocation.token);
            if let Some(ledger) = ledger {
                ledger.write_finished(outcome);
            }
            if write.due > step {
                write.answered = true;
                self.pending_writes.push(write);
            }
        }
    }

    /// Renews or takes the lease, and runs the ledger of a holder.
    fn run_role(&mut self, host: usize) {
        let (now, step, up) = (self.clock(host), self.step, self.store_reachable(host));
        let lost = step < self.lost_answers_until && self.rng.random_bool(0.5);
        let Some(process) = &mut self.nodes[host].process else {
            return;
        };
        let own = (host, process.incarnation);
        if up && process.lease_seen.0 != self.lease.1 {
            process.lease_seen = (self.lease.1, step);
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
                self.pending_writes.push(PendingWrite {
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
        let holds_lease = process
            .ledger
            .as_ref()
            .is_some_and(|ledger| ledger.holds_lease(now));
        if up && !holds_lease && step >= process.lease_seen.1 + LEASE_TERM_STEPS {
            self.lease = (self.lease.0 + 1, self.lease.1 + 1, own);
            process.lease_seen = (self.lease.1, step);
            if !lost {
                let mut ledger = Ledger::new(self.lease.0, TIMING, now, self.row.1.clone());
                let supply = Supply::from_contract(&workspace(), &self.contract, SLOTS);
                ledger.set_supplies(now, BTreeMap::from([(workspace(), supply)]));
                process.ledger = Some(ledger);
            }
        }
    }

    fn serve(&mut self, host: usize) {
        let (now, up) = (self.clock(host), self.store_reachable(host));
        let delivered = self.rng.random_bool(0.7);
        let length = self
            .rng
            .random_range(1..=TIMING.max_run_time.as_millis() as u64 / STEP_MS);
        let received = self.random_holder(host).filter(|_| delivered);
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
                self.ideal_tokens -= 1.0;
            }
        }
        if step % STEPS_PER_SECOND != host as u64 {
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
        process.holder = process.holder.max(received.unwrap_or_default());
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

    /// Returns the token and number of a random host, if it has a ledger and `host` can reach it.
    ///
    /// The ledger may be in holdover.
    fn random_holder(&mut self, host: usize) -> Option<(u64, usize)> {
        let other = self.rng.random_range(0..HOSTS);
        let cut = self.step < self.nodes[host].cut_until || self.step < self.nodes[other].cut_until;
        let ledger = self.nodes[other].process.as_ref()?.ledger.as_ref()?;
        (!cut || host == other).then_some((ledger.token(), other))
    }

    fn advance(&mut self) -> Result<(), TestCaseError> {
        self.step += 1;
        let fastest = self.contract.rate * 1.003 * STEP_MS as f64 / 1_000.0;
        self.ideal_tokens = (self.ideal_tokens + fastest).min(self.contract.burst);
        self.write();
        self.deliver();
        for host in 0..HOSTS {
            if self.awake(host) {
                if self.nodes[host].process.is_none() && self.step >= self.nodes[host].down_until {
                    self.start(host);
                }
                if self.step % STEPS_PER_SECOND == 5 {
                    self.run_role(host);
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
                // Requests of a paused host still end at their deadlines.
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
            self.ideal_tokens > -1e-6,
            "step {}: {} tokens left",
            step,
            self.ideal_tokens
        );
        let limit = contract.concurrency as usize;
        prop_assert!(running <= limit, "step {}: {} requests run", step, running);
        Ok(())
    }
}

fn run(seed: u64, script: Script) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(seed);
    for node in &mut simulation.nodes {
        node.demand = 3;
    }
    for event in script {
        simulation.apply(event);
        for _ in 0..event.3 {
            simulation.advance()?;
        }
    }
    // All reservations lapse within this time, so that the whole contract is usable again.
    let end = simulation.step + 60 * STEPS_PER_SECOND;
    (
        simulation.store_down_until,
        simulation.lost_answers_until,
        simulation.lossy_until,
    ) = (0, 0, 0);
    for node in &mut simulation.nodes {
        (
            node.paused_until,
            node.cut_until,
            node.store_cut_until,
            node.down_until,
        ) = (0, 0, 0, 0);
        node.demand = 3;
    }
    while simulation.step < end {
        simulation.advance()?;
    }
    let usable = simulation
        .nodes
        .iter()
        .enumerate()
        .filter_map(|(host, node)| {
            let share = &node.process.as_ref()?.share;
            Some(share.usable(simulation.clock(host)).rate)
        });
    // One of the five slots has no host, so its floor is not usable.
    let usable: f64 = usable.sum();
    prop_assert!(
        usable > 0.9 * simulation.contract.rate,
        "only {} is usable",
        usable
    );
    prop_assert!(simulation.admitted > 0);
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
        2 => Just(Fault::Restart),
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
