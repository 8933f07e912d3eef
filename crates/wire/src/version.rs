//! Versions of the configuration.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Version of the configuration; a host never adopts a lower one than it has.
///
/// A new epoch starts when numbering restarts, for example after the store was restored from a
/// backup. Versions are ordered by epoch first, because numbers of different epochs are unrelated.
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
    /// Number of the epoch; versions of a higher epoch replace those of a lower one.
    pub epoch: u64,
    /// Number of accepted changes in this epoch.
    pub number: u64,
}

/// SHA-256 hash of an encoded snapshot, in lower-case hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub String);

/// Content of the table row `config/head`, which determines the accepted version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Accepted version.
    pub version: Version,
    /// Digest of that version's snapshot.
    pub digest: Digest,
    /// Identifier of the write that accepted the version.
    pub operation: crate::id::Operation,
}
