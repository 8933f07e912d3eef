//! Hash maps and sets with a fast hasher.

use rustc_hash::FxBuildHasher;
use std::collections::{HashMap, HashSet};

/// Hash map for keys that come from the configuration or are already hashed.
///
/// The hasher does not protect against keys chosen to collide, so text from callers must be hashed
/// with SHA-256 before it is used as a key.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set with the same hasher as [`Map`].
pub type Set<K> = HashSet<K, FxBuildHasher>;
