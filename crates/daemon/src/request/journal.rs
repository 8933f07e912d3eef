//! What the data path leaves for the time line.

use azurenotch_wire::{
    Map,
    event::Kind,
    id::Workspace,
    refusal::{Outcome, Reason, Refusal},
};
use parking_lot::Mutex;

/// Events that wait to be recorded; further ones are dropped until the next [`Journal::take`].
const EVENTS: usize = 256;

/// What the data path leaves for the time line, taken about once a second.
///
/// Refusals are counted, so that a workspace that sends several times its rate does not push every
/// other event out of the time line.
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

    /// Keeps an event.
    pub fn record(&self, event: Kind) {
        let mut events = self.events.lock();
        if events.len() < EVENTS {
            events.push(event);
        }
    }

    /// Takes the events since the last call.
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
