//! The store's entries as this VM last received them, from which it answers VMs that follow it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use oleander_ports::store::Change;
use oleander_ports::store::Changes;
use oleander_ports::store::Entry;
use oleander_ports::store::ReadResponse;
use oleander_ports::store::StoreRevision;

use super::delta;
use super::delta::Delta;

/// The number of deletions that are kept for followers; one that lacks older ones reads the store.
const MAX_DELETED: usize = 2_048;

/// `StoreCopy` holds the latest value of each key and the recent deletions. Intermediate values of
/// a key are not kept, as little as a full read shows them.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    entries: BTreeMap<String, Entry>,
    /// The deleted keys, oldest first; a key may be in `entries` again.
    deleted: VecDeque<(String, StoreRevision)>,
    /// The previous value of each key with a large value.
    former: BTreeMap<String, Former>,
    /// The revision from which on changes are known; 0 before a full read.
    base: StoreRevision,
    /// The revision up to which the copy is complete.
    revision: StoreRevision,
}

/// `Former` is the previous value of a key.
#[derive(Clone, Debug)]
struct Former {
    value: Vec<u8>,
    revision: StoreRevision,
    /// The delta from this value to the present one, once it was needed. The inner `None` means that
    /// the present value is sent whole.
    delta: Option<Option<Delta>>,
}

impl StoreCopy {
    /// Returns the revision up to which the copy is complete; 0 before a full read.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Replaces the content by a full read. Keys that the reading lacks count as deleted at its
    /// revision; in a new era of the store, nothing is known of what happened before.
    pub fn apply_reading(&mut self, reading: &ReadResponse) {
        if self.revision.era() < reading.revision.era() {
            *self = Self::default();
        }
        let mut former = std::mem::take(&mut self.entries);
        for entry in &reading.entries {
            if let Some(previous) = former.remove(&entry.key) {
                self.keep_former(previous, entry);
            }
            self.entries.insert(entry.key.clone(), entry.clone());
        }
        if self.base == StoreRevision(0) {
            self.base = reading.revision;
        } else {
            for key in former.into_keys() {
                self.note_deleted(key, reading.revision);
            }
        }
        self.revision = reading.revision;
    }

    /// Applies the changes of a watch that continues from `revision`.
    pub fn apply_changes(&mut self, changes: &Changes) {
        for change in &changes.changes {
            match change {
                Change::Put(entry) => {
                    if let Some(previous) = self.entries.insert(entry.key.clone(), entry.clone()) {
                        self.keep_former(previous, entry);
                    }
                }
                Change::Deleted { key, revision } => {
                    self.entries.remove(key);
                    self.note_deleted(key.clone(), *revision);
                }
            }
        }
        self.revision = self.revision.max(changes.revision);
    }

    /// Returns the latest change of each key since `after`, oldest first; `None` if some are not
    /// known, or the copy is itself older than `after`.
    pub fn changes_after(&self, after: StoreRevision) -> Option<Changes> {
        if after < self.base || self.base == StoreRevision(0) || self.revision < after {
            return None;
        }
        let mut found: Vec<(StoreRevision, Change)> = self
            .entries
            .values()
            .filter(|entry| after < entry.revision)
            .map(|entry| (entry.revision, Change::Put(entry.clone())))
            .collect();
        let deleted = self.deleted.iter().filter(|(_, revision)| after < *revision);
        found.extend(deleted.map(|(key, revision)| {
            (*revision, Change::Deleted { key: key.clone(), revision: *revision })
        }));
        found.sort_by_key(|(revision, _)| *revision);
        let changes = found.into_iter().map(|(_, change)| change).collect();
        Some(Changes { revision: self.revision, changes })
    }

    /// Returns the delta from the previous value of a key to the present one, with the revision of the
    /// previous one, for a VM that has all changes up to `after`. Returns `None` if such a VM may have
    /// another value, or if the present value has to be sent whole.
    pub fn delta(&mut self, key: &str, after: StoreRevision) -> Option<(StoreRevision, Delta)> {
        let present = self.entries.get(key)?;
        let former = self.former.get_mut(key).filter(|former| former.revision <= after)?;
        let delta = former
            .delta
            .get_or_insert_with(|| Delta::new(&former.value, &present.value))
            .clone()?;
        Some((former.revision, delta))
    }

    /// Applies a delta to the present value of a key. Returns `None` unless that was written at `base`.
    pub fn apply_delta(&self, key: &str, base: StoreRevision, delta: &Delta) -> Option<Vec<u8>> {
        let present = self.entries.get(key).filter(|entry| entry.revision == base)?;
        delta.apply(&present.value)
    }

    /// Keeps the previous value of a key that `entry` replaces.
    fn keep_former(&mut self, previous: Entry, entry: &Entry) {
        let Entry { key, value, revision } = previous;
        if revision == entry.revision {
            return;
        }
        if delta::MIN_VALUE_SIZE <= entry.value.len() {
            self.former.insert(key, Former { value, revision, delta: None });
        } else {
            self.former.remove(&key);
        }
    }

    fn note_deleted(&mut self, key: String, revision: StoreRevision) {
        self.former.remove(&key);
        self.deleted.push_back((key, revision));
        while MAX_DELETED < self.deleted.len() {
            if let Some((_, dropped)) = self.deleted.pop_front() {
                self.base = self.base.max(dropped);
            }
        }
    }
}
