//! Counts of requests by which the two versions of a version move are compared.

use crate::{
    Map,
    id::{Host, Release, Route, Service},
};
use serde::{Deserialize, Serialize};

/// Request counts of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that have ended.
    pub requests: u64,
    /// Requests that failed, timed out or were shed.
    pub failures: u64,
    /// Requests slower than 1.25 times the running version's 95th percentile of latency.
    pub slow: u64,
}

/// Request counts of both versions on one route since the move started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Counts of the running version.
    pub old: Count,
    /// Counts of the new version.
    pub new: Count,
}

/// Report of a host about a version move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Host that sends the report.
    pub host: Host,
    /// Service whose version changes.
    pub service: Service,
    /// New version.
    pub release: Release,
    /// Serial of the move; distinguishes its counts from those of an earlier move.
    pub serial: u64,
    /// Counts by route; they never decrease during a move.
    pub routes: Map<Route, Pair>,
    /// Fault that made this host stop sending requests to the new version, if there was one.
    pub fault: Option<Fault>,
}

/// Reason why a new version was judged worse than the running one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Route on which the fault was detected.
    pub route: Route,
    /// Measure by which the new version is worse.
    pub measure: Measure,
    /// Counts when the fault was detected.
    pub pair: Pair,
}

/// Measure by which the versions are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Share of requests that failed, timed out or were shed.
    #[display("failures")]
    Failures,
    /// Share of requests slower than 1.25 times the running version's 95th percentile of latency.
    #[display("latency")]
    Latency,
}
