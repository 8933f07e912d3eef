//! Places requests on the backend servers of one service by the time that each would take.
//!
//! Load pattern: more is asked than cold backend servers can do, and a server that has handled an
//! object recently answers it several times faster. Each request goes where its expected time is
//! least: the way there, the queue, and the work, warm or cold. Rendezvous hashing makes all hosts
//! of a region send an object to the same server, so that few copies stay warm without the hosts
//! talking per request, and a long queue there sends the rest to the next best place, which is the
//! same for all hosts as well. The fuller all servers are, the more an avoidable cold answer costs.

mod entry;
mod estimate;

pub use crate::version::balance::Tier;
pub use entry::Backend;
pub use estimate::Work;

use azurenotch_wire::{
    Map,
    id::{Region, Release, Server},
    time::Instant,
};
use entry::Entry;
use std::time::Duration;

/// Probability that an object is warm at the server that all hosts of the region choose for it.
const WARM_HOME: f64 = 0.95;
/// Probability that an object is warm at the server that another region chooses for it.
const WARM_ABROAD: f64 = 0.85;
/// Probability that an object is warm at the second choice of the region's hosts.
const WARM_SECOND: f64 = 0.5;
/// Probability that an object is warm at any other server.
const WARM_ELSEWHERE: f64 = 0.05;
/// Share of all slots in use from which cold work counts for more than its own time.
const PRESSURE_FROM: f64 = 0.25;
/// Seconds that a second of avoidable work costs for each unit of load above [`PRESSURE_FROM`].
///
/// Cold work takes slots from several warm requests and drops their objects from caches. Without
/// this cost the spill of an overload kept all caches cold for as long as the load lasted.
const PRESSURE: f64 = 8.0;
/// Largest cost of a second of avoidable work, in seconds.
const PRESSURE_MAX: f64 = 4.0;
/// Seconds that the failure of an attempt costs, as a multiple of the latency objective.
const FAILURE_COST: f64 = 3.0;
/// Time that a server with all slots in use costs more than an idle one, as a share of the work.
///
/// Other hosts choose at the same moment, so a server that looks nearly full may be full.
const OCCUPANCY_COST: f64 = 0.15;
/// Cost of a byte that crosses data centres, in seconds: 150 ms for 100 KB.
const BYTE_COST_REGION: f64 = 0.15 / 100_000.0;
/// Cost of a byte that crosses regions, in seconds: 300 ms for 100 KB.
///
/// Links between regions are narrow and shared by all traffic.
const BYTE_COST_REMOTE: f64 = 0.30 / 100_000.0;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Hash of the object that the request concerns.
    pub object: Option<u64>,
    /// Hash of the route, whose requests need about the same work.
    pub route: u32,
    /// Version that has to answer, if not all may.
    pub release: Option<&'a Release>,
    /// Regions in which it may run; empty if everywhere.
    pub homes: &'a [Region],
    /// Regions to which it must not go unless there is no other.
    pub barred: &'a [Region],
    /// Backend servers that already had this request.
    pub excluded: &'a [usize],
    /// Latency objective.
    pub objective: Duration,
    /// Bytes of a usual answer.
    pub bytes: f64,
    /// Whether a failed attempt may be repeated.
    pub repeatable: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the backend server.
    pub index: usize,
    /// Hash of the request's route.
    pub route: u32,
    /// Expected time until the header of the answer.
    pub expected: Duration,
    /// Part of it that is spent in the server's queue.
    pub wait: Duration,
    /// Probability that the object is warm there.
    pub warm: f64,
    /// Age of the load that the server told last; `None` if it has told none.
    pub told: Option<Duration>,
}

/// How an attempt ended, as far as it tells something about the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answered.
    Answered,
    /// It declined because it is full.
    Shed,
    /// It failed, broke the protocol or was too slow.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// The attempt says nothing about the server.
    Abandoned,
}

/// Load that a backend server told in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
}

/// Backend servers of one service and what is known of each.
#[derive(Debug)]
pub struct Placement {
    entries: Vec<Entry>,
    index: Map<Server, usize>,
    objective: Duration,
    /// Estimates by the hash of the route.
    work: Map<u32, Work>,
    cold_per_s: f64,
}

impl Placement {
    /// Creates a placement without servers.
    pub fn new(cold_per_s: f64, objective: Duration) -> Self {
        Self {
            entries: Vec::new(),
            index: Map::default(),
            objective,
            work: Map::default(),
            cold_per_s,
        }
    }

    /// Sets the requests per second that all hosts together may send to a cold server.
    pub fn set_cold_per_s(&mut self, cold_per_s: f64) {
        self.cold_per_s = cold_per_s;
    }

    /// Adds a backend server or replaces what the platform says of it.
    pub fn list(&mut self, now: Instant, backend: &Backend) {
        if let Some(index) = self.index.get(&backend.server) {
            self.entries[*index].relist(now, backend);
            return;
        }
        let entry = Entry::new(now, backend);
        let free = self.entries.iter().position(Entry::is_free);
        let index = free.unwrap_or(self.entries.len());
        match free {
            Some(index) => self.entries[index] = entry,
            None => self.entries.push(entry),
        }
        self.index.insert(backend.server.clone(), index);
    }

    /// Removes a backend server; requests at it run to their end.
    pub fn unlist(&mut self, server: &Server) {
        if let Some(index) = self.index.remove(server) {
            self.entries[index].unlist();
        }
    }

    /// Returns the backend server at an index.
    pub fn backend(&self, index: usize) -> &Backend {
        &self.entries[index].backend
    }

    /// Returns the listed backend servers with their indices.
    pub fn listed(&self) -> impl Iterator<Item = (usize, &Backend)> {
        let entries = self.entries.iter().enumerate();
        entries
            .filter(|(_, entry)| entry.is_listed())
            .map(|(index, entry)| (index, &entry.backend))
    }

    /// Returns the index of a listed backend server.
    pub fn find(&self, server: &Server) -> Option<usize> {
        self.index.get(server).copied()
    }

    /// Returns the usual seconds of work on an object that is not warm.
    pub fn cold_work(&self, route: u32) -> f64 {
        self.estimates(route).cold()
    }

    fn estimates(&self, route: u32) -> Work {
        let known = self.work.get(&route);
        known.copied().unwrap_or_else(|| Work::new(self.objective))
    }

    /// Sets how many hosts, this one included, may send to the server while it is cold.
    pub fn set_sponsors(&mut self, index: usize, sponsors: Option<usize>) {
        self.entries[index].sponsors = sponsors;
    }

    /// Marks a server as cold for a time, or as warm.
    pub fn set_cold(&mut self, now: Instant, index: usize, left: Duration) {
        self.entries[index].set_cold(now, left);
    }

    /// Requires an answer to a health check before the server gets requests.
    pub fn doubt(&mut self, index: usize) {
        self.entries[index].doubted = true;
    }

    /// Returns whether the server waits for an answer to a health check.
    pub fn is_doubted(&self, index: usize) -> bool {
        self.entries[index].doubted
    }

    /// Ends the wait for an answer to a health check.
    pub fn trust(&mut self, index: usize) {
        self.entries[index].doubted = false;
    }

    /// Returns the seconds of work that requests need on average.
    pub fn usual_work(&self, route: u32) -> f64 {
        self.estimates(route).usual()
    }

    /// Returns the slots of the servers near this host that may answer with a version.
    pub fn near_slots(&self, release: Option<&Release>) -> f64 {
        let near = self.entries.iter().filter(|entry| {
            let backend = &entry.backend;
            entry.is_listed()
                && backend.tier != Tier::Remote
                && !backend.draining
                && release.is_none_or(|it| *it == backend.release)
        });
        near.map(|entry| f64::from(entry.backend.slots)).sum()
    }

    /// Returns whether a server is cold, so that its answers tell little about its version.
    pub fn is_cold(&self, now: Instant, index: usize) -> bool {
        self.entries[index].is_cold(now)
    }

    /// Returns the best place for a request, or `None` if no server may take it.
    pub fn choose(&mut self, now: Instant, query: &Query<'_>) -> Option<Choice> {
        let cold_per_s = self.cold_per_s;
        for entry in &mut self.entries {
            entry.refresh(now, cold_per_s);
        }
        let homes = self.home_servers(now, query);
        let work = self.estimates(query.route);
        let pressure = self.pressure(now);
        let mut best: Option<(f64, Choice)> = None;
        for (index, entry) in self.entries.iter().enumerate() {
            if !entry.is_usable(now, query) || query.excluded.contains(&index) {
                continue;
            }
            let warm = entry.warmth(now, query.object, home_warmth(&homes, index, entry));
            let choice = self.estimate(now, index, query.route, &work, warm);
            let avoidable = (work.mean(warm) - work.mean(WARM_HOME)).max(0.0);
            let cost = self.cost(now, &choice, query, &work) + pressure * avoidable;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Counts a request that is sent to the server.
    pub fn begin(&mut self, now: Instant, choice: &Choice, object: Option<u64>) {
        self.entries[choice.index].begin(now, object);
    }

    /// Counts the end of an attempt; `latency` is the time to the header of the answer.
    pub fn end(&mut self, now: Instant, choice: &Choice, verdict: Verdict, latency: Duration) {
        let entry = &mut self.entries[choice.index];
        let rtt = entry.rtt().as_secs_f64();
        entry.end(now, verdict);
        let served = (latency.as_secs_f64() - rtt - choice.wait.as_secs_f64()).max(0.001);
        let work = self.work.entry(choice.route);
        let work = work.or_insert_with(|| Work::new(self.objective));
        // Compared with all answers and not with the expected one: while caches are cold, a server
        // is not slow because its objects are.
        let ratio = served / work.usual();
        match verdict {
            Verdict::Answered => {
                if !entry.is_cold(now) {
                    work.observe(served);
                }
                entry.observe_speed(ratio);
            }
            // The answer would have taken longer still.
            Verdict::Abandoned if ratio > 4.0 => entry.observe_speed(ratio),
            _ => {}
        }
    }

    /// Takes note of the load that a server told.
    pub fn observe_load(&mut self, now: Instant, index: usize, load: Load) {
        self.entries[index].observe_load(now, load);
    }

    /// Returns the loads that servers told this host within `age`.
    pub fn told(&self, now: Instant, age: Duration) -> impl Iterator<Item = (&Server, Load)> {
        self.entries.iter().filter_map(move |entry| {
            let load = entry.told_within(now, age)?;
            entry.is_listed().then_some((&entry.backend.server, load))
        })
    }

    /// Takes note of loads that other hosts were told.
    pub fn hear_loads(&mut self, now: Instant, load: impl Fn(&Server) -> Option<Load>) {
        for entry in &mut self.entries {
            if entry.is_listed()
                && let Some(load) = load(&entry.backend.server)
            {
                entry.hear_load(now, load);
            }
        }
    }

    /// Takes note of the time that a new connection took.
    pub fn observe_distance(&mut self, index: usize, rtt: Duration) {
        self.entries[index].observe_rtt(rtt);
    }

    /// Returns what a second of avoidable work costs the other requests.
    fn pressure(&self, now: Instant) -> f64 {
        let listed = self.entries.iter().filter(|entry| entry.is_listed());
        let (load, slots) = listed.fold((0.0, 0.0), |(load, slots), entry| {
            let own = f64::from(entry.backend.slots);
            (load + entry.load(now).min(2.0 * own), slots + own)
        });
        (PRESSURE * (load / f64::max(slots, 1.0) - PRESSURE_FROM)).clamp(0.0, PRESSURE_MAX)
    }

    /// Returns the two best servers of each region for the object.
    fn home_servers(&self, now: Instant, query: &Query<'_>) -> Vec<Home> {
        let mut homes: Vec<Home> = Vec::new();
        let Some(object) = query.object else {
            return homes;
        };
        for (index, entry) in self.entries.iter().enumerate() {
            if !entry.is_usable(now, query) {
                continue;
            }
            let rank = entry.rank(object);
            let region = &entry.backend.region;
            match homes.iter_mut().find(|home| home.region == *region) {
                Some(home) => home.offer(rank, index),
                None => homes.push(Home {
                    region: region.clone(),
                    first: (rank, index),
                    second: None,
                }),
            }
        }
        homes
    }

    fn estimate(&self, now: Instant, index: usize, route: u32, work: &Work, warm: f64) -> Choice {
        let entry = &self.entries[index];
        let wait = entry.wait(now, work.usual()) * entry.speed();
        let work = work.mean(warm) * entry.speed();
        Choice {
            index,
            route,
            expected: entry.rtt() + Duration::from_secs_f64(wait + work),
            wait: Duration::from_secs_f64(wait),
            warm,
            told: entry.told_age(now),
        }
    }

    fn cost(&self, now: Instant, choice: &Choice, query: &Query<'_>, work: &Work) -> f64 {
        let entry = &self.entries[choice.index];
        let bytes = match entry.backend.tier {
            Tier::Local => 0.0,
            Tier::Region => BYTE_COST_REGION * query.bytes,
            Tier::Remote => BYTE_COST_REMOTE * query.bytes,
        };
        let repeat = if query.repeatable { 1.0 } else { 2.0 };
        let failure = entry.failure(now) * FAILURE_COST * repeat * query.objective.as_secs_f64();
        let occupancy = entry.occupancy(now) * OCCUPANCY_COST * work.usual();
        choice.expected.as_secs_f64() + bytes + failure + occupancy
    }
}

/// The servers of one region that all hosts choose for an object.
#[derive(Debug)]
struct Home {
    region: Region,
    /// Rank and index of the best server.
    first: (u64, usize),
    /// Rank and index of the one that takes what the best server cannot.
    second: Option<(u64, usize)>,
}

impl Home {
    fn offer(&mut self, rank: u64, index: usize) {
        if rank > self.first.0 {
            self.second = Some(self.first);
            self.first = (rank, index);
        } else if self.second.is_none_or(|(second, _)| rank > second) {
            self.second = Some((rank, index));
        }
    }
}

/// Returns the probability that an object is warm at a server that hosts choose for it.
fn home_warmth(homes: &[Home], index: usize, entry: &Entry) -> Option<f64> {
    let home = homes
        .iter()
        .find(|home| home.region == entry.backend.region)?;
    if home.second.is_some_and(|(_, second)| second == index) {
        return Some(WARM_SECOND);
    }
    let near = entry.backend.tier != Tier::Remote;
    (home.first.1 == index).then_some(if near { WARM_HOME } else { WARM_ABROAD })
}

#[cfg(test)]
mod tests;
