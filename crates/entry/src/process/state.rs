//! What requests and control tasks of one host share.

use crate::{
    model::Peer,
    platform::{Format, Store, Subject},
    process::{counter::Counter, world::World},
    setting::Setting,
    version::{
        catalog::Catalog,
        fleet::{Fleet, Place},
    },
};
use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use azurenotch_core::{
    process::{election, presence::Presence, quota::Quota, retry, warmup},
    request::body_memory::Account,
    version::slew::SlewLimiter,
};
use azurenotch_platform::Clock;
use azurenotch_wire::{
    Map, hash,
    id::{Host, Region, Service, Workspace},
    time::Instant,
};
use parking_lot::Mutex;
use slog::Logger;
use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};
use tokio::sync::Notify;

/// Margin by which a host refuses keys before the bound of withdrawals is over.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(150);
/// Bytes of request bodies and of whole answers that this host holds at most, all together, as a
/// share of its memory.
const BODIES_SHARE: f64 = 0.4;
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
        let heard = self.presence.reachable(now);
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
    /// Limit on how fast requests move between regions.
    pub slew: Mutex<SlewLimiter>,
    /// Other hosts.
    pub company: Mutex<Company>,
    /// When requests are cut and the time from the announcement of the stop until then; set when a
    /// planned stop is announced.
    pub stop: OnceLock<(Instant, Duration)>,
    /// Subjects, a bit each, of which the last call to the store was not answered.
    lost: AtomicU8,
    /// Memory for bodies that are held as a whole.
    pub memory: Arc<Mutex<Account>>,
    pub(super) place: ArcSwap<Place>,
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
            slew: Mutex::default(),
            company: Mutex::default(),
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
        self.stop.get().is_some()
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
        election::is_store_reader(&self.own.host, self.reaches_store(), near)
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

    /// Determines again which hosts may send to the backend servers that are cold.
    pub fn sponsor(&self, now: Instant) {
        let company = self.company.lock();
        let mut near: Map<Region, Vec<Host>> = Map::default();
        for host in company.presence.reachable(now) {
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
                .backends()
                .map(|(index, backend)| {
                    let hosts = near.get(&backend.region).unwrap_or(&all);
                    let server = hash::hash64(backend.server.as_str());
                    (index, warmup::sender_count(server, &self.own.host, hosts))
                })
                .collect();
            for (index, sponsors) in listed {
                // Only hosts of the server's region sponsor it, if there are any.
                let region = &fleet.placement.backend(index).region;
                let able = *region == self.own.region || !near.contains_key(region);
                fleet
                    .placement
                    .set_warmup_hosts(index, sponsors.filter(|_| able));
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

/// Returns the limit on repeated sends.
pub(super) fn limit(setting: &Setting) -> retry::Limit {
    let bounds = &setting.bounds;
    retry::Limit {
        ratio: bounds.repeat_ratio,
        slack: bounds.repeat_slack,
        window: bounds.repeat_window,
    }
}
