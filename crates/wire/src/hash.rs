//! Stable hashes of names, with which processes reach the same decision without communication.
//!
//! Hosts of different versions exchange and compare these hashes, so the hash function must not
//! change.

use crate::work;
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};

/// Returns the 64-bit hash of a name.
pub fn hash64(name: &str) -> u64 {
    work::step();
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns the 32-bit hash of a name, for messages that contain many hashes.
pub fn hash32(name: &str) -> u32 {
    let hash = hash64(name);
    (hash ^ (hash >> 32)) as u32
}

/// Returns a number that depends on all bits of a name's hash and of another number.
///
/// [`hash64`] gives similar names the same high bits, so that its values have no random order.
pub fn mix(name: u64, other: u64) -> u64 {
    work::step();
    // Finalizer of SplitMix64.
    let mut x = name ^ other.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
