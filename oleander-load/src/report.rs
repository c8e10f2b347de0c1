//! Reports: a table for people, JSON for programs.

use serde::Serialize;

/// `Report` is the outcome of an experiment or a measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// What was run.
    pub title: String,
    /// The seed from which the run can be repeated.
    pub seed: u64,
    /// The tables, in order.
    pub tables: Vec<Table>,
    /// The targets that were missed, a sentence each; empty if all were met.
    pub missed: Vec<String>,
}

/// `Table` is a grid of texts with a header.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Table {
    /// What the table shows.
    pub title: String,
    /// The header.
    pub columns: Vec<String>,
    /// The rows, each with one cell a column.
    pub rows: Vec<Vec<String>>,
}

impl Report {
    /// Makes an empty report.
    pub fn new(title: impl Into<String>, seed: u64) -> Self {
        Self { title: title.into(), seed, ..Self::default() }
    }

    /// Records that a target was missed unless `met` holds.
    pub fn require(&mut self, met: bool, target: impl Into<String>) {
        if !met {
            self.missed.push(target.into());
        }
    }
}

impl Table {
    /// Makes an empty table.
    pub fn new(title: impl Into<String>, columns: &[&str]) -> Self {
        Self {
            title: title.into(),
            columns: columns.iter().map(|column| (*column).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    fn widths(&self) -> Vec<usize> {
        let column_width = |at: usize| {
            let cells =
                self.rows.iter().filter_map(|row| row.get(at)).map(|cell| cell.chars().count());
            cells.chain([self.columns[at].chars().count()]).max().unwrap_or(0)
        };
        (0..self.columns.len()).map(column_width).collect()
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let widths = self.widths();
        writeln!(f, "{}", self.title)?;
        for row in std::iter::once(&self.columns).chain(&self.rows) {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            writeln!(f, "  {}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        Ok(())
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{} (seed {})", self.title, self.seed)?;
        for table in &self.tables {
            writeln!(f, "\n{table}")?;
        }
        if self.missed.is_empty() {
            return writeln!(f, "all targets met");
        }
        for target in &self.missed {
            writeln!(f, "missed: {target}")?;
        }
        Ok(())
    }
}
