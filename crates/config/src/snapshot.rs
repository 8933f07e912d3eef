//! The whole configuration at one version.

use crate::document::Document;
use azurenotch_wire::{
    id::{Release, Server, Service, Workspace},
    time::Stamp,
    version::Version,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

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
    pub moves: BTreeMap<Service, Move>,
}

/// SHA-256 of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 32]);

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
