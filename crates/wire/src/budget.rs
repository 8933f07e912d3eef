//! Messages with which the holder of the budget role divides workspaces' budgets between hosts.
//!
//! A part of each budget is divided between slots as floors, which hosts use without a grant. The
//! rest is elastic and is granted to hosts by demand.

use crate::{
    Map,
    id::{Host, Incarnation, Region, Workspace},
};
use serde::{Deserialize, Serialize};

/// Number of a slot; each host incarnation claims one in the platform's table.
pub type Slot = u32;

/// Request capacity of one workspace at one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Capacity {
    /// Tokens added to the bucket per second.
    pub rate: f64,
    /// Largest number of tokens in the bucket.
    pub burst: f64,
    /// Largest number of requests that run at the same time.
    pub concurrency: f64,
}

impl Capacity {
    /// No capacity.
    pub const ZERO: Self = Self {
        rate: 0.0,
        burst: 0.0,
        concurrency: 0.0,
    };

    /// Applies `combine` to each component of two capacities.
    #[must_use]
    pub fn zip(self, other: Self, combine: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            rate: combine(self.rate, other.rate),
            burst: combine(self.burst, other.burst),
            concurrency: combine(self.concurrency, other.concurrency),
        }
    }

    /// Returns the minimum of each component.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, f64::min)
    }

    /// Returns the maximum of each component.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, f64::max)
    }

    /// Returns the sum of each component.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, |a, b| a + b)
    }

    /// Returns the difference of each component, or zero where `other` is larger.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, |a, b| (a - b).max(0.0))
    }

    /// Returns `true` if no component is positive.
    pub fn is_zero(self) -> bool {
        self.rate <= 0.0 && self.burst <= 0.0 && self.concurrency <= 0.0
    }
}

/// Demand and capacity of one workspace at one host, as reported to the holder of the budget role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests per second that arrived, including those not admitted.
    pub demand: f64,
    /// Number of requests that are running.
    pub running: f64,
    /// Elastic capacity that the host still uses.
    pub held: Capacity,
    /// Tokens that the host returned after a decrease of its capacity and has not reported before.
    pub returned: f64,
}

/// Report of a host to the holder of the budget role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Host that sends the report.
    pub host: Host,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// Slot that it has claimed.
    pub slot: Slot,
    /// Region of the host, which matters for the contract's regional share.
    pub region: Region,
    /// Highest fencing token that the host has received; it accepts no grant with a lower one.
    pub token: u64,
    /// Whether the host is stopping and uses no more elastic capacity.
    pub leaving: bool,
    /// Sequence number of this report, which the grant repeats.
    pub sequence: u64,
    /// Usage of each workspace with demand or elastic capacity.
    pub usage: Map<Workspace, Usage>,
}

/// Response to a [`Report`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Fencing token of the lease under which the grant was made.
    pub token: u64,
    /// Sequence number of the report to which this responds.
    pub sequence: u64,
    /// Elastic capacity that the host may use from now on.
    pub capacity: Map<Workspace, Capacity>,
    /// Tokens that other hosts returned and that this host receives.
    pub tokens: Map<Workspace, f64>,
    /// Workspaces for which the regional share limits the capacity.
    pub regional: Vec<Workspace>,
}
