//! Choice of the configuration version to adopt and of the place to fetch it from.

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

/// Time for which an origin that gave a wrong digest is not asked for that version again.
pub const BAD_FOR: Duration = Duration::from_secs(30);

const RETRY_MIN: Duration = Duration::from_millis(500);
const RETRY_MAX: Duration = Duration::from_secs(8);

/// Result of an adoption step.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a version was not adopted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Two snapshots claim the same version.
    #[snafu(display("version {version} has digest {known} and also {other}"))]
    Fork {
        /// The version.
        version: Version,
        /// Digest that was seen first.
        known: Digest,
        /// Digest that was seen now.
        other: Digest,
    },
    /// The bytes do not have the digest that was named for them.
    #[snafu(display("snapshot {version} from {origin:?} has digest {actual} and not {named}"))]
    Mismatch {
        /// The version.
        version: Version,
        /// Where the snapshot came from.
        origin: Origin,
        /// Digest that was named.
        named: Digest,
        /// Digest of the bytes.
        actual: Digest,
    },
    /// A fetched snapshot is not newer than the one in force.
    #[snafu(display("version {version} is not newer than {held}"))]
    Older {
        /// The refused version.
        version: Version,
        /// The version in force.
        held: Version,
    },
}

/// Place that a snapshot can be fetched from.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Origin {
    /// The object store.
    Store,
    /// Another host.
    Peer(Host),
}

impl Origin {
    /// Returns the origin as it is named in events.
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
    /// Nothing newer can be fetched now; ask again at this time, if there is one, or after the
    /// next announcement.
    Wait(Option<Instant>),
    /// Fetch a snapshot from a peer.
    Ask {
        /// The peer.
        host: Host,
        /// Version that it announced.
        version: Version,
    },
    /// Fetch a snapshot object from the store.
    Load {
        /// Version of the head.
        version: Version,
        /// Digest, which names the object.
        digest: Digest,
    },
}

/// A verified snapshot, to be decoded and put in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its version.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
    /// Where it came from.
    pub origin: Origin,
}

/// Versions known to one host, and the one in force.
#[derive(Debug, Default)]
pub struct Adoption {
    held: Option<(Version, Digest)>,
    head: Option<(Version, Digest)>,
    /// Version that each peer announced last.
    offers: Map<Host, Version>,
    blocks: Map<Origin, Block>,
    in_flight: bool,
}

/// Time for which an origin is not asked.
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

    /// Returns whether a newer version than the one in force is known.
    pub fn is_behind(&self) -> bool {
        let head = self.head.as_ref().map(|(version, _)| *version);
        let offer = self.offers.values().max().copied();
        head.max(offer)
            .is_some_and(|version| self.is_newer(version))
    }

    /// Takes the configuration head that was read from the store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fork`] if the version is known with another digest.
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

    /// Takes the version that a peer's heartbeat announced.
    pub fn on_heartbeat(&mut self, host: &Host, version: Version) {
        if self.is_newer(version) {
            self.offers.insert(host.clone(), version);
        } else {
            self.offers.remove(host);
        }
    }

    /// Drops a peer that is gone.
    pub fn forget(&mut self, host: &Host) {
        self.offers.remove(host);
        self.blocks.remove(&Origin::Peer(host.clone()));
    }

    /// Returns what to fetch at `now`.
    ///
    /// The caller reports the result of a fetch with [`Adoption::on_fetched`],
    /// [`Adoption::on_loaded`] or [`Adoption::on_failed`] before another one is started.
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
        // Origins order the store first, so the highest entry is a peer if one has the version.
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
            (Origin::Store, Some((_, digest))) => Action::Load {
                version,
                digest: digest.clone(),
            },
            (Origin::Peer(host), _) => Action::Ask { host, version },
            (Origin::Store, None) => Action::Wait(None),
        }
    }

    /// Takes a peer's answer; the candidate, if any, is newer and its digest is verified.
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

    /// Takes an object that was loaded from the store for [`Action::Load`].
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

    /// Takes the failure of a fetch; the origin is left alone for a growing time.
    pub fn on_failed(&mut self, now: Instant, origin: &Origin) {
        self.in_flight = false;
        let failures = self.blocks.get(origin).map_or(0, |block| block.failures);
        let pause = (RETRY_MIN * (1 << failures.min(8))).min(RETRY_MAX);
        let block = Block {
            until: now + pause,
            failures: failures.saturating_add(1),
            version: None,
        };
        self.blocks.insert(origin.clone(), block);
    }

    /// Takes note that a verified snapshot cannot be decoded or has another version inside.
    pub fn on_invalid(&mut self, now: Instant, candidate: &Candidate) {
        self.block_version(now, candidate.origin.clone(), candidate.version);
    }

    /// Moves to a version that was fetched or accepted as a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not newer; the snapshot must not be put in force then.
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
        named: &Digest,
        bytes: &[u8],
    ) -> Result<Candidate> {
        self.in_flight = false;
        let actual = Digest(hex::encode(Sha256::digest(bytes)));
        let checked = if actual == *named {
            self.check_fork(version, named)
        } else {
            let origin = origin.clone();
            let named = named.clone();
            MismatchSnafu {
                version,
                origin,
                named,
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
            digest: named.clone(),
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
            until: now + BAD_FOR,
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
