//! Chooses the backend server of a request.

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

/// Share of a remote backend server's slots that overflow from another tier may use.
///
/// The rest stays free for the callers nearby, so that an overload does not cascade from one data
/// centre to the next.
const OVERFLOW_SHARE: f64 = 0.5;

/// Smallest share of its slots that a recovering backend server takes.
const RAMP_START: f64 = 0.1;

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

/// A backend server of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the backend server.
    pub server: Server,
    /// Version that it runs.
    pub release: Release,
    /// Distance from this host.
    pub tier: Tier,
    /// Requests that it runs at the same time, for all hosts together.
    pub slots: u32,
    /// Hosts that usually share its slots.
    pub sharers: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether its caches may be cold, so that traffic to it ramps up.
    pub cold: bool,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Version that has to answer.
    pub release: &'a Release,
    /// Backend servers that already failed this request.
    pub excluded: &'a [usize],
}

/// How an attempt ended, as far as it tells something about the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The backend server answered.
    Answered,
    /// It refused work because it is overloaded.
    Shed,
    /// It failed, timed out or broke the protocol.
    Failed,
    /// The attempt ended for a reason that has nothing to do with the backend server.
    Abandoned,
}

/// Chooses between the backend servers of one service.
///
/// Only the host's own counts and measurements decide. Load that a backend server reports lags or
/// misleads and is not used.
#[derive(Debug)]
pub struct Balance {
    /// Indices stay valid while a request runs; entries of removed servers are reused when idle.
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

impl Balance {
    /// Creates a balance over the given backend servers.
    pub fn new(candidates: &[Candidate], seed: u64) -> Self {
        let mut balance = Self {
            entries: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
        };
        balance.update(Instant::ZERO, candidates);
        balance
    }

    /// Replaces the list of backend servers and keeps what is known about those that stay.
    pub fn update(&mut self, now: Instant, candidates: &[Candidate]) {
        for entry in &mut self.entries {
            entry.listed = false;
        }
        for candidate in candidates {
            let known = self
                .entries
                .iter_mut()
                .find(|entry| entry.candidate.server == candidate.server);
            match known {
                Some(entry) => entry.relist(now, candidate),
                None => self.insert(now, candidate),
            }
        }
    }

    /// Returns the index of the backend server to use, or `None` if none has a free slot.
    pub fn pick(&mut self, now: Instant, query: &Query<'_>) -> Option<usize> {
        [Tier::Local, Tier::Region, Tier::Remote]
            .into_iter()
            .find_map(|tier| self.pick_in(now, tier, query))
    }

    /// Returns the candidate at an index from [`Balance::pick`].
    pub fn candidate(&self, index: usize) -> &Candidate {
        &self.entries[index].candidate
    }

    /// Counts a request that is sent to the backend server.
    pub fn begin(&mut self, index: usize) {
        self.entries[index].in_flight += 1;
    }

    /// Counts the end of a request; `latency` is the time to the header of the answer.
    ///
    /// Returns whether this changed the availability of the backend server.
    pub fn end(
        &mut self,
        index: usize,
        now: Instant,
        verdict: Verdict,
        latency: Duration,
    ) -> Option<Shift> {
        let may_eject = self.may_eject(now, index);
        let entry = &mut self.entries[index];
        entry.limit.observe(verdict, entry.in_flight);
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.health.observe(now, verdict, latency, may_eject)
    }

    /// Returns the requests running at all backend servers.
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

    /// Compares two random backend servers of a tier that have a free slot.
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
        // Reservoir sampling gives every pair the same chance without an allocation.
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

    /// Returns whether more than half of the server's group stays available without it.
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
    fn relist(&mut self, now: Instant, candidate: &Candidate) {
        let restarted =
            self.candidate.release != candidate.release || (!self.listed && candidate.cold);
        if restarted {
            self.health = Health::new(now, true);
        }
        let resized =
            self.candidate.slots != candidate.slots || self.candidate.sharers != candidate.sharers;
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
        let slots = self.limit.slots() * share * self.health.ramp(now);
        f64::from(self.in_flight) < slots.max(1.0)
    }

    fn cost(&self, now: Instant) -> f64 {
        let slots = self.limit.slots() * self.health.ramp(now);
        f64::from(self.in_flight + 1) / slots * self.health.latency().as_secs_f64()
    }
}

/// Change of a backend server's availability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shift {
    /// It was ejected after failures.
    Ejected,
    /// It answered again after an ejection.
    Restored,
}

#[cfg(test)]
mod tests;
