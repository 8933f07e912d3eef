//! Plays a pattern of load on a site.

mod caller;
mod ending;
mod trouble;

use crate::{
    event::{Event, Queue, Send},
    host::{Ask, Host},
    pattern::Pattern,
    report::Report,
    server::{Job, Presence, Server, Taken},
    site::Site,
    variant::Variant,
};
use azurenotch_core::{
    request::admission::{self, Decision},
    version::placement::{Choice, Verdict},
};
use azurenotch_wire::{
    id::{Host as Name, Region},
    time::Instant,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Time between two rounds of messages of a host.
const ROUND: Duration = Duration::from_millis(400);
/// Time after which the platform no longer lists a server that is away.
const LAPSE: Duration = Duration::from_secs(2);
/// Time after which a server that is back is known.
const APPEAR: Duration = Duration::from_millis(500);
/// Longest time for a connection.
const CONNECT: Duration = Duration::from_millis(400);
/// Sends that may be declined besides the attempts.
const DECLINED: usize = 2;
/// Sends that may run a request.
const ATTEMPTS: u32 = 2;
/// Times that a caller comes back after a refusal.
const RETURNS: u32 = 1;
/// Objects in one that is asked for often.
const HOT_ONE_OF: u32 = 50;
/// Skew of the popularity of objects: the exponent of the random number that picks one.
const SKEW: f64 = 1.25;

/// Share of all slots in use from which the yardstick counts cold work for more than its time.
const PRESSURE_FROM: f64 = 0.5;
/// Seconds that a second of cold work costs the yardstick for each unit of load above that.
const PRESSURE: f64 = 4.0;
/// Largest cost of a second of cold work to the yardstick, in seconds.
const PRESSURE_MAX: f64 = 4.0;

/// One request of a caller.
#[derive(Debug)]
struct Request {
    object: Option<u64>,
    centre: usize,
    work: f64,
    begun: Instant,
    /// When the caller gives up.
    leaves: Instant,
    /// When this try ends.
    until: Instant,
    /// Times that the caller may still come back, and whether at once.
    returns: u32,
    abusive: bool,
    tried: Vec<usize>,
    declined: usize,
    runs: u32,
    current: Option<Send>,
    over: bool,
}

/// A run of one pattern on one site with one variant of the decisions.
#[derive(Debug)]
pub struct Engine<'a> {
    site: &'a Site,
    pattern: &'a Pattern,
    variant: &'a Variant,
    random: SmallRng,
    now: Instant,
    queue: Queue,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    /// Start of each server that the platform lists.
    listed: Vec<Option<u32>>,
    requests: Vec<Request>,
    report: Report,
    rate: f64,
    abuse: (f64, u32),
    leave: f64,
    hot: f64,
    shift: f64,
}

impl<'a> Engine<'a> {
    /// Creates a run; equal seeds give equal runs.
    pub fn new(site: &'a Site, pattern: &'a Pattern, variant: &'a Variant, seed: u64) -> Self {
        let mut names = Vec::new();
        let mut homes = Vec::new();
        let mut servers = Vec::new();
        for (index, centre) in site.centres.iter().enumerate() {
            for _ in 0..centre.hosts {
                let name = Name::from(format!("h{:02}", names.len()).as_str());
                names.push((name, Region::from(centre.region)));
                homes.push(index);
            }
            servers.extend((0..centre.servers).map(|_| Server::new(site, index)));
        }
        let hosts = homes.iter().enumerate();
        let hosts = hosts.map(|(number, centre)| Host::new(site, number, *centre, &names));
        let mut engine = Self {
            site,
            pattern,
            variant,
            random: SmallRng::seed_from_u64(seed),
            now: Instant::ZERO,
            queue: Queue::default(),
            hosts: hosts.collect(),
            listed: vec![None; servers.len()],
            servers,
            requests: Vec::new(),
            report: Report::new(pattern.from_s),
            rate: 1.0,
            abuse: (0.0, 0),
            leave: 0.0,
            hot: 0.0,
            shift: 0.0,
        };
        engine.list();
        engine.queue.push(Instant::ZERO, Event::Next);
        for host in 0..engine.hosts.len() {
            let first = ROUND.mul_f64(engine.random.random());
            engine
                .queue
                .push(Instant::ZERO + first, Event::Round { host });
        }
        for (at, trouble) in pattern.troubles {
            let at = Instant::ZERO + Duration::from_secs_f64(*at);
            engine.queue.push(at, Event::Trouble(*trouble));
        }
        engine
    }

    /// Plays the run to its end.
    pub fn run(mut self) -> Report {
        let end = Instant::ZERO + self.pattern.length;
        while let Some((at, event)) = self.queue.pop() {
            if at > end + self.site.deadline {
                break;
            }
            self.now = at;
            self.handle(event, end);
        }
        self.report
    }

    fn handle(&mut self, event: Event, end: Instant) {
        match event {
            Event::Next => self.next(end),
            Event::Arrive { request, host } => self.arrive(request, host),
            Event::Offer { server, send } => self.offer(server, send),
            Event::Finish {
                server,
                epoch,
                send,
            } => self.finish(server, epoch, send),
            Event::Ended {
                send,
                verdict,
                load,
            } => self.ended(send, verdict, load),
            Event::Expire { send } => self.expire(send),
            Event::Round { host } => self.round(host),
            Event::List => self.list(),
            Event::Trouble(trouble) => self.trouble(trouble),
        }
    }

    fn arrive(&mut self, request: usize, host: usize) {
        let now = self.now;
        let it = &mut self.requests[request];
        if it.over {
            return;
        }
        if now >= it.leaves {
            self.leave(request);
            return;
        }
        it.until = it.leaves.min(now + self.site.timeout);
        it.tried.clear();
        it.declined = 0;
        let host_state = &mut self.hosts[host];
        host_state.budget.record_request(now);
        host_state.spill.count(now);
        self.dispatch(request, host);
    }

    /// Places a request, or refuses it.
    fn dispatch(&mut self, request: usize, host: usize) {
        let now = self.now;
        let random = [self.random.random(), self.random.random()];
        let it = &self.requests[request];
        let ask = Ask {
            object: it.object,
            tried: &it.tried,
            left: it.until.since(now),
            random,
        };
        let own = &mut self.hosts[host];
        let Some(mut choice) = own.choose(now, self.site, self.variant, &ask) else {
            self.refuse(request, admission::retry_after(CONNECT, random[1]));
            return;
        };
        if self.variant.knowing {
            choice = self.known_choice(request, host, choice);
        }
        let own = &self.hosts[host];
        if let Decision::Refuse(wait) = own.admit(self.site, self.variant, &choice, &ask) {
            self.refuse(request, wait);
            return;
        }
        let object = it.object.filter(|_| self.variant.affinity);
        let server = own.server(&choice);
        let way = self.way(host, server);
        let send = Send {
            request,
            host,
            choice,
            at: now,
        };
        self.hosts[host].placement.begin(now, &choice, object);
        let it = &mut self.requests[request];
        it.current = Some(send);
        it.tried.push(choice.index);
        let until = it.until;
        if now.since(Instant::ZERO).as_secs_f64() >= self.pattern.from_s {
            self.report.sends += 1;
        }
        self.queue.push(now + way, Event::Offer { server, send });
        self.queue.push(until, Event::Expire { send });
    }

    /// Returns the place at which a request would end first, with full knowledge.
    ///
    /// Cold work costs what it takes from the others, the more the fuller all servers are.
    fn known_choice(&self, request: usize, host: usize, fallback: Choice) -> Choice {
        let it = &self.requests[request];
        let placement = &self.hosts[host].placement;
        let busy: u32 = self.servers.iter().map(|it| it.load().running).sum();
        let slots = self.servers.len() as u32 * self.site.slots;
        let load = f64::from(busy) / f64::from(slots);
        let pressure = (PRESSURE * (load - PRESSURE_FROM)).clamp(0.0, PRESSURE_MAX);
        let saved = it.work * self.site.gain;
        let mut best = (f64::INFINITY, fallback);
        for (index, backend) in placement.backends() {
            let Ok(number) = backend.server.as_str().parse::<usize>() else {
                continue;
            };
            let server = &self.servers[number];
            let cold = server.cold_until() > self.now;
            if server.presence != Presence::Up || cold || it.tried.contains(&index) {
                continue;
            }
            let (wait, work) = server.completion(self.now, it.object, it.work);
            let ways = 2.0 * self.way(host, number).as_secs_f64();
            let avoidable = if server.is_warm(it.object) {
                0.0
            } else {
                saved
            };
            let cost = ways + wait + work + pressure * avoidable;
            if cost < best.0 {
                let choice = Choice {
                    index,
                    wait: Duration::from_secs_f64(wait),
                    expected: Duration::from_secs_f64(ways + wait + work),
                    ..fallback
                };
                best = (cost, choice);
            }
        }
        best.1
    }

    fn way(&self, host: usize, server: usize) -> Duration {
        let (from, to) = (self.hosts[host].centre, self.servers[server].centre);
        self.between(from, to)
    }

    fn between(&self, from: usize, to: usize) -> Duration {
        let centres = self.site.centres;
        if from == to {
            self.site.near / 4
        } else if centres[from].region == centres[to].region {
            self.site.near
        } else {
            self.site.far
        }
    }

    fn offer(&mut self, server: usize, send: Send) {
        let now = self.now;
        let way = self.way(send.host, server);
        let it = &self.requests[send.request];
        if it.over || it.current != Some(send) {
            return;
        }
        let job = Job {
            send,
            object: it.object,
            work: it.work,
            until: it.until,
        };
        let own = &mut self.servers[server];
        let (at, verdict) = match own.presence {
            Presence::Refusing => (now + way, Verdict::Unreachable),
            Presence::Silent => (send.at + CONNECT, Verdict::Unreachable),
            Presence::Up => match own.offer(now, job) {
                Taken::Runs(took) => {
                    let epoch = own.epoch;
                    let event = Event::Finish {
                        server,
                        epoch,
                        send,
                    };
                    self.queue.push(now + took, event);
                    return;
                }
                Taken::Waits => return,
                Taken::Declined => (now + way, Verdict::Shed),
            },
        };
        let load = (verdict == Verdict::Shed).then(|| self.servers[server].load());
        let ended = Event::Ended {
            send,
            verdict,
            load,
        };
        self.queue.push(at, ended);
    }

    fn finish(&mut self, server: usize, epoch: u32, send: Send) {
        let now = self.now;
        let own = &mut self.servers[server];
        if own.epoch != epoch {
            return;
        }
        let object = self.requests[send.request].object;
        if let Some((job, took)) = own.finish(now, &send, object) {
            let event = Event::Finish {
                server,
                epoch,
                send: job.send,
            };
            self.queue.push(now + took, event);
        }
        let load = Some(self.servers[server].load());
        let at = now + self.way(send.host, server);
        let verdict = Verdict::Answered;
        self.queue.push(
            at,
            Event::Ended {
                send,
                verdict,
                load,
            },
        );
    }

    /// Lets the other hosts hear of a host's loads and rate.
    fn round(&mut self, host: usize) {
        let now = self.now;
        let next = ROUND.mul_f64(self.random.random_range(0.9..1.1));
        self.queue.push(now + next, Event::Round { host });
        let rate = self.hosts[host].spill.rate(now);
        let told = if self.variant.gossip {
            self.hosts[host].told(now)
        } else {
            Vec::new()
        };
        let (name, region) = (
            self.hosts[host].name.clone(),
            self.hosts[host].region.clone(),
        );
        for (index, other) in self.hosts.iter_mut().enumerate() {
            if index == host {
                continue;
            }
            if other.region == region {
                other.spill.receive_rate(now, &name, rate);
            }
            other.placement.receive_loads(now, |server| {
                let found = told.iter().find(|(it, _)| it == server);
                found.map(|(_, load)| *load)
            });
        }
    }
}
