//! Recorded calls, and the writes in the upstreams' logs at the end of a run.
//!
//! Each written value is unique in the run. A key holds the list of the values written to it,
//! oldest first, and a read returns the whole list, so a lost, duplicated or reordered write shows
//! in the answers.

use oleander_core::time::Span;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use serde::Deserialize;
use serde::Serialize;

/// `Call` is one call of a client and its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The number of the call, unique in the run. Violations name it.
    pub id: u64,
    /// The number of the session that sent the call.
    pub session: u64,
    /// The name of the VM that the call was sent to; empty if there was none.
    pub vm: String,
    /// The workspace whose API key the call carried.
    pub workspace: String,
    /// The database that the call's route leads to.
    pub database: String,
    /// The requested operation.
    pub operation: Operation,
    /// The weight of the call in the measures, set by its kind.
    pub weight: u32,
    /// The time at which the call was sent, in microseconds since the start of the run.
    pub invoked: u64,
    /// The time at which the outcome was known, in microseconds since the start of the run.
    pub answered: u64,
    /// The result of the call.
    pub outcome: Outcome,
}

/// `Operation` is the operation that a call requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Reads the values of a key.
    Read {
        /// The key whose list is read.
        key: String,
        /// The maximum age of the data, in microseconds; `None` requests session consistency.
        age: Option<u64>,
    },
    /// Appends a value to a key, at most once.
    Write(KeyValue),
    /// Appends several values in one transaction; the outcome is that of the commit.
    Transaction(Vec<KeyValue>),
}

/// `KeyValue` is a written value and its key.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key to whose list the value is appended.
    pub key: String,
    /// The value, unique in the run.
    pub value: String,
}

/// `Outcome` is the result of a call as its client saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The call was answered with a result.
    Answered {
        /// The values that a read returned, oldest first; empty for a write.
        values: Vec<String>,
        /// `true` if a replica served the call.
        replica: bool,
    },
    /// The call was answered with an error.
    Refused {
        /// The refusal code.
        code: RefusalCode,
        /// Says whether the request may have run.
        verdict: Verdict,
        /// The time after which the client was told to retry, in microseconds; `None` if not told.
        retry_after: Option<u64>,
    },
    /// The connection to the VM broke or no answer came in time; the request may have run.
    Lost,
}

/// `Applied` is a write in an upstream's log at the end of the run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// The database that holds the write.
    pub database: String,
    /// The workspace that the upstream recorded for the write.
    pub workspace: String,
    /// The written value with its key.
    pub write: KeyValue,
    /// The number of the upstream transaction that wrote it.
    pub transaction: u64,
}

impl Call {
    /// Returns the time from the sending of the call until its outcome was known.
    pub fn latency(&self) -> Span {
        Span(self.answered.saturating_sub(self.invoked))
    }
}

impl Outcome {
    /// Returns whether the call ran: an answered call has run, a lost one may have.
    pub fn verdict(&self) -> Verdict {
        match self {
            Outcome::Answered { .. } => Verdict::Ran,
            Outcome::Refused { verdict, .. } => *verdict,
            Outcome::Lost => Verdict::MayHaveRun,
        }
    }
}
