//! Table of the platform with one row.

use azurenotch_core::process::usage::{Row, Stored};
use std::time::Duration;

const NUMBER_BITS: u32 = 48;

/// Former content of the store.
#[derive(Debug, Clone)]
struct Copy {
    /// When it was replaced.
    until: u64,
    number: u64,
    row: Option<(u64, Row)>,
}

/// Store with versions and eras.
#[derive(Debug)]
pub struct Store {
    era: u32,
    number: u64,
    row: Option<(u64, Row)>,
    /// Milliseconds that the clock is ahead of the time of the search.
    ahead_ms: u64,
    copies: Vec<Copy>,
    /// Whether it refuses calls.
    pub down_until: u64,
}

impl Store {
    pub fn new() -> Self {
        Self {
            era: 1,
            number: 1,
            row: None,
            ahead_ms: 77_000,
            copies: Vec::new(),
            down_until: 0,
        }
    }

    pub fn era(&self) -> u32 {
        self.era
    }

    pub fn clock(&self, now: u64) -> Duration {
        Duration::from_millis(now + self.ahead_ms)
    }

    pub fn read(&self, now: u64) -> Stored {
        Stored {
            row: self.row.clone(),
            clock: self.clock(now),
            era: self.era,
        }
    }

    /// Writes the row if it has this version; returns the new one.
    pub fn write(&mut self, now: u64, row: Row, expected: Option<u64>) -> Option<u64> {
        let version = self.row.as_ref().map(|(version, _)| *version);
        if version != expected {
            return None;
        }
        self.copies.push(Copy {
            until: now,
            number: self.number,
            row: self.row.take(),
        });
        self.number += 1;
        let version = (u64::from(self.era) << NUMBER_BITS) | self.number;
        self.row = Some((version, row));
        Some(version)
    }

    /// Comes back as it was at `at`, with another clock if `is_clock_reset`.
    pub fn restore(&mut self, at: u64, is_clock_reset: bool) {
        let copy = self.copies.iter().position(|copy| copy.until > at);
        if let Some(index) = copy {
            let Copy { number, row, .. } = self.copies[index].clone();
            self.copies.truncate(index);
            (self.number, self.row) = (number, row);
        }
        self.era += 1;
        // Versions of the new era differ from those of the copy.
        let era = u64::from(self.era) << NUMBER_BITS;
        if let Some((version, _)) = &mut self.row {
            *version = era | (*version & ((1 << NUMBER_BITS) - 1));
        }
        if is_clock_reset {
            self.ahead_ms /= 2;
        }
    }
}
