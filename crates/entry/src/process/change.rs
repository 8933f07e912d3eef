//! Applies changes of the platform's rows to the state of the host.

use super::{
    replica::Change,
    state::{State, repeat_limit},
};
use crate::{
    model::Config,
    setting::Setting,
    version::{catalog::Catalog, fleet::Fleet},
};
use azurenotch_core::process::quota::{self, Quota};
use azurenotch_wire::{
    Set,
    hash::{hash32, hash64},
    id::{DataCentre, Service},
    time::Instant,
};
use derive_more::Display;
use slog::info;
use std::{sync::Arc, time::Duration};

/// Latency objective of a service that no route uses.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);
/// Share of the drain bound in which a leaving server may get requests that no other can take.
const LAST_RESORT_SHARE: f64 = 0.8;

/// Number of changes from which a batch is logged.
const LARGE_BATCH: usize = 20;
/// Time to apply a batch from which it is logged.
const SLOW_BATCH: Duration = Duration::from_millis(50);
/// Number of servers that one line about departures names.
const MAX_NAMES_PER_LINE: usize = 100;

/// Where a host got a change from.
///
/// The displayed names are labels of metrics and fields of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Origin {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another host.
    #[display("peer")]
    Peer,
    /// The host's own replica, whose rows are applied again.
    #[display("memory")]
    Memory,
}

/// Origin of changes, and when they were unknown for certain.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    /// Where they came from.
    pub origin: Origin,
    /// Last time at which the store had none of them; `None` if there was none.
    pub confirmed: Option<Instant>,
}

impl Source {
    /// Returns for how many milliseconds the store may have had the changes; `None` if unknown.
    fn age_ms(&self, now: Instant) -> Option<u64> {
        self.confirmed.map(|at| now.since(at).as_millis() as u64)
    }
}

impl From<Origin> for Source {
    fn from(origin: Origin) -> Self {
        Self {
            origin,
            confirmed: None,
        }
    }
}

impl State {
    /// Applies changes of the platform's rows.
    pub fn apply(&self, changes: Vec<Change>, source: impl Into<Source>) {
        if changes.is_empty() {
            return;
        }
        let now = self.now();
        let source = source.into();
        self.log_departures(now, &changes, source);
        let count = changes.len();
        for change in &changes {
            self.observe_age(now, change, source);
        }
        self.apply_all(now, changes, source);
        let time = self.now().since(now);
        self.metrics.observe_batch(&source.origin.to_string(), time);
        if count >= LARGE_BATCH || time >= SLOW_BATCH {
            info!(self.log(), "changes: batch applied"; "changes" => count,
                "ms" => time.as_millis() as u64, "lag-ms" => self.lag_ms(),
                "max-age-ms" => source.age_ms(now), "source" => %source.origin);
        }
    }

    /// Applies changes, then derives what follows from all of them together.
    fn apply_all(&self, now: Instant, changes: Vec<Change>, source: Source) {
        let mut cold = Vec::new();
        for change in changes {
            if let Change::Listed(server, backend) = &change
                && !backend.cold.is_zero()
            {
                cold.push((backend.service.clone(), server.clone()));
            }
            self.apply_change(now, change, source);
        }
        if !cold.is_empty() {
            self.update_warmup_senders(now);
            self.place_cold_servers(&cold);
        }
    }

    /// Logs the servers that leave before all other lines of a batch, some of which may be dropped.
    fn log_departures(&self, now: Instant, changes: &[Change], source: Source) {
        let leaving = changes.iter().filter_map(|change| match change {
            Change::Unlisted(server, ..) => Some(server.as_str()),
            Change::Listed(server, backend) if backend.draining => Some(server.as_str()),
            _ => None,
        });
        let leaving: Vec<&str> = leaving.collect();
        for servers in leaving.chunks(MAX_NAMES_PER_LINE) {
            info!(self.log(), "servers: departures"; "count" => servers.len(),
                "servers" => servers.join(","), "max-age-ms" => source.age_ms(now),
                "lag-ms" => self.lag_ms(), "source" => %source.origin);
        }
    }

    /// Returns by how many milliseconds tasks last ran late.
    fn lag_ms(&self) -> u64 {
        (self.metrics.lag.get() * 1e3) as u64
    }

    /// Records the longest time for which the store may have had the change.
    fn observe_age(&self, now: Instant, change: &Change, source: Source) {
        let kind = match change {
            Change::Config(_) => "configuration",
            Change::Evacuation(..) => "evacuation",
            Change::Unlisted(..) => "departure",
            Change::Listed(_, backend) if backend.draining => "departure",
            Change::Listed(..) => "server",
            Change::Move(..) | Change::Outcome(..) | Change::Peer(_) => return,
        };
        if let Some(confirmed) = source.confirmed {
            let origin = source.origin.to_string();
            self.metrics
                .observe_change_age(kind, &origin, now.since(confirmed));
        }
    }

    fn apply_change(&self, now: Instant, change: Change, source: Source) {
        let log = self.log();
        let age = source.age_ms(now);
        let origin = source.origin;
        match change {
            Change::Config(config) => self.adopt_config(now, &config, source),
            Change::Move(service, version, order) => {
                let to = order.as_ref().map(|order| order.to.to_string());
                info!(log, "orders: move order received"; "service" => %service, "to" => ?to,
                    "source" => %origin);
                let exposure = self.setting().bounds.exposure;
                let clock = self.replica.lock().clock(now);
                if let Some(fleet) = self.fleets.lock().get_mut(&service) {
                    fleet.set_order(now, version, order.as_ref(), exposure);
                    fleet.resume(now, clock);
                }
            }
            Change::Outcome(service, version, outcome) => {
                let state = outcome.as_ref().map(|outcome| outcome.state);
                info!(log, "orders: move state received"; "service" => %service, "state" => ?state,
                    "source" => %origin);
                let clock = self.replica.lock().clock(now);
                if let Some(fleet) = self.fleets.lock().get_mut(&service) {
                    fleet.set_outcome(version, outcome.as_ref());
                    fleet.resume(now, clock);
                }
            }
            Change::Evacuation(centre, on) => {
                info!(log, "orders: evacuation order received"; "data-centre" => %centre,
                    "on" => on, "max-age-ms" => age, "source" => %origin);
                self.evacuate(now, &centre, on);
            }
            Change::Listed(server, backend) => {
                info!(log, "servers: server added or updated"; "server" => %server,
                    "service" => %backend.service, "address" => %backend.address,
                    "data-centre" => %backend.data_centre, "draining" => backend.draining,
                    "cold-ms" => backend.cold.as_millis() as u64, "max-age-ms" => age,
                    "source" => %origin);
                let evacuated = self.replica.lock().is_evacuated(&backend.data_centre);
                let location = self.location.load();
                // The row may have named another service, or another data centre, before.
                for (service, fleet) in self.fleets.lock().iter_mut() {
                    if *service == backend.service && !evacuated {
                        fleet.insert(now, &location, &server, &backend);
                    } else {
                        fleet.remove(&server);
                    }
                }
            }
            Change::Unlisted(server, service, drained) => {
                if !drained {
                    self.slew.lock().suspend(now);
                }
                info!(log, "servers: server removed"; "server" => %server, "service" => %service,
                    "max-age-ms" => age, "source" => %origin);
                for fleet in self.fleets.lock().values_mut() {
                    fleet.remove(&server);
                }
            }
            Change::Peer(peer) => {
                if peer.host != self.own.host {
                    let mut membership = self.membership.lock();
                    let newer = membership
                        .peers
                        .get(&peer.host)
                        .is_none_or(|known| known.incarnation < peer.incarnation);
                    if newer {
                        membership.peers.insert(peer.host.clone(), peer);
                    }
                }
            }
        }
    }

    fn adopt_config(&self, now: Instant, config: &Config, source: Source) {
        let services = self.adopt_services(now, config);
        self.adopt_contracts(now, config);
        let routes: Set<u32> = config.routes.keys().map(|it| hash32(it.as_str())).collect();
        self.forecasts
            .lock()
            .retain(|route, _| routes.contains(route));
        self.catalog.store(Some(Arc::new(Catalog::new(config))));
        info!(self.log(), "configuration: adopted"; "version" => config.version,
            "routes" => config.routes.len(), "services" => services, "source" => %source.origin,
            "max-age-ms" => source.age_ms(now), "ms" => self.now().since(now).as_millis() as u64,
            "lag-ms" => self.lag_ms(),
            "routes-with-homes" => config.routes.values().filter(|it| !it.homes.is_empty()).count(),
            "workspaces-with-homes" => workspaces_with_homes(config));
    }

    fn adopt_services(&self, now: Instant, config: &Config) -> usize {
        let limit = repeat_limit(&self.setting());
        let own = hash64(self.own.host.as_str());
        let mut fleets = self.fleets.lock();
        let mut added = false;
        for (service, service_config) in &config.services {
            let fleet = fleets.entry(service.clone()).or_insert_with(|| {
                added = true;
                Fleet::new(objective(config, service), limit)
            });
            fleet.set_config(service_config);
            fleet.placement.set_host(own);
            fleet.placement.set_drain(last_resort_time(&self.setting()));
        }
        let count = fleets.len();
        drop(fleets);
        if added {
            self.reapply(now);
        }
        count
    }

    /// Applies all known servers, moves and states of moves again.
    ///
    /// Needed after a service was added, and after a reload moved data centres to other regions.
    pub(super) fn reapply(&self, now: Instant) {
        let changes = self.replica.lock().known_as_changes();
        self.apply_all(now, changes, Origin::Memory.into());
    }

    fn adopt_contracts(&self, now: Instant, config: &Config) {
        let mut quotas = self.quotas.lock();
        let contracts = config.workspaces.iter().flatten();
        for (workspace, contract) in contracts {
            let contract = quota::Contract {
                rate: contract.rate,
                burst: contract.burst,
            };
            if let Some(quota) = quotas.get_mut(workspace) {
                quota.set_contract(now, contract);
            } else {
                let quota = Quota::new(now, contract, self.setting().host.is_first);
                quotas.insert(workspace.clone(), quota);
            }
        }
        quotas.retain(|workspace, quota| {
            let contracts = config.workspaces.as_ref();
            if !contracts.is_some_and(|contracts| contracts.contains_key(workspace)) {
                quota.end_contract(now);
            }
            quota.is_kept(now)
        });
        let by_hash = quotas.keys().map(|it| (hash32(it.as_str()), it.clone()));
        *self.workspaces_by_hash.lock() = by_hash.collect();
    }

    fn evacuate(&self, now: Instant, centre: &DataCentre, on: bool) {
        let replica = self.replica.lock();
        let backends: Vec<_> = replica
            .backends()
            .filter(|(_, backend)| backend.data_centre == *centre)
            .map(|(server, backend)| (server.clone(), backend.clone()))
            .collect();
        drop(replica);
        let mut fleets = self.fleets.lock();
        for (server, backend) in backends {
            let Some(fleet) = fleets.get_mut(&backend.service) else {
                continue;
            };
            if on {
                fleet.remove(&server);
                continue;
            }
            fleet.insert(now, &self.location.load(), &server, &backend);
            // The servers may have become cold meanwhile; only a health check reveals that.
            if let Some(index) = fleet.placement.find(&server) {
                fleet.placement.require_health_check(index);
            }
        }
    }
}

/// Returns how long a leaving server may get requests that no other server can take.
pub(super) fn last_resort_time(setting: &Setting) -> Duration {
    setting.bounds.drain.mul_f64(LAST_RESORT_SHARE)
}

/// Returns how many workspaces may run in some regions only.
fn workspaces_with_homes(config: &Config) -> usize {
    let contracts = config.workspaces.iter().flatten();
    contracts.filter(|(_, it)| !it.homes.is_empty()).count()
}

fn objective(config: &Config, service: &Service) -> Duration {
    let routes = config.routes.values();
    let routes = routes.filter(|route| route.parts.iter().any(|(part, _)| part == service));
    let objective = routes.map(|route| route.objective).min();
    objective.unwrap_or(DEFAULT_OBJECTIVE)
}
