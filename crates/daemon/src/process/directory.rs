//! Answers look-ups from the configuration and the state of other hosts.

use crate::{
    process::node::Peer,
    request::directory::{Answer, Directory, ListedHost as HostEntry},
};
use arc_swap::{ArcSwap, ArcSwapOption};
use azurenotch_config::snapshot::Snapshot;
use azurenotch_core::version::steering::{Fleet, HostStatus, Steering};
use azurenotch_wire::{
    event::Reachability,
    id::{DataCentre, Host, Region},
    operator::Choice,
    peer::State,
};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Maximum number of alternative hosts in a refusal.
const MAX_ALTERNATIVES: usize = 3;
/// Lifetime of a look-up answered by a host without a configuration.
const UNCONFIGURED_LIFETIME: Duration = Duration::from_secs(1);

/// Answers look-ups from the configuration and the state of other hosts.
#[derive(Debug)]
pub struct Hosts {
    host: Host,
    data_centre: DataCentre,
    /// Set once the port for callers is open.
    address: OnceLock<SocketAddr>,
    /// Routing of the configuration version in force.
    routing: ArcSwapOption<Routing>,
    /// Latest state of all hosts, including this one.
    fleet: ArcSwap<Fleet>,
    /// Whether this host is ready to be returned in look-ups.
    serving: Arc<AtomicBool>,
    leaving: AtomicBool,
}

/// Look-up data of one configuration version.
#[derive(Debug)]
struct Routing {
    steering: Steering,
    regions: BTreeMap<DataCentre, Region>,
    lifetime: Duration,
}

impl Hosts {
    /// Creates a directory that answers with no hosts until a snapshot is adopted.
    pub fn new(host: Host, data_centre: DataCentre, serving: Arc<AtomicBool>) -> Self {
        Self {
            host,
            data_centre,
            address: OnceLock::new(),
            routing: ArcSwapOption::empty(),
            fleet: ArcSwap::default(),
            serving,
            leaving: AtomicBool::new(false),
        }
    }

    /// Sets the address of this host's port for callers.
    pub fn set_address(&self, address: SocketAddr) {
        // The port is bound once, so the address is never set twice.
        let _ = self.address.set(address);
    }

    /// Applies the blocks and data centres of a snapshot.
    pub fn adopt(&self, snapshot: &Snapshot, peers: &[Peer]) {
        let document = &snapshot.document;
        let own = document.data_centres.get(&self.data_centre);
        // Clients outside all blocks use this host's region first.
        let others = document
            .data_centres
            .values()
            .filter(|region| Some(*region) != own);
        let mut fallback = own.into_iter().chain(others).cloned().collect::<Vec<_>>();
        fallback.dedup();
        self.routing.store(Some(Arc::new(Routing {
            steering: Steering::new(&document.blocks, fallback),
            regions: document.data_centres.clone(),
            lifetime: document.fleet.look_up_lifetime,
        })));
        self.update(peers);
    }

    /// Updates the state of all hosts from the published list of peers.
    pub fn update(&self, peers: &[Peer]) {
        let Some(routing) = self.routing.load_full() else {
            return;
        };
        let state = if self.leaving.load(Ordering::Relaxed) {
            State::Leaving
        } else if self.serving.load(Ordering::Relaxed) {
            State::Live
        } else {
            State::Starting
        };
        let own = self.address.get().and_then(|address| {
            Some(HostStatus {
                host: self.host.clone(),
                address: *address,
                region: routing.regions.get(&self.data_centre)?.clone(),
                data_centre: self.data_centre.clone(),
                reachability: Reachability::Live,
                state,
                load: 0.0,
            })
        });
        let others = peers.iter().filter_map(|peer| {
            Some(HostStatus {
                host: peer.host.clone(),
                address: peer.address,
                region: routing.regions.get(&peer.data_centre)?.clone(),
                data_centre: peer.data_centre.clone(),
                reachability: peer.state,
                state: peer.own_state,
                load: peer.load,
            })
        });
        let hosts = others.chain(own).collect::<Vec<_>>();
        self.fleet.store(Arc::new(Fleet::new(&hosts)));
    }

    /// Excludes this host from all further answers.
    pub fn leave(&self, peers: &[Peer]) {
        self.leaving.store(true, Ordering::Relaxed);
        self.update(peers);
    }
}

impl Directory for Hosts {
    fn look_up(&self, client: IpAddr) -> Answer {
        let Some(routing) = self.routing.load_full() else {
            let lifetime_ms = UNCONFIGURED_LIFETIME.as_millis() as u64;
            return Answer {
                lifetime_ms,
                hosts: Vec::new(),
            };
        };
        let lookup = routing
            .steering
            .choose(client, &self.fleet.load(), routing.lifetime);
        Answer {
            lifetime_ms: lookup.lifetime_ms,
            hosts: lookup.hosts.iter().map(host_entry).collect(),
        }
    }

    fn alternatives(&self, client: IpAddr) -> Vec<String> {
        let Some(routing) = self.routing.load_full() else {
            return Vec::new();
        };
        let lookup = routing
            .steering
            .choose(client, &self.fleet.load(), routing.lifetime);
        let others = lookup
            .hosts
            .iter()
            .filter(|choice| choice.host != self.host);
        others
            .take(MAX_ALTERNATIVES)
            .map(|choice| choice.address.to_string())
            .collect()
    }
}

fn host_entry(choice: &Choice) -> HostEntry {
    HostEntry {
        host: choice.host.to_string(),
        address: choice.address.to_string(),
        weight: choice.weight,
    }
}
