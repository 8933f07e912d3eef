//! Hosts, store, endpoint and faults in virtual time.

mod call;
mod fault;

use crate::{
    cloud::{Arrival, Cloud},
    host::{Datagram, Host, name},
    net::{Net, Place},
    store::Store,
    verdict::{Flaw, Kind, Verdict},
};
use azurenotch_core::process::{
    usage::{Counts, Read, Row, Sent, Setting, Window, Write},
    wall::Time,
};
use azurenotch_wire::id::Incarnation;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};

const SETTING: Setting = Setting {
    window: Duration::from_secs(5),
    late: Duration::from_secs(10),
    lease: Duration::from_secs(3),
};
/// Largest error of a count.
const OFF: f64 = 0.05;
/// True time at the start of a schedule, and its length.
const EPOCH_MS: u64 = 1_800_000_001_234;
const LENGTH_MS: u64 = 60_000;
const ROUND_MS: u64 = 400;
/// Time between two requests for each workspace at a host.
const WORK_MS: u64 = 100;
const WORKSPACES: u32 = 3;
/// Time for which a host says that it leaves, and until it runs again.
const LEAVE_MS: u64 = 2_500;
const RESTART_MS: u64 = 800;
/// Probability that the store is restored just after a report was sent.
const RESTORE: f64 = 0.02;
/// Time from the start of a schedule after which windows have to be complete.
const WARM_UP_MS: u64 = 6_000;

/// Host in one of its lives.
#[derive(Debug, Clone, Copy)]
struct Life(usize, u64);

#[derive(Debug, Clone)]
enum Event {
    Round(Life),
    Poll(Life, u64),
    Work(Life),
    /// A request that began at this steady time of the host ends.
    End(Life, u64),
    Deliver(usize, Datagram),
    /// A call arrives at the store or at the endpoint.
    Read(Life, u64),
    Write(Life, u64, Row, Option<u64>),
    Report(Life, u64, Arrival),
    /// The answer or the time limit of a call.
    Answer(Life, u64, Answer),
    Fault,
    Suspend(Life),
    Restore,
    /// The time of day of a host is stepped.
    Step(usize),
    Leave(usize),
    Stop(Life),
    Start(Life),
}

#[derive(Debug, Clone)]
enum Answer {
    Read(Read),
    Write(Write),
    Sent(Sent),
}

#[derive(Debug)]
pub struct Fleet {
    kind: Kind,
    flaw: Flaw,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Event>,
    hosts: Vec<Host>,
    /// Number of the last call and of the last poll of each host.
    calls: Vec<u64>,
    polls: Vec<u64>,
    store: Store,
    cloud: Cloud,
    net: Net,
    rng: SmallRng,
    /// Requests that servers began to run.
    truth: BTreeMap<Window, Counts>,
    verdict: Verdict,
}

impl Fleet {
    /// Creates the schedule of a seed.
    pub fn new(seed: u64, kind: Kind, flaw: Flaw) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(5..10);
        let loss = [0.0, 0.01, 0.02][rng.random_range(0..3)];
        let net = match kind {
            Kind::Calm | Kind::Rolling => Net::new(loss, 0.0, 0.0, 0.002),
            Kind::Faults => Net::new(5.0 * loss, 2.0 * loss, 2.0 * loss, 0.005),
        };
        let hosts = (0..count).map(|index| Host::new(index, count, 1, 0, SETTING));
        let mut fleet = Self {
            kind,
            flaw,
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            hosts: hosts.collect(),
            calls: vec![0; count],
            polls: vec![0; count],
            store: Store::new(),
            cloud: Cloud::default(),
            net,
            rng,
            truth: BTreeMap::new(),
            verdict: Verdict::default(),
        };
        for index in 0..count {
            // Less than a third of the times of day are wrong.
            if index < (count - 1) / 3 {
                fleet.step_wall(index);
            }
            fleet.start(Life(index, 1));
        }
        match kind {
            Kind::Calm => {}
            Kind::Rolling => fleet.plan_restarts(),
            Kind::Faults => fleet.at(2_000, Event::Fault),
        }
        fleet
    }

    /// Plays the schedule.
    pub fn run(mut self) -> Verdict {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > LENGTH_MS {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.check();
        self.verdict.broken.append(&mut self.cloud.broken);
        self.verdict
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn life(&self, index: usize) -> Life {
        Life(index, self.hosts[index].incarnation)
    }

    /// Steps the time of day of a host, again and again.
    fn step_wall(&mut self, index: usize) {
        self.hosts[index].wall_offset_ms = self.rng.random_range(-6_000..6_000);
        let pause = self.rng.random_range(1_000..20_000);
        self.at(pause, Event::Step(index));
    }

    fn plan_restarts(&mut self) {
        let pause = self.rng.random_range(LEAVE_MS + RESTART_MS + 500..7_000);
        for index in 0..self.hosts.len() {
            let at = 3_000 + pause * index as u64;
            self.at(at, Event::Leave(index));
            self.at(at + LEAVE_MS, Event::Stop(self.life(index)));
        }
    }

    fn start(&mut self, life: Life) {
        let delay = self.rng.random_range(0..ROUND_MS);
        self.at(delay, Event::Round(life));
        self.at(delay, Event::Work(life));
    }

    /// Ends the life of a host; it starts again after `down_ms`.
    fn stop(&mut self, Life(index, incarnation): Life, down_ms: u64) {
        if self.hosts[index].incarnation != incarnation {
            return;
        }
        let now = self.now;
        let count = self.hosts.len();
        let old = &self.hosts[index];
        let mut host = Host::new(index, count, old.incarnation + 1, now + down_ms, SETTING);
        host.wall_offset_ms = old.wall_offset_ms;
        host.down_until = now + down_ms;
        self.hosts[index] = host;
        self.at(down_ms, Event::Start(self.life(index)));
    }

    /// Returns the host if it runs; the event of a frozen one is put off until it runs again.
    fn awake(&mut self, life: Life, event: impl FnOnce() -> Event) -> Option<usize> {
        let Life(index, incarnation) = life;
        let host = &self.hosts[index];
        if host.incarnation != incarnation || self.now < host.down_until {
            return None;
        }
        let frozen = host.frozen_until.saturating_sub(self.now);
        if frozen > 0 {
            self.at(frozen, event());
            return None;
        }
        Some(index)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Round(life) => self.round(life),
            Event::Poll(life, number) => {
                let event = || Event::Poll(life, number);
                if number == self.polls[life.0]
                    && let Some(index) = self.awake(life, event)
                {
                    self.poll(index);
                }
            }
            Event::Work(life) => self.work(life),
            Event::End(life, began) => self.end(life, began),
            Event::Deliver(to, datagram) => self.deliver(to, datagram),
            Event::Read(life, call) => {
                let answer = Answer::Read(Read::Stored(self.store.read(self.now)));
                self.reply(life, call, Place::Store, self.store.down_until, answer);
            }
            Event::Write(life, call, row, expected) => self.write(life, call, row, expected),
            Event::Report(life, call, arrival) => {
                if self.now >= self.cloud.down_until {
                    self.cloud.receive(self.now, arrival, &SETTING);
                    if self.kind == Kind::Faults && self.rng.random_bool(RESTORE) {
                        let delay = self.rng.random_range(0..1_000);
                        self.at(delay, Event::Restore);
                    }
                    self.reply(life, call, Place::Cloud, 0, Answer::Sent(Sent::Accepted));
                }
            }
            Event::Answer(life, call, answer) => self.answer(life, call, answer),
            Event::Fault => self.fault(),
            Event::Suspend(life) => self.suspend(life),
            Event::Restore => self.restore(),
            Event::Step(index) => self.step_wall(index),
            Event::Leave(index) => self.hosts[index].is_leaving = true,
            Event::Stop(life) => self.stop(life, RESTART_MS),
            Event::Start(life) => {
                if self.awake(life, || Event::Start(life)).is_some() {
                    self.start(life);
                }
            }
        }
    }

    /// A host sends its datagrams.
    fn round(&mut self, life: Life) {
        let Some(index) = self.awake(life, || Event::Round(life)) else {
            return;
        };
        let now = self.now;
        let is_cut = self.net.is_cut(now, Place::Host(index), Place::Store);
        if !is_cut && now >= self.store.down_until && self.rng.random_bool(0.3) {
            self.hosts[index].era = self.store.era();
        }
        let host = &mut self.hosts[index];
        host.refresh(now, EPOCH_MS);
        let full = host.datagram(now, EPOCH_MS);
        let collectors = host.collectors(now);
        if !collectors.is_empty() {
            host.receivers = collectors;
        }
        let collectors = host.receivers.clone();
        self.send_round(index, &full, &collectors);
        let incarnation = self.ledger_incarnation(index);
        let host = &mut self.hosts[index];
        if let Some(time) = host.clock.time(host.steady(now)) {
            for part in &full.parts {
                host.ledger
                    .receive(time, &name(index), Incarnation(incarnation), part);
            }
        }
        let jitter = self.rng.random_range(0..ROUND_MS / 10);
        self.at(ROUND_MS + jitter, Event::Round(life));
        self.poll(index);
    }

    fn send_round(&mut self, index: usize, full: &Datagram, collectors: &[usize]) {
        let now = self.now;
        for to in (0..self.hosts.len()).filter(|to| *to != index) {
            let Some(delay) = self.net.datagram(&mut self.rng, now, index, to) else {
                continue;
            };
            let base = if index % 3 == to % 3 { 1 } else { 35 };
            let mut datagram = Datagram {
                delay_ms: base + 2,
                ..full.clone()
            };
            if !collectors.contains(&to) {
                datagram.parts.clear();
            }
            if self.rng.random_bool(self.net.repeat) {
                let late = self.rng.random_range(0..8_000);
                // Only the counts matter of a datagram that is outdated by seconds.
                self.at(delay + late, Event::Deliver(to, datagram.clone()));
            }
            self.at(delay, Event::Deliver(to, datagram));
        }
    }

    fn ledger_incarnation(&self, index: usize) -> u64 {
        match self.flaw {
            Flaw::Repeats => self.sequence,
            _ => self.hosts[index].incarnation,
        }
    }

    fn deliver(&mut self, to: usize, datagram: Datagram) {
        let life = self.life(to);
        let copy = datagram.clone();
        let Some(to) = self.awake(life, || Event::Deliver(to, copy)) else {
            return;
        };
        let incarnation = match self.flaw {
            Flaw::Repeats => self.sequence,
            _ => datagram.incarnation,
        };
        self.hosts[to].receive(self.now, &datagram, incarnation);
    }

    /// A host sends requests that servers begin to run now.
    fn work(&mut self, life: Life) {
        let Some(index) = self.awake(life, || Event::Work(life)) else {
            return;
        };
        self.at(WORK_MS, Event::Work(life));
        if !self.hosts[index].is_serving(self.now) {
            return;
        }
        let window = Window::at(Time(EPOCH_MS + self.now), &SETTING);
        let counts = self.truth.entry(window).or_default();
        for workspace in 0..WORKSPACES {
            *counts.entry(workspace).or_default() += 1;
        }
        let began = self.hosts[index].steady(self.now).as_nanos();
        let duration = self.rng.random_range(20..1_500);
        self.at(duration, Event::End(life, began));
    }

    fn end(&mut self, life: Life, began: u64) {
        let Some(index) = self.awake(life, || Event::End(life, began)) else {
            return;
        };
        let host = &mut self.hosts[index];
        let steady = host.steady(self.now);
        let took = Duration::from_nanos(steady.as_nanos().saturating_sub(began));
        if let Some(time) = host.clock.time(steady) {
            for workspace in 0..WORKSPACES {
                host.tally.record(time - took, workspace);
            }
        }
    }

    /// Compares what the endpoint has accepted with what ran.
    fn check(&mut self) {
        for (window, truth) in &self.truth {
            let begin = window.begin(&SETTING).0;
            let due = window.due(&SETTING).0;
            if begin < EPOCH_MS + WARM_UP_MS || due > EPOCH_MS + LENGTH_MS {
                continue;
            }
            self.verdict.windows += 1;
            let accepted = self.cloud.accepted.get(window);
            let is_in_time = accepted.is_some_and(|(at, _)| EPOCH_MS + at <= due);
            let is_exact = accepted.is_some_and(|(_, report)| {
                truth.iter().all(|(workspace, count)| {
                    let reported = report.counts.get(workspace).copied().unwrap_or(0);
                    f64::from(reported.abs_diff(*count)) <= OFF * f64::from(*count)
                })
            });
            self.verdict.accepted += usize::from(accepted.is_some());
            self.verdict.in_time += usize::from(is_in_time);
            self.verdict.exact += usize::from(is_exact);
            if self.kind != Kind::Faults && !(is_in_time && is_exact) {
                let text = format!("window {window} ran {truth:?}, accepted {accepted:?}");
                self.verdict.broken.push(text);
            }
        }
    }
}
