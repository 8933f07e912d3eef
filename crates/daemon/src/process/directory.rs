//! Look-ups from the configuration and the judgement of other hosts.

use crate::{
    process::node::Peer,
    request::directory::{Answer, Directory, Site},
};
use arc_swap::{ArcSwap, ArcSwapOption};
use azurenotch_config::snapshot::Snapshot;
use azurenotch_wire::{
    event::Reachability,
    id::{DataCentre, Host, Region},
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Hosts in one look-up answer.
const HOSTS: usize = 4;
/// Alternatives in one refusal.
const ALTERNATIVES: usize = 3;
/// Weight of an idle host.
const WEIGHT: f32 = 100.0;

/// Look-ups from the configuration and the judgement of other hosts.
#[derive(Debug)]
pub struct Hosts {
    host: Host,
    data_centre: DataCentre,
    /// Set once the port for callers is open.
    address: OnceLock<SocketAddr>,
    snapshot: ArcSwapOption<Snapshot>,
    peers: Arc<ArcSwap<Vec<Peer>>>,
    /// Whether this host has a configuration and its share of the budget.
    serving: Arc<AtomicBool>,
    leaving: AtomicBool,
}

impl Hosts {
    /// Creates a directory that knows only its own host.
    pub fn new(
        host: Host,
        data_centre: DataCentre,
        peers: Arc<ArcSwap<Vec<Peer>>>,
        serving: Arc<AtomicBool>,
    ) -> Self {
        Self {
            host,
            data_centre,
            address: OnceLock::new(),
            snapshot: ArcSwapOption::empty(),
            peers,
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
    pub fn adopt(&self, snapshot: Arc<Snapshot>) {
        self.snapshot.store(Some(snapshot));
    }

    /// Leaves this host out of all answers from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns live hosts ordered by the regions of the client's block.
    fn ranked(&self, client: IpAddr, with_self: bool) -> Vec<Site> {
        let Some(snapshot) = self.snapshot.load_full() else {
            return Vec::new();
        };
        let regions = regions(&snapshot, client);
        let rank = |data_centre: &DataCentre| {
            let region = snapshot.document.data_centres.get(data_centre);
            regions
                .iter()
                .position(|wanted| Some(wanted) == region)
                .unwrap_or(regions.len())
        };
        let is_own_listed = with_self && !self.leaving.load(Ordering::Relaxed);
        let own = self
            .address
            .get()
            .filter(|_| is_own_listed)
            .map(|address| Site {
                host: self.host.to_string(),
                address: address.to_string(),
                weight: WEIGHT as u32,
            });
        let peers = self.peers.load();
        let mut sites = peers
            .iter()
            .filter(|peer| peer.state == Reachability::Live && peer.serving)
            .map(|peer| (rank(&peer.data_centre), site(peer)))
            .collect::<Vec<_>>();
        // While a fleet starts, a host without a share is better than none.
        let own = own.filter(|_| self.serving.load(Ordering::Relaxed) || sites.is_empty());
        sites.extend(own.map(|own| (rank(&self.data_centre), own)));
        sites.sort_by_cached_key(|(rank, site)| (*rank, spread(client, &site.host)));
        sites.into_iter().map(|(_, site)| site).collect()
    }
}

impl Directory for Hosts {
    fn look_up(&self, client: IpAddr) -> Answer {
        let lifetime = self
            .snapshot
            .load()
            .as_ref()
            .map_or(Duration::from_secs(1), |it| {
                it.document.fleet.look_up_lifetime
            });
        let mut hosts = self.ranked(client, true);
        hosts.truncate(HOSTS);
        Answer {
            lifetime_ms: u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX),
            hosts,
        }
    }

    fn alternatives(&self, client: IpAddr) -> Vec<String> {
        let sites = self.ranked(client, false).into_iter().take(ALTERNATIVES);
        sites.map(|site| site.address).collect()
    }
}

fn site(peer: &Peer) -> Site {
    let headroom = (1.0 - peer.load).clamp(0.01, 1.0);
    Site {
        host: peer.host.to_string(),
        address: peer.address.to_string(),
        weight: (WEIGHT * headroom) as u32,
    }
}

/// Returns the regions of the longest block that holds the client.
fn regions(snapshot: &Snapshot, client: IpAddr) -> Vec<Region> {
    let blocks = snapshot
        .document
        .blocks
        .iter()
        .filter(|(block, _)| block.contains(&client));
    blocks
        .max_by_key(|(block, _)| block.prefix_len())
        .map(|(_, regions)| regions.clone())
        .unwrap_or_default()
}

/// Spreads clients over the hosts of a region, the same way at every host.
fn spread(client: IpAddr, host: &str) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    client.hash(&mut hasher);
    host.hash(&mut hasher);
    hasher.finish()
}
