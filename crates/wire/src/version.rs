//! Version line of the configuration.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Position on the configuration's version line; a host only ever moves forward.
///
/// The epoch changes when the line is rebuilt, for example after the store was restored from a
/// backup; numbers of different epochs are never compared alone.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{epoch}.{number}")]
pub struct Version {
    /// Identity of the line; higher replaces lower.
    pub epoch: u64,
    /// Number of accepted changes in this epoch.
    pub number: u64,
}

/// SHA-256 of the encoded snapshot, in lower-case hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub String);

/// Content of the table row `config/head`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The accepted version.
    pub version: Version,
    /// Digest of the snapshot object of that version.
    pub digest: Digest,
    /// Identity of the write that accepted the version.
    pub operation: crate::id::Operation,
}
