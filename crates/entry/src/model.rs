//! What the platform tells a host: configuration, backend servers, orders and their outcomes.

use azurenotch_wire::{
    Map,
    id::{DataCentre, Host, Region, Release, Route as RouteName, Server, Service, Workspace},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Configuration in full.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Number of the configuration, which only grows.
    pub version: u64,
    /// Routes by name.
    pub routes: Map<RouteName, Route>,
    /// Services by name.
    pub services: Map<Service, ServiceConfig>,
    /// Limits towards callers.
    pub limits: Limits,
    /// Workspaces by name; `None` if requests carry no keys.
    pub workspaces: Option<Map<Workspace, Contract>>,
}

/// Which requests take a route and what becomes of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host name that callers ask for.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Rank; 0 is served first.
    pub priority: u32,
    /// Services that share the requests, with their weights.
    pub parts: Vec<(Service, u32)>,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a server that has handled the object recently is faster.
    pub sticky: bool,
    /// Regions in which requests may run; empty if everywhere.
    pub homes: Vec<Region>,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    Once,
    /// May run more than once; answers are large.
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
    /// Connections that one server takes from all hosts together.
    pub connections: u32,
    /// Requests per second that a cold server takes from all hosts together.
    pub cold_per_s: f64,
    /// How long a server stays cold after its start.
    pub cold: Duration,
}

/// Limits towards callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest header in bytes.
    pub header_bytes: u64,
    /// Longest body in bytes.
    pub body_bytes: u64,
    /// Longest time for a header.
    pub header_time: Duration,
    /// Longest time between two requests of a connection.
    pub idle_time: Duration,
}

/// Contract of a workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank that replaces that of the route.
    pub priority: Option<u32>,
    /// Requests per second; 0 if not limited.
    pub rate: f64,
    /// Requests above the rate that may come at once.
    pub burst: f64,
    /// Regions in which its requests may run; empty if everywhere.
    pub homes: Vec<Region>,
}

/// A backend server by its own words.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Service that it offers.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Version of its software.
    pub release: Release,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How much longer it stays cold.
    pub cold: Duration,
    /// Moment of its start in milliseconds since the Unix epoch, if told.
    pub born_ms: Option<u64>,
}

/// Order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// Version to move to.
    pub to: Release,
    /// Time from the order until the move has to be done.
    pub within: Duration,
}

/// State of a version move as the operator reads it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Version moved to.
    pub to: Release,
    /// How far the move is.
    pub state: Progress,
    /// Moment on the store's clock at which the first host saw the order.
    pub started: Option<Duration>,
}

/// How far a version move is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Under way.
    Running,
    /// The new version has all traffic.
    Done,
    /// The new version was judged bad.
    TakenBack,
}

/// Another entry host, by its own words.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the host.
    pub host: Host,
    /// Number of its start.
    pub incarnation: u64,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
}

/// One thing that the platform says, at the version of the store that said it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// Version of the store.
    pub version: u64,
    /// What it says.
    pub item: Item,
}

/// What one row of the platform says; `None` if the row was removed or is unusable.
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
}
