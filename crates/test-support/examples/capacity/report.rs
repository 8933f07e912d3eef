//! Markdown fragment with tables, lines and plots.

use super::{
    measure::{Line, Series},
    plot,
};
use azurenotch_wire::Map;
use snafu::{ResultExt, Whatever};
use std::{fs, path::Path};

/// Results of one run.
#[derive(Debug)]
pub struct Report {
    /// Seed of everything that is random.
    pub seed: u64,
    text: String,
    plots: Vec<(&'static str, Series)>,
    facts: Map<&'static str, f64>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            text: String::new(),
            plots: Vec::new(),
            facts: Map::default(),
        }
    }

    /// Starts a part of the page.
    pub fn part(&mut self, title: &str) {
        self.line(&format!("\n## {title}"));
    }

    /// Starts a section.
    pub fn heading(&mut self, title: &str) {
        eprintln!("capacity: {title}");
        self.line(&format!("\n### {title}\n"));
    }

    /// Adds a line of text.
    pub fn line(&mut self, text: &str) {
        self.text.push_str(text);
        self.text.push('\n');
    }

    /// Stores a measured value for the calculation of the roles.
    pub fn keep(&mut self, name: &'static str, value: f64) {
        self.facts.insert(name, value);
    }

    /// Returns a stored value.
    ///
    /// # Panics
    ///
    /// Panics if no measurement stored a value of this name, which is a bug in this program.
    pub fn fact(&self, name: &str) -> f64 {
        *self
            .facts
            .get(name)
            .unwrap_or_else(|| panic!("no measurement kept {name}"))
    }

    /// Adds a table of the points, the line through them and a plot.
    pub fn series(&mut self, file: &'static str, series: Series) -> Line {
        let line = series.fit();
        self.line(&format!(
            "\n{} against {}:\n\n| {} | {} | ± |\n| ---: | ---: | ---: |",
            series.name, series.size, series.size, series.unit
        ));
        for (size, sample) in &series.points {
            let row = format!(
                "| {} | {} | {} |",
                grouped(*size),
                number(sample.median),
                number(sample.spread)
            );
            self.line(&row);
        }
        self.line(&format!(
            "\nLine: {} + {} x {} ({}); residual {} (root mean square). \
             ![{}](capacity/{file}.svg)",
            number(line.start),
            number(line.slope),
            series.size,
            series.unit,
            number(line.residual),
            series.name,
        ));
        self.plots.push((file, series));
        line
    }

    /// Writes the fragment and the plots.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), Whatever> {
        for (file, series) in &self.plots {
            plot::draw(&folder.join(format!("{file}.svg")), series)?;
        }
        fs::write(folder.join("fragment.md"), &self.text)
            .whatever_context("cannot write the fragment")
    }
}

/// Formats a number with three significant digits.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    if magnitude < -4 {
        return format!("{value:.2e}");
    }
    if magnitude < 3 {
        let digits = (2 - magnitude).clamp(0, 6) as usize;
        return format!("{value:.digits$}");
    }
    let unit = 10_f64.powi(magnitude - 2);
    grouped((value / unit).round() * unit)
}

/// Formats a whole number with separators.
pub fn grouped(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = if value < 0.0 { "-" } else { "" }.to_owned();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}
