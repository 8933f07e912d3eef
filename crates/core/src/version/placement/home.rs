//! Home servers of an object: the highest-ranked servers of each region, the same at all hosts.

use super::{Entry, Placement, Tier, hit::Rank};
use azurenotch_wire::{id::DataCentre, time::Instant};
use std::time::Duration;

/// Servers of a region that are ranked for an object: its home and the spare one.
const MAX_RANKED: usize = 2;
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

/// Returns the number of copies of each object for which the caches of the servers have room.
fn room(servers: f64, objects: f64) -> f64 {
    MAX_CACHE_SHARE * CACHE_OBJECTS * servers / objects.max(1.0)
}

impl Placement {
    /// Checks whether the caches in this host's region have room for more copies of the objects.
    pub(super) fn check_room(&mut self, now: Instant) {
        if now.since(self.checked) < CHECK_TIME {
            return;
        }
        self.checked = now;
        let mut servers = 0.0;
        let mut centres: Vec<&DataCentre> = Vec::new();
        for entry in &self.entries {
            let backend = &entry.backend;
            if !entry.is_listed() || backend.tier == Tier::Remote {
                continue;
            }
            servers += 1.0;
            if !centres.contains(&&backend.data_centre) {
                centres.push(&backend.data_centre);
            }
        }
        // The callers of each data centre may request other objects.
        let objects = self.hits.objects() * centres.len() as f64;
        self.hits.applies =
            room(servers, objects) >= MIN_ROOM && self.hits.near_homes() >= MIN_WARM_SHARE;
    }
}

/// The highest-ranked servers of one region for an object.
#[derive(Debug, Clone, Copy)]
struct Region {
    hash: u64,
    /// Rank and index of the servers, the highest-ranked first.
    servers: [(u64, usize); MAX_RANKED],
    known: usize,
}

impl Region {
    fn insert(&mut self, rank: u64, index: usize) {
        let better = self.servers[..self.known].iter();
        let at = better.filter(|(other, _)| *other >= rank).count();
        if at == MAX_RANKED {
            return;
        }
        self.known = (self.known + 1).min(MAX_RANKED);
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
    /// Adds a server.
    pub(super) fn insert(&mut self, index: usize, entry: &Entry, rank: u64) {
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
        });
    }

    /// Returns the rank of a server.
    pub(super) fn rank(&self, index: usize, entry: &Entry) -> Rank {
        let hash = entry.region_hash();
        let region = self.regions.iter().find(|region| region.hash == hash);
        let place = region.and_then(|region| {
            let mut servers = region.servers[..region.known].iter();
            servers.position(|(_, it)| *it == index)
        });
        match place {
            Some(0) => Rank::Home(0),
            Some(_) => Rank::Spare,
            None => Rank::Other,
        }
    }
}
