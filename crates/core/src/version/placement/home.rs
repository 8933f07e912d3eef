//! Home servers of an object: the highest-ranked servers of each region, the same at all hosts.

use super::{
    Entry, Placement, Tier,
    hit::{MAX_HOMES, Rank},
};
use azurenotch_wire::{hash::mix, id::DataCentre, time::Instant};
use std::time::Duration;

/// Largest number of servers of a region that are ranked for an object: its homes and the spare one.
const MAX_RANKED: usize = MAX_HOMES + 1;
/// Share of a server's slots that the warm work of one object may use before it gets another home.
const MAX_SLOT_SHARE: f64 = 1.0 / 3.0;
/// Standard deviations that a host takes off its count of requests for an object.
///
/// With one, the model's calm crowded site lost 0.005 of the credit to homes that were not needed.
const CAUTION: f64 = 2.0;
/// Utilization of a region's slots above which its objects get no further homes.
///
/// The cold run at a new home takes slots that a region in a burst does not have.
const MAX_UTILIZATION: f64 = 0.8;
/// Share of hits at the homes from which an object may get another home.
const MIN_HOME_WARM_SHARE: f64 = 0.5;
/// Number of objects that a cache is assumed to hold.
const CACHE_OBJECTS: f64 = 8.0;
/// Share of the caches that homes may fill; the rest is for what other regions send.
const MAX_CACHE_SHARE: f64 = 0.5;
/// Copies of each object for which caches need room before measured hit probabilities apply.
const MIN_ROOM: f64 = 2.0;
/// Share of hits at the homes from which caches count as warm.
const MIN_WARM_SHARE: f64 = 0.3;
/// Time between two checks of the room in the caches.
const CHECK_TIME: Duration = Duration::from_millis(500);

/// What decides the number of homes of an object in this host's region.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    /// Homes that one object would need if all requests of a data centre concerned it.
    pub(super) needed: f64,
    /// Copies of each object for which the caches have room.
    pub(super) room: f64,
}

impl Demand {
    /// Demand that asks for one home of each object.
    pub(super) const NONE: Self = Self {
        needed: 0.0,
        room: 1.0,
    };

    /// Returns the number of homes of an object, given this host's recent requests for it and all.
    ///
    /// The host's share of requests is taken [`CAUTION`] standard deviations below what it counted:
    /// few requests say little, and each new home costs a cold run.
    pub(super) fn homes(&self, count: u32, all: u32) -> usize {
        let count = f64::from(count);
        let least = count - CAUTION * count.sqrt();
        let homes = (self.needed * least / f64::from(all.max(1))).ceil();
        (homes.min(self.room) as usize).clamp(1, MAX_HOMES)
    }
}

/// Returns the number of copies of each object for which the caches of the servers have room.
fn room(servers: f64, objects: f64) -> f64 {
    MAX_CACHE_SHARE * CACHE_OBJECTS * servers / objects.max(1.0)
}

impl Placement {
    /// Sets the hash of this host's name, by which it prefers one of several homes.
    pub fn set_host(&mut self, host: u64) {
        self.host = host;
    }

    /// Sets the requests per second at all hosts of this host's region.
    pub fn set_region_rate(&mut self, rate: f64) {
        self.region_rate = rate;
    }

    /// Checks whether the caches in this host's region have room for more copies of the objects.
    pub(super) fn check_room(&mut self, now: Instant) {
        if now.since(self.checked) < CHECK_TIME {
            return;
        }
        self.checked = now;
        let (mut servers, mut slots) = (0.0, 0.0);
        let mut centres: Vec<&DataCentre> = Vec::new();
        for entry in &self.entries {
            let backend = &entry.backend;
            if !entry.is_listed() || backend.tier == Tier::Remote {
                continue;
            }
            servers += 1.0;
            slots += f64::from(backend.slots);
            if !centres.contains(&&backend.data_centre) {
                centres.push(&backend.data_centre);
            }
        }
        // The callers of each data centre may request other objects.
        let centres = f64::max(centres.len() as f64, 1.0);
        let room = room(servers, self.hits.objects() * centres);
        self.hits.applies = room >= MIN_ROOM && self.hits.near_homes() >= MIN_WARM_SHARE;
        let permitted = MAX_SLOT_SHARE * slots / f64::max(servers, 1.0);
        let [warm_work, average_work] = self.mean_work();
        let busy = self.region_rate / centres * warm_work;
        let warm = self.hits.near_homes() >= MIN_HOME_WARM_SHARE;
        let has_slots = self.region_rate * average_work <= MAX_UTILIZATION * slots;
        self.demand = if warm && has_slots {
            Demand {
                needed: busy / f64::max(permitted, f64::MIN_POSITIVE),
                room,
            }
        } else {
            Demand::NONE
        };
    }
}

/// The highest-ranked servers of one region for an object.
#[derive(Debug, Clone, Copy)]
struct Region {
    hash: u64,
    /// Rank and index of the servers, the highest-ranked first.
    servers: [(u64, usize); MAX_RANKED],
    known: usize,
    homes: usize,
}

impl Region {
    fn insert(&mut self, rank: u64, index: usize) {
        let wanted = self.homes + 1;
        if self.known == wanted && rank <= self.servers[wanted - 1].0 {
            return;
        }
        let better = self.servers[..self.known].iter();
        let at = better.filter(|(other, _)| *other >= rank).count();
        self.known = (self.known + 1).min(wanted);
        self.servers.copy_within(at..self.known - 1, at + 1);
        self.servers[at] = (rank, index);
    }
}

/// The highest-ranked servers of all regions for an object.
#[derive(Debug, Default)]
pub(super) struct Ranking {
    regions: Vec<Region>,
}

impl Ranking {
    /// Adds a server of a region with `homes` homes of the object, at most [`MAX_HOMES`].
    pub(super) fn insert(&mut self, index: usize, entry: &Entry, rank: u64, homes: usize) {
        let hash = entry.region_hash();
        let known = self.regions.iter_mut().find(|region| region.hash == hash);
        if let Some(region) = known {
            region.insert(rank, index);
            return;
        }
        self.regions.push(Region {
            hash,
            servers: [(rank, index); MAX_RANKED],
            known: 1,
            homes,
        });
    }

    /// Returns the home that a host prefers in the region with several ones.
    ///
    /// The choice depends on the host, so that the hosts of a region divide the requests for an
    /// object between its homes. A new home takes over only its own part of the hosts.
    pub(super) fn preferred(&self, host: u64, object: u64) -> Option<usize> {
        let region = self.regions.iter().find(|region| region.homes > 1)?;
        let homes = region.servers[..region.known.min(region.homes)].iter();
        let place = mix(host, object);
        let preferred = homes.max_by_key(|(rank, _)| mix(place, *rank));
        preferred.map(|(_, index)| *index)
    }

    /// Returns the rank of a server.
    pub(super) fn rank(&self, index: usize, entry: &Entry) -> Rank {
        let hash = entry.region_hash();
        let region = self.regions.iter().find(|region| region.hash == hash);
        let found = region.and_then(|region| {
            let mut servers = region.servers[..region.known].iter();
            let place = servers.position(|(_, it)| *it == index)?;
            Some((place, region.homes))
        });
        match found {
            Some((place, homes)) if place < homes => Rank::Home(place as u8),
            Some(_) => Rank::Spare,
            None => Rank::Other,
        }
    }
}

#[cfg(test)]
mod tests;
