//! Runs of requests whose callers have left, until it is known whether their servers outlive them.
//!
//! Load pattern: callers leave most often while servers are slow, and the connection that each of
//! them had to its server is closed, so that the server can drop the run. Nobody reads how such a run
//! ends. A request that crashes its servers after its caller has left would come again without end.
//!
//! The host follows the servers instead of the runs, since their number is bounded and one
//! observation of a server decides about all runs that it had. A server works on a request for the
//! time that it was given. If it ends within that time, each abandoned run may be the cause; if it
//! lives on, none was.
//!
//! This module remembers the runs and decides what follows from an observation; it makes none.

use super::suspect::Process;
use crate::request::identity::Identity;
use azurenotch_wire::{Map, time::Instant};
use std::{collections::hash_map::Entry, time::Duration};

/// Largest number of runs that are followed at one process; those with the least time left give way.
///
/// A server runs as many requests as it has slots, and queues a few.
const MAX_RUNS: usize = 32;
/// Longest time for which a run is followed.
const MAX_TIME: Duration = Duration::from_secs(10);
/// Time after the end of a run in which the end of its server may still be found out.
const NOTICE_TIME: Duration = Duration::from_millis(800);
/// Time after a caller's leave within which an observation of the server has to begin.
///
/// A server that crashes needs some seconds to come back, so that none does so unseen in this time.
const OBSERVE_TIME: Duration = Duration::from_millis(800);

/// Run whose caller has left.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Id of the request as sent by the caller, for logs.
    pub id: String,
    /// The request.
    pub identity: Identity,
    /// Generations of crashes that were known when the run began.
    pub generation: u8,
    /// When the request was sent.
    pub began: Instant,
    /// When the caller left.
    pub left: Instant,
    /// End of the time that the server was given.
    pub until: Instant,
    /// Whether the host has claimed the request for this run, and gives the claim up after it.
    pub is_claimed: bool,
}

/// Abandoned runs of one host, by the process that they were sent to.
#[derive(Debug, Default)]
pub struct Table {
    runs: Map<Process, Vec<Run>>,
}

impl Table {
    /// Adds a run; returns the one that gives way for it, if there is one.
    pub fn add(&mut self, process: Process, mut run: Run) -> Option<Run> {
        run.until = run.until.min(run.left + MAX_TIME);
        let runs = self.runs.entry(process).or_default();
        runs.push(run);
        if runs.len() <= MAX_RUNS {
            return None;
        }
        let order = |it: &Run| (it.is_claimed, it.until);
        let (shortest, _) = runs.iter().enumerate().min_by_key(|(_, it)| order(it))?;
        Some(runs.swap_remove(shortest))
    }

    /// Returns the number of runs.
    pub fn count(&self) -> usize {
        self.runs.values().map(Vec::len).sum()
    }

    /// Returns whether a process has abandoned runs.
    pub fn has(&self, process: &Process) -> bool {
        self.runs.contains_key(process)
    }

    /// Returns whether the time of a run is not over, so that its server has to be observed.
    pub fn has_time_left(&self, now: Instant, process: &Process) -> bool {
        let runs = self.runs.get(process);
        runs.is_some_and(|runs| runs.iter().any(|run| now < run.until))
    }

    /// Returns the runs that may be the cause of the end of their process, each request once.
    ///
    /// `found` is when the end was found out; what was sent later has not run.
    pub fn end(&mut self, found: Instant, process: &Process) -> Vec<Run> {
        let mut runs = self.forget(process);
        runs.retain(|run| run.began <= found && found <= run.until + NOTICE_TIME);
        runs.sort_by_key(|run| (run.identity, !run.is_claimed, run.generation));
        runs.dedup_by_key(|run| run.identity);
        runs
    }

    /// Returns the runs that a process has outlived, which was observed without a gap since `since`.
    pub fn outlive(&mut self, now: Instant, process: &Process, since: Instant) -> Vec<Run> {
        self.take(process, |run| {
            run.until <= now && since <= run.left + OBSERVE_TIME
        })
    }

    /// Returns the runs of a process that cannot be observed any more.
    pub fn forget(&mut self, process: &Process) -> Vec<Run> {
        self.runs.remove(process).unwrap_or_default()
    }

    /// Returns the runs that have ended without any observation that decides about them.
    pub fn sweep(&mut self, now: Instant) -> Vec<Run> {
        let processes: Vec<Process> = self.runs.keys().copied().collect();
        let swept = processes
            .iter()
            .flat_map(|process| self.take(process, |run| run.until + NOTICE_TIME < now));
        swept.collect()
    }

    fn take(&mut self, process: &Process, is_over: impl Fn(&Run) -> bool) -> Vec<Run> {
        let Entry::Occupied(mut runs) = self.runs.entry(*process) else {
            return Vec::new();
        };
        let (taken, left) = std::mem::take(runs.get_mut())
            .into_iter()
            .partition(is_over);
        *runs.get_mut() = left;
        if runs.get().is_empty() {
            runs.remove();
        }
        taken
    }
}

#[cfg(test)]
mod tests;
