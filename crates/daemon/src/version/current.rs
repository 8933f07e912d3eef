//! What one configuration version gives a request.

use crate::{
    connection::pool::Pool,
    request::select::{LeastInFlight, Select},
};
use azurenotch_config::{
    document::{Document, Server},
    snapshot::Snapshot,
};
use azurenotch_core::request::access::Access;
use azurenotch_wire::{
    Map,
    id::{DataCentre, Release, Server as Name, Service},
    time::Instant,
};
use parking_lot::Mutex;
use std::sync::Arc;

/// What one configuration version gives a request.
#[derive(Debug)]
pub struct Current {
    snapshot: Arc<Snapshot>,
    access: Access,
    groups: Map<Service, Map<Release, Arc<Group>>>,
}

/// Backend servers of one service and version.
#[derive(Debug)]
pub struct Group {
    servers: Vec<Backend>,
    select: Mutex<Box<dyn Select>>,
}

/// A backend server with its connections.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Name of the backend server.
    pub name: Name,
    /// Its settings.
    pub server: Server,
    /// How far away it is.
    pub tier: Tier,
    /// Connections to it.
    pub pool: Arc<Pool>,
}

/// Distance of a backend server; closer ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In the host's data centre.
    DataCentre,
    /// In another data centre of the host's region.
    Region,
    /// In another region.
    Elsewhere,
}

impl Current {
    /// Prepares a snapshot for a host in data centre `here`.
    ///
    /// Connections and counts of backend servers that `previous` also has are kept.
    pub fn new(snapshot: Arc<Snapshot>, here: &DataCentre, previous: Option<&Self>) -> Self {
        let document = &snapshot.document;
        let mut members = Map::<Service, Map<Release, Vec<Backend>>>::default();
        for (name, server) in &document.servers {
            if snapshot.drains.contains(name) {
                continue;
            }
            let backend = Backend {
                name: name.clone(),
                server: server.clone(),
                tier: tier(document, here, &server.data_centre),
                pool: pool(document, name, server, previous),
            };
            let releases = members.entry(server.service.clone()).or_default();
            releases
                .entry(server.release.clone())
                .or_default()
                .push(backend);
        }
        let groups = members
            .into_iter()
            .map(|(service, releases)| {
                let releases = releases
                    .into_iter()
                    .map(|(release, servers)| {
                        let known = previous.and_then(|it| it.group(&service, &release));
                        let group = Group::new(servers, known);
                        (release, group)
                    })
                    .collect();
                (service, releases)
            })
            .collect();
        Self {
            access: Access::new(&snapshot),
            snapshot,
            groups,
        }
    }

    /// Returns the snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the routes and keys.
    pub fn access(&self) -> &Access {
        &self.access
    }

    /// Returns the backend servers of a service and version.
    pub fn group(&self, service: &Service, release: &Release) -> Option<&Arc<Group>> {
        self.groups.get(service)?.get(release)
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        let groups = self.groups.values().flat_map(Map::values);
        for backend in groups.flat_map(|group| &group.servers) {
            backend.pool.sweep(now);
        }
    }

    fn backend(&self, name: &Name, server: &Server) -> Option<&Backend> {
        let group = self.group(&server.service, &server.release)?;
        group.servers.iter().find(|backend| backend.name == *name)
    }
}

impl Group {
    fn new(servers: Vec<Backend>, known: Option<&Arc<Self>>) -> Arc<Self> {
        if let Some(known) = known
            && known.has(&servers)
        {
            return Arc::clone(known);
        }
        let select = LeastInFlight::new(servers.len());
        Arc::new(Self {
            servers,
            select: Mutex::new(Box::new(select)),
        })
    }

    /// Returns the backend servers.
    pub fn servers(&self) -> &[Backend] {
        &self.servers
    }

    /// Returns the choice among the backend servers.
    pub fn select(&self) -> &Mutex<Box<dyn Select>> {
        &self.select
    }

    fn has(&self, servers: &[Backend]) -> bool {
        self.servers.len() == servers.len()
            && self.servers.iter().zip(servers).all(|(left, right)| {
                left.name == right.name && left.server == right.server && left.tier == right.tier
            })
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
        .and_then(|it| it.backend(name, server))
        .filter(|backend| backend.pool.address() == server.address);
    if let Some(backend) = known {
        backend.pool.set_limit(share);
        return Arc::clone(&backend.pool);
    }
    Arc::new(Pool::new(server.address, share))
}

fn tier(document: &Document, here: &DataCentre, there: &DataCentre) -> Tier {
    let region = |name| document.data_centres.get(name);
    if here == there {
        Tier::DataCentre
    } else if region(here).is_some() && region(here) == region(there) {
        Tier::Region
    } else {
        Tier::Elsewhere
    }
}
