//! Messages between hosts.

use crate::{
    id::{DataCentre, Host, Incarnation},
    time::Stamp,
    version::{Digest, Version},
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State in which a host sees itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host has no configuration yet.
    #[display("starting")]
    Starting,
    /// The host serves.
    #[display("live")]
    Live,
    /// The host shuts down gracefully and takes no new callers.
    #[display("leaving")]
    Leaving,
}

/// Periodic message between hosts; the answer is the receiver's own heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sending host.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address where it takes callers.
    pub address: SocketAddr,
    /// Address where it takes messages of other hosts.
    pub peer: SocketAddr,
    /// Address of its operators' interface.
    pub operator: SocketAddr,
    /// State in which it sees itself.
    pub state: State,
    /// Hybrid logical time of sending.
    pub stamp: Stamp,
    /// Configuration version in force.
    pub version: Version,
    /// Milliseconds since it last read the configuration head from the store.
    pub store_contact_ms: Option<u64>,
    /// Roles whose leases it holds, also in holdover.
    pub roles: Vec<Role>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Share of its capacity in use, 0 to 1.
    pub load: f32,
}

/// A leased role with the fencing token under which it is held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Role {
    /// Name of the role.
    pub name: String,
    /// Fencing token; higher replaces lower.
    pub token: u64,
}

/// Request for a newer snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Version that the asking host holds.
    pub held: Version,
}

/// Answer to a [`Fetch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fetched {
    /// The asked host holds nothing newer.
    Current,
    /// A newer snapshot in its encoded form.
    Snapshot {
        /// Its version.
        version: Version,
        /// Its digest.
        digest: Digest,
        /// The encoded snapshot.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

#[cfg(test)]
mod tests;
