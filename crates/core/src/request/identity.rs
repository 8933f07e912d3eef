//! Identity of a request that comes again under another id.
//!
//! Two requests with the same identity ask for the same work: the same caller's workspace, method,
//! host, path with query, and body. Headers that differ on each try are no part of it.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Key of the identities of one fleet.
///
/// Without it, callers cannot find requests of others that have the same identity as theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; 16]);

impl Key {
    /// Derives the key from what all hosts of a fleet share and callers do not know.
    pub fn derive<'a>(parts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let mut key = [0; 16];
        key.copy_from_slice(&digest.finalize()[..16]);
        Self(key)
    }
}

/// What identifies a request.
#[derive(Debug, Clone, Copy)]
pub struct Parts<'a> {
    /// Workspace of the caller; empty for a public route.
    pub workspace: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host that the caller named.
    pub host: &'a [u8],
    /// Path with query.
    pub path: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

/// Keyed hash of what identifies a request.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Identity(u64);

impl Identity {
    /// Computes the identity of a request.
    pub fn new(key: &Key, parts: &Parts<'_>) -> Self {
        let Parts {
            workspace,
            method,
            host,
            path,
            body,
        } = *parts;
        let mut hasher = SipHasher24::new_with_key(&key.0);
        for part in [
            workspace.as_bytes(),
            method.as_bytes(),
            host,
            path.as_bytes(),
            body,
        ] {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        Self(hasher.finish())
    }
}

#[cfg(test)]
mod tests;
