//! Counts of this host.

use super::{Setting, Window, row::Counts};
use crate::process::wall::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time for which counts are kept before and after they are sent, as a multiple of the time until a
/// report is due.
///
/// The true time of a host that has just lost its contact to the others may be wrong by seconds.
const RETENTION: u32 = 6;
/// Largest encoded size of a part without its rows, in bytes.
const PART_OVERHEAD_BYTES: usize = 15;
/// Largest encoded size of a row without its counts, in bytes.
const ROW_OVERHEAD_BYTES: usize = 9;

/// Cumulative counts of a host for all its open windows, or for some of its workspaces.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// First of the windows.
    pub first: Window,
    /// For each workspace, by its hash, the counts of `first` and the windows after it.
    ///
    /// Zeros at the end are left out.
    pub rows: Vec<(u32, Vec<u32>)>,
}

/// Counts of this host by window and workspace.
#[derive(Debug, Clone)]
pub struct Tally {
    setting: Setting,
    windows: BTreeMap<Window, Counts>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(setting: Setting) -> Self {
        Self {
            setting,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a send that a server began to run at `began`, for the hash of its workspace.
    pub fn record(&mut self, began: Time, workspace: u32) {
        let window = Window::at(began, &self.setting);
        let counts = self.windows.entry(window).or_default();
        let count = counts.entry(workspace).or_default();
        *count = count.saturating_add(1);
    }

    /// Returns the counts to send in a round, in parts of at most `max_bytes` when encoded.
    ///
    /// Windows are sent until they are due. A row that is larger than `max_bytes` is a part of its own.
    pub fn parts(&mut self, now: Time, max_bytes: usize) -> Vec<Part> {
        let setting = self.setting;
        let kept = setting.late * RETENTION;
        self.windows.retain(|window, _| {
            window.due(&setting) + kept > now && window.begin(&setting) < now + kept
        });
        let last = Window::last(now, &setting);
        let open = self.windows.range(..=last);
        let mut open = open.filter(|(window, _)| window.due(&setting) > now);
        let Some(first) = open.next().map(|(window, _)| *window) else {
            return Vec::new();
        };
        let mut parts = Vec::new();
        let mut size = usize::MAX;
        for (workspace, counts) in self.rows(first, last) {
            let row_size =
                ROW_OVERHEAD_BYTES + counts.iter().copied().map(encoded_size).sum::<usize>();
            if size.saturating_add(row_size) > max_bytes {
                size = PART_OVERHEAD_BYTES;
                let rows = Vec::new();
                parts.push(Part { first, rows });
            }
            size += row_size;
            if let Some(part) = parts.last_mut() {
                part.rows.push((workspace, counts));
            }
        }
        parts
    }

    fn rows(&self, first: Window, last: Window) -> BTreeMap<u32, Vec<u32>> {
        let mut rows: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        for (window, counts) in self.windows.range(first..=last) {
            let index = (window.0 - first.0) as usize;
            for (workspace, count) in counts {
                let row = rows.entry(*workspace).or_default();
                row.resize(index, 0);
                row.push(*count);
            }
        }
        rows
    }
}

/// Returns the encoded size of a count in bytes.
fn encoded_size(count: u32) -> usize {
    match count {
        0..0x80 => 1,
        0x80..0x100 => 2,
        0x100..0x1_0000 => 3,
        _ => 5,
    }
}
