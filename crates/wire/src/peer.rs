//! Messages between hosts.

use crate::{
    id::{DataCentre, Host, Incarnation},
    time::Stamp,
    version::{Digest, Version},
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State that a host reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host has not adopted a configuration yet.
    #[display("starting")]
    Starting,
    /// The host accepts callers.
    #[display("live")]
    Live,
    /// The host shuts down gracefully and accepts no new callers.
    #[display("leaving")]
    Leaving,
}

/// Periodic message between hosts; the receiver responds with its own heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sending host.
    pub host: Host,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Address on which it accepts callers.
    pub address: SocketAddr,
    /// Address on which it accepts messages of other hosts.
    pub peer: SocketAddr,
    /// Address of its operators' interface.
    pub operator: SocketAddr,
    /// State that the sender reports about itself.
    pub state: State,
    /// Hybrid logical time at which the message was sent.
    pub stamp: Stamp,
    /// Configuration version that the sender has in force.
    pub version: Version,
    /// Milliseconds since it last read the configuration head from the store; `None` before that.
    pub store_contact_ms: Option<u64>,
    /// Roles that it holds, including those whose leases it cannot renew (holdover).
    pub roles: Vec<Role>,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Share of its capacity that is in use, from 0 to 1.
    pub load: f32,
}

/// Leased role with the fencing token of its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Role {
    /// Name of the role.
    pub name: String,
    /// Fencing token; the holder with the higher token replaces one with a lower token.
    pub token: u64,
}

/// Request for a newer snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Version that the requesting host has.
    pub held: Version,
}

/// Response to a [`Fetch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fetched {
    /// The responding host has no newer version.
    Current,
    /// The responding host has a newer snapshot.
    Snapshot {
        /// Version of the snapshot.
        version: Version,
        /// Digest of `bytes`.
        digest: Digest,
        /// Encoded snapshot.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

#[cfg(test)]
mod tests;
