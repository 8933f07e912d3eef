//! The operators' configuration document.

use crate::{ini::Invalid, validate};
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
    /// Initial version of each service; finished moves replace it in `Snapshot::releases`.
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

impl Document {
    /// Reads a document from its INI text and validates it as a whole.
    ///
    /// Fields that may be left out have these defaults:
    ///
    /// | Section | Field | Default |
    /// | --- | --- | --- |
    /// | `[fleet]` | `slots`, `look-up-lifetime` | `16`, `10s` |
    /// | `[route N]` | `access`, `idempotent` | `keyed`, `no` |
    /// | `[route N]` | `timeout`, `body-limit` | `10s`, `1MiB` |
    /// | `[workspace W]` | `regional-share` | none: every region may use the whole rate |
    /// | `[workspace W]` | `version-share-step`, `version-step-interval` | `0.1`, `30s` |
    /// | `[workspace W]` | `refusals`, `isolation-limit` | `0.01`, `1m` |
    ///
    /// # Errors
    ///
    /// Returns every error of the text with its line number.
    ///
    /// # Examples
    ///
    /// ```
    /// use azurenotch_config::document::Document;
    ///
    /// let invalid = Document::parse("[service consulta]\nversoin = 1\n").unwrap_err();
    /// assert_eq!(
    ///     invalid.to_string(),
    ///     "line 1: missing field \"version\" in [service consulta]\n\
    ///      line 2: unknown field \"versoin\" in [service consulta]",
    /// );
    /// ```
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        validate::document(text)
    }

    /// Returns whether a backend server of this service and version is listed.
    pub fn has_server(&self, service: &str, release: &Release) -> bool {
        self.servers
            .values()
            .any(|server| server.service.as_str() == service && server.release == *release)
    }
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Anybody may call.
    #[display("open")]
    Open,
    /// Only requests with a valid key run.
    #[display("keyed")]
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
