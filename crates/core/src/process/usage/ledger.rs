//! Counts of all hosts.

use super::{Part, Setting, Window, row::Counts};
use crate::process::wall::Time;
use azurenotch_wire::{
    Map,
    id::{Host, Incarnation},
};
use std::collections::BTreeMap;

/// Counts of all hosts, this one included, by window.
///
/// Counts of a host are cumulative, so that the highest one received counts. Repeated and outdated
/// parts do no harm.
#[derive(Debug, Clone)]
pub struct Ledger {
    setting: Setting,
    windows: BTreeMap<Window, Map<(Host, Incarnation), Counts>>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(setting: Setting) -> Self {
        Self {
            setting,
            windows: BTreeMap::new(),
        }
    }

    /// Takes in a part of one host, which may be this one.
    ///
    /// Windows that can no longer be written at `now`, or are far ahead, are ignored and dropped.
    pub fn receive(&mut self, now: Time, host: &Host, incarnation: Incarnation, part: &Part) {
        let setting = self.setting;
        let last = Window::last(now, &setting);
        self.windows.retain(|window, _| window.due(&setting) > now);
        for (workspace, counts) in &part.rows {
            for (window, count) in (part.first.0..=last.0).zip(counts) {
                let window = Window(window);
                if *count > 0 && window.due(&setting) > now {
                    self.raise(window, (host, incarnation), *workspace, *count);
                }
            }
        }
    }

    fn raise(&mut self, window: Window, from: (&Host, Incarnation), workspace: u32, count: u32) {
        let hosts = self.windows.entry(window).or_default();
        let counts = hosts.entry((from.0.clone(), from.1)).or_default();
        let known = counts.entry(workspace).or_default();
        *known = count.max(*known);
    }

    /// Returns the counts of a window over all hosts.
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::new();
        let hosts = self.windows.get(&window);
        for counts in hosts.into_iter().flat_map(Map::values) {
            for (workspace, count) in counts {
                let sum = total.entry(*workspace).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        total
    }
}
