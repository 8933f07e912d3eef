//! Discrete-event simulation of a pattern of load on a site.

mod caller;
mod disturbance;
mod outcome;

use crate::{
    event::{Event, Queue, Send},
    host::{Attempt, Host},
    pattern::Pattern,
    report::Report,
    server::{Acceptance, Availability, Job, Server},
    site::Site,
    variant::Variant,
};
use azurenotch_core::{
    request::{
        admission::{self, Decision},
        gate::Applicant,
    },
    version::placement::{Choice, Verdict},
};
use azurenotch_wire::{
    hash::hash32,
    id::{Host as Name, Region},
    time::Instant,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Mean time between two gossip rounds of a host.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which the platform removes a stopped server from its list.
const UNLIST_DELAY: Duration = Duration::from_secs(2);
/// Time after which the platform lists a restarted server.
const LIST_DELAY: Duration = Duration::from_millis(500);
/// Longest time for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest number of declined or unreachable sends after which a host still tries another server.
const MAX_DECLINED_SENDS: usize = 2;
/// Largest number of sends per request that a server may have run.
const MAX_RUNS: u32 = 2;
/// Times that an ordinary caller retries after a refusal.
const MAX_CALLER_RETRIES: u32 = 1;
/// Number of objects of which one is hot.
const OBJECTS_PER_HOT_OBJECT: u32 = 50;
/// Exponent of the uniform random number that picks an object; larger values skew popularity more.
const POPULARITY_EXPONENT: f64 = 1.25;

/// Share of all slots in use above which `choose_with_full_knowledge` adds a cost for work on
/// uncached objects.
const COLD_COST_MIN_LOAD: f64 = 0.5;
/// Added cost in seconds per avoidable second of work, for each unit of load above that share.
const COLD_COST_SLOPE: f64 = 4.0;
/// Largest added cost in seconds per avoidable second of work.
const MAX_COLD_COST: f64 = 4.0;

/// One request of a caller.
#[derive(Debug)]
struct Request {
    object: Option<u64>,
    centre: usize,
    work: f64,
    started: Instant,
    /// Time at which the caller gives up.
    gives_up_at: Instant,
    /// Time at which the current attempt times out.
    attempt_deadline: Instant,
    /// Times that the caller may still retry after a refusal, and whether it retries immediately.
    retries_left: u32,
    retries_at_once: bool,
    /// Whether the caller returned after a refusal.
    returned: bool,
    tried: Vec<usize>,
    workspace: u32,
    /// Who sent the request, as far as its host can know.
    applicant: Applicant,
    declined: usize,
    runs: u32,
    current: Option<Send>,
    ended: bool,
}

/// Run of one pattern on one site with one variant of the decisions.
#[derive(Debug)]
pub struct Engine<'a> {
    site: &'a Site,
    pattern: &'a Pattern,
    variant: &'a Variant,
    random: SmallRng,
    /// Random numbers of the workspaces and their shares.
    ///
    /// Separate ones, so that both leave the other choices of a seed as they are.
    share_random: SmallRng,
    now: Instant,
    queue: Queue,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    /// Listed epoch of each server; `None` if the platform does not list it.
    listed: Vec<Option<u32>>,
    requests: Vec<Request>,
    report: Report,
    rate: f64,
    abuse: (f64, u32),
    give_up_share: f64,
    hot: f64,
    shift: f64,
    /// Share of the requests that the first workspace sends in addition to its equal part.
    large: f64,
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
            share_random: SmallRng::seed_from_u64(!seed),
            now: Instant::ZERO,
            queue: Queue::default(),
            hosts: hosts.collect(),
            listed: vec![None; servers.len()],
            servers,
            requests: Vec::new(),
            report: Report::new(pattern.counted_from_s),
            rate: 1.0,
            abuse: (0.0, 0),
            give_up_share: 0.0,
            hot: 0.0,
            shift: 0.0,
            large: 0.0,
        };
        engine.update_listings();
        engine.queue.push(Instant::ZERO, Event::NextRequest);
        for host in 0..engine.hosts.len() {
            let first = GOSSIP_INTERVAL.mul_f64(engine.random.random());
            engine
                .queue
                .push(Instant::ZERO + first, Event::Gossip { host });
        }
        for (at, disturbance) in pattern.disturbances {
            let at = Instant::ZERO + Duration::from_secs_f64(*at);
            engine.queue.push(at, Event::Disturbance(*disturbance));
        }
        engine
    }

    /// Runs the simulation to its end and returns the report.
    pub fn run(mut self) -> Report {
        let end = Instant::ZERO + self.pattern.length;
        while let Some((at, event)) = self.queue.pop() {
            if at > end + self.site.deadline {
                break;
            }
            self.now = at;
            self.handle(event, end);
        }
        for server in &self.servers {
            self.report.limits.add(server.arrivals.usage());
        }
        self.report
    }

    fn handle(&mut self, event: Event, end: Instant) {
        match event {
            Event::NextRequest => self.next_request(end),
            Event::Arrive { request, host } => self.arrive(request, host),
            Event::Offer { server, send } => self.offer(server, send),
            Event::Finish {
                server,
                epoch,
                send,
            } => self.finish(server, epoch, send),
            Event::SendEnded {
                send,
                verdict,
                load,
                limit,
            } => {
                self.hear_limit(send, verdict, limit);
                self.receive_outcome(send, verdict, load);
            }
            Event::Expire { send } => self.expire(send),
            Event::Gossip { host } => self.gossip(host),
            Event::List => self.update_listings(),
            Event::Disturbance(disturbance) => self.apply_disturbance(disturbance),
        }
    }

    fn arrive(&mut self, request: usize, host: usize) {
        let now = self.now;
        let it = &mut self.requests[request];
        if it.ended {
            return;
        }
        if now >= it.gives_up_at {
            self.give_up(request);
            return;
        }
        it.attempt_deadline = it.gives_up_at.min(now + self.site.timeout);
        if it.returned && now.since(Instant::ZERO).as_secs_f64() >= self.pattern.counted_from_s {
            self.report.returns += 1;
        }
        it.tried.clear();
        it.declined = 0;
        let host_state = &mut self.hosts[host];
        host_state.budget.record_request(now);
        host_state.spill.count(now);
        let named = self.variant.returning.then(|| it.gives_up_at.since(now));
        let random = self.share_random.random();
        if self.variant.shares {
            host_state.update_shares(now);
        }
        it.applicant = host_state.classify(now, it.workspace, named, random);
        self.dispatch(request, host);
    }

    /// Sends a request to a server, or refuses it.
    fn dispatch(&mut self, request: usize, host: usize) {
        let now = self.now;
        let random = [self.random.random(), self.random.random()];
        let it = &self.requests[request];
        let attempt = Attempt {
            object: it.object,
            tried: &it.tried,
            left: it.attempt_deadline.since(now),
            applicant: it.applicant,
            random,
        };
        let own = &mut self.hosts[host];
        let Some(mut choice) = own.choose(now, self.site, self.variant, &attempt) else {
            self.refuse(request, admission::retry_after(CONNECT_TIMEOUT, random[1]));
            return;
        };
        if self.variant.knowing {
            choice = self.choose_with_full_knowledge(request, host, choice);
        }
        let own = &mut self.hosts[host];
        let decision = own.admit(now, self.site, self.variant, &choice, &attempt);
        if let Decision::Refuse(wait) = decision {
            self.refuse(request, wait);
            return;
        }
        let object = it.object.filter(|_| self.variant.affinity);
        let server = self.hosts[host].server(&choice);
        let one_way_delay = self.one_way_delay(host, server);
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
        let until = it.attempt_deadline;
        if now.since(Instant::ZERO).as_secs_f64() >= self.pattern.counted_from_s {
            self.report.sends += 1;
        }
        self.queue
            .push(now + one_way_delay, Event::Offer { server, send });
        self.queue.push(until, Event::Expire { send });
    }

    /// Returns the server at which a request costs least, given the queues and caches of all servers.
    ///
    /// The cost is the time to the answer. Work that a cached object would save takes capacity from
    /// other requests, so it costs extra, and more the higher the load of all servers is.
    fn choose_with_full_knowledge(&self, request: usize, host: usize, fallback: Choice) -> Choice {
        let it = &self.requests[request];
        let placement = &self.hosts[host].placement;
        let busy: u32 = self.servers.iter().map(|it| it.load().running).sum();
        let slots = self.servers.len() as u32 * self.site.slots;
        let load = f64::from(busy) / f64::from(slots);
        let cold_cost = (COLD_COST_SLOPE * (load - COLD_COST_MIN_LOAD)).clamp(0.0, MAX_COLD_COST);
        let saved = it.work * self.site.warm_saving;
        let mut best = (f64::INFINITY, fallback);
        for (index, backend) in placement.backends() {
            let Ok(number) = backend.server.as_str().parse::<usize>() else {
                continue;
            };
            let server = &self.servers[number];
            let cold = server.cold_until() > self.now;
            if server.availability != Availability::Up || cold || it.tried.contains(&index) {
                continue;
            }
            let (wait, work) = server.wait_and_work(self.now, it.object, it.work);
            let round_trip = 2.0 * self.one_way_delay(host, number).as_secs_f64();
            let avoidable = if server.is_cached(it.object) {
                0.0
            } else {
                saved
            };
            let cost = round_trip + wait + work + cold_cost * avoidable;
            if cost < best.0 {
                let choice = Choice {
                    index,
                    wait: Duration::from_secs_f64(wait),
                    expected: Duration::from_secs_f64(round_trip + wait + work),
                    ..fallback
                };
                best = (cost, choice);
            }
        }
        best.1
    }

    fn one_way_delay(&self, host: usize, server: usize) -> Duration {
        let (from, to) = (self.hosts[host].centre, self.servers[server].centre);
        self.delay_between(from, to)
    }

    fn delay_between(&self, from: usize, to: usize) -> Duration {
        let centres = self.site.centres;
        if from == to {
            self.site.regional_delay / 4
        } else if centres[from].region == centres[to].region {
            self.site.regional_delay
        } else {
            self.site.cross_region_delay
        }
    }

    fn offer(&mut self, server: usize, send: Send) {
        let now = self.now;
        let one_way_delay = self.one_way_delay(send.host, server);
        let it = &self.requests[send.request];
        if it.ended || it.current != Some(send) {
            return;
        }
        let job = Job {
            send,
            object: it.object,
            work: it.work,
            deadline: it.attempt_deadline,
        };
        let own = &mut self.servers[server];
        own.arrivals.count(now, send.host);
        let (at, verdict) = match own.availability {
            Availability::Refusing => (now + one_way_delay, Verdict::Unreachable),
            Availability::Silent => (send.at + CONNECT_TIMEOUT, Verdict::Unreachable),
            Availability::Up => match own.offer(now, job) {
                Acceptance::Started(took) => {
                    let epoch = own.epoch;
                    let event = Event::Finish {
                        server,
                        epoch,
                        send,
                    };
                    self.queue.push(now + took, event);
                    return;
                }
                Acceptance::Queued => return,
                Acceptance::Declined => (now + one_way_delay, Verdict::Shed),
            },
        };
        let load = (verdict == Verdict::Shed).then(|| self.servers[server].load());
        let limit = load.and_then(|_| self.servers[server].arrivals.limit());
        let ended = Event::SendEnded {
            send,
            verdict,
            load,
            limit,
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
        let limit = self.servers[server].arrivals.limit();
        let at = now + self.one_way_delay(send.host, server);
        let verdict = Verdict::Answered;
        self.queue.push(
            at,
            Event::SendEnded {
                send,
                verdict,
                load,
                limit,
            },
        );
    }

    /// Sends a host's loads and request rate to the other hosts.
    fn gossip(&mut self, host: usize) {
        let now = self.now;
        let next = GOSSIP_INTERVAL.mul_f64(self.random.random_range(0.9..1.1));
        self.queue.push(now + next, Event::Gossip { host });
        let rate = self.hosts[host].spill.rate(now);
        let reported_loads = if self.variant.gossip {
            self.hosts[host].reported_loads(now)
        } else {
            Vec::new()
        };
        let (name, region) = (
            self.hosts[host].name.clone(),
            self.hosts[host].region.clone(),
        );
        let limits = self.hosts[host].limit_news(now);
        let counts = self.hosts[host].counts();
        for (index, other) in self.hosts.iter_mut().enumerate() {
            if index == host {
                continue;
            }
            other.receive_counts(now, &name, &counts);
            for news in &limits {
                other.receive_limit(now, news);
            }
            if other.region == region {
                other.spill.receive_rate(now, &name, rate);
            }
            for (server, load) in &reported_loads {
                let server = hash32(server.as_str());
                other.placement.receive_load(now, server, *load);
            }
        }
    }
}
