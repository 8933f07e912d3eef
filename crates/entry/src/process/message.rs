//! One datagram between hosts.

use crate::{
    model::Peer,
    process::replica::{Freshness, Update},
};
use azurenotch_core::{
    process::{quota::Count, vouch::Echo},
    version::turnover::Evidence,
};
use azurenotch_wire::time::Instant;
use serde::{Deserialize, Serialize};

/// Start of a datagram, which differs by receiver.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Head {
    /// What the receiver sent last.
    pub(crate) echo: Option<Echo>,
}

/// Rest of a datagram, which is the same for all receivers of a round.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) peer: Peer,
    pub(crate) serving: bool,
    pub(crate) leaving: bool,
    /// Whether its last calls to the store were answered.
    pub(crate) reaches_store: bool,
    /// What the receiver returns in its next message.
    pub(crate) sent: Echo,
    pub(crate) orders: FreshnessReport,
    pub(crate) servers: FreshnessReport,
    /// What the store said lately, if this host follows it.
    pub(crate) updates: Option<[Update; 2]>,
    /// Requests by the hash of the workspace, of those with requests lately.
    pub(crate) usage: Vec<(u32, Count)>,
    /// Requests per second by the hash of the service.
    pub(crate) rates: Vec<(u32, f32)>,
    /// Evidence by the hash of the service.
    pub(crate) evidence: Vec<(u32, Evidence)>,
    /// Loads by the hash of the backend server.
    pub(crate) loads: Vec<(u32, u16, u16, u16)>,
}

/// How current a host's knowledge is.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct FreshnessReport {
    pub(crate) version: u64,
    /// Milliseconds since it was confirmed; `None` if never.
    pub(crate) age_ms: Option<u32>,
}

impl FreshnessReport {
    /// Creates what a message tells of a freshness.
    pub(crate) fn new(now: Instant, freshness: Freshness) -> Self {
        // Rounded up, so that knowledge passed on never looks younger than it is.
        let age = freshness.confirmed.map(|at| now.since(at).as_millis() + 1);
        Self {
            version: freshness.version,
            age_ms: age.map(|age| u32::try_from(age).unwrap_or(u32::MAX)),
        }
    }
}

/// Reads a datagram.
///
/// # Errors
///
/// Fails if it is not one of this version of the product.
pub(crate) fn decode(bytes: &[u8]) -> Result<(Head, Message), rmp_serde::decode::Error> {
    let mut reader = bytes;
    let head = rmp_serde::from_read(&mut reader)?;
    let message = rmp_serde::from_read(&mut reader)?;
    Ok((head, message))
}
