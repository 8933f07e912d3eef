//! Evidence about the two versions of a version move.

use crate::{
    Map,
    id::{Host, Release, Route, Service},
};
use serde::{Deserialize, Serialize};

/// Counts of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed, timed out or were shed.
    pub failures: u64,
    /// Requests slower than 1.25 times the running version's 95th percentile.
    pub slow: u64,
}

/// Counts of both versions on one route since the move started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Running version.
    pub old: Count,
    /// New version.
    pub new: Count,
}

/// Report of a host about a version move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Reporting host.
    pub host: Host,
    /// Service that moves.
    pub service: Service,
    /// Version moved to.
    pub release: Release,
    /// Number of the move, so that counts of an earlier move are not mixed in.
    pub serial: u64,
    /// Counts by route; they only grow.
    pub routes: Map<Route, Pair>,
    /// Whether this host saw a fault and has stopped sending to the new version.
    pub fault: Option<Fault>,
}

/// Why a new version was judged bad.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Route on which the fault showed.
    pub route: Route,
    /// Which measure failed.
    pub measure: Measure,
    /// Counts at that moment.
    pub pair: Pair,
}

/// Measure by which the versions are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Share of requests that failed, timed out or were shed.
    #[display("failures")]
    Failures,
    /// Share of requests slower than 1.25 times the running version's 95th percentile.
    #[display("latency")]
    Latency,
}
