//! Look-ups over a history: who wrote a value, and where the logs hold it.

use std::collections::HashMap;

use crate::history::lines::History;
use crate::history::record::Applied;
use crate::history::record::Call;
use crate::history::record::KeyValue;
use crate::history::record::Operation;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// `ListKey` names the list of values of one key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ListKey<'a> {
    pub(crate) database: &'a str,
    pub(crate) workspace: &'a str,
    pub(crate) key: &'a str,
}

/// `Place` is where a log holds a value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place<'a> {
    pub(crate) list: ListKey<'a>,
    /// The place in the list, from 0.
    pub(crate) at: usize,
    pub(crate) applied: &'a Applied,
}

/// `Index` finds the writer and the place of each value in constant time.
#[derive(Debug, Default)]
pub(crate) struct Index<'a> {
    writers: HashMap<&'a str, (&'a Call, &'a KeyValue)>,
    places: HashMap<&'a str, Place<'a>>,
    lists: HashMap<ListKey<'a>, usize>,
}

impl<'a> Index<'a> {
    /// Builds the index; reports values written by two calls and values logged twice.
    pub(crate) fn new(history: &'a History, found: &mut Vec<Violation>) -> Self {
        let mut index = Self::default();
        for call in &history.calls {
            for write in writes(call) {
                let before = index.writers.insert(&write.value, (call, write));
                if before.is_some() {
                    let detail = format!("value {} is not unique", write.value);
                    found.push(Violation::at(Kind::MalformedHistory, call.id, detail));
                }
            }
        }
        for applied in &history.applied {
            index.add_applied(applied, found);
        }
        index
    }

    /// Gets the call that wrote a value, and the key that it asked for.
    pub(crate) fn writer(&self, value: &str) -> Option<(&'a Call, &'a KeyValue)> {
        self.writers.get(value).copied()
    }

    /// Gets the place at which the log holds a value.
    pub(crate) fn place(&self, value: &str) -> Option<Place<'a>> {
        self.places.get(value).copied()
    }

    fn add_applied(&mut self, applied: &'a Applied, found: &mut Vec<Violation>) {
        let value = applied.write.value.as_str();
        if self.places.contains_key(value) {
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
        self.places.insert(value, Place { list, at: *length, applied });
        *length += 1;
    }
}

/// Gets the writes that a call asks for.
pub(crate) fn writes(call: &Call) -> &[KeyValue] {
    match &call.operation {
        Operation::Read { .. } => &[],
        Operation::Write(write) => std::slice::from_ref(write),
        Operation::Transaction(writes) => writes,
    }
}
