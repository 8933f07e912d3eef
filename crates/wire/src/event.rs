//! Events that hosts record in their timelines.

use crate::{
    evidence::Measure,
    id::{Host, Incarnation, Release, Route, Server, Service, Workspace},
    refusal::{Outcome, Reason},
    time::Stamp,
    version::Version,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One event that a host recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical time of the event.
    pub stamp: Stamp,
    /// Host that recorded it.
    pub host: Host,
    /// Sequence number at that host; a gap means that its ring buffer has dropped events.
    pub sequence: u64,
    /// What happened, with the details.
    pub kind: Kind,
}

/// Kind of an event, with its details.
#[derive(Debug, Clone, PartialEq, Display, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[expect(
    missing_docs,
    reason = "the fields repeat the names in the display text"
)]
pub enum Kind {
    #[display("host started, incarnation {incarnation}")]
    Started { incarnation: Incarnation },
    #[display("host stopping")]
    Stopping,
    #[display("host stopped")]
    Stopped,
    #[display("configuration {version} adopted from {source}")]
    Adopted { version: Version, source: Source },
    #[display("change accepted as {version}: {change}")]
    Accepted { version: Version, change: String },
    #[display("change refused: current version is {current}")]
    Conflict { current: Version },
    #[display("lease {role} acquired with token {token}")]
    LeaseAcquired { role: String, token: u64 },
    #[display("lease {role} lost")]
    LeaseLost { role: String },
    #[display("peer {peer} is {state}")]
    Peer { peer: Host, state: Reachability },
    #[display("workspace {workspace}: {count} refusals, {reason}, {outcome}")]
    Refused {
        workspace: Workspace,
        reason: Reason,
        outcome: Outcome,
        count: u64,
    },
    #[display("workspace {workspace}: share is {rate:.1}/s, burst {burst:.1}")]
    Share {
        workspace: Workspace,
        rate: f64,
        burst: f64,
    },
    #[display("backend server {server} ejected")]
    Ejected { server: Server },
    #[display("backend server {server} restored")]
    Restored { server: Server },
    #[display("backend server {server} draining: {draining}")]
    Draining { server: Server, draining: bool },
    #[display("service {service}: share of version {release} is {share:.3}")]
    MoveShare {
        service: Service,
        release: Release,
        share: f64,
    },
    #[display("service {service}: version {release} failed on route {route} by {measure}")]
    MoveFault {
        service: Service,
        release: Release,
        route: Route,
        measure: Measure,
    },
    #[display("service {service}: version {release} is {result}")]
    MoveEnded {
        service: Service,
        release: Release,
        result: Ending,
    },
    #[display("store is {state}")]
    Store { state: Reachability },
}

/// Source of an adopted configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another host.
    #[display("peer")]
    Peer,
    /// A change that this host accepted.
    #[display("change")]
    Change,
}

/// Whether a peer or the store is reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reachability {
    /// It responds.
    #[display("live")]
    Live,
    /// It has not responded for a short time.
    #[display("suspect")]
    Suspect,
    /// It has not responded for so long that it is considered gone.
    #[display("dead")]
    Dead,
    /// It shuts down gracefully.
    #[display("leaving")]
    Leaving,
}

/// Result of a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// All traffic goes to the new version.
    #[display("done")]
    Done,
    /// The move was rolled back: all traffic goes to the old version again.
    #[display("taken back")]
    TakenBack,
    /// An operator cancelled the move.
    #[display("cancelled")]
    Cancelled,
}
