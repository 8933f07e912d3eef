//! Stable hashes of names, with which processes reach the same decision without communication.
//!
//! Hosts of different versions exchange and compare these hashes, so the hash function must not
//! change.

use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// Returns the 64-bit hash of a name.
pub fn hash64(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns the 32-bit hash of a name, for messages that contain many hashes.
pub fn hash32(name: &str) -> u32 {
    let hash = hash64(name);
    (hash ^ (hash >> 32)) as u32
}
