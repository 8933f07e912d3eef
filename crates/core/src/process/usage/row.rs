//! Row of the store that says what was reported.

use super::Window;
use azurenotch_wire::id::{Host, Incarnation};
use std::{collections::BTreeMap, time::Duration};

/// Number of sends that servers began to run, by the hash of the workspace.
pub type Counts = BTreeMap<u32, u32>;

/// Report of one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Window.
    pub window: Window,
    /// Counts by [`hash32`](azurenotch_wire::hash::hash32) of the workspace.
    pub counts: Counts,
}

impl Report {
    /// Returns the sum of the counts.
    pub fn sum(&self) -> u64 {
        self.counts.values().copied().map(u64::from).sum()
    }
}

/// Host that holds the duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of the host.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Content of the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Fencing token of the holder.
    pub token: u64,
    /// Host that wrote the row.
    pub holder: Holder,
    /// Last reports in the order of their windows, as they were sent or will be.
    pub reports: Vec<Report>,
    /// Highest window of which no report is written any more, unless the row has it.
    pub floor: Window,
    /// Clock of the store at the write; not below the real one.
    pub clock: Duration,
}

impl Row {
    /// Returns the highest window that was written or passed over.
    pub fn last(&self) -> Window {
        let last = self.reports.last().map(|report| report.window);
        last.unwrap_or_default().max(self.floor)
    }
}

/// Row as the store returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Row with its version, or `None` if there is no row.
    ///
    /// Versions of different eras differ.
    pub row: Option<(u64, Row)>,
    /// Clock of the store when it answered.
    pub clock: Duration,
    /// Era of the store when it answered.
    pub era: u32,
}
