//! Counts the sends that backend servers began to run, for the usage reports.

use super::{Exchanged, record::Record};
use crate::process::state::State;
use azurenotch_core::process::usage::{self, End};
use azurenotch_wire::{hash::hash32, time::Instant};
use http::header;
use std::time::Duration;

impl Record<'_> {
    /// Counts the send, which ended at `now`, if the server ran it for a workspace.
    pub(super) fn count(&self, now: Instant) {
        let state = self.state;
        let (Some(book), Some(workspace)) = (&state.usage, &self.target.grant.workspace) else {
            return;
        };
        let fleets = state.fleets.lock();
        let fleet = fleets.get(&self.target.service);
        let attempt = fleet.map(|fleet| {
            let placement = &fleet.placement;
            placement.attempt(&self.target.choice, self.sent, self.reused)
        });
        drop(fleets);
        // Nothing is known of a service that the configuration has no longer.
        let attempt = attempt.unwrap_or(usage::Attempt {
            sent: self.sent,
            delay: Duration::ZERO,
            wait: self.target.choice.wait,
            warm: Duration::ZERO,
            cold: Duration::ZERO,
            is_reused: self.reused,
        });
        let end = self.end.unwrap_or(End::Silent { at: now });
        if let Some(began) = usage::begin(&attempt, end) {
            book.lock().record(began, hash32(workspace.name.as_str()));
        }
    }
}

/// Returns how an exchange ended, as far as it tells whether the server ran the request.
pub(super) fn end(state: &State, exchanged: &Exchanged) -> End {
    let at = state.now();
    match exchanged {
        Exchanged::Head(response, _) => {
            let headers = response.headers();
            let protocol = state.dependencies.format.protocol();
            End::Answered {
                at,
                status: response.status().as_u16(),
                is_declined: headers.contains_key(&protocol.not_run),
                has_retry_after: headers.contains_key(header::RETRY_AFTER),
            }
        }
        Exchanged::NotSent => End::Unsent,
        Exchanged::Broken(super::RESET) => End::Closed { at },
        Exchanged::Broken(_) | Exchanged::Mismatched => End::Broken { at },
    }
}
