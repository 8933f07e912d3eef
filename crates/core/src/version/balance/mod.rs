//! Load balancing between the backend servers of one service.

mod health;
mod limit;

use azurenotch_wire::{
    id::{Release, Server},
    time::Instant,
};
use health::Health;
use limit::Limit;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Share of a backend server's slots that hosts in other data centres may use.
///
/// The rest is reserved for nearby callers, so that an overload does not cascade from one data
/// centre to the next.
const OVERFLOW_SHARE: f64 = 0.5;

/// Share of its slots that a backend server may use at the start of its ramp-up.
const RAMP_START_SHARE: f64 = 0.1;

/// Distance of a backend server from this host; lower is nearer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// Same data centre.
    Local,
    /// Another data centre of the same region.
    Region,
    /// Another region.
    Remote,
}

/// Backend server of a service, as the configuration lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the backend server.
    pub server: Server,
    /// Version that it runs.
    pub release: Release,
    /// Distance from this host.
    pub tier: Tier,
    /// Concurrent requests that it can run, for all hosts together.
    pub slots: u32,
    /// Number of hosts that usually share its slots.
    pub sharing_hosts: u32,
    /// Whether it is draining and gets no new requests.
    pub draining: bool,
    /// Whether its caches may be cold; traffic to it ramps up then.
    pub cold: bool,
}

/// Requirements of a request.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Version that must answer.
    pub release: &'a Release,
    /// Indices of the backend servers that already failed this request.
    pub excluded: &'a [usize],
}

/// Outcome of an attempt, classified by what it shows about the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The backend server answered.
    Answered,
    /// The backend server refused the request because it is overloaded.
    Shed,
    /// The backend server failed, timed out or violated the protocol.
    Failed,
    /// The attempt ended for a reason unrelated to the backend server.
    Abandoned,
}

/// Load balancer for the backend servers of one service.
///
/// It uses only the host's own counts and measurements. Load reported by a backend server is
/// ignored, because it can be outdated or misleading.
#[derive(Debug)]
pub struct Balancer {
    /// Entries keep their index while a request runs; those of removed servers are reused if idle.
    entries: Vec<Entry>,
    random: SmallRng,
}

#[derive(Debug)]
struct Entry {
    candidate: Candidate,
    /// Whether the current configuration version lists the backend server.
    listed: bool,
    in_flight: u32,
    limit: Limit,
    health: Health,
}

impl Balancer {
    /// Creates a balancer for the given backend servers; `seed` seeds its random choices.
    pub fn new(candidates: &[Candidate], seed: u64) -> Self {
        let mut balancer = Self {
            entries: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
        };
        balancer.update(Instant::ZERO, candidates);
        balancer
    }

    /// Replaces the list of backend servers and keeps the measurements of those that remain.
    pub fn update(&mut self, now: Instant, candidates: &[Candidate]) {
        for entry in &mut self.entries {
            entry.listed = false;
        }
        for candidate in candidates {
            let existing = self
                .entries
                .iter_mut()
                .find(|entry| entry.candidate.server == candidate.server);
            match existing {
                Some(entry) => entry.update(now, candidate),
                None => self.insert(now, candidate),
            }
        }
    }

    /// Returns the index of the backend server to use, or `None` if none has a free slot.
    ///
    /// A farther tier is used only when all nearer ones are full.
    pub fn pick(&mut self, now: Instant, query: &Query<'_>) -> Option<usize> {
        [Tier::Local, Tier::Region, Tier::Remote]
            .into_iter()
            .find_map(|tier| self.pick_in(now, tier, query))
    }

    /// Returns the candidate at an index from [`Balancer::pick`].
    pub fn candidate(&self, index: usize) -> &Candidate {
        &self.entries[index].candidate
    }

    /// Counts the start of a request at the backend server.
    pub fn begin(&mut self, index: usize) {
        self.entries[index].in_flight += 1;
    }

    /// Counts the end of a request; `latency` is the time to the header of the answer.
    ///
    /// Returns the change of the backend server's availability, if there is one.
    pub fn end(
        &mut self,
        index: usize,
        now: Instant,
        verdict: Verdict,
        latency: Duration,
    ) -> Option<Transition> {
        let may_eject = self.may_eject(now, index);
        let entry = &mut self.entries[index];
        entry.limit.observe(verdict, entry.in_flight);
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.health.observe(now, verdict, latency, may_eject)
    }

    /// Returns the number of requests in flight at all backend servers.
    pub fn in_flight(&self) -> u32 {
        self.entries.iter().map(|entry| entry.in_flight).sum()
    }

    fn insert(&mut self, now: Instant, candidate: &Candidate) {
        let entry = Entry {
            candidate: candidate.clone(),
            listed: true,
            in_flight: 0,
            limit: Limit::new(candidate),
            health: Health::new(now, candidate.cold),
        };
        match self
            .entries
            .iter()
            .position(|entry| !entry.listed && entry.in_flight == 0)
        {
            Some(index) => self.entries[index] = entry,
            None => self.entries.push(entry),
        }
    }

    /// Returns the cheaper of two random backend servers of a tier that have a free slot.
    fn pick_in(&mut self, now: Instant, tier: Tier, query: &Query<'_>) -> Option<usize> {
        let Self { entries, random } = self;
        let mut eligible = entries
            .iter()
            .enumerate()
            .filter(|(index, entry)| {
                entry.candidate.tier == tier
                    && entry.is_usable(now, query.release)
                    && entry.has_free_slot(now)
                    && !query.excluded.contains(index)
            })
            .map(|(index, _)| index);
        let mut first = eligible.next()?;
        let Some(mut second) = eligible.next() else {
            return Some(first);
        };
        // Reservoir sampling gives every pair the same probability without an allocation.
        for (seen, index) in (3_u32..).zip(eligible) {
            match random.random_range(0..seen) {
                0 => first = index,
                1 => second = index,
                _ => {}
            }
        }
        let cheaper = entries[first].cost(now) <= entries[second].cost(now);
        Some(if cheaper { first } else { second })
    }

    /// Returns whether at least half of the server's group stays available without it.
    ///
    /// The group contains the listed, not draining servers of the same tier and version.
    fn may_eject(&self, now: Instant, index: usize) -> bool {
        let subject = &self.entries[index].candidate;
        let group = self.entries.iter().filter(|entry| {
            entry.listed
                && entry.candidate.tier == subject.tier
                && entry.candidate.release == subject.release
                && !entry.candidate.draining
        });
        let (total, ejected) = group.fold((0_usize, 0_usize), |(total, ejected), entry| {
            (
                total + 1,
                ejected + usize::from(entry.health.is_ejected(now)),
            )
        });
        2 * (ejected + 1) <= total
    }
}

impl Entry {
    fn update(&mut self, now: Instant, candidate: &Candidate) {
        let restarted =
            self.candidate.release != candidate.release || (!self.listed && candidate.cold);
        if restarted {
            self.health = Health::new(now, true);
        }
        let resized = self.candidate.slots != candidate.slots
            || self.candidate.sharing_hosts != candidate.sharing_hosts;
        if restarted || resized {
            self.limit = Limit::new(candidate);
        }
        self.candidate = candidate.clone();
        self.listed = true;
    }

    fn is_usable(&self, now: Instant, release: &Release) -> bool {
        self.listed
            && !self.candidate.draining
            && self.candidate.release == *release
            && !self.health.is_ejected(now)
    }

    fn has_free_slot(&self, now: Instant) -> bool {
        let share = match self.candidate.tier {
            Tier::Local => 1.0,
            Tier::Region | Tier::Remote => OVERFLOW_SHARE,
        };
        let slots = self.limit.slots() * share * self.health.ramp_share(now);
        f64::from(self.in_flight) < slots.max(1.0)
    }

    fn cost(&self, now: Instant) -> f64 {
        let slots = self.limit.slots() * self.health.ramp_share(now);
        f64::from(self.in_flight + 1) / slots * self.health.latency().as_secs_f64()
    }
}

/// Change of a backend server's availability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The backend server was ejected after consecutive failures.
    Ejected,
    /// The backend server completed its ramp-up after an ejection.
    Restored,
}

#[cfg(test)]
mod tests;
