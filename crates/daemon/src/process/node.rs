//! Identity of the host and the state that its control actors share.

use crate::{
    process::{freshness::Evidence, recorder::Recorder, transport::Transport},
    request::{clock::Clock, gateway::Gateway},
};
use arc_swap::{ArcSwap, ArcSwapOption};
use azurenotch_config::{setting::Setting, snapshot::Snapshot};
use azurenotch_platform::{Roster, Store, Table};
use azurenotch_wire::{
    event::Reachability,
    id::{DataCentre, Host, Incarnation, Region},
    peer::{Heartbeat, Role, State},
    version::{Digest, Version},
};
use parking_lot::Mutex;
use slog::Logger;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Identity of the host and the state that its control actors share.
#[derive(Debug)]
pub struct Node {
    /// Validated settings.
    pub setting: Setting,
    /// Number that distinguishes this process from earlier ones of the host.
    pub incarnation: Incarnation,
    /// Monotonic clock.
    pub clock: Arc<dyn Clock>,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub store: Arc<dyn Store>,
    /// The platform's list of hosts.
    pub roster: Arc<dyn Roster>,
    /// Transport for calls to other hosts.
    pub transport: Arc<dyn Transport>,
    /// Data path.
    pub gateway: Arc<Gateway>,
    /// Recorder of events.
    pub recorder: Arc<Recorder>,
    /// Evidence about the age of the configuration.
    pub evidence: Arc<Evidence>,
    /// Latest published state of the other hosts.
    pub peers: Arc<ArcSwap<Vec<Peer>>>,
    /// Whether look-ups may return the host; set once it has its share of the budget.
    pub serving: Arc<AtomicBool>,
    /// Snapshot in force in its encoded form, for peers.
    pub encoded: ArcSwapOption<Encoded>,
    /// Roles that this host holds, with their fencing tokens.
    pub roles: Mutex<BTreeMap<String, u64>>,
    /// Logger of the control actors.
    pub log: Logger,
}

/// Another host, as last observed by this one.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Its name.
    pub host: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address of its port for callers.
    pub address: SocketAddr,
    /// Address of its port for other hosts.
    pub peer: SocketAddr,
    /// Address of its operator API.
    pub operator: SocketAddr,
    /// Whether this host can reach it.
    pub state: Reachability,
    /// State that it last reported about itself.
    pub own_state: State,
    /// Configuration version that it last reported.
    pub version: Version,
    /// Fraction of its capacity in use, 0 to 1.
    pub load: f32,
    /// Roles that it last reported, with their fencing tokens.
    pub roles: Vec<Role>,
}

/// A snapshot in its encoded form.
#[derive(Debug)]
pub struct Encoded {
    /// Its version.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

impl Node {
    /// Returns the name of the host.
    pub fn host(&self) -> &Host {
        &self.setting.host.name
    }

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.gateway
            .current()
            .map(|current| Arc::clone(current.snapshot()))
    }

    /// Returns the version in force; zero if there is none.
    pub fn version(&self) -> Version {
        self.gateway
            .current()
            .map(|current| current.snapshot().version)
            .unwrap_or_default()
    }

    /// Returns the highest reported token for a role, and the address of the peer that holds it.
    pub fn holder(&self, role: &str) -> Option<(u64, SocketAddr)> {
        let peers = self.peers.load();
        let holders = peers.iter().filter_map(|peer| {
            let held = peer.roles.iter().find(|held| held.name == role)?;
            Some((held.token, peer.peer))
        });
        holders.max_by_key(|(token, _)| *token)
    }

    /// Returns the region of the host; `None` if the configuration lacks its data centre.
    pub fn region(&self) -> Option<Region> {
        let snapshot = self.snapshot()?;
        snapshot
            .document
            .data_centres
            .get(&self.setting.host.data_centre)
            .cloned()
    }

    /// Returns the current state of this host.
    pub fn state(&self) -> State {
        if self.gateway.is_leaving() {
            State::Leaving
        } else if self.gateway.current().is_some() && self.serving.load(Ordering::Relaxed) {
            State::Live
        } else {
            State::Starting
        }
    }

    /// Marks the host as ready to be returned in look-ups.
    pub fn set_serving(&self) {
        self.serving.store(true, Ordering::Relaxed);
    }

    /// Returns a heartbeat with the current state of the host.
    pub fn heartbeat(&self) -> Heartbeat {
        let contact = self.evidence.contact_age(self.clock.now());
        let in_flight = self.gateway.in_flight();
        let roles = self.roles.lock().clone();
        Heartbeat {
            host: self.host().clone(),
            incarnation: self.incarnation,
            data_centre: self.setting.host.data_centre.clone(),
            address: self.setting.host.listen,
            peer: self.setting.host.peer,
            operator: self.setting.host.operator,
            state: self.state(),
            stamp: self.recorder.stamp(),
            version: self.version(),
            store_contact_ms: contact.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            roles: roles
                .into_iter()
                .map(|(name, token)| Role { name, token })
                .collect(),
            in_flight,
            load: in_flight as f32 / self.setting.limits.connections as f32,
        }
    }
}
