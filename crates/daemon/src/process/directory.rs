//! Look-ups from the configuration and the judgement of other hosts.

use crate::{
    process::node::Peer,
    request::directory::{Answer, Directory, ListedHost as Named},
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

/// Alternatives in one refusal.
const ALTERNATIVES: usize = 3;
/// Time for which callers keep an answer of a host without a configuration.
const UNCONFIGURED_LIFETIME: Duration = Duration::from_secs(1);

/// Look-ups from the configuration and the judgement of other hosts.
#[derive(Debug)]
pub struct Hosts {
    host: Host,
    data_centre: DataCentre,
    /// Set once the port for callers is open.
    address: OnceLock<SocketAddr>,
    /// Table of the configuration version in force.
    table: ArcSwapOption<Table>,
    /// Hosts as last judged, this one included.
    fleet: ArcSwap<Fleet>,
    /// Whether this host has a configuration and its share of the budget.
    serving: Arc<AtomicBool>,
    leaving: AtomicBool,
}

/// What look-ups need of one configuration version.
#[derive(Debug)]
struct Table {
    steering: Steering,
    regions: BTreeMap<DataCentre, Region>,
    lifetime: Duration,
}

impl Hosts {
    /// Creates a directory that knows only its own host.
    pub fn new(host: Host, data_centre: DataCentre, serving: Arc<AtomicBool>) -> Self {
        Self {
            host,
            data_centre,
            address: OnceLock::new(),
            table: ArcSwapOption::empty(),
            fleet: ArcSwap::default(),
            serving,
            leaving: AtomicBool::new(false),
        }
    }

    /// Sets the address where this host takes callers.
    pub fn set_address(&self, address: SocketAddr) {
        // The port is opened once, so that a second address never comes.
        let _ = self.address.set(address);
    }

    /// Takes over the blocks of a snapshot.
    pub fn adopt(&self, snapshot: &Snapshot, peers: &[Peer]) {
        let document = &snapshot.document;
        let own = document.data_centres.get(&self.data_centre);
        // Clients of no block use the region of the host that they ask.
        let others = document
            .data_centres
            .values()
            .filter(|region| Some(*region) != own);
        let mut fallback = own.into_iter().chain(others).cloned().collect::<Vec<_>>();
        fallback.dedup();
        self.table.store(Some(Arc::new(Table {
            steering: Steering::new(&document.blocks, fallback),
            regions: document.data_centres.clone(),
            lifetime: document.fleet.look_up_lifetime,
        })));
        self.update(peers);
    }

    /// Takes over the judgement of the other hosts.
    pub fn update(&self, peers: &[Peer]) {
        let Some(table) = self.table.load_full() else {
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
                region: table.regions.get(&self.data_centre)?.clone(),
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
                region: table.regions.get(&peer.data_centre)?.clone(),
                data_centre: peer.data_centre.clone(),
                reachability: peer.state,
                state: peer.own_state,
                load: peer.load,
            })
        });
        let sites = others.chain(own).collect::<Vec<_>>();
        self.fleet.store(Arc::new(Fleet::new(&sites)));
    }

    /// Leaves this host out of all answers from now on.
    pub fn leave(&self, peers: &[Peer]) {
        self.leaving.store(true, Ordering::Relaxed);
        self.update(peers);
    }
}

impl Directory for Hosts {
    fn look_up(&self, client: IpAddr) -> Answer {
        let Some(table) = self.table.load_full() else {
            let lifetime_ms = UNCONFIGURED_LIFETIME.as_millis() as u64;
            return Answer {
                lifetime_ms,
                hosts: Vec::new(),
            };
        };
        let lookup = table
            .steering
            .choose(client, &self.fleet.load(), table.lifetime);
        Answer {
            lifetime_ms: lookup.lifetime_ms,
            hosts: lookup.hosts.iter().map(named).collect(),
        }
    }

    fn alternatives(&self, client: IpAddr) -> Vec<String> {
        let Some(table) = self.table.load_full() else {
            return Vec::new();
        };
        let lookup = table
            .steering
            .choose(client, &self.fleet.load(), table.lifetime);
        let others = lookup
            .hosts
            .iter()
            .filter(|choice| choice.host != self.host);
        others
            .take(ALTERNATIVES)
            .map(|choice| choice.address.to_string())
            .collect()
    }
}

fn named(choice: &Choice) -> Named {
    Named {
        host: choice.host.to_string(),
        address: choice.address.to_string(),
        weight: choice.weight,
    }
}
