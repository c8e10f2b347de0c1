//! The platform's key-value store: compare-and-swap, leases and watches.

use async_trait::async_trait;
use oleander_core::time::Span;
use oleander_core::verdict::Verdict;

/// `StoreRevision` is a revision of the store as a whole; a key that is absent has revision 0.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision(pub u64);

/// `Entry` is a key with its value.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which the value was written.
    pub revision: StoreRevision,
}

/// `ReadResponse` is what one read returned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadResponse {
    /// The revision of the store at the read.
    pub revision: StoreRevision,
    /// The entries that exist, in the order of the request or of their keys.
    pub entries: Vec<Entry>,
}

/// `Expectation` is the revision that a key must have for a commit to take effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Expectation {
    /// The key.
    pub key: String,
    /// The revision of the value that was read; 0 for an absent key.
    pub revision: StoreRevision,
}

/// `Write` is one change of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// `Commit` is a set of writes that take effect together, if all expectations hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Commit {
    /// The expectations.
    pub expected: Vec<Expectation>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// `CommitOutcome` is the answer to a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The writes took effect at this revision.
    Committed(StoreRevision),
    /// An expectation did not hold, and nothing was written.
    Conflict,
}

/// `LeaseId` names a lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId(pub i64);

/// `Change` is one event of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A key was written.
    Put(Entry),
    /// A key was deleted or its lease ended.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: StoreRevision,
    },
}

/// `Changes` is the answer to one watch call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The revision up to which the answer is complete.
    pub revision: StoreRevision,
    /// The changes after the asked revision, oldest first.
    pub changes: Vec<Change>,
}

/// `StoreError` says why a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// The store cannot be reached, or refused the call before it did anything.
    Unavailable,
    /// The call is over the rate that the store accepts.
    OverRate,
    /// No answer came, or a broken one; the call may have been executed or may be later.
    Lost,
    /// The history that the watch asked for is no longer there; read everything anew.
    Compacted,
    /// The lease has ended.
    LeaseEnded,
    /// The store refused the call for good, or answered against its protocol.
    Refused,
}

impl StoreError {
    /// Gets the verdict on a write whose call failed so.
    pub fn verdict(self) -> Verdict {
        match self {
            StoreError::Lost => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// `KeyValueStore` is the store as the product uses it. Each call has a time limit of its own.
#[async_trait]
pub trait KeyValueStore: Send + Sync {
    /// Reads all keys; the result may be no snapshot, so a watch from its revision must follow.
    async fn read_all(&self) -> Result<ReadResponse, StoreError>;

    /// Reads one key; the reading has no entry if the key is absent.
    async fn read(&self, key: &str) -> Result<ReadResponse, StoreError>;

    /// Waits for changes after `after`, for at most `wait`; the answer is empty if there are none.
    async fn watch(&self, after: StoreRevision, wait: Span) -> Result<Changes, StoreError>;

    /// Attempts a commit; its puts are bound to `lease` if there is one.
    async fn commit(
        &self,
        commit: &Commit,
        lease: Option<LeaseId>,
    ) -> Result<CommitOutcome, StoreError>;

    /// Asks for a lease.
    async fn grant(&self, time: Span) -> Result<LeaseId, StoreError>;

    /// Renews a lease; it runs for its full time from the arrival of the call.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease and removes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;
}
