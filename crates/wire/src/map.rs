//! Hash collections with a fast hasher.

use rustc_hash::FxBuildHasher;
use std::collections::{HashMap, HashSet};

/// Hash map for keys that come from the configuration or are already hashed.
///
/// The hasher is not resistant to chosen keys: text that a caller controls must be hashed with
/// SHA-256 before it becomes a key.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set with the same hasher as [`Map`].
pub type Set<K> = HashSet<K, FxBuildHasher>;
