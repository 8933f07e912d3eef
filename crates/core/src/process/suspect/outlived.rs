//! Abandoned runs that servers outlived: what speaks for a request whose callers always leave.

use super::{CLEARANCE_MEMORY, Event, MAX_RECORDS, Table, without_caller};
use crate::request::identity::Identity;
use azurenotch_wire::time::Instant;
use std::collections::hash_map::Entry;

/// Abandoned runs that servers have to outlive for one answer's worth of evidence.
///
/// If servers drop the runs of callers that leave, a harmful request is cleared by them only if fewer
/// than one in five callers stays.
const RUNS_PER_ANSWER: u8 = 4;

/// Abandoned runs of a request that servers outlived one after the other.
#[derive(Debug, Clone, Copy)]
pub(super) struct Outlived {
    runs: u8,
    last: Instant,
}

impl Outlived {
    /// Returns whether the last run is recent enough to count.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        now.since(self.last) < CLEARANCE_MEMORY
    }

    /// Returns whether the runs speak for the request as much as an answer does.
    pub(super) fn is_answer(&self, now: Instant) -> bool {
        self.runs >= RUNS_PER_ANSWER && self.is_recent(now)
    }
}

impl Table {
    /// Records that a server outlived a run whose caller had left.
    ///
    /// It takes the last generation of crashes under such runs of the same software away, and
    /// several of them together the last generation of other crashes.
    pub fn outlive(&mut self, now: Instant, identity: Identity, software: u32) -> Option<Event> {
        let is_answer = self.count_outlived(now, identity, software);
        let record = self.records.get(&identity)?;
        let last = |software| {
            let mut crashes = record.crashes.iter().rev();
            let crash = crashes.find(|crash| crash.process.software == software);
            crash.map(|crash| (software, crash.generation))
        };
        let abandoned = last(without_caller(software));
        let other = last(software).filter(|_| is_answer);
        let cleared = [abandoned, other].into_iter().flatten();
        let events: Vec<Event> = cleared
            .filter_map(|(kind, generation)| self.clear_here(now, identity, kind, generation))
            .collect();
        events.into_iter().next()
    }

    /// Counts an abandoned run that a server outlived; returns whether it completes a series.
    fn count_outlived(&mut self, now: Instant, identity: Identity, software: u32) -> bool {
        let is_full = self.outlived.len() >= MAX_RECORDS;
        let outlived = match self.outlived.entry((identity, software)) {
            Entry::Vacant(_) if is_full => return false,
            entry => entry.or_insert(Outlived { runs: 0, last: now }),
        };
        if !outlived.is_recent(now) {
            outlived.runs = 0;
        }
        outlived.last = now;
        outlived.runs = outlived.runs.saturating_add(1);
        outlived.runs.is_multiple_of(RUNS_PER_ANSWER)
    }
}
