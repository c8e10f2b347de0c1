//! The platform's key-value store: compare-and-swap, leases and watches.

use async_trait::async_trait;
use oleander_core::time::Span;
use oleander_core::verdict::Verdict;

/// The number of low bits of a `StoreRevision` that count the changes; the era is above them.
const CHANGE_BITS: u32 = 40;

/// `StoreRevision` is a revision of the whole store, which grows with each change. An absent key
/// has revision 0.
///
/// A store that was restored from a copy gives revisions out again, in a new era. The era takes the
/// high bits of the number, so that revisions, and the fencing tokens made from them, grow across
/// eras as well. A store without eras has era 0.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// Creates the revision of the change `change` in an era; `None` if either is out of range.
    pub fn new(era: u64, change: u64) -> Option<Self> {
        let is_valid = change >> CHANGE_BITS == 0 && era >> (u64::BITS - CHANGE_BITS) == 0;
        is_valid.then_some(Self(era << CHANGE_BITS | change))
    }

    /// Returns the era of the store in which the revision was given out.
    pub fn era(self) -> u64 {
        self.0 >> CHANGE_BITS
    }

    /// Returns the number by which the store knows the revision within its era.
    pub fn change(self) -> u64 {
        self.0 & ((1 << CHANGE_BITS) - 1)
    }
}

/// `Entry` is a key with its value and revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which the value was written.
    pub revision: StoreRevision,
}

/// `ReadResponse` is the result of a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadResponse {
    /// The revision of the store at the time of the read.
    pub revision: StoreRevision,
    /// The entries that exist, in the order of the requested keys or, if none were named, in key
    /// order.
    pub entries: Vec<Entry>,
}

/// `Expectation` is the revision that a key must have for a commit to take effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Expectation {
    /// The key.
    pub key: String,
    /// The revision of the key's value as last read; 0 if the key must be absent.
    pub revision: StoreRevision,
}

/// `Write` is one write of a commit.
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

/// `Commit` is a transaction: its writes take effect together, and only if all expectations hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Commit {
    /// The revisions that the keys must have.
    pub expected: Vec<Expectation>,
    /// The writes to apply.
    pub writes: Vec<Write>,
}

/// `CommitOutcome` is the result of a commit that the store answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The writes took effect at this revision.
    Committed(StoreRevision),
    /// An expectation did not hold, and nothing was written.
    Conflict,
}

/// `LeaseId` identifies a lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId {
    /// The number of the lease, which a restored store may give out again.
    pub number: i64,
    /// The era of the store in which the lease was granted.
    pub era: u64,
}

/// `LeaseGrant` is a lease that the store has granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: LeaseId,
    /// The TTL that applies, which may differ from the one that was requested.
    pub ttl: Span,
}

/// `Change` is one event of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A key was written.
    Put(Entry),
    /// A key was deleted, or it was removed because its lease ended.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: StoreRevision,
    },
}

/// `Changes` is the result of one watch call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The revision up to which `changes` is complete; the next watch continues after it.
    pub revision: StoreRevision,
    /// The changes after the requested revision, oldest first.
    pub changes: Vec<Change>,
}

/// `StoreError` is the reason why a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// The store cannot be reached, or refused the call before executing it.
    Unavailable,
    /// The store refused the call because of its rate limit.
    OverRate,
    /// No answer or a malformed one arrived; the call may have been executed or may still be.
    Lost,
    /// The store has discarded the changes that the watch asked for, or was restored from a copy
    /// that lacks them; all keys must be read again.
    Compacted,
    /// The lease of the call has expired or was revoked.
    LeaseEnded,
    /// The store rejected the call, and a retry would not help, or its answer violates the
    /// protocol.
    Refused,
}

impl StoreError {
    /// Returns whether a write that failed with this error may have been executed.
    pub fn verdict(self) -> Verdict {
        match self {
            StoreError::Lost => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// `KeyValueStore` is a client of the platform's key-value store. Implementations limit the time of
/// each call.
#[async_trait]
pub trait KeyValueStore: Send + Sync {
    /// Reads all keys. The entries may be newer than the returned revision, so the caller must
    /// watch from that revision to reach a consistent state.
    async fn read_all(&self) -> Result<ReadResponse, StoreError>;

    /// Reads one key. If the key is absent, the response has no entry and its revision may be 0.
    async fn read(&self, key: &str) -> Result<ReadResponse, StoreError>;

    /// Waits up to `wait` for changes after the revision `after`; the result is empty if there are
    /// none.
    async fn watch(&self, after: StoreRevision, wait: Span) -> Result<Changes, StoreError>;

    /// Applies a commit if its expectations hold. Keys that it puts are attached to `lease` if one
    /// is given, and are removed when the lease ends.
    async fn commit(
        &self,
        commit: &Commit,
        lease: Option<LeaseId>,
    ) -> Result<CommitOutcome, StoreError>;

    /// Creates a lease, requesting that it expire after `ttl` without renewal. The store may apply
    /// another TTL, which the grant tells; it counts from the arrival of the call at the store.
    async fn grant(&self, ttl: Span) -> Result<LeaseGrant, StoreError>;

    /// Renews a lease, whose TTL counts from the arrival of the call at the store. Returns the TTL
    /// that applies from now on; `None` if the answer does not tell, and it stays as it was.
    async fn renew(&self, lease: LeaseId) -> Result<Option<Span>, StoreError>;

    /// Ends a lease at once and removes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;
}
