//! Version of a service that a request uses.

use azurenotch_config::snapshot::Snapshot;
use azurenotch_core::{request::access::Grant, version::rollout};
use azurenotch_wire::{
    id::{Release, Route, Service, Workspace},
    time::Instant,
};
use std::{fmt::Debug, time::Duration};

/// Chooses the version of a service for each request and learns how it ended.
pub trait Shift: Debug + Send + Sync {
    /// Returns the version that the request uses.
    fn choose(&self, now: Instant, snapshot: &Snapshot, grant: &Grant) -> Option<Choice>;

    /// Takes note of how an attempt on a version ended.
    fn record(&self, now: Instant, observation: &Observation<'_>);
}

/// Version that a request uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The version.
    pub release: Release,
    /// Part of a version move that the request belongs to.
    pub rollout: Option<rollout::Choice>,
}

impl Choice {
    /// Creates the choice of a version without a move.
    pub const fn settled(release: Release) -> Self {
        Self {
            release,
            rollout: None,
        }
    }
}

/// How one attempt ended.
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

/// Uses the version that serves when no move is under way.
#[derive(Debug, Clone, Copy, Default)]
pub struct Settled;

impl Shift for Settled {
    fn choose(&self, _now: Instant, snapshot: &Snapshot, grant: &Grant) -> Option<Choice> {
        snapshot
            .release(&grant.route.service)
            .cloned()
            .map(Choice::settled)
    }

    fn record(&self, _now: Instant, _observation: &Observation<'_>) {}
}
