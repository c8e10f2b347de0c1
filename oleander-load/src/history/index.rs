//! An index of the values in a history: which call wrote a value, and its position in the log.

use std::collections::HashMap;

use crate::history::lines::History;
use crate::history::record::Applied;
use crate::history::record::Call;
use crate::history::record::KeyValue;
use crate::history::record::Operation;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// `ListKey` identifies the list of values of one key in one workspace.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ListKey<'a> {
    pub(crate) database: &'a str,
    pub(crate) workspace: &'a str,
    pub(crate) key: &'a str,
}

/// `LogPosition` is the position of a value in the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogPosition<'a> {
    pub(crate) list: ListKey<'a>,
    /// The index in the list, from 0.
    pub(crate) index: usize,
    pub(crate) applied: &'a Applied,
}

/// `Index` finds the writer and the log position of a value in constant time.
#[derive(Debug, Default)]
pub(crate) struct Index<'a> {
    writers: HashMap<&'a str, (&'a Call, &'a KeyValue)>,
    positions: HashMap<&'a str, LogPosition<'a>>,
    lists: HashMap<ListKey<'a>, usize>,
}

impl<'a> Index<'a> {
    /// Builds the index and reports values written by two calls and values logged twice.
    pub(crate) fn new(history: &'a History, found: &mut Vec<Violation>) -> Self {
        let mut index = Self::default();
        for call in &history.calls {
            for write in writes(call) {
                let previous = index.writers.insert(&write.value, (call, write));
                if previous.is_some() {
                    let detail = format!("value {} is not unique", write.value);
                    found.push(Violation::of_call(Kind::MalformedHistory, call.id, detail));
                }
            }
        }
        for applied in &history.applied {
            index.add_applied(applied, found);
        }
        index
    }

    /// Returns the call that wrote a value, with the key that it wrote to; `None` if no call did.
    pub(crate) fn writer(&self, value: &str) -> Option<(&'a Call, &'a KeyValue)> {
        self.writers.get(value).copied()
    }

    /// Returns the log position of a value; `None` if the value is not in the log.
    pub(crate) fn position(&self, value: &str) -> Option<LogPosition<'a>> {
        self.positions.get(value).copied()
    }

    fn add_applied(&mut self, applied: &'a Applied, found: &mut Vec<Violation>) {
        let value = applied.write.value.as_str();
        if self.positions.contains_key(value) {
            let call = self.writer(value).map(|(call, _)| call.id);
            let detail = format!("value {value} is in the log more than once");
            found.push(Violation { kind: Kind::DoubledWrite, call, detail });
            return;
        }
        let list = ListKey {
            database: &applied.database,
            workspace: &applied.workspace,
            key: &applied.write.key,
        };
        let length = self.lists.entry(list).or_default();
        self.positions.insert(value, LogPosition { list, index: *length, applied });
        *length += 1;
    }
}

/// Returns the writes that a call requests.
pub(crate) fn writes(call: &Call) -> &[KeyValue] {
    match &call.operation {
        Operation::Read { .. } => &[],
        Operation::Write(write) => std::slice::from_ref(write),
        Operation::Transaction(writes) => writes,
    }
}
