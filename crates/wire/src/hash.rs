//! Hashes of names by which processes agree without telling one another.
//!
//! They cross process borders, so that hosts of different versions have to compute the same ones.

use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// Returns the hash of a name.
pub fn name(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns a hash of a name that fits into a message many times.
pub fn short(text: &str) -> u32 {
    let hash = name(text);
    (hash ^ (hash >> 32)) as u32
}
