//! Reports, printed as tables for people or as JSON for programs.

use serde::Serialize;

/// `Report` is the result of an experiment, a measurement or a check.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The name of the run.
    pub title: String,
    /// The seed with which the run can be repeated; 0 if it has none.
    pub seed: u64,
    /// The tables, in the order in which they are printed.
    pub tables: Vec<Table>,
    /// The missed targets, one text each; empty if all were met.
    pub missed: Vec<String>,
}

/// `Table` is a table of strings.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Table {
    /// The title, printed above the table.
    pub title: String,
    /// The column headers.
    pub columns: Vec<String>,
    /// The rows, each with one cell per column.
    pub rows: Vec<Vec<String>>,
}

impl Report {
    /// Creates a report without tables and missed targets.
    pub fn new(title: impl Into<String>, seed: u64) -> Self {
        Self { title: title.into(), seed, ..Self::default() }
    }

    /// Adds `target` to the missed targets unless `met` is `true`.
    pub fn require(&mut self, met: bool, target: impl Into<String>) {
        if !met {
            self.missed.push(target.into());
        }
    }
}

impl Table {
    /// Creates a table without rows.
    pub fn new(title: impl Into<String>, columns: &[&str]) -> Self {
        Self {
            title: title.into(),
            columns: columns.iter().map(|column| (*column).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which must have one cell per column.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Returns the width of each column in characters.
    fn widths(&self) -> Vec<usize> {
        let column_width = |index: usize| {
            let cells =
                self.rows.iter().filter_map(|row| row.get(index)).map(|cell| cell.chars().count());
            cells.chain([self.columns[index].chars().count()]).max().unwrap_or(0)
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
