//! Backend servers of one service, and which version of them answers.

use crate::{
    connection::pool::Pool,
    model::{self, Outcome, Progress, ServiceConfig},
};
use azurenotch_core::{
    process::retry::{self, Budget},
    version::{
        cutover::Cutover,
        placement::{Backend, Placement, Tier},
        spill::Spill,
    },
};
use azurenotch_wire::{
    Map,
    id::{DataCentre, Region, Release, Route, Server},
    time::Instant,
};
use std::{sync::Arc, time::Duration};

/// Weight of one answer in the average size of answers.
const BYTES_WEIGHT: f64 = 0.05;

/// Where a host stands, to tell near servers from remote ones.
#[derive(Debug, Clone)]
pub struct Place {
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the host.
    pub region: Region,
    /// Region of each data centre.
    pub regions: Map<DataCentre, Region>,
}

/// Version that answers a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    /// The version; any if `None`.
    pub release: Option<Release>,
    /// Whether it is the new one of a move under way.
    pub new: bool,
}

/// State of a move's row on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Row {
    version: u64,
    outcome: Outcome,
}

/// Backend servers of one service.
#[derive(Debug)]
pub struct Fleet {
    /// Choice of the backend server.
    pub placement: Placement,
    /// Retry budget.
    pub budget: Budget,
    /// Demand of the region for the service.
    pub spill: Spill,
    /// Version move under way.
    pub cutover: Option<Cutover>,
    /// Path of health checks.
    pub health_path: String,
    /// Connections that one server takes from all hosts together.
    pub connections: u32,
    pools: Map<Server, Arc<Pool>>,
    /// Version that answers when no move is under way.
    running: Option<Release>,
    outcome: Option<Row>,
    /// Average bytes of an answer.
    bytes: f64,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub fn new(objective: Duration, limit: retry::Limit) -> Self {
        Self {
            placement: Placement::new(0.0, objective),
            budget: Budget::new(limit),
            spill: Spill::default(),
            cutover: None,
            health_path: String::new(),
            connections: u32::MAX,
            pools: Map::default(),
            running: None,
            outcome: None,
            bytes: 0.0,
        }
    }

    /// Puts the properties of the service in force.
    pub fn adopt(&mut self, config: &ServiceConfig) {
        self.placement.set_cold_per_s(config.cold_per_s);
        self.health_path.clone_from(&config.health_path);
        self.connections = config.connections;
    }

    /// Adds a backend server or replaces what is known of it.
    pub fn list(&mut self, now: Instant, place: &Place, server: &Server, said: &model::Backend) {
        let region = place.regions.get(&said.data_centre);
        let region = region.cloned().unwrap_or_else(|| place.region.clone());
        let tier = if said.data_centre == place.data_centre {
            Tier::Local
        } else if region == place.region {
            Tier::Region
        } else {
            Tier::Remote
        };
        self.placement.insert(
            now,
            &Backend {
                server: server.clone(),
                incarnation: said.born_ms.unwrap_or_default(),
                release: said.release.clone(),
                data_centre: said.data_centre.clone(),
                region,
                tier,
                slots: said.slots,
                draining: said.draining,
                cold: said.cold,
            },
        );
        let same = self.pools.get(server);
        if same.is_none_or(|pool| pool.address() != said.address) {
            let pool = Arc::new(Pool::new(said.address));
            self.pools.insert(server.clone(), pool);
        }
        self.settle();
    }

    /// Removes a backend server; requests at it run to their end.
    pub fn unlist(&mut self, server: &Server) {
        self.placement.remove(server);
        self.pools.remove(server);
        self.settle();
    }

    /// Returns the connections to a backend server.
    pub fn pool(&self, index: usize) -> Option<Arc<Pool>> {
        let server = &self.placement.backend(index).server;
        self.pools.get(server).cloned()
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        for pool in self.pools.values() {
            pool.sweep(now);
        }
    }

    /// Takes note of an order to move the service, or of its end.
    pub fn order(
        &mut self,
        now: Instant,
        version: u64,
        order: Option<&model::Move>,
        exposure: f64,
    ) {
        let Some(order) = order else {
            self.cutover = None;
            self.settle();
            return;
        };
        if self.cutover.as_ref().is_some_and(|it| it.order == version) {
            return;
        }
        let to = order.to.clone();
        let cutover = Cutover::new(now, to, version, order.within, exposure);
        self.cutover = Some(cutover);
        self.settle();
    }

    /// Takes note of the state of the move on the platform.
    pub fn conclude(&mut self, version: u64, outcome: Option<&Outcome>) {
        let newer = self.outcome.as_ref().is_none_or(|it| it.version < version);
        if newer {
            self.outcome = outcome.map(|outcome| Row {
                version,
                outcome: outcome.clone(),
            });
            self.settle();
        }
    }

    /// Takes over when the move under way started, given the store's clock.
    ///
    /// A host that was restarted follows the plan of the others even if none of them is left.
    pub fn resume(&mut self, now: Instant, clock: Option<Duration>) {
        let Some((cutover, row)) = self.cutover.as_mut().zip(self.outcome.as_ref()) else {
            return;
        };
        let same = row.version > cutover.order && row.outcome.to == cutover.to;
        if let Some((clock, started)) = clock.zip(row.outcome.started).filter(|_| same) {
            cutover.resume(now, clock.saturating_sub(started));
        }
    }

    /// Returns the version of the row with the state of the move, 0 if there is none.
    pub fn outcome_version(&self) -> u64 {
        self.outcome.as_ref().map_or(0, |row| row.version)
    }

    /// Returns how the move under way ended, if it has.
    pub fn ended(&self) -> Option<Progress> {
        let cutover = self.cutover.as_ref()?;
        let row = self.outcome.as_ref()?;
        let same = row.version > cutover.order && row.outcome.to == cutover.to;
        (same && row.outcome.state != Progress::Running).then_some(row.outcome.state)
    }

    /// Returns whether the state of the move on the platform says that it is under way.
    pub fn is_announced(&self) -> bool {
        let cutover = self.cutover.as_ref();
        cutover
            .zip(self.outcome.as_ref())
            .is_some_and(|(it, row)| row.version > it.order && row.outcome.to == it.to)
    }

    /// Returns the version that takes the next request.
    pub fn select(&mut self, now: Instant) -> Selection {
        let ended = self.ended();
        let running = Selection {
            release: self.running.clone(),
            new: false,
        };
        let Some(cutover) = &mut self.cutover else {
            return running;
        };
        let to = || Selection {
            release: Some(cutover.to.clone()),
            new: ended.is_none(),
        };
        match ended {
            Some(Progress::Done) => to(),
            Some(Progress::TakenBack) => running,
            Some(Progress::Running) | None => {
                let to = to();
                if cutover.takes_next(now) { to } else { running }
            }
        }
    }

    /// Returns the version that takes requests which the new one has failed.
    pub fn running(&self) -> Selection {
        Selection {
            release: self.running.clone(),
            new: false,
        }
    }

    /// Adds the end of a request at a version to the evidence of the move under way.
    ///
    /// Requests that an earlier move sent to a version that is neither of the two do not count.
    pub fn observe_release(&mut self, route: &Route, release: &Release, failed: bool, slow: bool) {
        let Some(cutover) = &mut self.cutover else {
            return;
        };
        let new = *release == cutover.to;
        if new || self.running.as_ref() == Some(release) {
            cutover.observe(route, new, failed, slow);
        }
    }

    /// Adds the size of an answer to the average.
    pub fn observe_bytes(&mut self, bytes: usize) {
        self.bytes += BYTES_WEIGHT * (bytes as f64 - self.bytes);
    }

    /// Returns the average bytes of an answer.
    pub fn bytes(&self) -> f64 {
        self.bytes
    }

    /// Determines the running version again.
    ///
    /// It is the one that the last finished move left behind, else the one that was running, else
    /// the most common one. A version that is ordered or was taken back is none of these.
    fn settle(&mut self) {
        let ended = self.ended();
        let barred: Vec<Release> = self
            .cutover
            .iter()
            .filter(|_| ended != Some(Progress::Done))
            .map(|cutover| cutover.to.clone())
            .chain(self.taken_back())
            .collect();
        let done = self
            .outcome
            .as_ref()
            .filter(|row| row.outcome.state == Progress::Done && !barred.contains(&row.outcome.to));
        if let Some(row) = done {
            self.running = Some(row.outcome.to.clone());
            return;
        }
        let mut counts: Map<&Release, usize> = Map::default();
        for (_, backend) in self.placement.backends() {
            if !barred.contains(&backend.release) {
                *counts.entry(&backend.release).or_default() += 1;
            }
        }
        let kept = self.running.as_ref();
        if kept.is_some_and(|it| counts.contains_key(it)) {
            return;
        }
        let most = counts
            .into_iter()
            .max_by_key(|(release, count)| (*count, *release));
        let most = most.map(|(release, _)| release.clone());
        if most.is_some() {
            self.running = most;
        }
    }

    fn taken_back(&self) -> Option<Release> {
        let row = self.outcome.as_ref()?;
        (row.outcome.state == Progress::TakenBack).then(|| row.outcome.to.clone())
    }
}

#[cfg(test)]
mod tests;
