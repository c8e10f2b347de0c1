//! The log of an instance and the data that follows from it.

use std::collections::HashMap;
use std::time::Instant;

use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use serde::Serialize;

/// `Change` is one change of data.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The workspace in whose name the statement ran.
    pub workspace: String,
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// What happens to the values under the key.
    pub kind: ChangeKind,
    /// The transaction, unique in the group.
    pub transaction: u64,
}

/// `ChangeKind` says what a change does to the values under its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Adds a value.
    Append,
    /// Sets every value.
    Replace,
}

/// `Entry` is a record of the log; one without a change marks the start of a term.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The term in which the entry was written.
    pub term: Term,
    /// The change; `None` at the start of a term.
    pub change: Option<Change>,
    /// The time at which the primary wrote it.
    pub written: Instant,
}

/// `Log` is the history of one instance. Positions count from 1.
#[derive(Clone, Debug, Default)]
pub struct Log {
    entries: Vec<Entry>,
    start: u64,
    data: HashMap<(String, String), Vec<String>>,
    counts: HashMap<String, u64>,
}

impl Log {
    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        if let Some(change) = &entry.change {
            self.apply(change);
        }
        if self.point().term != entry.term {
            self.start = self.entries.len() as u64;
        }
        self.entries.push(entry);
    }

    /// Gets the entries in order; entry `i` has position `i + 1`.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Gets the point of the last entry.
    pub fn point(&self) -> LogPoint {
        let term = self.entries.last().map(|entry| entry.term).unwrap_or_default();
        LogPoint { term, position: self.position() }
    }

    /// Gets the position of the last entry; zero if there is none.
    pub fn position(&self) -> Position {
        Position(self.entries.len() as u64)
    }

    /// Gets the position before the first entry of the last entry's term.
    pub fn start(&self) -> Position {
        Position(self.start)
    }

    /// Gets the number of entries that both logs have in common from the start.
    pub fn shared_with(&self, other: &Log) -> usize {
        let pairs = self.entries.iter().zip(&other.entries);
        pairs.take_while(|(left, right)| same_entry(left, right)).count()
    }

    /// Drops the entries after the first `length`.
    pub fn truncate(&mut self, length: usize) {
        let entries = std::mem::take(&mut self.entries);
        self.start = 0;
        self.data.clear();
        self.counts.clear();
        for entry in entries.into_iter().take(length) {
            self.push(entry);
        }
    }

    /// Gets the values under a key, oldest first.
    pub fn values(&self, workspace: &str, key: &str) -> &[String] {
        let key = (workspace.to_owned(), key.to_owned());
        self.data.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Gets the number of values of a workspace.
    pub fn count(&self, workspace: &str) -> u64 {
        self.counts.get(workspace).copied().unwrap_or(0)
    }

    fn apply(&mut self, change: &Change) {
        let values = self.data.entry((change.workspace.clone(), change.key.clone())).or_default();
        match change.kind {
            ChangeKind::Append => {
                values.push(change.value.clone());
                *self.counts.entry(change.workspace.clone()).or_default() += 1;
            }
            ChangeKind::Replace => values.fill(change.value.clone()),
        }
    }
}

fn same_entry(left: &Entry, right: &Entry) -> bool {
    left.term == right.term && left.written == right.written && left.change == right.change
}
