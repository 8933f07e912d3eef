//! Tables with aligned columns.

use std::fmt::{self, Display, Formatter};

/// Space between two columns.
const GAP: &str = "  ";

/// Table with a header and rows whose columns are aligned to the left.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the names of its columns.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        Self {
            rows: vec![header.map(str::to_uppercase).to_vec()],
        }
    }

    /// Adds a row.
    #[must_use]
    pub fn row<const N: usize>(mut self, cells: [String; N]) -> Self {
        // A control character could move the cursor of the operator's terminal.
        let cells = cells.map(|cell| cell.replace(char::is_control, " "));
        self.rows.push(cells.to_vec());
        self
    }
}

impl Display for Table {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut widths = Vec::new();
        for row in &self.rows {
            widths.resize(row.len().max(widths.len()), 0);
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        for row in &self.rows {
            let (last, cells) = row.split_last().ok_or(fmt::Error)?;
            for (width, cell) in widths.iter().zip(cells) {
                write!(f, "{cell:<width$}{GAP}")?;
            }
            writeln!(f, "{last}")?;
        }
        Ok(())
    }
}
