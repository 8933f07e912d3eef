//! Table of the measurements and their targets.

use std::fmt::Display;

/// Measurements in the order in which they were taken.
#[derive(Debug, Default)]
pub struct Report {
    rows: Vec<(String, String, String, bool)>,
}

impl Report {
    /// Adds a measurement without a target.
    pub fn note(&mut self, name: &str, measured: impl Display) {
        self.add(name, measured, "-", true);
    }

    /// Adds a measurement with a target and whether the target is met.
    pub fn add(&mut self, name: &str, measured: impl Display, target: &str, met: bool) {
        let row = (
            name.to_owned(),
            measured.to_string(),
            target.to_owned(),
            met,
        );
        println!("{}: {} [target {}] {}", row.0, row.1, row.2, verdict(met));
        self.rows.push(row);
    }

    /// Prints the table and returns whether all targets are met.
    pub fn finish(&self) -> bool {
        println!(
            "\n{:<52} {:<16} {:<7} measured",
            "measurement", "target", "result"
        );
        for (name, measured, target, met) in &self.rows {
            println!("{name:<52} {target:<16} {:<7} {measured}", verdict(*met));
        }
        self.rows.iter().all(|(.., met)| *met)
    }
}

const fn verdict(met: bool) -> &'static str {
    if met { "ok" } else { "MISSED" }
}
