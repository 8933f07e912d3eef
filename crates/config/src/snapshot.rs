//! Complete configuration at one version.

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
    /// The snapshot cannot be encoded.
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
        /// Number of trailing bytes.
        bytes: usize,
    },
    /// The bytes do not match the expected digest.
    #[snafu(display("the snapshot has digest {found} instead of {expected}"))]
    Mismatch {
        /// Expected digest.
        expected: Digest,
        /// Digest of the bytes.
        found: Digest,
    },
    /// The text is not the hash of a key.
    #[snafu(display("a key hash must have 64 hexadecimal digits"))]
    Hash,
}

/// Complete configuration in force at one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of this configuration.
    pub version: Version,
    /// The operators' document.
    pub document: Document,
    /// Text of the document as it was applied, kept for comparison with later texts.
    pub source: String,
    /// Granted and withdrawn keys, by their SHA-256 hash.
    pub keys: BTreeMap<KeyHash, Key>,
    /// Backend servers that receive no new requests.
    pub drains: BTreeSet<Server>,
    /// Latest version move of each service.
    ///
    /// Moves of removed services are kept, so that their serials are never reused.
    pub moves: BTreeMap<Service, Move>,
    /// Version in force of each service of the document.
    ///
    /// It is the document's version when the service first appears. Afterwards only a finished
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

    /// Encodes the snapshot as `MessagePack` with field names; the encoding is deterministic.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Encode`] if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).context(EncodeSnafu)
    }

    /// Decodes a snapshot without checking its digest.
    ///
    /// Use it only for bytes that are known to be intact.
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

    /// Checks that the bytes have the digest `expected`, then decodes the snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Mismatch`] if the bytes are incomplete or those of another snapshot, and
    /// the errors of [`Snapshot::decode`].
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

/// SHA-256 hash of a key; written as 64 hexadecimal digits in text formats such as JSON.
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
    /// Whether the key was withdrawn; a withdrawn key is kept and can never be granted again.
    pub withdrawn: bool,
}

/// Version move: gradual replacement of a service's version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// Number of the move, increasing with each move of the service.
    pub serial: u64,
    /// Old version.
    pub from: Release,
    /// New version.
    pub to: Release,
    /// Time at which the move was accepted.
    pub started: Stamp,
    /// Time within which the move must finish, counted from `started`.
    pub deadline: Duration,
    /// Share of the traffic that the new version receives, 0 to 1.
    pub share: f64,
    /// State of the move.
    pub state: MoveState,
    /// Reason for the state, for operators: evidence, or why the deadline will be missed.
    pub note: String,
}

/// State of a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveState {
    /// The new version's share is being raised.
    #[display("running")]
    Running,
    /// The new version serves all requests and is in force. Final.
    #[display("done")]
    Done,
    /// A fault was detected; the old version serves all requests. Final.
    #[display("taken back")]
    TakenBack,
    /// An operator cancelled the move; the old version serves all requests. Final.
    #[display("cancelled")]
    Cancelled,
}
