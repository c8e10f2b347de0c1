//! One recorded call, and what an upstream holds at the end.
//!
//! Each written value is unique over the run. A key holds the list of the
//! values written to it, oldest first, and a read answers the whole list, so
//! that a lost, doubled or reordered write is seen.

use oleander_core::time::Span;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use serde::Deserialize;
use serde::Serialize;

/// `Call` is one request of a caller and what came of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The number of the call, unique in the run.
    pub id: u64,
    /// The session that sent it.
    pub session: u64,
    /// The VM that it was sent to.
    pub vm: String,
    /// The workspace whose key came with it.
    pub workspace: String,
    /// The database of its route.
    pub database: String,
    /// What was asked for.
    pub operation: Operation,
    /// The weight of its kind in the measures.
    pub weight: u32,
    /// The time at which it was sent, in microseconds since the start of the run.
    pub invoked: u64,
    /// The time at which its outcome was known, in microseconds since the start of the run.
    pub answered: u64,
    /// What came of it.
    pub outcome: Outcome,
}

/// `Operation` is what a call asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Reads the values of a key.
    Read {
        /// The key.
        key: String,
        /// The age of data that the read accepts, in microseconds; `None` asks for the session's guarantee.
        age: Option<u64>,
    },
    /// Appends a value to a key; must run at most once.
    Write(KeyValue),
    /// Appends several values in one transaction; the outcome is that of the commit.
    Transaction(Vec<KeyValue>),
}

/// `KeyValue` is a value and the key that it is written to.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, unique over the run.
    pub value: String,
}

/// `Outcome` is what came of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The call was answered.
    Answered {
        /// The values that a read found, oldest first; empty for a write.
        values: Vec<String>,
        /// `true` if a replica served it.
        replica: bool,
    },
    /// The call was refused or failed.
    Refused {
        /// The stable code.
        code: RefusalCode,
        /// Whether the request may have run.
        verdict: Verdict,
        /// The time after which the caller was asked to come back, in microseconds.
        retry_after: Option<u64>,
    },
    /// The connection to the VM broke or no answer came; the request may have run.
    Lost,
}

/// `Applied` is a write in the log of an upstream at the end of the run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// The database.
    pub database: String,
    /// The workspace for which it was written.
    pub workspace: String,
    /// The value and its key.
    pub write: KeyValue,
    /// The number of the upstream transaction that wrote it.
    pub transaction: u64,
}

impl Call {
    /// Gets the time from the sending of the call until its outcome was known.
    pub fn latency(&self) -> Span {
        Span(self.answered.saturating_sub(self.invoked))
    }
}

impl Outcome {
    /// Gets the verdict on the call.
    pub fn verdict(&self) -> Verdict {
        match self {
            Outcome::Answered { .. } => Verdict::Ran,
            Outcome::Refused { verdict, .. } => *verdict,
            Outcome::Lost => Verdict::MayHaveRun,
        }
    }
}
