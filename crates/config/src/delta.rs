//! Differences between two snapshots, listed by section and entry.

use crate::{
    document::{Contract, Fleet, Route, Server},
    snapshot::{self, Key, KeyHash, Move, Snapshot},
};
use azurenotch_wire::{
    id::{
        DataCentre, Region, Release, Route as RouteName, Server as ServerName, Service, Workspace,
    },
    version::{Digest, Version},
};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::collections::{BTreeMap, BTreeSet};

/// Result of creating or applying a delta.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Failures of creating, decoding and applying a delta.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The delta starts at a version other than the snapshot's.
    #[snafu(display("the delta starts at version {base}, but the snapshot has version {found}"))]
    Base {
        /// Version at which the delta starts.
        base: Version,
        /// Version of the snapshot that the delta was applied to.
        found: Version,
    },
    /// The versions are of different epochs or in the wrong order.
    #[snafu(display(
        "cannot create a delta from version {from} to {to}: not a later version of the same epoch"
    ))]
    Order {
        /// Version of the old snapshot.
        from: Version,
        /// Version of the new snapshot.
        to: Version,
    },
    /// The result differs from the snapshot that the delta was created from.
    #[snafu(display("the delta results in a snapshot with digest {found} instead of {expected}"))]
    Mismatch {
        /// Digest of the snapshot that the delta was created from.
        expected: Digest,
        /// Digest of the resulting snapshot.
        found: Digest,
    },
    /// The resulting snapshot cannot be encoded, so its digest cannot be computed.
    #[snafu(display("cannot compute the digest of the snapshot: {source}"))]
    Snapshot {
        /// Failure of the encoder.
        source: snapshot::Error,
    },
    /// The delta cannot be encoded.
    #[snafu(display("cannot encode the delta: {source}"))]
    Encode {
        /// Failure of the encoder.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a delta.
    #[snafu(display("cannot decode the delta: {source}"))]
    Decode {
        /// Failure of the decoder.
        source: rmp_serde::decode::Error,
    },
}

/// Changes from the snapshot at one version to a later one of the same epoch.
///
/// Removed entries are listed as tombstones. The digest of the resulting snapshot detects a base
/// that has the right version but different content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version at which the delta starts.
    pub base: Version,
    /// Version at which the delta ends.
    pub version: Version,
    /// Digest of the encoded snapshot at `version`.
    pub digest: Digest,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fleet: Option<Fleet>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    source: Option<Splice>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    data_centres: Section<DataCentre, Region>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    services: Section<Service, Release>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    servers: Section<ServerName, Server>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    routes: Section<RouteName, Route>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    workspaces: Section<Workspace, Contract>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    blocks: Section<IpNet, Vec<Region>>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    keys: Section<KeyHash, Key>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    drains: Section<ServerName, ()>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    moves: Section<Service, Move>,
    #[serde(default = "Section::new", skip_serializing_if = "Section::is_empty")]
    releases: Section<Service, Release>,
}

impl Delta {
    /// Returns the changes that lead from `old` to `new`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Order`] if `new` is not a later version of the same epoch, and
    /// [`Error::Snapshot`] if it cannot be encoded.
    pub fn between(old: &Snapshot, new: &Snapshot) -> Result<Self> {
        let (from, to) = (old.version, new.version);
        ensure!(from.epoch == to.epoch && from < to, OrderSnafu { from, to });
        let (before, after) = (&old.document, &new.document);
        Ok(Self {
            base: from,
            version: to,
            digest: new.digest().context(SnapshotSnafu)?,
            fleet: (before.fleet != after.fleet).then(|| after.fleet.clone()),
            source: Splice::between(&old.source, &new.source),
            data_centres: Section::between(&before.data_centres, &after.data_centres),
            services: Section::between(&before.services, &after.services),
            servers: Section::between(&before.servers, &after.servers),
            routes: Section::between(&before.routes, &after.routes),
            workspaces: Section::between(&before.workspaces, &after.workspaces),
            blocks: Section::between(&before.blocks, &after.blocks),
            keys: Section::between(&old.keys, &new.keys),
            drains: Section::between_sets(&old.drains, &new.drains),
            moves: Section::between(&old.moves, &new.moves),
            releases: Section::between(&old.releases, &new.releases),
        })
    }

    /// Applies the delta to `base` and returns the resulting snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Base`] if `base` is not the version at which the delta starts,
    /// [`Error::Mismatch`] if the result differs from the snapshot that the delta was created
    /// from, and [`Error::Snapshot`] if the result cannot be encoded.
    pub fn apply(&self, base: &Snapshot) -> Result<Snapshot> {
        let found = base.version;
        ensure!(
            found == self.base,
            BaseSnafu {
                base: self.base,
                found
            }
        );
        let mut next = base.clone();
        next.version = self.version;
        if let Some(fleet) = &self.fleet {
            next.document.fleet.clone_from(fleet);
        }
        if let Some(splice) = &self.source {
            next.source = splice.apply(&base.source);
        }
        self.data_centres.apply(&mut next.document.data_centres);
        self.services.apply(&mut next.document.services);
        self.servers.apply(&mut next.document.servers);
        self.routes.apply(&mut next.document.routes);
        self.workspaces.apply(&mut next.document.workspaces);
        self.blocks.apply(&mut next.document.blocks);
        self.keys.apply(&mut next.keys);
        self.drains.apply_to_set(&mut next.drains);
        self.moves.apply(&mut next.moves);
        self.releases.apply(&mut next.releases);
        let found = next.digest().context(SnapshotSnafu)?;
        ensure!(
            found == self.digest,
            MismatchSnafu {
                expected: self.digest.clone(),
                found
            }
        );
        Ok(next)
    }

    /// Encodes the delta as `MessagePack` with field names; empty sections are omitted.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Encode`] if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).context(EncodeSnafu)
    }

    /// Decodes a delta.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Decode`] if the bytes are not a delta.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).context(DecodeSnafu)
    }
}

/// Changed and removed entries of one section.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "K: Ord + Serialize, V: Serialize",
    deserialize = "K: Ord + Deserialize<'de>, V: Deserialize<'de>"
))]
struct Section<K, V> {
    /// Added entries, and entries with a new value.
    set: BTreeMap<K, V>,
    /// Keys of removed entries (tombstones).
    removed: BTreeSet<K>,
}

impl<K: Ord + Clone, V: Clone + PartialEq> Section<K, V> {
    fn between(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Self {
        let set = new
            .iter()
            .filter(|(key, value)| old.get(*key) != Some(*value))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let removed = old
            .keys()
            .filter(|key| !new.contains_key(*key))
            .cloned()
            .collect();
        Self { set, removed }
    }

    fn apply(&self, map: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            map.remove(key);
        }
        for (key, value) in &self.set {
            map.insert(key.clone(), value.clone());
        }
    }
}

impl<K, V> Section<K, V> {
    const fn new() -> Self {
        Self {
            set: BTreeMap::new(),
            removed: BTreeSet::new(),
        }
    }

    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

impl<K: Ord + Clone> Section<K, ()> {
    fn between_sets(old: &BTreeSet<K>, new: &BTreeSet<K>) -> Self {
        Self {
            set: new.difference(old).map(|key| (key.clone(), ())).collect(),
            removed: old.difference(new).cloned().collect(),
        }
    }

    fn apply_to_set(&self, set: &mut BTreeSet<K>) {
        set.retain(|key| !self.removed.contains(key));
        set.extend(self.set.keys().cloned());
    }
}

/// Replacement of the one range in which two texts differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Splice {
    /// Length of the unchanged start in bytes.
    head: usize,
    /// Length of the unchanged end in bytes.
    tail: usize,
    /// New text between the unchanged start and end.
    insert: String,
}

impl Splice {
    /// Returns the replacement, or `None` if the texts are equal.
    fn between(old: &str, new: &str) -> Option<Self> {
        if old == new {
            return None;
        }
        let same = |(a, b): &(char, char)| a == b;
        let head = old
            .chars()
            .zip(new.chars())
            .take_while(same)
            .map(|(char, _)| char.len_utf8())
            .sum::<usize>();
        // Compares only the rest after the head, so that head and tail never overlap.
        let (old_rest, new_rest) = (&old[head..], &new[head..]);
        let tail = old_rest
            .chars()
            .rev()
            .zip(new_rest.chars().rev())
            .take_while(same)
            .map(|(char, _)| char.len_utf8())
            .sum::<usize>();
        Some(Self {
            head,
            tail,
            insert: new_rest[..new_rest.len() - tail].to_owned(),
        })
    }

    /// Applies the replacement to `text`.
    ///
    /// Lengths that do not fit the text give a wrong result instead of a panic; the digest check in
    /// [`Delta::apply`] detects it.
    fn apply(&self, text: &str) -> String {
        let head = text.get(..self.head).unwrap_or_default();
        let start = text.len().saturating_sub(self.tail);
        let tail = text.get(start..).unwrap_or_default();
        [head, &self.insert, tail].concat()
    }
}
