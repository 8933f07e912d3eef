//! The operators' configuration document.

use azurenotch_wire::id::{
    DataCentre, Region, Release, Route as RouteName, Server as ServerName, Service, Workspace,
};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Validated configuration as operators write it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Region of each data centre.
    pub data_centres: BTreeMap<DataCentre, Region>,
    /// Version of each service that serves when no move is under way.
    pub services: BTreeMap<Service, Release>,
    /// Backend servers.
    pub servers: BTreeMap<ServerName, Server>,
    /// Routes.
    pub routes: BTreeMap<RouteName, Route>,
    /// Contracts by workspace.
    pub workspaces: BTreeMap<Workspace, Contract>,
    /// Regions to use for each block of client addresses, best first.
    pub blocks: BTreeMap<IpNet, Vec<Region>>,
}

/// Settings of the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Number of slots that hosts claim; at least the number of hosts.
    pub slots: u32,
    /// Time for which callers may keep a look-up answer.
    pub look_up_lifetime: Duration,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            slots: 16,
            look_up_lifetime: Duration::from_secs(10),
        }
    }
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Service that it offers.
    pub service: Service,
    /// Version of the service that it runs.
    pub release: Release,
    /// Data centre where it stands.
    pub data_centre: DataCentre,
    /// Address where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts from all hosts together.
    pub connections: u32,
}

/// A route from a path prefix to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Service that answers.
    pub service: Service,
    /// Prefix of the path; the longest match wins and ends at a segment border.
    pub prefix: String,
    /// Methods that the route takes, in upper case.
    pub methods: Vec<String>,
    /// Whether a key is needed.
    pub access: Access,
    /// Whether a request may be sent again.
    pub idempotent: bool,
    /// Longest time for a request, from its arrival to the end of its answer's header.
    pub timeout: Duration,
    /// Largest request body in bytes.
    pub body_limit: u64,
}

/// Whether a route needs a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Anybody may call.
    Open,
    /// Only requests with a valid key run.
    Keyed,
}

/// Contract of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// Requests per second over all hosts.
    pub rate: f64,
    /// Requests that may arrive at once after a quiet time, over all hosts.
    pub burst: f64,
    /// Requests that run at the same time, over all hosts.
    pub concurrency: u32,
    /// Largest share of the rate that one region may use; regions not named may use all of it.
    pub regional_share: BTreeMap<Region, f64>,
    /// Largest increase of a new version's share in one step.
    pub version_share_step: f64,
    /// Shortest time between two steps.
    pub version_step_interval: Duration,
    /// Latency that the worst minute's 99th percentile must not exceed.
    pub latency: Duration,
    /// Share of requests within rate that may be refused in the worst minute.
    pub refusals: f64,
    /// Time for which an isolated host goes on honouring keys.
    pub isolation_limit: Duration,
}
