//! What requests and control tasks of one host share.

use crate::{
    model::{Config, Peer},
    platform::{Format, Store, Subject},
    process::{
        counter::Counter,
        world::{Change, World},
    },
    setting::Setting,
    version::{
        catalog::Catalog,
        fleet::{Fleet, Place},
    },
};
use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use azurenotch_core::{
    process::{
        duty,
        presence::Presence,
        quota::{self, Quota},
        repeat, warmup,
    },
    request::hold::Account,
    version::drift::Drift,
};
use azurenotch_platform::Clock;
use azurenotch_wire::{
    Map,
    id::{DataCentre, Host, Region, Service, Workspace},
    time::Instant,
};
use parking_lot::Mutex;
use slog::{Logger, info};
use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    time::Duration,
};
use tokio::sync::Notify;

/// Margin by which a host refuses keys before the bound of withdrawals is over.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(150);
/// Bytes of request bodies and of whole answers that this host holds at most, all together, as a
/// share of its memory.
const BODIES_SHARE: f64 = 0.4;
/// Latency objective of a service to which no route leads.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// Outside systems and names of a host.
#[derive(Debug, Clone)]
pub struct Parts {
    /// Formats of the platform.
    pub format: Arc<dyn Format>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Monotonic clock.
    pub clock: Arc<dyn Clock>,
    /// Log.
    pub log: Logger,
}

/// Other hosts.
#[derive(Debug, Default)]
pub struct Company {
    /// Who was heard when.
    pub presence: Presence,
    /// Where each host is reached.
    pub peers: Map<Host, Peer>,
}

impl Company {
    /// Returns the other hosts of a region that were heard lately.
    fn near<'a>(&'a self, now: Instant, region: &'a Region) -> impl Iterator<Item = &'a Host> {
        let heard = self.presence.heard(now);
        heard.filter(move |host| {
            let peer = self.peers.get(*host);
            peer.is_some_and(|peer| peer.region == *region)
        })
    }
}

/// What requests and control tasks of one host share.
#[derive(Debug)]
pub struct State {
    setting: ArcSwap<Setting>,
    /// What the host says of itself.
    pub own: Peer,
    /// Outside systems.
    pub parts: Parts,
    /// Counters.
    pub counter: Counter,
    /// Configuration in force.
    pub catalog: ArcSwapOption<Catalog>,
    /// Rows of the platform.
    pub world: Mutex<World>,
    /// Backend servers by service.
    pub fleets: Mutex<Map<Service, Fleet>>,
    /// Contracts by workspace.
    pub quotas: Mutex<Map<Workspace, Quota>>,
    /// Wakes the round of messages when other hosts should hear of something at once.
    pub news: Notify,
    /// Movement of requests between regions.
    pub drift: Mutex<Drift>,
    /// Other hosts.
    pub company: Mutex<Company>,
    /// Whether a planned stop was announced.
    pub leaving: AtomicBool,
    /// When requests are cut after a planned stop was announced, and the time from then to there.
    pub stop: OnceLock<(Instant, Duration)>,
    /// Subjects, a bit each, of which the last call to the store was not answered.
    lost: AtomicU8,
    /// Memory for bodies that are held as a whole.
    pub memory: Arc<Mutex<Account>>,
    place: ArcSwap<Place>,
}

impl State {
    /// Creates the state of a host that knows nothing.
    ///
    /// # Errors
    ///
    /// Fails if counters cannot be created.
    pub fn new(setting: Setting, own: Peer, parts: Parts) -> Result<Self, prometheus::Error> {
        let account = Account::new(setting.machine.memory(BODIES_SHARE));
        Ok(Self {
            own,
            parts,
            memory: Arc::new(Mutex::new(account)),
            place: ArcSwap::from_pointee(place(&setting)),
            counter: Counter::new()?,
            catalog: ArcSwapOption::empty(),
            world: Mutex::default(),
            fleets: Mutex::default(),
            quotas: Mutex::default(),
            news: Notify::new(),
            drift: Mutex::default(),
            company: Mutex::default(),
            leaving: AtomicBool::new(false),
            stop: OnceLock::new(),
            lost: AtomicU8::new(0),
            setting: ArcSwap::from_pointee(setting),
        })
    }

    /// Returns the settings in force.
    pub fn setting(&self) -> Guard<Arc<Setting>> {
        self.setting.load()
    }

    /// Puts changed settings in force.
    ///
    /// Returns the names of those that are in force from the next start only.
    pub fn reload(&self, next: Setting) -> Vec<&'static str> {
        let former = self.setting.load_full();
        let (setting, waiting) = former.succeeded_by(next);
        self.memory
            .lock()
            .set_limit(setting.machine.memory(BODIES_SHARE));
        if setting.store != former.store {
            self.parts.store.redirect(setting.store);
        }
        let limit = limit(&setting);
        for fleet in self.fleets.lock().values_mut() {
            fleet.budget.set_limit(limit);
        }
        let moved = setting.data_centres != former.data_centres;
        self.place.store(Arc::new(place(&setting)));
        self.setting.store(Arc::new(setting));
        if moved {
            self.relist(self.now());
        }
        waiting
    }

    /// Returns the present instant.
    pub fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    /// Returns the log.
    pub fn log(&self) -> &Logger {
        &self.parts.log
    }

    /// Returns whether a planned stop was announced.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether the host takes callers.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.catalog.load().is_some()
    }

    /// Returns whether keys can be trusted: whether a withdrawal would be known.
    pub fn trusts_keys(&self, now: Instant) -> bool {
        let bounds = &self.setting().bounds;
        if !bounds.strict_withdrawal {
            return true;
        }
        let view = self.world.lock().view(Subject::Orders);
        let limit = bounds.withdrawal.saturating_sub(WITHDRAWAL_MARGIN);
        view.confirmed.is_some_and(|at| now.since(at) < limit)
    }

    /// Returns how many hosts there are, this one included.
    pub fn hosts(&self) -> usize {
        self.company.lock().presence.count()
    }

    /// Returns whether this host follows the store for others.
    pub fn follows(&self, now: Instant) -> bool {
        let company = self.company.lock();
        let near = company.near(now, &self.own.region);
        let near = near.map(|host| (host, company.presence.reaches_store(host)));
        duty::follows(&self.own.host, self.reaches_store(), near)
    }

    /// Returns whether the last calls to the store were answered.
    pub fn reaches_store(&self) -> bool {
        self.lost.load(Ordering::Relaxed) == 0
    }

    /// Takes note of a call to the store about a subject; tells the others of a loss at once.
    pub fn note_call(&self, subject: Subject, answered: bool) {
        let bit = 1 << subject as u8;
        if answered {
            self.lost.fetch_and(!bit, Ordering::Relaxed);
        } else if self.lost.fetch_or(bit, Ordering::Relaxed) == 0 {
            self.news.notify_one();
        }
    }

    /// Returns how many hosts of the region there are, this one included.
    pub fn near_hosts(&self, now: Instant) -> usize {
        self.company.lock().near(now, &self.own.region).count() + 1
    }

    /// Puts changes of the platform's rows in force.
    pub fn apply(&self, changes: Vec<Change>, source: &str) {
        let now = self.now();
        for change in changes {
            self.put(now, change, source);
        }
    }

    /// Determines again which hosts may send to the backend servers that are cold.
    pub fn sponsor(&self, now: Instant) {
        let company = self.company.lock();
        let mut near: Map<Region, Vec<Host>> = Map::default();
        for host in company.presence.heard(now) {
            if let Some(peer) = company.peers.get(host) {
                near.entry(peer.region.clone())
                    .or_default()
                    .push(host.clone());
            }
        }
        let own_region = self.own.region.clone();
        near.entry(own_region)
            .or_default()
            .push(self.own.host.clone());
        drop(company);
        let all: Vec<Host> = near.values().flatten().cloned().collect();
        for fleet in self.fleets.lock().values_mut() {
            let listed: Vec<_> = fleet
                .placement
                .listed()
                .map(|(index, backend)| {
                    let hosts = near.get(&backend.region).unwrap_or(&all);
                    let hash = hash(backend.server.as_str());
                    (index, warmup::sponsors(hash, &self.own.host, hosts))
                })
                .collect();
            for (index, sponsors) in listed {
                // Only hosts of the server's region sponsor it, if there are any.
                let region = &fleet.placement.backend(index).region;
                let able = *region == self.own.region || !near.contains_key(region);
                fleet
                    .placement
                    .set_sponsors(index, sponsors.filter(|_| able));
            }
        }
    }

    fn put(&self, now: Instant, change: Change, source: &str) {
        let log = self.log();
        match change {
            Change::Config(config) => self.adopt(now, &config, source),
            Change::Move(service, version, order) => {
                let to = order.as_ref().map(|order| order.to.to_string());
                info!(log, "orders: move"; "service" => %service, "to" => ?to, "source" => source);
                let exposure = self.setting().bounds.exposure;
                let clock = self.world.lock().clock(now);
                if let Some(fleet) = self.fleets.lock().get_mut(&service) {
                    fleet.order(now, version, order.as_ref(), exposure);
                    fleet.resume(now, clock);
                }
            }
            Change::Outcome(service, version, outcome) => {
                let state = outcome.as_ref().map(|outcome| outcome.state);
                info!(log, "orders: state of move"; "service" => %service, "state" => ?state,
                    "source" => source);
                let clock = self.world.lock().clock(now);
                if let Some(fleet) = self.fleets.lock().get_mut(&service) {
                    fleet.conclude(version, outcome.as_ref());
                    fleet.resume(now, clock);
                }
            }
            Change::Evacuation(centre, on) => {
                info!(log, "orders: evacuation"; "data-centre" => %centre, "on" => on,
                    "source" => source);
                self.evacuate(now, &centre, on);
            }
            Change::Listed(server, backend) => {
                info!(log, "servers: listed"; "server" => %server, "service" => %backend.service,
                    "draining" => backend.draining, "cold-ms" => backend.cold.as_millis() as u64,
                    "source" => source);
                let evacuated = self.world.lock().is_evacuated(&backend.data_centre);
                if !evacuated && let Some(fleet) = self.fleets.lock().get_mut(&backend.service) {
                    fleet.list(now, &self.place.load(), &server, &backend);
                }
                if !backend.cold.is_zero() {
                    self.sponsor(now);
                }
            }
            Change::Unlisted(server, service, drained) => {
                if !drained {
                    self.drift.lock().release(now);
                }
                info!(log, "servers: gone"; "server" => %server, "service" => %service,
                    "source" => source);
                if let Some(fleet) = self.fleets.lock().get_mut(&service) {
                    fleet.unlist(&server);
                }
            }
            Change::Peer(peer) => {
                if peer.host != self.own.host {
                    let mut company = self.company.lock();
                    let newer = company
                        .peers
                        .get(&peer.host)
                        .is_none_or(|known| known.incarnation < peer.incarnation);
                    if newer {
                        company.peers.insert(peer.host.clone(), peer);
                    }
                }
            }
        }
    }

    fn adopt(&self, now: Instant, config: &Config, source: &str) {
        let services = self.adopt_services(now, config);
        self.adopt_contracts(now, config);
        self.catalog.store(Some(Arc::new(Catalog::new(config))));
        info!(self.log(), "configuration: adopted"; "version" => config.version,
            "routes" => config.routes.len(), "services" => services, "source" => source);
    }

    fn adopt_services(&self, now: Instant, config: &Config) -> usize {
        let limit = limit(&self.setting());
        let mut fleets = self.fleets.lock();
        let mut added = false;
        for (service, traits) in &config.services {
            let fleet = fleets.entry(service.clone()).or_insert_with(|| {
                added = true;
                Fleet::new(objective(config, service), limit)
            });
            fleet.adopt(traits);
        }
        let count = fleets.len();
        drop(fleets);
        if added {
            self.relist(now);
        }
        count
    }

    /// Tells the fleets everything again that is known of servers, orders and moves.
    fn relist(&self, now: Instant) {
        let changes = self.world.lock().known();
        for change in changes {
            self.put(now, change, "memory");
        }
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
                quota.adopt(now, contract);
            } else {
                let quota = Quota::new(now, contract, self.setting().host.is_first);
                quotas.insert(workspace.clone(), quota);
            }
        }
        quotas.retain(|workspace, _| {
            let contracts = config.workspaces.as_ref();
            contracts.is_some_and(|contracts| contracts.contains_key(workspace))
        });
    }

    fn evacuate(&self, now: Instant, centre: &DataCentre, on: bool) {
        let world = self.world.lock();
        let backends: Vec<_> = world
            .backends()
            .filter(|(_, backend)| backend.data_centre == *centre)
            .map(|(server, backend)| (server.clone(), backend.clone()))
            .collect();
        drop(world);
        let mut fleets = self.fleets.lock();
        for (server, backend) in backends {
            let Some(fleet) = fleets.get_mut(&backend.service) else {
                continue;
            };
            if on {
                fleet.unlist(&server);
                continue;
            }
            fleet.list(now, &self.place.load(), &server, &backend);
            // Its servers may have become cold meanwhile, which only a health check tells.
            if let Some(index) = fleet.placement.find(&server) {
                fleet.placement.doubt(index);
            }
        }
    }
}

fn place(setting: &Setting) -> Place {
    Place {
        data_centre: setting.host.data_centre.clone(),
        region: setting.host.region.clone(),
        regions: setting.data_centres.clone(),
    }
}

fn limit(setting: &Setting) -> repeat::Limit {
    let bounds = &setting.bounds;
    repeat::Limit {
        ratio: bounds.repeat_ratio,
        slack: bounds.repeat_slack,
        window: bounds.repeat_window,
    }
}

/// Returns the hash by which hosts agree on the sponsors of a server.
pub(crate) fn hash(name: &str) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns a hash of a name that fits into a datagram many times.
pub(crate) fn short(name: &str) -> u32 {
    let hash = hash(name);
    (hash ^ (hash >> 32)) as u32
}

fn objective(config: &Config, service: &Service) -> Duration {
    let routes = config.routes.values();
    let routes = routes.filter(|route| route.parts.iter().any(|(part, _)| part == service));
    let objective = routes.map(|route| route.objective).min();
    objective.unwrap_or(DEFAULT_OBJECTIVE)
}
