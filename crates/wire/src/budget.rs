//! Messages by which a workspace's budget is divided between hosts.

use crate::{
    Map,
    id::{Host, Incarnation, Workspace},
};
use serde::{Deserialize, Serialize};

/// Number of a slot that one host incarnation claims in the table.
pub type Slot = u32;

/// Capacity of one workspace at one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Capacity {
    /// Tokens added per second.
    pub rate: f64,
    /// Most tokens that the bucket holds.
    pub burst: f64,
    /// Most requests that run at the same time.
    pub concurrency: f64,
}

/// What a host tells the holder of the budget role about one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests per second that arrived, admitted or not.
    pub demand: f64,
    /// Requests that run now.
    pub running: f64,
    /// Elastic capacity that the host still uses.
    pub held: Capacity,
    /// Tokens given back with an earlier decrease and not reported before.
    pub returned: f64,
}

/// Report of a host to the holder of the budget role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Reporting host.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Slot that it claimed.
    pub slot: Slot,
    /// Number of this report, which the grant repeats.
    pub sequence: u64,
    /// Usage of each workspace with demand or elastic capacity.
    pub usage: Map<Workspace, Usage>,
}

/// Answer to a [`Report`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Fencing token of the lease under which the grant was made.
    pub token: u64,
    /// Sequence of the report that this answers.
    pub sequence: u64,
    /// Elastic capacity that the host may use from now on.
    pub capacity: Map<Workspace, Capacity>,
    /// Tokens that other hosts gave back and that this host receives.
    pub tokens: Map<Workspace, f64>,
}
