//! Rows of the platform: configuration, backend servers, orders and the states of version moves.

pub mod check;
mod patch;

pub use patch::Patch;

use azurenotch_wire::{
    Map,
    id::{DataCentre, Host, Region, Release, Route as RouteName, Server, Service, Workspace},
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Complete configuration of all routes, services and workspaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version, which increases with every change.
    pub version: u64,
    /// Routes by name.
    pub routes: Map<RouteName, Route>,
    /// Services by name.
    pub services: Map<Service, ServiceConfig>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Workspaces by name; `None` if requests need no keys.
    pub workspaces: Option<Map<Workspace, Contract>>,
}

/// Which requests match a route, and how they are forwarded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Value of the `Host` header.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub kind: Kind,
    /// Longest time until the caller gets an answer.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Services that the requests are split between, with their weights.
    pub parts: Vec<(Service, u32)>,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a server that recently handled an object answers faster for it (cache affinity).
    pub sticky: bool,
    /// Regions in which requests may run; empty for all regions.
    pub homes: Vec<Region>,
}

impl Route {
    /// Returns the regions in which a workspace's requests may run; empty if they may run in all.
    ///
    /// `None` if both the route and the contract name regions and have none in common.
    pub fn allowed_regions(&self, contract: Option<&Contract>) -> Option<Vec<Region>> {
        let contract_homes = contract.map(|it| it.homes.as_slice()).unwrap_or_default();
        if self.homes.is_empty() || contract_homes.is_empty() {
            return Some([&self.homes, contract_homes].concat());
        }
        let homes = self.homes.iter();
        let common = homes.filter(|it| contract_homes.contains(it)).cloned();
        let common: Vec<_> = common.collect();
        (!common.is_empty()).then_some(common)
    }
}

/// Whether the requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Must not run more than once.
    Once,
    /// May run more than once, with large answers.
    Download,
}

impl Kind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        self != Self::Once
    }
}

/// Properties of a service's backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Path of health checks.
    pub health_path: String,
    /// Maximum number of connections to one server, from all hosts together.
    pub connections: u32,
    /// Maximum requests per second to a cold server, from all hosts together.
    pub cold_per_s: f64,
    /// How long a server stays cold after its start.
    pub cold: Duration,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request header in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request header.
    pub header_time: Duration,
    /// Timeout between two requests on one connection.
    pub idle_time: Duration,
}

/// Contract of a workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority that replaces that of the route, if any.
    pub priority: Option<u32>,
    /// Requests per second; 0 for no limit.
    pub rate: f64,
    /// Requests above the rate that are admitted at once.
    pub burst: f64,
    /// Regions in which its requests may run; empty for all regions.
    pub homes: Vec<Region>,
}

/// A backend server, as it registered itself in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Service that it runs.
    pub service: Service,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Version of its software.
    pub release: Release,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop and takes no new requests.
    pub draining: bool,
    /// Remaining time for which its cache is cold.
    pub cold: Duration,
    /// Start time in milliseconds since the Unix epoch, if reported.
    pub born_ms: Option<u64>,
}

/// Field of a listing whose value no backend server can have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Implausible {
    /// A name is longer than [`Backend::MAX_NAME_BYTES`].
    #[display("name")]
    Name,
    /// The address is not one that can be connected to.
    #[display("address")]
    Address,
    /// More slots than [`Backend::MAX_SLOTS`].
    #[display("slots")]
    Slots,
    /// Cold for longer than [`Backend::MAX_COLD`].
    #[display("time until warm")]
    Cold,
}

impl Backend {
    /// Largest number of bytes of a name, as in keys of the store.
    pub const MAX_NAME_BYTES: usize = 200;
    /// Largest number of requests that a server may run concurrently.
    pub const MAX_SLOTS: u32 = 1 << 16;
    /// Longest time for which a server may be cold.
    pub const MAX_COLD: Duration = Duration::from_hours(24);

    /// Checks that the values are such as a backend server can have.
    ///
    /// A value beyond them would pass through sums, messages and time limits that have no room for it.
    ///
    /// # Errors
    ///
    /// Returns the first field whose value is implausible.
    pub fn check(&self) -> Result<(), Implausible> {
        let names = [
            self.service.as_str(),
            self.data_centre.as_str(),
            self.release.as_str(),
        ];
        if names.iter().any(|name| name.len() > Self::MAX_NAME_BYTES) {
            return Err(Implausible::Name);
        }
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(Implausible::Address);
        }
        if self.slots > Self::MAX_SLOTS {
            return Err(Implausible::Slots);
        }
        if self.cold > Self::MAX_COLD {
            return Err(Implausible::Cold);
        }
        Ok(())
    }
}

/// Operator's order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// Version to move to.
    pub to: Release,
    /// Time from the order within which the move has to be complete.
    pub within: Duration,
}

/// State of a version move, which hosts write to the store for the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Version moved to.
    pub to: Release,
    /// Progress of the move.
    pub state: Progress,
    /// When the first host received the order, on the store's monotonic clock; `None` if unknown.
    pub started: Option<Duration>,
}

/// Progress of a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The move has not ended.
    Running,
    /// The new version has all traffic.
    Done,
    /// The new version was judged bad and its traffic taken back.
    TakenBack,
}

/// An entry host, as it describes itself to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the host.
    pub host: Host,
    /// Wall clock time of its start in milliseconds; a restart has a higher value.
    pub incarnation: u64,
    /// Address for messages and requests of other hosts.
    pub address: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
}

/// One row of the platform's store, with the version at which it last changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// Version of the store at the row's last change.
    pub version: u64,
    /// Content of the row.
    pub item: Item,
    /// Version at which a row got its content that the store has lost; `None` for all others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<u64>,
}

impl Fact {
    /// Creates the fact of a row that the store has.
    pub fn new(version: u64, item: Item) -> Self {
        Self {
            version,
            item,
            origin: None,
        }
    }
}

/// Content of one row; `None` if the row was removed or cannot be used.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// The configuration.
    Config(Box<Config>),
    /// An order to move a service.
    Move(Service, Option<Move>),
    /// Whether a data centre is evacuated.
    Evacuation(DataCentre, bool),
    /// A backend server.
    Backend(Server, Option<Backend>),
    /// The state of a version move.
    Outcome(Service, Option<Outcome>),
    /// Another entry host.
    Peer(Host, Option<Peer>),
    /// How the configuration differs from the one before; only in messages between hosts.
    Patch(Box<Patch>),
}
