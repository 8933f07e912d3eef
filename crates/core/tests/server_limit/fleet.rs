//! Hosts with the decisions of the daemon and a server that names limits, in virtual time.

use crate::{
    node::{Flaw, Node, SERVER, backend},
    record::{Arrival, CONTACT_MS, Excuse, Record, Verdict},
};
use azurenotch_core::{
    process::{echo::Echo, election::Path, presence::Status},
    version::{
        limit::{Report, Statement},
        placement::{Query, Verdict as Ending},
    },
};
use azurenotch_wire::{hash::hash32, time::Instant};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

const STEP_MS: u64 = 10;
const END_MS: u64 = 30_000;
/// Time before which no limit is named and nothing fails.
const CALM_MS: u64 = 2_000;
/// Share of messages between hosts that are lost, doubled, or late by up to [`LATE_MS`].
const LOST_SHARE: f64 = 0.03;
const DOUBLED_SHARE: f64 = 0.03;
const LATE_SHARE: f64 = 0.02;
const LATE_MS: u64 = 1_500;
/// Share of answers that are held on their way, by up to [`HELD_MS`].
const HELD_SHARE: f64 = 0.1;
const HELD_MS: u64 = 3_000;
/// Age up to which hosts pass on what they heard.
const MAX_NEWS_AGE: Duration = Duration::from_secs(3);

/// What happens at some time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The server gets the request that a host sent at a time of the schedule.
    Arrive { host: usize, run: u64, sent: u64 },
    /// The server ends its work on it.
    Complete { host: usize, run: u64, sent: u64 },
    /// The host gets the answer, with the server's statement.
    Answer {
        host: usize,
        run: u64,
        sent: u64,
        process: u64,
        change: usize,
    },
    /// A message between hosts arrives.
    Message { number: usize, to: usize },
    /// The server names another limit, or none, or starts again.
    Change,
    /// Something happens to hosts.
    Fault,
}

/// Message of a host in one round, the same for all receivers but for the echo.
#[derive(Debug, Clone, Copy)]
struct Message {
    from: usize,
    incarnation: u64,
    process: u64,
    report: Option<Report>,
    sent: Echo,
    /// Echo of the last message from the receiver.
    echo: Option<Echo>,
}

pub(crate) struct Fleet {
    random: SmallRng,
    flaw: Flaw,
    demand: f64,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Start of the server's process.
    process: u64,
    limit: Option<f64>,
    record: Record,
    now: u64,
}

impl Fleet {
    pub(crate) fn new(seed: u64, hosts: usize, demand: f64, faults: bool, flaw: Flaw) -> Self {
        let mut fleet = Self {
            random: SmallRng::seed_from_u64(seed),
            flaw,
            demand,
            nodes: (0..hosts)
                .map(|number| Node::new(number, 1, 0, 1))
                .collect(),
            messages: Vec::new(),
            events: BinaryHeap::new(),
            process: 1,
            limit: None,
            record: Record::default(),
            now: 0,
        };
        fleet.schedule(CALM_MS, Event::Change);
        if faults {
            fleet.schedule(CALM_MS, Event::Fault);
        }
        fleet
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push(Reverse((self.now + delay, event)));
    }

    pub(crate) fn run(mut self) -> Verdict {
        while self.now < END_MS {
            while let Some(Reverse((at, event))) = self.events.peek().cloned()
                && at <= self.now
            {
                self.events.pop();
                self.process(event);
            }
            for host in 0..self.nodes.len() {
                self.gossip(host);
                let share = self.demand / self.nodes.len() as f64 * STEP_MS as f64 / 1e3;
                if self.random.random_bool(share.min(1.0)) {
                    self.request(host);
                }
            }
            self.now += STEP_MS;
        }
        self.record.end = END_MS;
        self.record.verdict()
    }

    /// Sends a request of a caller to the server, if the host may.
    fn request(&mut self, host: usize) {
        let node = &mut self.nodes[host];
        if node.is_paused(self.now) {
            return;
        }
        let now = node.clock(self.now);
        let object = self.random.random();
        let query = Query {
            object: Some(object),
            route: 1,
            release: None,
            allowed_regions: &[],
            excluded_regions: &[],
            excluded_servers: &[],
            objective: Duration::from_millis(500),
            bytes: 5_000.0,
            repeatable: true,
        };
        // What the host may not send here goes to other servers, which are not simulated.
        let Some(choice) = node.placement.choose(now, &query) else {
            return;
        };
        node.placement.begin(now, &choice, Some(object));
        let latency = Duration::from_millis(100);
        node.placement.end(now, &choice, Ending::Answered, latency);
        let (run, sent) = (node.run, self.now);
        let delay = self.random.random_range(1..60);
        self.schedule(delay, Event::Arrive { host, run, sent });
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Arrive { host, run, sent } => {
                let at = self.now;
                self.record.arrivals.push(Arrival { at, host, run });
                if self.random.random_bool(HELD_SHARE) {
                    let delay = self.random.random_range(60..HELD_MS);
                    self.send_answer(host, run, sent, delay);
                    return;
                }
                let work = self.random.random_range(20..400);
                self.schedule(work, Event::Complete { host, run, sent });
            }
            Event::Complete { host, run, sent } => {
                let delay = self.random.random_range(1..60);
                self.send_answer(host, run, sent, delay);
            }
            Event::Answer {
                host,
                run,
                sent,
                process,
                change,
            } => {
                self.answer(host, run, sent, process, change);
            }
            Event::Message { number, to } => self.receive(number, to),
            Event::Change => self.change(),
            Event::Fault => self.fail(),
        }
    }

    /// Sends an answer with the server's present statement, which arrives after `delay`.
    fn send_answer(&mut self, host: usize, run: u64, sent: u64, delay: u64) {
        let (process, change) = (self.process, self.record.changes.len());
        let answer = Event::Answer {
            host,
            run,
            sent,
            process,
            change,
        };
        self.schedule(delay, answer);
    }

    fn answer(&mut self, host: usize, run: u64, sent: u64, process: u64, change: usize) {
        let (at, flaw) = (self.now, self.flaw);
        let node = &mut self.nodes[host];
        if node.run != run {
            return;
        }
        if node.is_paused(at) {
            let delay = node.paused_until - at;
            self.schedule(
                delay,
                Event::Answer {
                    host,
                    run,
                    sent,
                    process,
                    change,
                },
            );
            return;
        }
        let last = change
            .checked_sub(1)
            .map(|last| self.record.changes[last].1);
        let limit = last.flatten();
        let received = node.clock(at);
        let statement = Statement {
            limit,
            sent: if flaw == Flaw::Unordered {
                received
            } else {
                node.clock(sent)
            },
            received,
        };
        if node.placement.backend(0).incarnation == process {
            node.placement.hear_limit(received, 0, statement);
            node.update_place(at, flaw);
        }
        if limit.is_some() {
            self.record.told.entry((host, run, change)).or_insert(at);
        }
    }

    /// Sends a host's round of messages if it is due.
    fn gossip(&mut self, from: usize) {
        let at = self.now;
        let hosts = self.nodes.len();
        let node = &mut self.nodes[from];
        if node.is_paused(at) || at < node.next_round {
            return;
        }
        let usual = if hosts > 32 { 650 } else { 400 };
        node.next_round = at + self.random.random_range(usual * 9 / 10..usual * 11 / 10);
        let now = node.clock(at);
        node.presence.remove_expired(now);
        node.update_place(at, self.flaw);
        let news = node.placement.limit_news(now, MAX_NEWS_AGE);
        let news = news.map(|(_, statement)| Report::new(now, statement));
        let message = Message {
            from,
            incarnation: node.run,
            process: node.placement.backend(0).incarnation,
            report: news.last(),
            sent: Echo::new(node.run, now),
            echo: None,
        };
        let group = node.group(at);
        for to in 0..hosts {
            let is_cut = self.nodes[to].group(at) != group;
            if to == from || is_cut || self.random.random_bool(LOST_SHARE) {
                continue;
            }
            let echo = self.nodes[from].echoes.get(&to).copied();
            let number = self.messages.len();
            self.messages.push(Message { echo, ..message });
            let copies = 1 + usize::from(self.random.random_bool(DOUBLED_SHARE));
            for _ in 0..copies {
                let late = self.random.random_bool(LATE_SHARE);
                let longest = if late { LATE_MS } else { 60 };
                let delay = self.random.random_range(1..longest);
                self.schedule(delay, Event::Message { number, to });
            }
        }
    }

    fn receive(&mut self, number: usize, to: usize) {
        let (at, flaw) = (self.now, self.flaw);
        let node = &mut self.nodes[to];
        if node.is_paused(at) {
            let delay = node.paused_until.max(node.started) - at;
            self.schedule(delay, Event::Message { number, to });
            return;
        }
        let now = node.clock(at);
        let message = self.messages[number];
        node.echoes.insert(message.from, message.sent);
        let status = Status {
            incarnation: message.incarnation,
            serving: true,
            leaving: false,
            path: Path::Untried,
        };
        let name = format!("host-{}", message.from).into();
        node.presence.on_status(now, &name, status);
        let echoed = message.echo.and_then(|echo| echo.sent_at(now, node.run));
        let report = message.report.zip(echoed);
        let statement = report.and_then(|(report, echoed)| report.statement(now, echoed));
        if let Some(mut statement) = statement {
            if flaw == Flaw::Unordered {
                (statement.sent, statement.received) = (now, now);
            }
            let process = message.process;
            let placement = &mut node.placement;
            placement.receive_limit(now, hash32(SERVER), process, statement);
        }
        node.update_place(at, flaw);
    }

    fn change(&mut self) {
        let fresh = self.random.random_range(0.3..15.0);
        self.limit = match (self.random.random_range(0..10), self.limit) {
            (0, _) => Some(0.0),
            (1 | 2, Some(_)) => None,
            (3, Some(limit)) => Some(limit / 10.0),
            (4, Some(_)) => {
                self.process += 1;
                for node in &mut self.nodes {
                    let now = Instant::from_millis(self.now.saturating_sub(node.started));
                    node.placement.insert(now, &backend(self.process));
                }
                None
            }
            _ => Some(fresh),
        };
        self.record.changes.push((self.now, self.limit));
        let delay = match self.random.random_range(0..10) {
            0..3 => self.random.random_range(200..2_000),
            3..8 => self.random.random_range(3_000..9_000),
            _ => self.random.random_range(11_000..16_000),
        };
        self.schedule(delay, Event::Change);
    }

    fn fail(&mut self) {
        let delay = self.random.random_range(500..4_000);
        self.schedule(delay, Event::Fault);
        let length = self.random.random_range(300..5_000);
        let all = self.nodes.len();
        let affected = match self.random.random_range(0..8) {
            0 => all,
            1 | 2 => all / 3,
            _ => 1,
        };
        let first = self.random.random_range(0..all);
        let kind = self.random.random_range(0..3);
        for offset in 0..affected {
            let host = (first + offset) % all;
            self.strike(host, kind, length);
        }
    }

    fn strike(&mut self, host: usize, kind: u32, length: u64) {
        let (from, until) = (self.now, self.now + length);
        let node = &mut self.nodes[host];
        match kind {
            0 => node.paused_until = node.paused_until.max(until),
            1 => node.cut = (1, until),
            _ => {
                let run = node.run + 1;
                *node = Node::new(host, run, until, self.process);
            }
        }
        // Restarts are not excused: each process has to know what it has been told itself.
        if kind < 2 {
            self.record.excuses.push(Excuse {
                host,
                from,
                until: until + CONTACT_MS,
            });
        }
    }
}
