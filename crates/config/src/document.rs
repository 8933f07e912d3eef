//! Configuration document that operators write.

use crate::{ini::Invalid, validate};
use azurenotch_wire::id::{
    DataCentre, Region, Release, Route as RouteName, Server as ServerName, Service, Workspace,
};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Validated configuration document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Region of each data centre.
    pub data_centres: BTreeMap<DataCentre, Region>,
    /// Initial version of each service; `Snapshot::releases` has the version in force.
    pub services: BTreeMap<Service, Release>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, Server>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// Contracts by workspace.
    pub workspaces: BTreeMap<Workspace, Contract>,
    /// Regions for each block of caller addresses, in order of preference.
    pub blocks: BTreeMap<IpNet, Vec<Region>>,
}

impl Document {
    /// Parses the INI text of a document and validates it, references between sections included.
    ///
    /// Optional fields have these defaults:
    ///
    /// | Section | Field | Default |
    /// | --- | --- | --- |
    /// | `[fleet]` | `slots`, `look-up-lifetime` | `16`, `10s` |
    /// | `[route N]` | `access`, `idempotent` | `keyed`, `no` |
    /// | `[route N]` | `timeout`, `body-limit` | `10s`, `1MiB` |
    /// | `[workspace W]` | `regional-share` | no limit: every region may use the whole rate |
    /// | `[workspace W]` | `version-share-step`, `version-step-interval` | `0.1`, `30s` |
    /// | `[workspace W]` | `refusals`, `isolation-limit` | `0.01`, `1m` |
    ///
    /// # Errors
    ///
    /// Returns all errors of the text with their line numbers, up to a limit of 1000.
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
        validate::parse(text)
    }

    /// Returns whether the document lists a backend server of this service and version.
    pub fn has_server(&self, service: &str, release: &Release) -> bool {
        self.servers
            .values()
            .any(|server| server.service.as_str() == service && server.release == *release)
    }
}

/// Settings of the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Number of slots that hosts can claim; at least the number of hosts.
    pub slots: u32,
    /// Time for which callers may reuse the response to a look-up.
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
    /// Service that the server runs.
    pub service: Service,
    /// Version of the service.
    pub release: Release,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of connections from all hosts together.
    pub connections: u32,
}

/// A route from a path prefix to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Service that handles the requests.
    pub service: Service,
    /// Path prefix; it matches whole segments, and the longest match applies.
    pub prefix: String,
    /// Accepted methods in upper case.
    pub methods: Vec<String>,
    /// Whether requests need a key.
    pub access: Access,
    /// Whether a request may be sent more than once.
    pub idempotent: bool,
    /// Maximum time from a request's arrival to the end of the response header.
    pub timeout: Duration,
    /// Maximum size of a request body in bytes.
    pub body_limit: u64,
}

/// Access to a route: open or by key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Requests need no key.
    #[display("open")]
    Open,
    /// Requests need a valid key.
    #[display("keyed")]
    Keyed,
}

/// Contract of a workspace: its limits and objectives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// Sustained requests per second, over all hosts.
    pub rate: f64,
    /// Number of requests that may arrive at once after an idle period, over all hosts.
    pub burst: f64,
    /// Maximum number of requests that run at the same time, over all hosts.
    pub concurrency: u32,
    /// Maximum share of the rate per region, 0 to 1; unlisted regions may use all of it.
    pub regional_share: BTreeMap<Region, f64>,
    /// Maximum increase of a new version's share in one step, 0 to 1.
    pub version_share_step: f64,
    /// Minimum time between two steps.
    pub version_step_interval: Duration,
    /// Objective for the 99th percentile of the latency in the worst minute.
    pub latency: Duration,
    /// Objective for the share of requests within the rate that are refused in the worst minute.
    pub refusals: f64,
    /// Time for which an isolated host continues to accept keys.
    pub isolation_limit: Duration,
}
