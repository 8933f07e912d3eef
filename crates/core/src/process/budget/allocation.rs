//! Division of the elastic capacity as recorded in the table.

use azurenotch_wire::{
    budget::{Capacity, Slot},
    id::{Incarnation, Region, Workspace},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Content of the table row `budget/allocation`.
///
/// Token and number never repeat, so that a holder can recognise its own write after a lost
/// response.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// Fencing token of the holder that wrote it.
    pub token: u64,
    /// Number of the proposal under this token.
    pub number: u64,
    /// Elastic shares by slot.
    pub slots: BTreeMap<Slot, Entry>,
}

/// Elastic shares of one slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Incarnation of the host that holds the shares.
    pub incarnation: Incarnation,
    /// Region of that host.
    pub region: Region,
    /// Shares by workspace; workspaces without a share are left out.
    pub capacity: BTreeMap<Workspace, Capacity>,
}

impl Allocation {
    /// Returns the share of `workspace` in `slot`, zero if there is none.
    pub fn share(&self, slot: Slot, workspace: &Workspace) -> Capacity {
        self.slots
            .get(&slot)
            .and_then(|entry| entry.capacity.get(workspace))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the sum of the shares of `workspace` over all slots.
    pub fn sum(&self, workspace: &Workspace) -> Capacity {
        self.slots
            .values()
            .filter_map(|entry| entry.capacity.get(workspace))
            .fold(Capacity::ZERO, |sum, share| sum.plus(*share))
    }

    /// Returns whether `other` has the same token and number.
    pub fn is_same_proposal(&self, other: &Self) -> bool {
        (self.token, self.number) == (other.token, other.number)
    }
}

/// Outcome of writing a proposed [`Allocation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Write {
    /// The row holds the proposal.
    Done,
    /// The row had changed; nothing was written by this attempt.
    Conflict,
    /// The response was lost; the write may have taken effect or may still do so.
    Ambiguous,
    /// The table was unavailable; nothing was written.
    Unavailable,
    /// The fencing token is no longer valid; nothing was written by this attempt.
    Fenced,
}
