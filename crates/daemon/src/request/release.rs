//! Selection of the service version that a request uses.

use azurenotch_config::snapshot::Snapshot;
use azurenotch_core::{request::access::Grant, version::rollout};
use azurenotch_wire::{
    id::{Release, Route, Service, Workspace},
    time::Instant,
};
use std::{fmt::Debug, time::Duration};

/// Chooses the version of a service for each request and records the results of attempts.
pub trait Selector: Debug + Send + Sync {
    /// Returns the version that the request uses, or `None` if the service has none.
    fn choose(&self, now: Instant, snapshot: &Snapshot, grant: &Grant) -> Option<Choice>;

    /// Records the result of an attempt on a version.
    fn record(&self, now: Instant, observation: &Observation<'_>);
}

/// Version chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The version.
    pub release: Release,
    /// Part of a version move that the request belongs to.
    pub rollout: Option<rollout::Choice>,
}

impl Choice {
    /// Creates the choice of a version that is not part of a move.
    pub const fn settled(release: Release) -> Self {
        Self {
            release,
            rollout: None,
        }
    }
}

/// Result of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Service of the route.
    pub service: &'a Service,
    /// Version that was used.
    pub choice: &'a Choice,
    /// Name of the route.
    pub route: &'a Route,
    /// Workspace of a keyed request.
    pub workspace: Option<&'a Workspace>,
    /// Whether the backend server failed, timed out, shed load or answered with a 5xx status.
    pub failed: bool,
    /// Time until the answer's header or the failure.
    pub latency: Duration,
}

/// Always selects the version in the snapshot, for hosts without version moves.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stable;

impl Selector for Stable {
    fn choose(&self, _now: Instant, snapshot: &Snapshot, grant: &Grant) -> Option<Choice> {
        snapshot
            .release(&grant.route.service)
            .cloned()
            .map(Choice::settled)
    }

    fn record(&self, _now: Instant, _observation: &Observation<'_>) {}
}
