//! The whole configuration at one version.

use crate::document::Document;
use azurenotch_wire::{
    id::{Release, Server, Service, Workspace},
    time::Stamp,
    version::{Digest, Version},
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};
use snafu::{ResultExt, Snafu, ensure};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
    time::Duration,
};

/// Result of encoding or decoding a snapshot.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Failures of encoding and decoding a snapshot.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The snapshot cannot be represented.
    #[snafu(display("cannot encode the snapshot: {source}"))]
    Encode {
        /// Failure of the encoder.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a snapshot.
    #[snafu(display("cannot decode the snapshot: {source}"))]
    Decode {
        /// Failure of the decoder.
        source: rmp_serde::decode::Error,
    },
    /// Bytes follow the end of the snapshot.
    #[snafu(display("{bytes} bytes follow the end of the snapshot"))]
    Trailing {
        /// Number of these bytes.
        bytes: usize,
    },
    /// The bytes are not those that the digest stands for.
    #[snafu(display("the snapshot has digest {found} instead of {expected}"))]
    Mismatch {
        /// Digest that was asked for.
        expected: Digest,
        /// Digest of the bytes.
        found: Digest,
    },
    /// The text is not the hash of a key.
    #[snafu(display("a key hash has 64 hexadecimal digits"))]
    Hash,
}

/// Everything that is in force at one version: document, keys, drains and version moves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position on the version line.
    pub version: Version,
    /// The operators' document.
    pub document: Document,
    /// Text of the document as it was applied, for `diff`.
    pub source: String,
    /// Keys by their SHA-256.
    pub keys: BTreeMap<KeyHash, Key>,
    /// Backend servers that take no new work.
    pub drains: BTreeSet<Server>,
    /// Latest version move of each service.
    ///
    /// Moves of removed services stay listed, so that a serial is never used again.
    pub moves: BTreeMap<Service, Move>,
    /// Version in force of each service of the document.
    ///
    /// It is the document's version when the service first appears. After that only a finished
    /// move changes it; see [`Snapshot::apply`].
    #[serde(default)]
    pub releases: BTreeMap<Service, Release>,
}

impl Snapshot {
    /// Returns the version in force of a service, or `None` if the service does not exist.
    pub fn release(&self, service: &Service) -> Option<&Release> {
        let initial = self.document.services.get(service)?;
        Some(self.releases.get(service).unwrap_or(initial))
    }

    /// Encodes the snapshot as `MessagePack` with field names; equal snapshots give equal bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Encode`] if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).context(EncodeSnafu)
    }

    /// Decodes a snapshot whose origin is already known to be intact.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Decode`] or [`Error::Trailing`] if the bytes are not one snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let mut rest = bytes;
        let mut decoder = rmp_serde::Deserializer::new(&mut rest);
        let snapshot = Self::deserialize(&mut decoder).context(DecodeSnafu)?;
        let bytes = rest.len();
        ensure!(bytes == 0, TrailingSnafu { bytes });
        Ok(snapshot)
    }

    /// Decodes a snapshot after checking that the bytes are those that `expected` stands for.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Mismatch`] for an incomplete or different object, and the errors of
    /// [`Snapshot::decode`].
    pub fn decode_verified(bytes: &[u8], expected: &Digest) -> Result<Self> {
        let found = digest_of(bytes);
        ensure!(
            found == *expected,
            MismatchSnafu {
                expected: expected.clone(),
                found
            }
        );
        Self::decode(bytes)
    }

    /// Returns the digest of the encoded snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Encode`] if the encoder fails.
    pub fn digest(&self) -> Result<Digest> {
        self.encode().map(|bytes| digest_of(&bytes))
    }
}

/// Returns the digest of an encoded snapshot.
pub fn digest_of(bytes: &[u8]) -> Digest {
    Digest(hex::encode(Sha256::digest(bytes)))
}

/// SHA-256 of a key; 64 hexadecimal digits in text formats such as JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Returns the hash under which a key is stored.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)
            .ok()
            .map(|()| Self(bytes))
            .ok_or(Error::Hash)
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            String::deserialize(deserializer)?
                .parse()
                .map_err(de::Error::custom)
        } else {
            <[u8; 32]>::deserialize(deserializer).map(Self)
        }
    }
}

/// A granted or withdrawn key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Workspace whose requests the key admits.
    pub workspace: Workspace,
    /// Name by which operators refer to the key.
    pub name: String,
    /// Whether the key was withdrawn; a withdrawn key stays listed and is never granted again.
    pub withdrawn: bool,
}

/// A move of one service to a new version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// Number of the move; a later move of the same service has a higher one.
    pub serial: u64,
    /// Version that served before.
    pub from: Release,
    /// Version that takes over.
    pub to: Release,
    /// Time the move was accepted.
    pub started: Stamp,
    /// Time from the start by which the move has to be done.
    pub deadline: Duration,
    /// Share of traffic of the new version, 0 to 1.
    pub share: f64,
    /// State of the move.
    pub state: MoveState,
    /// Plain-language reason for the state: evidence, or why the deadline will be missed.
    pub note: String,
}

/// State of a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveState {
    /// The share grows.
    #[display("running")]
    Running,
    /// The new version serves everything; it is the service's version from now on.
    #[display("done")]
    Done,
    /// A fault showed; the old version serves everything. Final.
    #[display("taken back")]
    TakenBack,
    /// An operator stopped the move; the old version serves everything. Final.
    #[display("cancelled")]
    Cancelled,
}
