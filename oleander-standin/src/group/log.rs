//! The log of an instance and the data that results from applying it.

use std::collections::HashMap;
use std::time::Instant;

use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use serde::Serialize;

/// `Change` is a change of the data of one workspace.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The workspace that was set for the connection.
    pub workspace: String,
    /// The key that the statement changed.
    pub key: String,
    /// The value that was added or that replaced others.
    pub value: String,
    /// The effect on the values under the key.
    pub kind: ChangeKind,
    /// The number of the transaction, unique in the group.
    pub transaction: u64,
}

/// `ChangeKind` is the effect of a change on the values under its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Adds a value.
    Append,
    /// Replaces every value, if there are any.
    Replace,
}

/// `Entry` is an entry of the log; one without a change marks the start of a term.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The term in which the entry was written.
    pub term: Term,
    /// The change; `None` at the start of a term.
    pub change: Option<Change>,
    /// The time at which the primary wrote it.
    pub written: Instant,
}

/// `Log` is the log of one instance with the data that results from it. Positions count from 1.
#[derive(Clone, Debug, Default)]
pub struct Log {
    entries: Vec<Entry>,
    /// The position before the first entry of the last term.
    start: u64,
    /// The values by workspace and key, oldest first.
    data: HashMap<(String, String), Vec<String>>,
    /// The number of values by workspace.
    value_counts: HashMap<String, u64>,
}

impl Log {
    /// Appends an entry and applies its change.
    pub fn push(&mut self, entry: Entry) {
        if let Some(change) = &entry.change {
            self.apply(change);
        }
        if self.point().term != entry.term {
            self.start = self.entries.len() as u64;
        }
        self.entries.push(entry);
    }

    /// Returns the entries in order; `entries()[i]` has position `i + 1`.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the term and position of the last entry; both zero if there is none.
    pub fn point(&self) -> LogPoint {
        let term = self.entries.last().map(|entry| entry.term).unwrap_or_default();
        LogPoint { term, position: self.position() }
    }

    /// Returns the position of the last entry; zero if there is none.
    pub fn position(&self) -> Position {
        Position(self.entries.len() as u64)
    }

    /// Returns the position before the first entry of the last entry's term.
    pub fn start(&self) -> Position {
        Position(self.start)
    }

    /// Returns the length of the longest common prefix of both logs.
    pub fn common_prefix_len(&self, other: &Log) -> usize {
        let pairs = self.entries.iter().zip(&other.entries);
        pairs.take_while(|(left, right)| same_entry(left, right)).count()
    }

    /// Discards the entries after the first `length` and rebuilds the data from the rest.
    pub fn truncate(&mut self, length: usize) {
        let entries = std::mem::take(&mut self.entries);
        self.start = 0;
        self.data.clear();
        self.value_counts.clear();
        for entry in entries.into_iter().take(length) {
            self.push(entry);
        }
    }

    /// Returns the values of a workspace under a key, oldest first.
    pub fn values(&self, workspace: &str, key: &str) -> &[String] {
        let key = (workspace.to_owned(), key.to_owned());
        self.data.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of values of a workspace under all keys.
    pub fn count(&self, workspace: &str) -> u64 {
        self.value_counts.get(workspace).copied().unwrap_or(0)
    }

    fn apply(&mut self, change: &Change) {
        let values = self.data.entry((change.workspace.clone(), change.key.clone())).or_default();
        match change.kind {
            ChangeKind::Append => {
                values.push(change.value.clone());
                *self.value_counts.entry(change.workspace.clone()).or_default() += 1;
            }
            ChangeKind::Replace => values.fill(change.value.clone()),
        }
    }
}

fn same_entry(left: &Entry, right: &Entry) -> bool {
    left.term == right.term && left.written == right.written && left.change == right.change
}
