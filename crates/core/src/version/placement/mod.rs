//! Selects the backend server of one service with the lowest expected cost for a request.
//!
//! Load pattern: callers ask for more than cold backend servers can do, and a server with an object
//! in its cache answers several times faster. Each request goes where its expected time is shortest:
//! the round trip, the queue, and the work with a warm or cold cache. Rendezvous hashing makes all
//! hosts of a region send the requests for an object to the same server, its home server. This keeps
//! few copies in the caches without coordination per request. If the queue there is long, requests go
//! to the next best server, which is the same for all hosts too. The higher the load of all servers,
//! the higher the cost of an avoidable cache miss.

mod absence;
mod check;
mod choice;
mod entry;
mod estimate;
mod hit;
mod home;
mod limited;
mod speed;
mod timing;
mod unlisted;

pub use crate::version::balance::Tier;
pub use check::{Finding, MAX_CHECK_TIME};
pub use choice::{Choice, Query};
pub use entry::Backend;
pub use estimate::Work;
pub use hit::{Class, Place, Rank};
pub use speed::{Figure, MAX_PASSED_ON, Report, most_different};

use absence::Leave;
use azurenotch_wire::{
    Map,
    hash::hash32,
    id::{Release, Server},
    time::Instant,
    work,
};
use entry::Entry;
use hit::Hits;
use home::Demand;
use speed::Persistence;
use std::{collections::BTreeSet, time::Duration};
use unlisted::Unlisted;

/// Outcome of an attempt for the assessment of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The server answered.
    Answered,
    /// The server declined the request because of its load.
    Shed,
    /// The server failed, violated the protocol or was too slow.
    Failed,
    /// The server was unreachable.
    Unreachable,
    /// The server declined the request and asked for a pause, which is no failure.
    Paused,
    /// The attempt ended for a reason that does not concern the server.
    Abandoned,
}

/// Load that a backend server reported in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that may run concurrently.
    pub slots: u32,
}

/// Backend servers of one service with the observed state of each.
#[derive(Debug)]
pub struct Placement {
    entries: Vec<Entry>,
    /// Indices of servers that are not listed, some of which still run requests.
    vacant: BTreeSet<usize>,
    index: Map<Server, usize>,
    /// Indices by the hash of the server's name.
    index_by_hash: Map<u32, usize>,
    objective: Duration,
    /// Estimates of the work by the hash of the route.
    work: Map<u32, Work>,
    /// Measured hit probabilities.
    hits: Hits,
    /// When the demand for objects and the room in the caches were last checked.
    checked: Instant,
    demand: Demand,
    /// Requests per second at all hosts of this host's region; 0 if it is not known.
    region_rate: f64,
    /// Hash of this host's name.
    host: u64,
    cold_per_s: f64,
    /// Processes of servers that said that they are leaving; outlives their listings.
    ///
    /// By the hash of the server's name.
    leaving: Map<u32, Leave>,
    /// Time for which a leaving server may get requests that no other server can take.
    drain: Duration,
    /// What processes of servers have said that are not listed at present.
    unlisted: Map<Server, Unlisted>,
    /// Processes, by server, that have named a limit that cannot be read.
    unreadable_limits: Map<Server, u64>,
    /// What is known of the speed that servers tell.
    persistence: Persistence,
}

impl Placement {
    /// Creates a placement without servers.
    ///
    /// All hosts together may send `cold_per_s` requests per second to a cold server.
    pub fn new(cold_per_s: f64, objective: Duration) -> Self {
        Self {
            entries: Vec::new(),
            vacant: BTreeSet::new(),
            index: Map::default(),
            index_by_hash: Map::default(),
            objective,
            work: Map::default(),
            hits: Hits::new(),
            checked: Instant::ZERO,
            demand: Demand::NONE,
            region_rate: 0.0,
            host: 0,
            cold_per_s,
            leaving: Map::default(),
            drain: Duration::ZERO,
            unlisted: Map::default(),
            unreadable_limits: Map::default(),
            persistence: Persistence::default(),
        }
    }

    /// Sets the requests per second that all hosts together may send to a cold server.
    pub fn set_cold_per_s(&mut self, cold_per_s: f64) {
        self.cold_per_s = cold_per_s;
    }

    /// Adds a backend server, or updates its listing.
    pub fn insert(&mut self, now: Instant, backend: &Backend) {
        let hash = hash32(backend.server.as_str());
        let leaving = self.leaving.get(&hash);
        let leaving = leaving.filter(|it| it.is(now, backend.incarnation));
        let leaving = leaving.map(|it| it.since);
        if let Some(index) = self.index.get(&backend.server) {
            self.entries[*index].update(now, backend);
            self.entries[*index].leaving = leaving;
            return;
        }
        let mut entry = Entry::new(now, backend);
        entry.leaving = leaving;
        if let Some(unlisted) = self.take_unlisted(backend) {
            entry.limit = unlisted.limit;
            entry.pause(unlisted.paused_until);
        }
        let mut vacant = self.vacant.iter().copied();
        let reusable = vacant.find(|index| {
            work::step();
            self.entries[*index].is_reusable()
        });
        let index = reusable.unwrap_or(self.entries.len());
        if reusable.is_some() {
            self.vacant.remove(&index);
            self.entries[index] = entry;
        } else {
            self.entries.push(entry);
        }
        self.index.insert(backend.server.clone(), index);
        self.index_by_hash.insert(hash, index);
    }

    /// Removes a backend server; its running requests are not cancelled.
    pub fn remove(&mut self, server: &Server) {
        if let Some(index) = self.index.remove(server) {
            self.entries[index].remove();
            self.vacant.insert(index);
            self.index_by_hash.remove(&hash32(server.as_str()));
            self.keep_unlisted(index);
        }
    }

    /// Returns the backend server at an index; panics if there has never been one.
    pub fn backend(&self, index: usize) -> &Backend {
        &self.entries[index].backend
    }

    /// Returns the listed backend servers with their indices.
    pub fn backends(&self) -> impl Iterator<Item = (usize, &Backend)> {
        let entries = self.entries.iter().enumerate();
        entries
            .inspect(|_| work::step())
            .filter(|(_, entry)| entry.is_listed())
            .map(|(index, entry)| (index, &entry.backend))
    }

    /// Returns the index of a listed backend server.
    pub fn find(&self, server: &Server) -> Option<usize> {
        self.index.get(server).copied()
    }

    /// Returns the estimated work on an object that is not cached, in seconds.
    pub fn cold_work(&self, route: u32) -> f64 {
        self.estimates(route).cold() * self.persistence.mean()
    }

    /// Returns the time after which the answer to a choice is slow: `factor` times the work on an
    /// uncached object after the expected wait; `None` for a server whose caches are all cold.
    pub fn slow_after(&self, now: Instant, choice: &Choice, factor: f64) -> Option<Duration> {
        if self.is_cold(now, choice.index) {
            return None;
        }
        let work = Duration::try_from_secs_f64(factor * self.cold_work(choice.route));
        work.ok().map(|work| choice.wait + work)
    }

    /// Returns the means over the routes of the work on a cached object and of the average work.
    fn mean_work(&self) -> [f64; 2] {
        let routes = f64::max(self.work.len() as f64, 1.0);
        let warm = self.work.values().map(|work| work.expected(1.0));
        let average = self.work.values().map(Work::average);
        [warm.sum::<f64>() / routes, average.sum::<f64>() / routes]
    }

    fn estimates(&self, route: u32) -> Work {
        let known = self.work.get(&route);
        known.copied().unwrap_or_else(|| Work::new(self.objective))
    }

    /// Sets how many hosts, this one included, may send to the server while it is cold.
    ///
    /// `senders` is `None` if this host may not.
    pub fn set_warmup_senders(&mut self, index: usize, senders: Option<usize>) {
        self.entries[index].warmup_senders = senders;
    }

    /// Marks a server as cold for the time `left`, or as warm if that is zero.
    pub fn set_cold(&mut self, now: Instant, index: usize, left: Duration) {
        self.entries[index].set_cold(now, left);
    }

    /// Withholds requests from the server until [`Self::confirm_health`] is called.
    pub fn require_health_check(&mut self, index: usize) {
        self.entries[index].awaits_health_check = true;
    }

    /// Returns whether the server gets no requests until a health check succeeds.
    pub fn awaits_health_check(&self, index: usize) -> bool {
        self.entries[index].awaits_health_check
    }

    /// Records that a health check succeeded, so that the server gets requests.
    pub fn confirm_health(&mut self, index: usize) {
        self.entries[index].awaits_health_check = false;
    }

    /// Returns the average work of requests, in seconds.
    pub fn average_work(&self, route: u32) -> f64 {
        self.estimates(route).average() * self.persistence.mean()
    }

    /// Returns the slots of the servers in this host's region that run a version, or any version.
    ///
    /// Draining servers do not count.
    pub fn region_slots(&self, release: Option<&Release>) -> f64 {
        let near = self.entries.iter().filter(|entry| {
            let backend = &entry.backend;
            entry.is_listed()
                && backend.tier != Tier::Remote
                && !backend.draining
                && release.is_none_or(|it| *it == backend.release)
        });
        near.map(|entry| f64::from(entry.backend.slots)).sum()
    }

    /// Returns whether a server is cold; its latency then says little about its version.
    pub fn is_cold(&self, now: Instant, index: usize) -> bool {
        self.entries[index].is_cold(now)
    }

    /// Counts a request that is sent to the server.
    pub fn begin(&mut self, now: Instant, choice: &Choice, object: Option<u64>) {
        self.entries[choice.index].begin(now, object);
        if let Some(object) = object {
            self.hits.count(now, object);
        }
    }

    /// Records the outcome of an attempt; `latency` is the time to the header of the answer.
    pub fn end(&mut self, now: Instant, choice: &Choice, verdict: Verdict, latency: Duration) {
        let entry = &mut self.entries[choice.index];
        let rtt = entry.rtt().as_secs_f64();
        entry.end(now, verdict);
        let served = (latency.as_secs_f64() - rtt - choice.wait.as_secs_f64()).max(0.001);
        let served = served / speed::during(now, served, choice, &entry.speed, &self.persistence);
        let work = self.work.entry(choice.route);
        let work = work.or_insert_with(|| Work::new(self.objective));
        // The time is compared with the average of all answers, not with the expected time: while
        // caches are cold, a cache miss does not mean that the server is slow.
        let ratio = served / work.average();
        match verdict {
            Verdict::Answered => {
                if !entry.is_cold(now) {
                    let warm = work.is_warm(served, choice.wait.as_secs_f64());
                    if let Some((place, hit)) = choice.place.zip(warm) {
                        self.hits.observe(place, hit);
                    }
                    work.observe(served);
                }
                entry.observe_relative_time(ratio);
            }
            // An attempt abandoned this late shows a slow server: its answer would have taken longer.
            Verdict::Abandoned if ratio > 4.0 => entry.observe_relative_time(ratio),
            _ => {}
        }
    }

    /// Records the load that a server reported to this host.
    pub fn observe_load(&mut self, now: Instant, index: usize, load: Load) {
        self.entries[index].observe_load(now, load);
    }

    /// Returns the loads that servers reported to this host within `max_age`.
    pub fn reported_loads(
        &self,
        now: Instant,
        max_age: Duration,
    ) -> impl Iterator<Item = (&Server, Load)> {
        self.entries.iter().filter_map(move |entry| {
            let load = entry.direct_load(now, max_age)?;
            entry.is_listed().then_some((&entry.backend.server, load))
        })
    }

    /// Records a load that another host passed on, of the server whose name has the hash `server`.
    pub fn receive_load(&mut self, now: Instant, server: u32, load: Load) {
        if let Some(index) = self.index_by_hash.get(&server) {
            self.entries[*index].receive_load(now, load);
        }
    }

    /// Records the round-trip time to a server, measured when a connection was opened.
    pub fn observe_rtt(&mut self, index: usize, rtt: Duration) {
        self.entries[index].observe_rtt(rtt);
    }
}

#[cfg(test)]
mod tests;
