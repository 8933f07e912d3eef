//! Expected cost of each server for a request, and the choice of the cheapest one.

use super::{Class, Entry, Figure, Place, Placement, Tier, Work, hit, home::Ranking};
use azurenotch_wire::{
    id::{Region, Release},
    time::Instant,
};
use std::time::Duration;

/// Share of all slots in use above which avoidable work costs more than its own time.
const PRESSURE_THRESHOLD: f64 = 0.25;
/// Cost of a second of avoidable work for each unit of load above [`PRESSURE_THRESHOLD`], in seconds.
///
/// A cache miss takes slots from several cache hits and evicts their objects. Without this cost the
/// requests that spilled over during an overload kept all caches cold for as long as it lasted.
const PRESSURE_SLOPE: f64 = 8.0;
/// Largest cost of a second of avoidable work, in seconds.
const MAX_PRESSURE: f64 = 4.0;
/// Cost of a failed attempt, as a multiple of the latency objective.
const FAILURE_COST_OBJECTIVES: f64 = 3.0;
/// Cost of a server with all slots in use compared with an idle one, as a share of the average work.
///
/// Other hosts choose at the same time, so a server that looks nearly full may already be full.
const OCCUPANCY_COST_SHARE: f64 = 0.15;
/// Cost of a byte that crosses data centres within a region, in seconds: 150 ms for 100 KB.
const CENTRE_COST_S_PER_BYTE: f64 = 0.15 / 100_000.0;
/// Cost of a byte that crosses regions, in seconds: 300 ms for 100 KB.
///
/// Links between regions are narrow and shared by all traffic.
const REGION_COST_S_PER_BYTE: f64 = 0.30 / 100_000.0;
/// Largest cost by which other regions differ for an object, as a share of the average work.
///
/// Without it, all hosts of a region prefer the same one of several equally near regions, and move
/// to the next when its queues are long.
const REGION_RANK_COST_SHARE: f64 = 0.1;
/// Cost of a home that this host does not prefer, as a share of the average work.
const OTHER_HOME_COST_SHARE: f64 = 0.05;

/// Backend server chosen for a request, with the estimates behind the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the backend server.
    pub index: usize,
    /// Hash of the request's route.
    pub route: u32,
    /// Expected time until the header of the answer.
    pub expected: Duration,
    /// Part of the expected time that is spent in the server's queue.
    pub wait: Duration,
    /// Probability that the server has the object in its cache.
    pub hit_probability: f64,
    /// What that probability is measured by; `None` if the request concerns no object.
    pub place: Option<Place>,
    /// Age of the load that the server reported last; `None` if it has reported none.
    pub load_age: Option<Duration>,
    /// Speed that the server told last; `None` if it tells none.
    pub figure: Option<Figure>,
    /// Time that the work is expected to take because of the speed, as a multiple of the usual.
    pub slowness: f64,
}

/// Requirements of a request on the backend server.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Hash of the object that the request concerns; `None` if it concerns none.
    pub object: Option<u64>,
    /// Hash of the route; its requests need about the same work.
    pub route: u32,
    /// Version that has to answer; `None` if any may.
    pub release: Option<&'a Release>,
    /// Regions in which the request may run; empty if it may run in all.
    pub allowed_regions: &'a [Region],
    /// Regions that must not get the request; query again without them if no server is left.
    pub excluded_regions: &'a [Region],
    /// Indices of the backend servers that already had this request.
    pub excluded_servers: &'a [usize],
    /// Latency objective of the route.
    pub objective: Duration,
    /// Average size of an answer in bytes.
    pub bytes: f64,
    /// Whether a failed attempt may be repeated.
    pub repeatable: bool,
}

impl Placement {
    /// Returns the server with the lowest cost for a request, or `None` if none may get it.
    pub fn choose(&mut self, now: Instant, query: &Query<'_>) -> Option<Choice> {
        self.check_room(now);
        let cold_per_s = self.cold_per_s;
        for entry in &mut self.entries {
            entry.refresh(now, cold_per_s);
        }
        let drain = self.drain;
        let stays = |entry: &Entry| entry.leaving.is_none();
        let leaves = |entry: &Entry| entry.leaving.is_some_and(|at| now.since(at) < drain);
        let chosen = self.choose_among(now, query, stays);
        chosen.or_else(|| self.choose_among(now, query, leaves))
    }

    fn choose_among(
        &self,
        now: Instant,
        query: &Query<'_>,
        belongs: impl Fn(&Entry) -> bool,
    ) -> Option<Choice> {
        let object = query.object.unwrap_or_default();
        let (count, all) = self.hits.requests(now, object);
        let entries = self.entries.iter().enumerate();
        let usable = entries.filter(|(_, entry)| belongs(entry) && entry.is_usable(now, query));
        let usable: Vec<(usize, &Entry)> = usable.collect();
        let ranking = rank(&usable, query.object, self.demand.homes(count, all));
        let preferred = ranking.preferred(self.host, object);
        let work = self.estimates(query.route);
        let pressure = self.pressure(now);
        let mut best: Option<(f64, Choice)> = None;
        for (index, entry) in usable {
            if query.excluded_servers.contains(&index) {
                continue;
            }
            let place = query.object.map(|object| Place {
                rank: ranking.rank(index, entry),
                near: entry.backend.tier != Tier::Remote,
                sent: entry.was_sent(now, object),
                class: Class::new(count),
            });
            let choice = self.estimate(now, index, query.route, &work, place);
            let avoidable =
                (work.expected(choice.hit_probability) - work.expected(hit::HOME_PRIOR)).max(0.0);
            let mut cost = self.cost(now, &choice, query, &work) + pressure * avoidable;
            if preferred.is_some_and(|preferred| preferred != index) {
                cost += OTHER_HOME_COST_SHARE * work.average();
            }
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns the cost of a second of avoidable work to other requests, in seconds.
    fn pressure(&self, now: Instant) -> f64 {
        let backends = self.entries.iter().filter(|entry| entry.is_listed());
        let (load, slots) = backends.fold((0.0, 0.0), |(load, slots), entry| {
            let own = f64::from(entry.backend.slots);
            (load + entry.load(now).min(2.0 * own), slots + own)
        });
        (PRESSURE_SLOPE * (load / f64::max(slots, 1.0) - PRESSURE_THRESHOLD))
            .clamp(0.0, MAX_PRESSURE)
    }

    fn estimate(
        &self,
        now: Instant,
        index: usize,
        route: u32,
        work: &Work,
        place: Option<Place>,
    ) -> Choice {
        let entry = &self.entries[index];
        let hit_probability = place.map_or(1.0, |place| self.hits.probability(place));
        let wait = entry.wait(now, work.average()) * entry.slowdown();
        let arrival = |now| now + entry.rtt() / 2;
        let (wait, slowness) = entry.speed.scale(now, arrival, wait, &self.persistence);
        let work = work.expected(hit_probability) * entry.slowdown() * slowness;
        Choice {
            index,
            route,
            expected: entry.rtt() + Duration::from_secs_f64(wait + work),
            wait: Duration::from_secs_f64(wait),
            hit_probability,
            place,
            load_age: entry.load_age(now),
            figure: entry.speed.figure(now),
            slowness,
        }
    }

    fn cost(&self, now: Instant, choice: &Choice, query: &Query<'_>, work: &Work) -> f64 {
        let entry = &self.entries[choice.index];
        let bytes = match entry.backend.tier {
            Tier::Local => 0.0,
            Tier::Region => CENTRE_COST_S_PER_BYTE * query.bytes,
            Tier::Remote => REGION_COST_S_PER_BYTE * query.bytes,
        };
        let repeat = if query.repeatable { 1.0 } else { 2.0 };
        let failure =
            entry.failure(now) * FAILURE_COST_OBJECTIVES * repeat * query.objective.as_secs_f64();
        let occupancy = entry.occupancy(now) * OCCUPANCY_COST_SHARE * work.average();
        let region = match (entry.backend.tier, query.object) {
            (Tier::Remote, Some(object)) => {
                entry.region_rank(object) * REGION_RANK_COST_SHARE * work.average()
            }
            _ => 0.0,
        };
        choice.expected.as_secs_f64() + bytes + failure + occupancy + region
    }
}

/// Ranks the servers of each region for the object; `near_homes` are homes in the host's region.
fn rank(usable: &[(usize, &Entry)], object: Option<u64>, near_homes: usize) -> Ranking {
    let mut ranking = Ranking::default();
    let Some(object) = object else {
        return ranking;
    };
    for (index, entry) in usable {
        let near = entry.backend.tier != Tier::Remote;
        let homes = if near { near_homes } else { 1 };
        ranking.insert(*index, entry, entry.rank(object), homes);
    }
    ranking
}
