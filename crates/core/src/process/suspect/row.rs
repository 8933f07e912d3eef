//! Comparison of the rejections that a host knows with those that a store has.
//!
//! A store may lose rows, or have them again, when it comes back from an older copy; a write may fail,
//! or be made late.

use super::{Record, Report, Table};
use crate::request::identity::Identity;
use azurenotch_wire::{Map, time::Instant};
use std::time::Duration;

/// Rejection as the store has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// What was known of the request when the row was written.
    pub report: Report,
    /// Time since then.
    pub age: Duration,
}

/// What the store has to be told, and what it tells.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Comparison {
    /// Rejections that it lacks, or has with fewer tries, to be written.
    pub missing: Vec<Identity>,
    /// Rejections that have ended, to be removed.
    pub ended: Vec<Identity>,
    /// Rejections that this host does not know.
    pub unknown: Vec<Row>,
}

impl Table {
    /// Returns a number that grows when a request is rejected, or is not rejected any more.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether a store may have rejections, or may lack them, by what is known here.
    pub fn has_rejections(&self) -> bool {
        self.records.values().any(Record::is_confirmed) || self.cleared.values().any(|it| it.lifts)
    }

    /// Compares all rows of a store with what is known.
    pub fn compare(&self, now: Instant, rows: Vec<Row>) -> Comparison {
        let confirmed = self.records.iter().filter(|(_, it)| it.is_confirmed());
        let mut missing: Map<Identity, u8> = confirmed
            .map(|(identity, it)| (*identity, it.tries))
            .collect();
        let mut comparison = Comparison::default();
        for row in rows {
            let identity = row.report.identity;
            match missing.get(&identity) {
                Some(tries) if *tries <= row.report.tries => {
                    missing.remove(&identity);
                }
                Some(_) => {}
                None if self.has_ended(identity, now - row.age) => comparison.ended.push(identity),
                None => comparison.unknown.push(row),
            }
        }
        comparison.missing = missing.into_keys().collect();
        comparison.missing.sort_unstable();
        comparison
    }

    /// Returns whether a rejection of a request that was known at `written` has ended since.
    fn has_ended(&self, identity: Identity, written: Instant) -> bool {
        let mut answers = self.cleared.iter();
        answers.any(|((it, _), answer)| *it == identity && answer.lifts && written <= answer.at)
    }
}

#[cfg(test)]
mod tests;
