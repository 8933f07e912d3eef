//! Plays a pattern of load on a site.

use crate::{
    event::{Event, Queue, Send},
    host::{Ask, Host, Listing},
    pattern::{Pattern, Trouble},
    report::{End, Report},
    server::{Job, Presence, Server, Taken},
    site::Site,
    variant::Variant,
};
use azurenotch_core::{
    request::admission::{self, Decision},
    version::placement::{Choice, Load, Verdict},
};
use azurenotch_wire::{
    id::{Host as Name, Region},
    time::Instant,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{mem, time::Duration};

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

    /// Begins a request of a caller.
    fn next(&mut self, end: Instant) {
        if self.now >= end {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / (self.site.rate * self.rate);
        let next = self.now + Duration::from_secs_f64(gap);
        self.queue.push(next, Event::Next);
        let centre = self.centre();
        let leaves = if self.random.random_bool(self.leave) {
            self.site.objective / 2
        } else {
            self.site.deadline
        };
        let abusive = self.random.random_bool(self.abuse.0);
        let (object, work) = (self.object(centre), self.work());
        let request = self.requests.len();
        self.requests.push(Request {
            object,
            centre,
            work,
            begun: self.now,
            leaves: self.now + leaves,
            until: self.now,
            returns: if abusive { self.abuse.1 } else { RETURNS },
            abusive,
            tried: Vec::new(),
            declined: 0,
            runs: 0,
            current: None,
            over: false,
        });
        self.approach(request, Duration::ZERO);
    }

    /// Lets a caller send a request to one of its hosts after a pause.
    fn approach(&mut self, request: usize, pause: Duration) {
        let centre = self.requests[request].centre;
        let hosts = self.hosts.iter().enumerate();
        let near: Vec<usize> = hosts
            .filter(|(_, host)| host.centre == centre)
            .map(|(index, _)| index)
            .collect();
        let host = near[self.random.random_range(0..near.len())];
        let at = self.now + pause + self.site.access;
        self.queue.push(at, Event::Arrive { request, host });
    }

    fn centre(&mut self) -> usize {
        let mut left: f64 = self.random.random();
        let centres = self.site.centres;
        let found = centres.iter().position(|centre| {
            left -= centre.callers;
            left < 0.0
        });
        let centre = found.unwrap_or(0);
        if centre == 0 && self.random.random_bool(self.shift) {
            return centres.len() - 1;
        }
        centre
    }

    fn object(&mut self, centre: usize) -> Option<u64> {
        if self.site.objects == 0 {
            return None;
        }
        let mut number =
            (f64::from(self.site.objects) * self.random.random::<f64>().powf(SKEW)) as u32;
        if self.random.random_bool(self.hot) {
            number -= number % HOT_ONE_OF;
        }
        // Spread over all bits, as the hash of a name is.
        let object = (centre as u64 + 1) << 32 | u64::from(number);
        Some(object.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn work(&mut self) -> f64 {
        // The sum of twelve is nearly normal.
        let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
        let factor = 1.0 + self.site.spread * (sum - 6.0);
        self.site.work.as_secs_f64() * factor.max(0.1)
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
        host_state.budget.request(now);
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
        let it = &self.requests[request];
        let ask = Ask {
            object: it.object,
            tried: &it.tried,
            left: it.until.since(now),
            random,
        };
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
    /// Cold work costs what it takes from the others, by the same measure as in the daemon.
    fn known_choice(&self, request: usize, host: usize, fallback: Choice) -> Choice {
        let it = &self.requests[request];
        let placement = &self.hosts[host].placement;
        let busy: u32 = self.servers.iter().map(|it| it.load().running).sum();
        let slots = self.servers.len() as u32 * self.site.slots;
        let pressure = (4.0 * (f64::from(busy) / f64::from(slots) - 0.5)).clamp(0.0, 4.0);
        let saved = it.work * self.site.gain;
        let mut best = (f64::INFINITY, fallback);
        for (index, backend) in placement.listed() {
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

    /// Lets a host learn how a send ended.
    fn ended(&mut self, send: Send, verdict: Verdict, load: Option<Load>) {
        let now = self.now;
        let it = &mut self.requests[send.request];
        if it.over || it.current != Some(send) {
            return;
        }
        it.current = None;
        let own = &mut self.hosts[send.host];
        if let Some(load) = load {
            own.placement.observe_load(now, send.choice.index, load);
        }
        let took = now.since(send.at);
        own.placement.end(now, &send.choice, verdict, took);
        match verdict {
            Verdict::Answered => self.answer(send.request),
            Verdict::Shed | Verdict::Unreachable => {
                it.declined += 1;
                if it.declined > DECLINED || !own.repeats(now) {
                    let wait = admission::retry_after(Duration::ZERO, self.random.random());
                    self.refuse(send.request, wait);
                } else {
                    self.dispatch(send.request, send.host);
                }
            }
            Verdict::Failed | Verdict::Abandoned => {
                it.runs += 1;
                if it.runs < ATTEMPTS && own.repeats(now) {
                    self.dispatch(send.request, send.host);
                } else {
                    self.fail(send.request);
                }
            }
        }
    }

    /// Gives a send up; its caller gets its final answer at once.
    fn expire(&mut self, send: Send) {
        let it = &mut self.requests[send.request];
        if it.over || it.current != Some(send) {
            return;
        }
        it.current = None;
        let took = self.now.since(send.at);
        let placement = &mut self.hosts[send.host].placement;
        placement.end(self.now, &send.choice, Verdict::Abandoned, took);
        if self.now >= it.leaves {
            self.leave(send.request);
        } else {
            self.fail(send.request);
        }
    }

    fn answer(&mut self, request: usize) {
        let it = &self.requests[request];
        let took = (self.now + self.site.access).since(it.begun);
        if self.now + self.site.access > it.leaves {
            self.leave(request);
            return;
        }
        let end = End::Answered {
            ms: took.as_millis() as u64,
            in_time: took <= self.site.objective,
        };
        self.end(request, end);
    }

    fn fail(&mut self, request: usize) {
        self.end(request, End::Failed);
    }

    /// Tells a caller to come back, if it does.
    fn refuse(&mut self, request: usize, wait: Duration) {
        let it = &mut self.requests[request];
        it.current = None;
        if it.returns == 0 {
            self.end(request, End::Refused);
            return;
        }
        it.returns -= 1;
        let pause = if it.abusive { Duration::ZERO } else { wait };
        self.approach(request, self.site.access + pause);
    }

    /// Ends a request whose caller has left; one that left early counts for nothing.
    fn leave(&mut self, request: usize) {
        let it = &self.requests[request];
        let early = it.leaves.since(it.begun) < self.site.objective;
        if early {
            self.requests[request].over = true;
        } else {
            self.end(request, End::Failed);
        }
    }

    fn end(&mut self, request: usize, end: End) {
        let it = &mut self.requests[request];
        if mem::replace(&mut it.over, true) {
            return;
        }
        let begun = it.begun.since(Instant::ZERO).as_secs_f64();
        self.report.end(begun, end);
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
                other.spill.hear(now, &name, rate);
            }
            other.placement.hear_loads(now, |server| {
                let found = told.iter().find(|(it, _)| it == server);
                found.map(|(_, load)| *load)
            });
        }
    }

    /// Tells all hosts which servers are there.
    fn list(&mut self) {
        let now = self.now;
        for (number, server) in self.servers.iter().enumerate() {
            let present = (server.presence == Presence::Up).then_some(server.epoch);
            if self.listed[number] == present {
                continue;
            }
            self.listed[number] = present;
            let cold = server.cold_until().since(now);
            for host in 0..self.hosts.len() {
                let rtt = 2 * self.between(self.hosts[host].centre, server.centre);
                let listing = Listing {
                    server: number,
                    centre: server.centre,
                    epoch: server.epoch,
                    cold,
                    rtt,
                };
                match present {
                    Some(_) => self.hosts[host].list(now, self.site, &listing),
                    None => self.hosts[host].unlist(number),
                }
            }
        }
    }

    fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Rate(factor) => self.rate = factor,
            Trouble::Abuse(share, times) => self.abuse = (share, times),
            Trouble::Leave(share) => self.leave = share,
            Trouble::Hot(share) => self.hot = share,
            Trouble::Shift(share) => self.shift = share,
            Trouble::Slow(share, factor) => {
                for server in self.some(share) {
                    self.servers[server].slowness = factor;
                }
            }
            Trouble::Crash(share) => {
                let servers = self.some(share);
                self.stop(&servers, Presence::Refusing);
            }
            Trouble::Dark(share) => {
                let servers = self.some(share);
                self.stop(&servers, Presence::Silent);
            }
            Trouble::Centre => {
                let counts = self.site.centres.iter().enumerate();
                let largest = counts.max_by_key(|(_, centre)| centre.servers);
                let centre = largest.map_or(0, |(index, _)| index);
                let servers = self.servers.iter().enumerate();
                let lost: Vec<usize> = servers
                    .filter(|(_, server)| server.centre == centre)
                    .map(|(number, _)| number)
                    .collect();
                self.stop(&lost, Presence::Silent);
            }
            Trouble::Return => {
                for server in &mut self.servers {
                    if server.presence != Presence::Up {
                        server.start(self.now);
                    }
                }
                self.queue.push(self.now + APPEAR, Event::List);
            }
        }
    }

    fn stop(&mut self, servers: &[usize], presence: Presence) {
        for server in servers {
            let lost = self.servers[*server].stop(presence);
            if presence == Presence::Silent {
                continue;
            }
            for send in lost {
                let at = self.now + self.way(send.host, *server);
                let ended = Event::Ended {
                    send,
                    verdict: Verdict::Failed,
                    load: None,
                };
                self.queue.push(at, ended);
            }
        }
        self.queue.push(self.now + LAPSE, Event::List);
    }

    /// Picks a share of the servers that are there.
    fn some(&mut self, share: f64) -> Vec<usize> {
        let servers = self.servers.iter().enumerate();
        let mut up: Vec<usize> = servers
            .filter(|(_, server)| server.presence == Presence::Up)
            .map(|(number, _)| number)
            .collect();
        let count = (share * up.len() as f64).ceil() as usize;
        let mut picked = Vec::new();
        while picked.len() < count && !up.is_empty() {
            picked.push(up.swap_remove(self.random.random_range(0..up.len())));
        }
        picked
    }
}
