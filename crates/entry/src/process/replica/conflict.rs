//! Decisions between what was in force and what a restored store has, for logs.

use super::{Key, Replica};
use crate::model::Fact;
use std::collections::VecDeque;

/// Maximum number of decisions that wait to be logged; later ones are dropped.
const MAX_CONFLICTS: usize = 32;

/// A row in force and a row of a later era of the store that differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Kind and name of the row.
    pub row: String,
    /// Version of the content in force.
    pub known_version: u64,
    /// Version of the store's row; `None` if it has none.
    pub stored_version: Option<u64>,
    /// Whether the content in force stays.
    pub is_kept: bool,
}

impl Conflict {
    pub(super) fn new(key: &Key, known_version: u64, stored: Option<&Fact>, is_kept: bool) -> Self {
        Self {
            row: key.to_string(),
            known_version,
            stored_version: stored.map(|fact| fact.version),
            is_kept,
        }
    }
}

pub(super) fn record(conflicts: &mut VecDeque<Conflict>, conflict: Conflict) {
    if conflicts.len() < MAX_CONFLICTS {
        conflicts.push_back(conflict);
    }
}

impl Replica {
    /// Returns the decisions since the last call, at most `MAX_CONFLICTS`.
    pub fn take_conflicts(&mut self) -> Vec<Conflict> {
        self.conflicts.drain(..).collect()
    }
}
