//! Backend servers that say that they are leaving or that they want no requests for a time.

use super::{Choice, Placement, Query};
use azurenotch_wire::time::Instant;
use std::{cmp::Ordering, time::Duration};

/// Maximum number of leaving servers that are remembered.
const MAX_LEAVING: usize = 4096;
/// Time after which a server without a start time counts as restarted since it said it was leaving.
const UNKNOWN_PROCESS_LEAVES_FOR: Duration = Duration::from_mins(1);

/// Process of a backend server that said that it is leaving.
#[derive(Debug, Clone, Copy)]
pub(super) struct Leave {
    incarnation: u64,
    pub(super) since: Instant,
}

impl Leave {
    /// Returns whether this is the process with an incarnation, which is 0 if unknown.
    pub(super) fn is(&self, now: Instant, incarnation: u64) -> bool {
        let restarted = incarnation == 0 && now.since(self.since) >= UNKNOWN_PROCESS_LEAVES_FOR;
        self.incarnation == incarnation && !restarted
    }
}

impl Placement {
    /// Sets how long a leaving server may get requests that no other server can take.
    pub fn set_drain(&mut self, drain: Duration) {
        self.drain = drain;
    }

    /// Records that a process of a server said that it is leaving; returns whether that is new.
    ///
    /// `server` is the hash of its name. The server may be unlisted: its row may return.
    pub fn record_leaving(&mut self, now: Instant, server: u32, incarnation: u64) -> bool {
        let known = self.leaving.get(&server);
        if known.is_some_and(|it| it.is(now, incarnation) || it.incarnation > incarnation) {
            return false;
        }
        if let Some(index) = self.index_by_hash.get(&server) {
            let entry = &mut self.entries[*index];
            match entry.backend.incarnation.cmp(&incarnation) {
                Ordering::Greater => return false,
                Ordering::Equal => entry.leaving = Some(now),
                // The listing of the process has not arrived yet.
                Ordering::Less => {}
            }
        }
        let leave = Leave {
            incarnation,
            since: now,
        };
        self.leaving.insert(server, leave);
        if self.leaving.len() > MAX_LEAVING {
            let mut ages: Vec<Instant> = self.leaving.values().map(|it| it.since).collect();
            ages.sort_unstable();
            let oldest_kept = ages[MAX_LEAVING / 2];
            self.leaving.retain(|_, it| it.since >= oldest_kept);
        }
        true
    }

    /// Returns whether the server whose name has the hash `server` is listed.
    pub fn lists(&self, server: u32) -> bool {
        self.index_by_hash.contains_key(&server)
    }

    /// Returns the servers that said within `max_age` that they are leaving.
    ///
    /// They are given as the hash of the name and the incarnation of the process.
    pub fn leaving(&self, now: Instant, max_age: Duration) -> impl Iterator<Item = (u32, u64)> {
        let recent = self.leaving.iter();
        let recent = recent.filter(move |(_, it)| now.since(it.since) < max_age);
        recent.map(|(server, it)| (*server, it.incarnation))
    }

    /// Returns whether a listed server has announced that it is leaving.
    pub fn is_departing(&self, index: usize) -> bool {
        let entry = &self.entries[index];
        entry.backend.draining || entry.leaving.is_some()
    }

    /// Returns whether a request may still be sent to the server that was chosen for it.
    pub fn may_send(&self, now: Instant, choice: &Choice) -> bool {
        let entry = &self.entries[choice.index];
        entry.is_listed()
            && !entry.backend.draining
            && !entry.awaits_health_check
            && !entry.is_paused(now)
            && entry.leaving.is_none_or(|at| now.since(at) < self.drain)
    }

    /// Withholds requests from a server until `until`, as it has asked for.
    pub fn pause(&mut self, index: usize, until: Instant) {
        self.entries[index].pause(until);
    }

    /// Returns whether a server has asked for a pause that has not ended.
    pub fn is_paused(&self, now: Instant, index: usize) -> bool {
        self.entries[index].is_paused(now)
    }

    /// Returns when the first pause ends after which a server can take the request.
    pub fn pause_end(&self, now: Instant, query: &Query<'_>) -> Option<Instant> {
        let entries = self.entries.iter();
        entries
            .filter_map(|entry| entry.pause_end(now, query))
            .min()
    }
}
