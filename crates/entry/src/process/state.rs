//! State that the requests and the control tasks of one host share.

use crate::{
    connection::register::{Crowd, Observer},
    era::Era,
    model::Peer,
    platform::{Format, Store, Subject, usage::Accounts},
    process::{
        change::last_resort_time, metrics::Metrics, orphans::Orphans, replica::Replica, usage::Book,
    },
    request::suspect::Check,
    setting::Setting,
    version::{
        catalog::{Catalog, Grant},
        fleet::{Fleet, Location},
    },
};
use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use azurenotch_core::{
    process::{
        election::{self, Candidate, Path, Role},
        follow::Calls,
        presence::Presence,
        quota::Quota,
        retry,
        senders::Roster,
        suspect,
    },
    request::{
        body_memory::Account,
        forecast::{self, Forecast},
        identity,
    },
    version::slew,
};
use azurenotch_platform::Clock;
use azurenotch_wire::{
    Map, hash,
    id::{Host, Incarnation, Region, Server, Service, Workspace},
    time::Instant,
};
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Time by which a host refuses keys before their last confirmation is `withdrawal-s` old.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(150);
/// Longest time after the start within which a host reads the rows of the hosts and the rejections.
///
/// After that it follows the store itself, and serves callers with what it knows.
const MAX_JOIN_TIME: Duration = Duration::from_secs(1);
/// Longest time after that until the hosts that run have answered; a round trip between regions.
const MAX_CONTACT_TIME: Duration = Duration::from_millis(150);
/// Longest time after the first start of the whole system until one host has read the rows.
const MAX_FIRST_READ_TIME: Duration = Duration::from_secs(3);
/// Share of the memory for all buffered request bodies and answers together.
const BODY_MEMORY_SHARE: f64 = 0.4;

/// Platform, clock and log that a host is built with.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// Protocol and body formats of the platform.
    pub format: Arc<dyn Format>,
    /// Client of the platform's store.
    pub store: Arc<dyn Store>,
    /// Client of the platform's accounts; `None` if the settings do not ask for usage reports.
    pub accounts: Option<Arc<dyn Accounts>>,
    /// Monotonic clock.
    pub clock: Arc<dyn Clock>,
    /// Logger, which adds the name of the host to each line.
    pub log: Logger,
}

/// The other hosts: their status and addresses.
#[derive(Debug, Default)]
pub struct Membership {
    /// Last received status of each host.
    pub presence: Presence,
    /// Addresses and location of each host.
    pub peers: Map<Host, Peer>,
}

impl Membership {
    /// Returns the other hosts of a region that are reachable.
    fn in_region<'a>(&'a self, now: Instant, region: &'a Region) -> impl Iterator<Item = &'a Host> {
        let reachable = self.presence.reachable(now);
        reachable.filter(move |host| {
            let peer = self.peers.get(*host);
            peer.is_some_and(|peer| peer.region == *region)
        })
    }
}

/// Request that has not been sent, or not for the last time.
#[derive(Debug, Clone, Copy)]
pub struct Pending<'a> {
    /// Id as sent by the caller, for logs.
    pub id: &'a str,
    /// Hash of the name of its route.
    pub route: u32,
    /// When its header was read.
    pub arrived: Instant,
    /// Time until the host gives it up, whether or not it is stopping.
    pub left: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// Planned stop of a host.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// When it was asked for at the earliest; look-ups leave the host out from its start on.
    pub began: Instant,
    /// When running requests are given up.
    pub cutoff: Instant,
    /// When the platform ends the process.
    pub end: Instant,
}

/// State that the requests and the control tasks of one host share.
#[derive(Debug)]
pub struct State {
    setting: ArcSwap<Setting>,
    /// Description of this host that it sends to the others.
    pub own: Peer,
    /// Platform, clock and log.
    pub dependencies: Dependencies,
    /// Metrics in the Prometheus format.
    pub metrics: Metrics,
    /// Routes and contracts of the configuration in force; empty before the first one.
    pub catalog: ArcSwapOption<Catalog>,
    /// Replica of the platform's rows.
    pub replica: Mutex<Replica>,
    /// Backend servers by service.
    pub fleets: Mutex<Map<Service, Fleet>>,
    /// Rate limits by workspace.
    pub quotas: Mutex<Map<Workspace, Quota>>,
    /// Workspaces by the hash that messages contain.
    pub workspaces_by_hash: Mutex<Map<u32, Workspace>>,
    /// Starts a round of messages at once, when other hosts should receive a change.
    pub gossip_wakeup: Notify,
    /// Sends changes of the rows at once, to the hosts that get them from this one.
    pub update_wakeup: Notify,
    /// Limit on how fast requests move between regions.
    pub slew: Mutex<slew::Limiter>,
    /// Other hosts.
    pub membership: Mutex<Membership>,
    /// Reachable hosts, this one included, for which the senders of cold servers were chosen last.
    pub(super) warmup_roster: Mutex<Roster>,
    /// Hash of this host's name.
    pub(super) own_hash: u64,
    /// Set when a planned stop begins.
    pub stop: OnceLock<Stop>,
    /// Cancelled at its cutoff: requests that still run get their final answers.
    pub cutoff: CancellationToken,
    /// When the addresses of the other hosts were read from the store.
    joined: OnceLock<Instant>,
    /// Whether the host has learned which requests were rejected before it started.
    knows_rejections: AtomicBool,
    /// Last calls to the store.
    calls: Mutex<Map<Subject, Calls>>,
    /// Whether keys were accepted when that was last logged.
    trusted_keys: AtomicBool,
    /// Whether a backend server has ever named a limit, so that answers without one matter.
    pub(super) has_limits: AtomicBool,
    /// Requests under which servers crashed.
    pub suspects: Mutex<suspect::Table>,
    /// Runs whose callers have left, and the servers that have them.
    pub(crate) orphans: Mutex<Orphans>,
    /// Whether a process of a server has ended, for those that lost a request.
    pub(crate) crash_checks: Mutex<Map<(Server, u64), Check>>,
    /// Times that requests need, by the hash of their route's name.
    pub forecasts: Mutex<Map<u32, Forecast>>,
    /// Key of the identities of requests.
    pub identity_key: identity::Key,
    /// Counts for the usage reports; `None` if the settings do not ask for them.
    pub usage: Option<Mutex<Book>>,
    /// Memory that buffered bodies use.
    pub memory: Arc<Mutex<Account>>,
    pub(super) location: ArcSwap<Location>,
}

impl State {
    /// Creates the state of a host without configuration, servers or peers.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be registered.
    pub fn new(
        setting: Setting,
        own: Peer,
        dependencies: Dependencies,
    ) -> Result<Self, prometheus::Error> {
        let account = Account::new(setting.machine.memory(BODY_MEMORY_SHARE));
        let mut membership = Membership::default();
        membership
            .presence
            .set_contact_bound(setting.bounds.contact);
        let usage = setting.usage.map(|terms| {
            let clock = &dependencies.clock;
            let host = (own.host.clone(), Incarnation(own.incarnation));
            Mutex::new(Book::new(host, &terms, clock.now(), clock.wall_ms()))
        });
        let suspects = suspect::Table::new(hash::hash32(own.host.as_str()));
        let own_hash = hash::hash64(own.host.as_str());
        Ok(Self {
            own,
            own_hash,
            dependencies,
            usage,
            memory: Arc::new(Mutex::new(account)),
            location: ArcSwap::from_pointee(own_location(&setting)),
            suspects: Mutex::new(suspects),
            orphans: Mutex::default(),
            crash_checks: Mutex::default(),
            forecasts: Mutex::default(),
            identity_key: setting.identity_key(),
            metrics: Metrics::new()?,
            catalog: ArcSwapOption::empty(),
            replica: Mutex::default(),
            fleets: Mutex::default(),
            quotas: Mutex::default(),
            workspaces_by_hash: Mutex::default(),
            gossip_wakeup: Notify::new(),
            update_wakeup: Notify::new(),
            slew: Mutex::default(),
            membership: Mutex::new(membership),
            warmup_roster: Mutex::default(),
            stop: OnceLock::new(),
            cutoff: CancellationToken::new(),
            joined: OnceLock::new(),
            knows_rejections: AtomicBool::new(setting.host.is_first),
            calls: Mutex::default(),
            trusted_keys: AtomicBool::new(false),
            has_limits: AtomicBool::new(false),
            setting: ArcSwap::from_pointee(setting),
        })
    }

    /// Returns the settings in force.
    pub fn setting(&self) -> Guard<Arc<Setting>> {
        self.setting.load()
    }

    /// Puts changed settings in force.
    ///
    /// Returns the names of the changed settings that take effect only at the next start.
    pub fn reload(&self, next: Setting) -> Vec<&'static str> {
        let former = self.setting.load_full();
        let (setting, waiting) = former.succeeded_by(next);
        self.memory
            .lock()
            .set_limit(setting.machine.memory(BODY_MEMORY_SHARE));
        if setting.store != former.store {
            self.dependencies.store.redirect(setting.store);
        }
        let limit = repeat_limit(&setting);
        for fleet in self.fleets.lock().values_mut() {
            fleet.budget.set_limit(limit);
            fleet.placement.set_drain(last_resort_time(&setting));
        }
        let contact = setting.bounds.contact;
        self.membership.lock().presence.set_contact_bound(contact);
        let moved = setting.data_centres != former.data_centres;
        self.location.store(Arc::new(own_location(&setting)));
        self.setting.store(Arc::new(setting));
        if moved {
            self.reapply(self.now());
        }
        waiting
    }

    /// Returns the current time on the host's monotonic clock.
    pub fn now(&self) -> Instant {
        self.dependencies.clock.now()
    }

    /// Returns the log.
    pub fn log(&self) -> &Logger {
        &self.dependencies.log
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Returns the time until running requests are given up; `None` unless the host is stopping.
    pub fn time_to_stop(&self, now: Instant) -> Option<Duration> {
        self.stop.get().map(|stop| stop.cutoff.since(now))
    }

    /// Returns whether a request is likely to end before the host stops, and logs if it is not.
    pub fn ends_before_stop(&self, now: Instant, request: &Pending<'_>) -> bool {
        let Some(stop) = self.stop.get() else {
            return true;
        };
        let time_to_stop = stop.cutoff.since(now);
        let since_stop = request.arrived.since(stop.began);
        let expected = forecast::Request {
            since_stop,
            timeout: request.left,
            repeatable: request.repeatable,
        };
        let forecasts = self.forecasts.lock();
        let forecast = forecasts.get(&request.route);
        let need = forecast.map_or(request.left, |forecast| forecast.need(now, &expected));
        drop(forecasts);
        if need > time_to_stop {
            let ms = |time: Duration| time.as_millis() as u64;
            info!(self.log(), "stop: request needs more time than is left"; "id" => request.id,
                "need-ms" => ms(need), "stop-left-ms" => ms(time_to_stop),
                "since-stop-ms" => ms(since_stop));
        }
        need <= time_to_stop
    }

    /// Returns whether the host accepts callers.
    ///
    /// It has a configuration, knows the rejected requests and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.catalog.load().is_some() && self.knows_rejections(self.now())
    }

    /// Returns whether the host may send requests: it knows which of them crash their servers, or
    /// has waited for that long enough.
    pub fn knows_rejections(&self, now: Instant) -> bool {
        self.knows_rejections.load(Ordering::Acquire) || now.since(Instant::ZERO) >= MAX_JOIN_TIME
    }

    /// Records that the store, or a host that serves, has told which requests are rejected.
    pub(super) fn record_rejections(&self, source: &str) {
        // Pairs with the load of a request, which then sees the rejections stored before this.
        if !self.knows_rejections.swap(true, Ordering::Release) {
            info!(self.log(), "suspects: rejections known"; "source" => source,
                "ms" => self.now().since(Instant::ZERO).as_millis() as u64);
        }
    }

    /// Returns the regions in which a request may run by the configuration in force.
    ///
    /// `None` if it may run in none, and empty if it may run in all.
    pub fn allowed_regions(&self, grant: &Grant) -> Option<Vec<Region>> {
        match &*self.catalog.load() {
            Some(catalog) if catalog.version != grant.version => {
                catalog.renew(grant).allowed_regions()
            }
            _ => grant.allowed_regions(),
        }
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        let catalog = self.catalog.load();
        catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Returns whether the keys were confirmed recently enough to be accepted.
    ///
    /// The host has then received every withdrawal that is older than `withdrawal-s`. Always true
    /// without `strict-withdrawal`.
    pub fn trusts_keys(&self, now: Instant) -> bool {
        let bounds = &self.setting().bounds;
        if !bounds.strict_withdrawal {
            return true;
        }
        let complete = self.replica.lock().complete();
        let limit = bounds.withdrawal.saturating_sub(WITHDRAWAL_MARGIN);
        complete.is_some_and(|at| at.age(now) < limit)
    }

    /// Updates the metrics about the store.
    pub fn update_store_metrics(&self) {
        let now = self.now();
        let replica = self.replica.lock();
        let age = replica.complete().map(|at| at.age(now));
        self.metrics
            .set_store(replica.era().0, replica.held_count(), age);
    }

    /// Logs decisions between rows in force and those of a restored store, and whether keys are
    /// accepted.
    pub fn log_restore(&self) {
        let now = self.now();
        let conflicts = self.replica.lock().take_conflicts();
        for conflict in conflicts {
            let stored = conflict.stored_version;
            info!(self.log(), "store: row differs from what is in force"; "row" => conflict.row,
                "known-era" => Era::of(conflict.known_version).0,
                "known" => Era::number(conflict.known_version),
                "stored-era" => stored.map(|version| Era::of(version).0),
                "stored" => stored.map(Era::number), "kept" => conflict.is_kept);
        }
        let trusts = self.trusts_keys(now);
        if self.trusted_keys.swap(trusts, Ordering::Relaxed) != trusts {
            let replica = self.replica.lock();
            let complete = replica.complete();
            let age = complete.map(|at| at.age(now).as_millis() as u64);
            let era = replica.era();
            drop(replica);
            info!(self.log(), "keys: acceptance changed"; "accepted" => trusts, "age-ms" => age,
                "era" => era.0, "configuration" => self.configuration_version());
        }
    }

    /// Returns the number of hosts, this one and unreachable ones included.
    pub fn host_count(&self) -> usize {
        self.membership.lock().presence.count()
    }

    /// Returns this host's part in reading the store for all hosts.
    pub fn store_role(&self, now: Instant) -> Role {
        let membership = self.membership.lock();
        let own = Candidate {
            host: &self.own.host,
            region: &self.own.region,
            path: self.store_path(now),
        };
        let others = membership.presence.reachable(now).filter_map(|host| {
            let region = &membership.peers.get(host)?.region;
            let path = membership.presence.path(host);
            Some(Candidate { host, region, path })
        });
        election::role(own, others)
    }

    /// Returns how long a write has to be due before this host makes it; `None` for never.
    pub(super) fn write_delay(&self) -> Option<Duration> {
        let now = self.now();
        let membership = self.membership.lock();
        election::write_delay(&self.own.host, membership.presence.reachable(now))
    }

    /// Records that the addresses of the other hosts were read from the store.
    pub fn record_join(&self, now: Instant) {
        // Later calls change nothing.
        let _ = self.joined.set(now);
    }

    /// Returns whether one host is about to read the rows for all others.
    ///
    /// That is so for a short time after the first start of the whole system, when all hosts start
    /// together and no caller waits for them.
    pub fn awaits_first_read(&self, now: Instant) -> bool {
        self.setting().host.is_first && now.since(Instant::ZERO) < MAX_FIRST_READ_TIME
    }

    /// Returns whether the other hosts that run have had the time to show it.
    pub fn knows_others(&self, now: Instant) -> bool {
        match self.joined.get() {
            None => now.since(Instant::ZERO) >= MAX_JOIN_TIME,
            Some(at) => {
                let alone = self.membership.lock().peers.is_empty();
                alone || now.since(*at) >= MAX_CONTACT_TIME
            }
        }
    }

    /// Returns what is known of this host's way to the store.
    pub fn store_path(&self, now: Instant) -> Path {
        let calls = self.calls.lock();
        let paths = calls.values().map(|calls| calls.path(now));
        paths.max().unwrap_or(Path::Untried)
    }

    /// Records whether the store answered a call about a subject.
    ///
    /// The first failure is sent to the other hosts at once.
    pub fn record_store_call(&self, subject: Subject, answered: bool) {
        let now = self.now();
        let former = self.store_path(now);
        let mut calls = self.calls.lock();
        calls.entry(subject).or_default().record(now, answered);
        drop(calls);
        if former != Path::Lost && self.store_path(now) == Path::Lost {
            self.gossip_wakeup.notify_one();
        }
    }

    /// Returns the number of reachable hosts of the region, this one included.
    pub fn hosts_in_region(&self, now: Instant) -> usize {
        self.membership
            .lock()
            .in_region(now, &self.own.region)
            .count()
            + 1
    }

    /// Records that a backend server said that it is leaving, and tells the other hosts.
    ///
    /// It may not be listed any more; a listing that returns for the same process changes nothing.
    pub fn record_leaving(&self, service: &Service, server: &Server, incarnation: u64) {
        let now = self.now();
        let hash = hash::hash32(server.as_str());
        let is_new = self
            .fleets
            .lock()
            .get_mut(service)
            .is_some_and(|fleet| fleet.placement.record_leaving(now, hash, incarnation));
        if is_new {
            info!(self.log(), "servers: server is leaving"; "server" => %server,
                "service" => %service, "source" => "answer");
            self.gossip_wakeup.notify_one();
        }
    }
}

impl Observer for State {
    fn now(&self) -> Instant {
        self.dependencies.clock.now()
    }

    fn set_limit(&self, port: &'static str, limit: usize) {
        self.metrics.set_connection_limit(port, limit);
    }

    fn count(&self, port: &'static str, decision: &'static str) {
        self.metrics.count_connection(port, decision);
    }

    fn limit_reached(&self, port: &'static str, kept: usize, limit: usize) {
        warn!(self.log(), "connections: limit reached"; "port" => port, "connections" => kept,
            "limit" => limit, "in-flight" => self.metrics.in_flight.get());
    }

    fn has_room(&self, port: &'static str, crowd: &Crowd) {
        info!(self.log(), "connections: below limit again"; "port" => port,
            "ms" => crowd.duration.as_millis() as u64, "idle-closed" => crowd.replaced,
            "rejected" => crowd.rejected, "closed-unread" => crowd.closed);
    }
}

fn own_location(setting: &Setting) -> Location {
    Location {
        data_centre: setting.host.data_centre.clone(),
        region: setting.host.region.clone(),
        regions: setting.data_centres.clone(),
    }
}

/// Returns the limit on repeated sends.
pub(super) fn repeat_limit(setting: &Setting) -> retry::Limit {
    let bounds = &setting.bounds;
    retry::Limit {
        ratio: bounds.repeat_ratio,
        slack: bounds.repeat_slack,
        window: bounds.repeat_window,
    }
}
