//! Messages by which a workspace's budget is divided between hosts.

use crate::{
    Map,
    id::{Host, Incarnation, Region, Workspace},
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

impl Capacity {
    /// No capacity.
    pub const ZERO: Self = Self {
        rate: 0.0,
        burst: 0.0,
        concurrency: 0.0,
    };

    /// Combines two capacities component by component.
    #[must_use]
    pub fn zip(self, other: Self, combine: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            rate: combine(self.rate, other.rate),
            burst: combine(self.burst, other.burst),
            concurrency: combine(self.concurrency, other.concurrency),
        }
    }

    /// Returns the smaller of each component.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, f64::min)
    }

    /// Returns the larger of each component.
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

    /// Returns whether no component is positive.
    pub fn is_zero(self) -> bool {
        self.rate <= 0.0 && self.burst <= 0.0 && self.concurrency <= 0.0
    }
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
    /// Region where it stands, for the contract's regional share.
    pub region: Region,
    /// Highest fencing token that the host knows; it accepts no grant with a lower one.
    pub token: u64,
    /// Whether the host stops: it uses no elastic capacity from now on.
    pub leaving: bool,
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
    /// Workspaces for which the regional share limits the capacity.
    pub regional: Vec<Workspace>,
}
