//! Backend servers of one service, and the choice of the version that gets a request.

use crate::{
    connection::pool::Pool,
    era::Era,
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
use rand::random;
use std::{sync::Arc, time::Duration};

/// Weight of one answer in the exponential average of answer sizes.
const ANSWER_BYTES_WEIGHT: f64 = 0.05;

/// Location of a host, from which the distance to a backend server follows.
#[derive(Debug, Clone)]
pub struct Location {
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the host.
    pub region: Region,
    /// Region of each data centre.
    pub regions: Map<DataCentre, Region>,
}

/// Version selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    /// Version that has to answer; `None` if any may.
    pub release: Option<Release>,
    /// Whether this is the new version of a move under way.
    pub new: bool,
}

/// Row of the store with the state of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StateRow {
    version: u64,
    outcome: Outcome,
}

/// Backend servers of one service, with their connections and the state of a version move.
#[derive(Debug)]
pub struct Fleet {
    /// Chooses the backend server of a request.
    pub placement: Placement,
    /// Limits the retries.
    pub budget: Budget,
    /// Demand for the service in this host's region, which decides how many requests spill over.
    pub spill: Spill,
    /// Version move that is ordered, under way or ended, until its order is removed.
    pub cutover: Option<Cutover>,
    /// Path of health checks.
    pub health_path: String,
    /// Connections that one server accepts from all hosts together.
    pub connections: u32,
    pools: Map<Server, Arc<Pool>>,
    /// Number of listed servers by version.
    releases: Map<Release, usize>,
    /// Version that gets the requests when no move is under way.
    running: Option<Release>,
    state_row: Option<StateRow>,
    /// Version of an order that was written again in a new era of the store.
    ///
    /// The state of the former order belongs to it, whatever its version.
    continued_order: Option<u64>,
    /// Average size of an answer in bytes.
    average_bytes: f64,
}

impl Fleet {
    /// Creates a fleet without servers; `objective` is the latency objective of the service.
    pub fn new(objective: Duration, limit: retry::Limit) -> Self {
        Self {
            placement: Placement::new(0.0, objective),
            budget: Budget::new(limit),
            spill: Spill::default(),
            cutover: None,
            health_path: String::new(),
            connections: u32::MAX,
            pools: Map::default(),
            releases: Map::default(),
            running: None,
            state_row: None,
            continued_order: None,
            average_bytes: 0.0,
        }
    }

    /// Applies the configuration of the service.
    pub fn set_config(&mut self, config: &ServiceConfig) {
        self.placement.set_cold_per_s(config.cold_per_s);
        self.health_path.clone_from(&config.health_path);
        self.connections = config.connections;
    }

    /// Adds a backend server, or updates its listing.
    ///
    /// A server whose address has changed gets a new connection pool. One whose region is not known
    /// gets no requests that are bound to regions.
    pub fn insert(
        &mut self,
        now: Instant,
        location: &Location,
        server: &Server,
        listing: &model::Backend,
    ) {
        let region = location.regions.get(&listing.data_centre);
        let is_local = listing.data_centre == location.data_centre;
        let region = region.or_else(|| is_local.then_some(&location.region));
        let tier = if is_local {
            Tier::Local
        } else if region == Some(&location.region) {
            Tier::Region
        } else {
            Tier::Remote
        };
        self.uncount(server);
        *self.releases.entry(listing.release.clone()).or_default() += 1;
        self.placement.insert(
            now,
            &Backend {
                server: server.clone(),
                incarnation: listing.born_ms.unwrap_or_default(),
                release: listing.release.clone(),
                data_centre: listing.data_centre.clone(),
                region: region.cloned(),
                tier,
                slots: listing.slots,
                draining: listing.draining,
                cold: listing.cold,
            },
        );
        let known_pool = self.pools.get(server);
        if known_pool.is_none_or(|pool| pool.address() != listing.address) {
            let pool = Arc::new(Pool::new(listing.address));
            self.pools.insert(server.clone(), pool);
        }
        self.update_running();
    }

    /// Removes a backend server if it is listed; its running requests are not cancelled.
    pub fn remove(&mut self, server: &Server) {
        if self.placement.find(server).is_none() {
            return;
        }
        self.uncount(server);
        self.placement.remove(server);
        self.pools.remove(server);
        self.update_running();
    }

    /// Takes a listed server out of the number of servers of its version.
    fn uncount(&mut self, server: &Server) {
        let Some(index) = self.placement.find(server) else {
            return;
        };
        let release = &self.placement.backend(index).release;
        if let Some(count) = self.releases.get_mut(release) {
            *count -= 1;
            if *count == 0 {
                self.releases.remove(release);
            }
        }
    }

    /// Returns the connection pool of a backend server; `None` if the server was removed.
    pub fn pool(&self, index: usize) -> Option<Arc<Pool>> {
        let server = &self.placement.backend(index).server;
        self.pools.get(server).cloned()
    }

    /// Closes idle connections whose keep-alive time has expired.
    pub fn sweep(&self, now: Instant) {
        for pool in self.pools.values() {
            pool.sweep(now);
        }
    }

    /// Sets the order to move the service, or removes it if `order` is `None`.
    ///
    /// `version` is the version of the order's row; an order that is already set is not started
    /// again. `exposure` is the largest share of requests that a bad version may get.
    pub fn set_order(
        &mut self,
        now: Instant,
        version: u64,
        order: Option<&model::Move>,
        exposure: f64,
    ) {
        let Some(order) = order else {
            self.cutover = None;
            self.update_running();
            return;
        };
        let belongs = self.state_belongs();
        if let Some(cutover) = &mut self.cutover {
            if cutover.order == version {
                return;
            }
            let written_again = cutover.to == order.to && Era::of(cutover.order) < Era::of(version);
            if written_again {
                cutover.order = version;
                self.continued_order = belongs.then_some(version);
                self.update_running();
                return;
            }
        }
        let to = order.to.clone();
        let cutover = Cutover::new(now, to, version, order.within, exposure);
        self.cutover = Some(cutover.with_credit(random()));
        self.update_running();
    }

    /// Sets the state of the move from a row of the store, or removes it if `outcome` is `None`.
    ///
    /// `version` is the version of the row; a row that is not newer than the known one is ignored.
    pub fn set_outcome(&mut self, version: u64, outcome: Option<&Outcome>) {
        let newer = self
            .state_row
            .as_ref()
            .is_none_or(|row| row.version < version);
        if newer {
            self.state_row = outcome.map(|outcome| StateRow {
                version,
                outcome: outcome.clone(),
            });
            self.update_running();
        }
    }

    /// Takes over the start of the move under way from its state in the store.
    ///
    /// `clock` is the present time on the store's clock. A host that was restarted thus follows the
    /// same plan as the other hosts, even if it can reach none of them.
    pub fn resume(&mut self, now: Instant, clock: Option<Duration>) {
        let belongs = self.state_belongs();
        let Some((cutover, row)) = self.cutover.as_mut().zip(self.state_row.as_ref()) else {
            return;
        };
        if let Some((clock, started)) = clock.zip(row.outcome.started).filter(|_| belongs) {
            cutover.resume(now, clock.saturating_sub(started));
        }
    }

    /// Returns the version of the row with the state of the move; 0 if there is none.
    pub fn outcome_version(&self) -> u64 {
        self.state_row.as_ref().map_or(0, |row| row.version)
    }

    /// Returns how the ordered move ended; `None` if it has not, or if there is none.
    pub fn ended(&self) -> Option<Progress> {
        let row = self.state_row.as_ref()?;
        let ended = row.outcome.state != Progress::Running;
        (ended && self.state_belongs()).then_some(row.outcome.state)
    }

    /// Returns whether a move has ended that replaced this version, so that its servers stop.
    pub fn is_replaced(&self, release: &Release) -> bool {
        let to = self.cutover.as_ref().map(|cutover| &cutover.to);
        self.ended() == Some(Progress::Done) && to.is_some_and(|to| to != release)
    }

    /// Returns whether the store has a state of the ordered move, under way or ended.
    pub fn is_announced(&self) -> bool {
        self.state_belongs()
    }

    /// Returns whether the known state is that of the ordered move.
    fn state_belongs(&self) -> bool {
        let cutover = self.cutover.as_ref();
        cutover
            .zip(self.state_row.as_ref())
            .is_some_and(|(cutover, row)| {
                let later = row.version > cutover.order;
                let continued = self.continued_order == Some(cutover.order);
                (later || continued) && row.outcome.to == cutover.to
            })
    }

    /// Selects the version that gets the next request.
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

    /// Returns the running version, which gets the retries of requests that the new version failed.
    pub fn running(&self) -> Selection {
        Selection {
            release: self.running.clone(),
            new: false,
        }
    }

    /// Adds the outcome of a request to the evidence about the move under way.
    ///
    /// Ignores versions that are neither the running nor the new one: an earlier move may have sent
    /// them requests that end only now.
    pub fn observe_release(&mut self, route: &Route, release: &Release, failed: bool, slow: bool) {
        if let Some((cutover, new)) = self.observed(release) {
            cutover.observe(route, new, failed, slow);
        }
    }

    /// Adds the failure of a request whose slow answer was added before.
    pub fn observe_failure(&mut self, route: &Route, release: &Release) {
        if let Some((cutover, new)) = self.observed(release) {
            cutover.observe_failure(route, new);
        }
    }

    /// Returns the move under way and whether a version is the new one; `None` for a version that
    /// has no part in it.
    fn observed(&mut self, release: &Release) -> Option<(&mut Cutover, bool)> {
        let cutover = self.cutover.as_mut()?;
        let new = *release == cutover.to;
        (new || self.running.as_ref() == Some(release)).then_some((cutover, new))
    }

    /// Adds the size of an answer to the average size.
    pub fn observe_bytes(&mut self, bytes: usize) {
        self.average_bytes += ANSWER_BYTES_WEIGHT * (bytes as f64 - self.average_bytes);
    }

    /// Returns the average size of an answer in bytes.
    pub fn average_bytes(&self) -> f64 {
        self.average_bytes
    }

    /// Recomputes the running version.
    ///
    /// It is the version that the last finished move went to, else the one that was running if it
    /// still has servers, else the one with the most servers. The target of a move that is not done
    /// and a version that was taken back are excluded. If none is left, the running version stays.
    fn update_running(&mut self) {
        let ended = self.ended();
        let excluded: Vec<Release> = self
            .cutover
            .iter()
            .filter(|_| ended != Some(Progress::Done))
            .map(|cutover| cutover.to.clone())
            .chain(self.taken_back())
            .collect();
        let done = self
            .state_row
            .as_ref()
            .filter(|it| it.outcome.state == Progress::Done && !excluded.contains(&it.outcome.to));
        if let Some(row) = done {
            self.running = Some(row.outcome.to.clone());
            return;
        }
        let counts = self.releases.iter();
        let counts = counts.filter(|(release, _)| !excluded.contains(release));
        let current = self.running.as_ref();
        if counts.clone().any(|(release, _)| Some(release) == current) {
            return;
        }
        let most_common = counts.max_by_key(|(release, count)| (**count, *release));
        if let Some((release, _)) = most_common {
            self.running = Some(release.clone());
        }
    }

    /// Returns the version of the last move if the move was taken back.
    fn taken_back(&self) -> Option<Release> {
        let row = self.state_row.as_ref()?;
        (row.outcome.state == Progress::TakenBack).then(|| row.outcome.to.clone())
    }
}

#[cfg(test)]
mod tests;
