//! Responses of the operators' interface, and of look-ups.

use crate::{
    event::Event,
    id::{DataCentre, Host, Incarnation},
    peer::State,
    version::Version,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Response to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Host that responds.
    pub host: Host,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// Data centre of that host.
    pub data_centre: DataCentre,
    /// State of that host.
    pub state: State,
    /// Configuration version in force.
    pub version: Version,
    /// Milliseconds since it last read the configuration head from the store; `None` before that.
    pub store_contact_ms: Option<u64>,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Names of the roles whose leases it holds.
    pub roles: Vec<String>,
}

/// One host as seen by the responding host, in the response to `GET /v1/hosts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the host.
    pub host: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address on which it accepts callers.
    pub address: SocketAddr,
    /// Address of its operators' interface.
    pub operator: SocketAddr,
    /// Whether the responding host can reach it.
    pub state: crate::event::Reachability,
    /// Configuration version that it last reported.
    pub version: Version,
}

/// Response to `GET /v1/events`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Events {
    /// Events in the order in which the host recorded them.
    pub events: Vec<Event>,
    /// Value of `after` in the request for the events that follow.
    pub next: u64,
}

/// Response to an accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// First version that contains the change.
    pub version: Version,
}

/// Response to a refused change or a malformed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable code for programs.
    ///
    /// One of `conflict`, `invalid`, `store-down`, `unknown-name`, `malformed` and `not-found`.
    pub code: String,
    /// Explanation for people.
    pub detail: String,
    /// Version in force, if it is part of the reason.
    pub current: Option<Version>,
}

/// Response to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// Milliseconds for which the caller may reuse the response.
    pub lifetime_ms: u64,
    /// Hosts to use, in order of preference.
    pub hosts: Vec<Choice>,
}

/// One host in the response to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Name of the host.
    pub host: Host,
    /// Address on which it accepts callers.
    pub address: SocketAddr,
    /// Relative share of callers that should use this host, among hosts of the same rank.
    pub weight: u32,
}
