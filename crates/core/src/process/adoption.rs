//! Choice of the configuration version to adopt and of the origin to fetch it from.

use azurenotch_wire::{
    Map,
    event::Source,
    id::Host,
    peer::Fetched,
    time::Instant,
    version::{Digest, Head, Version},
};
use sha2::{Digest as _, Sha256};
use snafu::{Snafu, ensure};
use std::time::Duration;

/// Time for which an origin that sent an invalid snapshot is not asked for that version again.
pub const INVALID_SNAPSHOT_BLOCK: Duration = Duration::from_secs(30);

const RETRY_DELAY_MIN: Duration = Duration::from_millis(500);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(8);

/// Result of an adoption step.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a version was not adopted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Two snapshots with different digests have the same version.
    #[snafu(display("version {version} has two digests: {known} and {other}"))]
    Fork {
        /// The version.
        version: Version,
        /// Digest that was received first.
        known: Digest,
        /// Digest that was received now.
        other: Digest,
    },
    /// The digest of the received bytes differs from the expected one.
    #[snafu(display(
        "snapshot of version {version} from {origin:?} has digest {actual}, expected {expected}"
    ))]
    Mismatch {
        /// The version.
        version: Version,
        /// Where the snapshot came from.
        origin: Origin,
        /// Digest that the head or the peer reported.
        expected: Digest,
        /// Digest of the received bytes.
        actual: Digest,
    },
    /// The version is not newer than the one in force.
    #[snafu(display("version {version} is not newer than version {held}, which is in force"))]
    Older {
        /// The rejected version.
        version: Version,
        /// The version in force.
        held: Version,
    },
}

/// Origin of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Origin {
    /// The object store.
    Store,
    /// Another host.
    Peer(Host),
}

impl Origin {
    /// Returns the name of the origin in events.
    pub const fn source(&self) -> Source {
        match self {
            Self::Store => Source::Store,
            Self::Peer(_) => Source::Peer,
        }
    }
}

/// What the caller has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Nothing newer can be fetched now; poll again at this time, if there is one, or after the
    /// next announcement.
    Wait(Option<Instant>),
    /// Fetch a snapshot from a peer.
    FetchFromPeer {
        /// The peer.
        host: Host,
        /// Version that it announced.
        version: Version,
    },
    /// Fetch a snapshot object from the store.
    LoadFromStore {
        /// Version of the head.
        version: Version,
        /// Digest, which names the object.
        digest: Digest,
    },
}

/// Verified snapshot that the caller decodes and puts in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its version.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
    /// Where it came from.
    pub origin: Origin,
}

/// Versions that were announced to one host, and the version in force.
#[derive(Debug, Default)]
pub struct Adoption {
    held: Option<(Version, Digest)>,
    head: Option<(Version, Digest)>,
    /// Newer version that each peer announced last.
    offers: Map<Host, Version>,
    blocks: Map<Origin, Block>,
    in_flight: bool,
}

/// Block on an origin after a failed fetch or an invalid snapshot.
#[derive(Debug)]
struct Block {
    until: Instant,
    failures: u32,
    /// The only version that is blocked; `None` for all.
    version: Option<Version>,
}

impl Adoption {
    /// Creates the state of a host that holds no configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version in force.
    pub fn held(&self) -> Option<Version> {
        self.held.as_ref().map(|(version, _)| *version)
    }

    /// Returns whether a newer version than the one in force was announced.
    pub fn is_behind(&self) -> bool {
        let head = self.head.as_ref().map(|(version, _)| *version);
        let offer = self.offers.values().max().copied();
        head.max(offer)
            .is_some_and(|version| self.is_newer(version))
    }

    /// Records the configuration head that was read from the store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fork`] if the version was already seen with another digest.
    pub fn on_head(&mut self, head: &Head) -> Result<()> {
        self.check_fork(head.version, &head.digest)?;
        if self
            .head
            .as_ref()
            .is_none_or(|(version, _)| *version < head.version)
        {
            self.head = Some((head.version, head.digest.clone()));
        }
        Ok(())
    }

    /// Records the version that a peer's heartbeat announced.
    pub fn on_heartbeat(&mut self, host: &Host, version: Version) {
        if self.is_newer(version) {
            self.offers.insert(host.clone(), version);
        } else {
            self.offers.remove(host);
        }
    }

    /// Removes a peer that is gone.
    pub fn forget(&mut self, host: &Host) {
        self.offers.remove(host);
        self.blocks.remove(&Origin::Peer(host.clone()));
    }

    /// Returns what to fetch at `now`.
    ///
    /// The caller must report the result of a fetch with [`Adoption::on_fetched`],
    /// [`Adoption::on_loaded`] or [`Adoption::on_failed`] before it polls again.
    pub fn poll(&mut self, now: Instant) -> Action {
        if self.in_flight {
            return Action::Wait(None);
        }
        let peers = self
            .offers
            .iter()
            .map(|(host, version)| (*version, Origin::Peer(host.clone())));
        let store = self
            .head
            .iter()
            .map(|(version, _)| (*version, Origin::Store));
        let newer = peers
            .chain(store)
            .filter(|(version, _)| self.is_newer(*version))
            .collect::<Vec<_>>();
        // The store orders before all peers, so the maximum is a peer if one has the version.
        let best = newer
            .iter()
            .filter(|(version, origin)| self.blocked_until(now, origin, *version).is_none())
            .max();
        let Some((version, origin)) = best.cloned() else {
            let retry = newer
                .iter()
                .filter_map(|(version, origin)| self.blocked_until(now, origin, *version))
                .min();
            return Action::Wait(retry);
        };
        self.in_flight = true;
        match (origin, &self.head) {
            (Origin::Store, Some((_, digest))) => Action::LoadFromStore {
                version,
                digest: digest.clone(),
            },
            (Origin::Peer(host), _) => Action::FetchFromPeer { host, version },
            (Origin::Store, None) => Action::Wait(None),
        }
    }

    /// Verifies a peer's answer; returns `None` if the peer has nothing newer.
    ///
    /// # Errors
    ///
    /// Returns why the snapshot must not be adopted.
    pub fn on_fetched(
        &mut self,
        now: Instant,
        host: &Host,
        answer: &Fetched,
    ) -> Result<Option<Candidate>> {
        let origin = Origin::Peer(host.clone());
        match answer {
            Fetched::Current => {
                self.on_failed(now, &origin);
                self.offers.remove(host);
                Ok(None)
            }
            Fetched::Snapshot {
                version,
                digest,
                bytes,
            } => self.verify(now, origin, *version, digest, bytes).map(Some),
        }
    }

    /// Verifies an object that was loaded from the store for [`Action::LoadFromStore`].
    ///
    /// # Errors
    ///
    /// Returns why the snapshot must not be adopted.
    pub fn on_loaded(
        &mut self,
        now: Instant,
        version: Version,
        digest: &Digest,
        bytes: &[u8],
    ) -> Result<Candidate> {
        self.verify(now, Origin::Store, version, digest, bytes)
    }

    /// Records a failed fetch and blocks the origin with exponential back-off.
    pub fn on_failed(&mut self, now: Instant, origin: &Origin) {
        self.in_flight = false;
        let failures = self.blocks.get(origin).map_or(0, |block| block.failures);
        let pause = (RETRY_DELAY_MIN * (1 << failures.min(8))).min(RETRY_DELAY_MAX);
        let block = Block {
            until: now + pause,
            failures: failures.saturating_add(1),
            version: None,
        };
        self.blocks.insert(origin.clone(), block);
    }

    /// Records that a verified snapshot cannot be decoded or contains another version.
    pub fn on_invalid(&mut self, now: Instant, candidate: &Candidate) {
        self.block_version(now, candidate.origin.clone(), candidate.version);
    }

    /// Puts a version in force that was fetched or accepted as a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not newer or was seen with another digest. The caller
    /// must not put the snapshot in force then.
    pub fn adopt(&mut self, version: Version, digest: &Digest) -> Result<()> {
        self.check_fork(version, digest)?;
        self.check_newer(version)?;
        self.held = Some((version, digest.clone()));
        self.offers.retain(|_, offer| *offer > version);
        Ok(())
    }

    fn verify(
        &mut self,
        now: Instant,
        origin: Origin,
        version: Version,
        expected: &Digest,
        bytes: &[u8],
    ) -> Result<Candidate> {
        self.in_flight = false;
        let actual = Digest(hex::encode(Sha256::digest(bytes)));
        let checked = if actual == *expected {
            self.check_fork(version, expected)
        } else {
            let origin = origin.clone();
            let expected = expected.clone();
            MismatchSnafu {
                version,
                origin,
                expected,
                actual,
            }
            .fail()
        };
        if let Err(error) = checked {
            self.block_version(now, origin, version);
            return Err(error);
        }
        self.blocks.remove(&origin);
        self.check_newer(version)?;
        Ok(Candidate {
            version,
            digest: expected.clone(),
            origin,
        })
    }

    fn check_newer(&self, version: Version) -> Result<()> {
        let held = self.held().unwrap_or_default();
        ensure!(self.is_newer(version), OlderSnafu { version, held });
        Ok(())
    }

    fn check_fork(&self, version: Version, digest: &Digest) -> Result<()> {
        for (known_version, known) in self.held.iter().chain(&self.head) {
            ensure!(
                *known_version != version || known == digest,
                ForkSnafu {
                    version,
                    known: known.clone(),
                    other: digest.clone()
                }
            );
        }
        Ok(())
    }

    fn block_version(&mut self, now: Instant, origin: Origin, version: Version) {
        let block = Block {
            until: now + INVALID_SNAPSHOT_BLOCK,
            failures: 0,
            version: Some(version),
        };
        self.blocks.insert(origin, block);
    }

    fn blocked_until(&self, now: Instant, origin: &Origin, version: Version) -> Option<Instant> {
        let block = self.blocks.get(origin)?;
        let applies = block.version.is_none_or(|blocked| blocked == version);
        (applies && now < block.until).then_some(block.until)
    }

    fn is_newer(&self, version: Version) -> bool {
        version > self.held().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
