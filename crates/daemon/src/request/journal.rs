//! Events of the data path that wait to be recorded in the timeline.

use azurenotch_wire::{
    Map,
    event::Kind,
    id::Workspace,
    refusal::{Outcome, Reason, Refusal},
};
use parking_lot::Mutex;

/// Largest number of events; further ones are dropped until the next [`Journal::take`].
const MAX_EVENTS: usize = 256;

/// Events of the data path for the timeline, taken about once a second.
///
/// Refusals are only counted, so that a workspace far above its rate cannot crowd all other events
/// out of the timeline.
#[derive(Debug, Default)]
pub struct Journal {
    refused: Mutex<Map<(Workspace, Reason, Outcome), u64>>,
    events: Mutex<Vec<Kind>>,
}

impl Journal {
    /// Counts a refusal of a workspace's request.
    pub fn refused(&self, refusal: &Refusal) {
        let Some(workspace) = refusal.workspace.clone() else {
            return;
        };
        let key = (workspace, refusal.reason, refusal.outcome);
        *self.refused.lock().entry(key).or_default() += 1;
    }

    /// Adds an event, which is dropped if too many wait.
    pub fn record(&self, event: Kind) {
        let mut events = self.events.lock();
        if events.len() < MAX_EVENTS {
            events.push(event);
        }
    }

    /// Removes and returns the events since the last call, with one event per kind of refusal.
    pub fn take(&self) -> Vec<Kind> {
        let mut refused = std::mem::take(&mut *self.refused.lock())
            .into_iter()
            .collect::<Vec<_>>();
        refused.sort();
        let refused = refused
            .into_iter()
            .map(|((workspace, reason, outcome), count)| Kind::Refused {
                workspace,
                reason,
                outcome,
                count,
            });
        let events = std::mem::take(&mut *self.events.lock());
        events.into_iter().chain(refused).collect()
    }
}

#[cfg(test)]
mod tests;
