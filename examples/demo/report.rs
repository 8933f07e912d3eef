//! Table of the demo's expectations and their results.

use std::{fmt::Display, time::Instant};

/// Expectations and their results, in the order in which they were checked.
#[derive(Debug)]
pub struct Report {
    started: Instant,
    rows: Vec<Row>,
}

#[derive(Debug)]
struct Row {
    at_ms: u128,
    name: String,
    holds: bool,
    detail: String,
}

impl Report {
    /// Creates an empty report.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            rows: Vec::new(),
        }
    }

    /// Records whether an expectation holds.
    pub fn expect(&mut self, name: &str, holds: bool, detail: impl Display) {
        let row = Row {
            at_ms: self.started.elapsed().as_millis(),
            name: name.to_owned(),
            holds,
            detail: detail.to_string(),
        };
        let verdict = if holds { "ok" } else { "FAILED" };
        println!("{:>7} ms  {verdict:<6}  {name}: {detail}", row.at_ms);
        self.rows.push(row);
    }

    /// Prints the table and returns whether all expectations hold.
    pub fn finish(&self) -> bool {
        println!("\n{:<58} {:<7} measured", "expectation", "result");
        for row in &self.rows {
            let result = if row.holds { "ok" } else { "FAILED" };
            println!("{:<58} {result:<7} {}", row.name, row.detail);
        }
        let failed = self.rows.iter().filter(|row| !row.holds).count();
        println!(
            "\n{} expectations, {failed} failed, {:.1} s",
            self.rows.len(),
            self.started.elapsed().as_secs_f64()
        );
        failed == 0
    }
}
