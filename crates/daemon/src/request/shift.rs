//! Version of a service that a request uses.

use azurenotch_config::snapshot::{MoveState, Snapshot};
use azurenotch_core::request::access::Grant;
use azurenotch_wire::{
    id::{Release, Route, Service, Workspace},
    time::Instant,
};
use std::{fmt::Debug, time::Duration};

/// Chooses the version of a service for each request and learns how it ended.
pub trait Shift: Debug + Send + Sync {
    /// Returns the version that the request uses.
    fn choose(&self, now: Instant, snapshot: &Snapshot, grant: &Grant) -> Option<Release>;

    /// Takes note of how an attempt on a version ended.
    fn record(&self, now: Instant, observation: &Observation<'_>);
}

/// How one attempt ended.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Service of the route.
    pub service: &'a Service,
    /// Version that was used.
    pub release: &'a Release,
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
    fn choose(&self, _now: Instant, snapshot: &Snapshot, grant: &Grant) -> Option<Release> {
        let service = &grant.route.service;
        if let Some(latest) = snapshot.moves.get(service) {
            return Some(match latest.state {
                MoveState::Done => latest.to.clone(),
                MoveState::Running | MoveState::TakenBack | MoveState::Cancelled => {
                    latest.from.clone()
                }
            });
        }
        snapshot.document.services.get(service).cloned()
    }

    fn record(&self, _now: Instant, _observation: &Observation<'_>) {}
}
