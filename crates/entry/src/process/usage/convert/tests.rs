//! Guards against a report that is sent in another form than it was written.

use super::{Named, from_stored, to_row};
use crate::platform::usage::{Report, Stored};
use azurenotch_core::process::usage::{self, Counts, Holder, Window};
use azurenotch_wire::{
    Map,
    hash::hash32,
    id::{Incarnation, Workspace},
};
use std::time::Duration;

fn names(names: &[&str]) -> Map<u32, Workspace> {
    let names = names.iter().map(|it| (hash32(it), Workspace::from(*it)));
    names.collect()
}

fn row(windows: &[u64]) -> usage::Row {
    let counts = Counts::from([(hash32("w1"), 4), (hash32("w2"), 6)]);
    let report = |window: &u64| usage::Report {
        window: Window(*window),
        counts: counts.clone(),
    };
    usage::Row {
        token: 9,
        holder: Holder {
            host: "h1".into(),
            incarnation: Incarnation(3),
        },
        reports: windows.iter().map(report).collect(),
        floor: Window(1),
        clock: Duration::from_secs(8),
    }
}

#[test]
fn a_row_is_the_same_after_it_was_stored() {
    let (stored, unknown) = to_row(&row(&[4, 5]), &Named::new(), &names(&["w1", "w2"]));
    assert_eq!(unknown, 0);
    let stored = Stored {
        row: Some(stored),
        version: (2 << 48) + 7,
        clock: Duration::from_secs(9),
    };
    let (read, named) = from_stored(stored);
    assert_eq!(read.era, 2);
    assert_eq!(read.row, Some(((2 << 48) + 7, row(&[4, 5]))));
    assert_eq!(named.len(), 2);
}

#[test]
fn a_written_report_keeps_its_names() {
    let (first, unknown) = to_row(&row(&[4]), &Named::new(), &names(&["w1"]));
    assert_eq!(unknown, 1);
    let written = first.reports[0].clone();
    let named = Named::from([(4, written.clone())]);
    let (second, unknown) = to_row(&row(&[4, 5]), &named, &names(&["w1", "w2"]));
    assert_eq!((&second.reports[0], unknown), (&written, 0));
    let counts = [("w1".into(), 4), ("w2".into(), 6)].into_iter().collect();
    assert_eq!(second.reports[1], Report { window: 5, counts });
}
