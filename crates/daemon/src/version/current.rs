//! State derived from the configuration version in force.

use crate::{
    connection::pool::Pool,
    request::{clock::Clock, journal::Journal},
};
use azurenotch_config::{
    document::{Document, Server},
    snapshot::Snapshot,
};
use azurenotch_core::{
    request::access::Access,
    version::balance::{Balancer, Candidate, Query, Tier, Transition, Verdict},
};
use azurenotch_wire::{
    Map,
    event::Kind,
    id::{DataCentre, Release, Server as Name, Service},
    time::Instant,
};
use parking_lot::Mutex;
use std::{pin::pin, sync::Arc, time::Duration};
use tokio::{
    sync::{Notify, Semaphore},
    time::timeout,
};

/// Routes, keys, connection pools and server selection of one configuration version.
#[derive(Debug)]
pub struct Current {
    snapshot: Arc<Snapshot>,
    access: Access,
    pools: Map<Name, Arc<Pool>>,
    groups: Map<Service, Arc<Group>>,
}

/// Backend servers of one service, among which requests are balanced.
///
/// The value is kept across configuration versions, and with it the measurements.
#[derive(Debug)]
pub struct Group {
    balancer: Mutex<Balancer>,
    /// Wakes the request that has waited longest when an attempt ends.
    freed: Notify,
    /// Permits of the requests that may wait for a free slot.
    waiting: Semaphore,
    journal: Arc<Journal>,
}

/// Slot of a backend server that a running attempt occupies until this value is dropped.
#[derive(Debug)]
pub struct ServerSlot {
    group: Arc<Group>,
    index: usize,
    server: Name,
    result: Option<(Instant, Verdict, Duration)>,
}

impl Current {
    /// Derives the state of a host in data centre `here` from a snapshot.
    ///
    /// Connections, counts and measurements of backend servers also in `previous` are kept.
    /// `max_waiting` is the number of requests of one service that may wait for a free slot.
    pub fn new(
        now: Instant,
        snapshot: Arc<Snapshot>,
        here: &DataCentre,
        previous: Option<&Self>,
        max_waiting: usize,
        journal: &Arc<Journal>,
        seed: u64,
    ) -> Self {
        let document = &snapshot.document;
        let pools = document
            .servers
            .iter()
            .map(|(name, server)| (name.clone(), pool(document, name, server, previous)))
            .collect();
        let mut candidates = Map::<Service, Vec<Candidate>>::default();
        for (name, server) in &document.servers {
            let candidate = candidate(&snapshot, here, name, server, previous);
            let known = candidates.entry(server.service.clone()).or_default();
            known.push(candidate);
        }
        let groups = candidates
            .into_iter()
            .map(|(service, candidates)| {
                let known = previous.and_then(|it| it.groups.get(&service));
                let group = Group::new(now, &candidates, known, max_waiting, journal, seed);
                (service, group)
            })
            .collect();
        Self {
            access: Access::new(&snapshot),
            snapshot,
            pools,
            groups,
        }
    }

    /// Returns the snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the check of routes and keys.
    pub fn access(&self) -> &Access {
        &self.access
    }

    /// Returns the connection pool of a backend server, unless the configuration lacks the server.
    pub fn pool(&self, server: &Name) -> Option<&Arc<Pool>> {
        self.pools.get(server)
    }

    /// Returns the backend servers of a service, if it has any.
    pub fn group(&self, service: &Service) -> Option<&Arc<Group>> {
        self.groups.get(service)
    }

    /// Returns whether a backend server of this service and version is not drained.
    pub fn has_server(&self, service: &Service, release: &Release) -> bool {
        let servers = &self.snapshot.document.servers;
        servers.iter().any(|(name, server)| {
            server.service == *service
                && server.release == *release
                && !self.snapshot.drains.contains(name)
        })
    }

    /// Closes expired idle connections to backend servers.
    pub fn sweep(&self, now: Instant) {
        for pool in self.pools.values() {
            pool.sweep(now);
        }
    }
}

impl Group {
    fn new(
        now: Instant,
        candidates: &[Candidate],
        known: Option<&Arc<Self>>,
        max_waiting: usize,
        journal: &Arc<Journal>,
        seed: u64,
    ) -> Arc<Self> {
        if let Some(known) = known {
            known.balancer.lock().update(now, candidates);
            return Arc::clone(known);
        }
        Arc::new(Self {
            balancer: Mutex::new(Balancer::new(candidates, seed)),
            freed: Notify::new(),
            waiting: Semaphore::new(max_waiting),
            journal: Arc::clone(journal),
        })
    }

    /// Chooses a backend server and occupies a slot of it.
    ///
    /// Returns `None` if no backend server has a free slot for this host.
    pub fn pick(
        self: &Arc<Self>,
        now: Instant,
        release: &Release,
        excluded: &[usize],
    ) -> Option<ServerSlot> {
        let mut balancer = self.balancer.lock();
        let index = balancer.pick(now, &Query { release, excluded })?;
        balancer.begin(index);
        Some(ServerSlot {
            group: Arc::clone(self),
            index,
            server: balancer.candidate(index).server.clone(),
            result: None,
        })
    }
}

impl Group {
    /// Waits for a free slot for at most `wait`.
    ///
    /// Returns `None` after that time, or at once if too many requests already wait.
    pub async fn wait(
        self: &Arc<Self>,
        clock: &dyn Clock,
        release: &Release,
        wait: Duration,
    ) -> Option<ServerSlot> {
        let _waiting = self.waiting.try_acquire().ok()?;
        let freed = async {
            let mut freed = pin!(self.freed.notified());
            loop {
                // Registered before the search, so that a slot freed in between is not missed.
                freed.as_mut().enable();
                if let Some(slot) = self.pick(clock.now(), release, &[]) {
                    return slot;
                }
                freed.as_mut().await;
                freed.set(self.freed.notified());
            }
        };
        timeout(wait, freed).await.ok()
    }
}

impl ServerSlot {
    /// Returns the index of the backend server in its group, which later attempts may exclude.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Returns the name of the backend server.
    pub fn server(&self) -> &Name {
        &self.server
    }

    /// Sets the result of the attempt, which the balancer gets when the slot is dropped.
    pub fn set_result(&mut self, now: Instant, verdict: Verdict, latency: Duration) {
        self.result = Some((now, verdict, latency));
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        let unknown = (Instant::ZERO, Verdict::Abandoned, Duration::ZERO);
        let (now, verdict, latency) = self.result.unwrap_or(unknown);
        let mut balancer = self.group.balancer.lock();
        let transition = balancer.end(self.index, now, verdict, latency);
        drop(balancer);
        let server = self.server.clone();
        match transition {
            None => {}
            Some(Transition::Ejected) => self.group.journal.record(Kind::Ejected { server }),
            Some(Transition::Restored) => self.group.journal.record(Kind::Restored { server }),
        }
        self.group.freed.notify_one();
    }
}

fn pool(
    document: &Document,
    name: &Name,
    server: &Server,
    previous: Option<&Current>,
) -> Arc<Pool> {
    let share = (server.connections / document.fleet.slots.max(1)).max(1) as usize;
    let known = previous
        .and_then(|it| it.pool(name))
        .filter(|pool| pool.address() == server.address);
    if let Some(pool) = known {
        pool.set_limit(share);
        return Arc::clone(pool);
    }
    Arc::new(Pool::new(server.address, share))
}

fn candidate(
    snapshot: &Snapshot,
    here: &DataCentre,
    name: &Name,
    server: &Server,
    previous: Option<&Current>,
) -> Candidate {
    let document = &snapshot.document;
    Candidate {
        server: name.clone(),
        release: server.release.clone(),
        tier: tier(document, here, &server.data_centre),
        slots: server.slots,
        sharing_hosts: hosts_per_server(document),
        draining: snapshot.drains.contains(name),
        // A host that starts assumes warm backend servers, because other hosts already use them.
        cold: previous.is_some_and(|it| it.pool(name).is_none()),
    }
}

/// Returns the usual number of hosts that share a backend server: those of one data centre.
fn hosts_per_server(document: &Document) -> u32 {
    let data_centres = u32::try_from(document.data_centres.len())
        .unwrap_or(u32::MAX)
        .max(1);
    document.fleet.slots.div_ceil(data_centres)
}

fn tier(document: &Document, here: &DataCentre, there: &DataCentre) -> Tier {
    let region = |name| document.data_centres.get(name);
    if here == there {
        Tier::Local
    } else if region(here).is_some() && region(here) == region(there) {
        Tier::Region
    } else {
        Tier::Remote
    }
}
