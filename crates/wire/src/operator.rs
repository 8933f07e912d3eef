//! Answers of the operators' interface.

use crate::{
    event::Event,
    id::{DataCentre, Host, Incarnation},
    peer::State,
    version::Version,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Answer to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Answering host.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its state.
    pub state: State,
    /// Configuration version in force.
    pub version: Version,
    /// Milliseconds since it last read the configuration head from the store.
    pub store_contact_ms: Option<u64>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Roles whose leases it holds.
    pub roles: Vec<String>,
}

/// One host as the answering host sees it, in the answer to `GET /v1/hosts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the host.
    pub host: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address where it takes callers.
    pub address: SocketAddr,
    /// Address of its operators' interface.
    pub operator: SocketAddr,
    /// Whether it answers.
    pub state: crate::event::Reachability,
    /// Configuration version that it last reported.
    pub version: Version,
}

/// Answer to `GET /v1/events`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Events {
    /// Events in the order of recording.
    pub events: Vec<Event>,
    /// Sequence to pass as `after` for the events that follow.
    pub next: u64,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that holds the change.
    pub version: Version,
}

/// Answer to a refused change or a malformed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable code: `conflict`, `invalid`, `store-down`, `unknown-name`, `malformed` or `not-found`.
    pub code: String,
    /// Text for people.
    pub detail: String,
    /// Version in force, where it matters.
    pub current: Option<Version>,
}

/// Answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// Milliseconds for which the caller may keep the answer.
    pub lifetime_ms: u64,
    /// Hosts to use, best first.
    pub hosts: Vec<Choice>,
}

/// One host of a look-up answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Name of the host.
    pub host: Host,
    /// Address where it takes callers.
    pub address: SocketAddr,
    /// Relative share of callers among hosts of the same rank.
    pub weight: u32,
}
