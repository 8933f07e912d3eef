//! Reports with the names of the workspaces, which the row and the platform have.
//!
//! Hosts know workspaces by hash. A report keeps the names with which it was written, also if a
//! configuration adds or removes a workspace before it is sent.

use crate::{
    era::Era,
    platform::usage::{Report, Row, Stored},
};
use azurenotch_core::process::usage::{self, Window};
use azurenotch_wire::{
    Map,
    hash::hash32,
    id::{Incarnation, Workspace},
};
use std::collections::BTreeMap;

/// Reports of the row with their names, by window.
pub(super) type Named = BTreeMap<u64, Report>;

/// Returns the row with the names that written reports have, and new ones those of `workspaces`.
///
/// Counts of unknown workspaces are left out; their number is returned as well.
pub(super) fn to_row(
    row: &usage::Row,
    named: &Named,
    workspaces: &Map<u32, Workspace>,
) -> (Row, usize) {
    let mut unknown = 0;
    let reports = row.reports.iter().map(|report| {
        let window = report.window.0;
        if let Some(written) = named.get(&window) {
            return written.clone();
        }
        let found = report.counts.iter().filter_map(|(hash, count)| {
            let name = workspaces.get(hash);
            unknown += usize::from(name.is_none());
            Some((name?.clone(), *count))
        });
        let counts = found.collect();
        Report { window, counts }
    });
    let reports = reports.collect();
    let row = Row {
        token: row.token,
        holder: row.holder.host.clone(),
        incarnation: row.holder.incarnation.0,
        reports,
        floor: row.floor.0,
        written: row.clock,
    };
    (row, unknown)
}

/// Returns the row as the decisions know it, with the reports that it has.
pub(super) fn from_stored(stored: Stored) -> (usage::Stored, Named) {
    let mut named = Named::new();
    let version = stored.version;
    let row = stored.row.map(|row| {
        let reports = row.reports.into_iter().map(|report| {
            let mut counts = usage::Counts::new();
            for (name, count) in &report.counts {
                let sum = counts.entry(hash32(name.as_str())).or_default();
                *sum = count.saturating_add(*sum);
            }
            let window = Window(report.window);
            named.insert(report.window, report);
            usage::Report { window, counts }
        });
        let row = usage::Row {
            token: row.token,
            holder: usage::Holder {
                host: row.holder,
                incarnation: Incarnation(row.incarnation),
            },
            reports: reports.collect(),
            floor: Window(row.floor),
            clock: row.written,
        };
        (version, row)
    });
    let stored = usage::Stored {
        row,
        clock: stored.clock,
        era: Era::of(version).0.into(),
    };
    (stored, named)
}

#[cfg(test)]
mod tests;
