//! The violations that the checks of a history report.

use serde::Serialize;
use strum::Display;
use strum::EnumIter;

/// `Kind` is the kind of a violation.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Display, EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// The history itself is invalid: the number of a call or a written value is not unique.
    MalformedHistory,
    /// An acknowledged write is not in the log at the end of the run.
    LostWrite,
    /// A write is in the log more than once.
    DoubledWrite,
    /// A call with the verdict `not-run` has run.
    FalseNotRun,
    /// The log holds a value that no call wrote, or holds it under another key or database.
    ForeignWrite,
    /// A value was written for a workspace other than the call's.
    WrongWorkspace,
    /// Writes of different calls share an upstream transaction, or the writes of one call are
    /// spread over several transactions or only partly applied.
    MixedTransaction,
    /// An answer holds values of another key, workspace or database, values that no call wrote, or
    /// values that were not written yet.
    WrongAnswer,
    /// The values of an answer are not in log order.
    WrongOrder,
    /// A read lacks an acknowledged write of its own session.
    LostOwnWrite,
    /// A read lacks values that an earlier read of its session returned.
    ReadWentBack,
    /// A read lacks a write that was acknowledged longer ago than the read's maximum age.
    TooOld,
    /// More requests of a workspace ran in a time window than its rate and burst allow.
    RateExceeded,
    /// An instance had more running statements or open connections than its limit.
    LimitExceeded,
}

/// `Violation` is a violated rule, with the call at which it shows.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// The rule that was violated.
    pub kind: Kind,
    /// The number of the call; `None` if the violation does not belong to a single call.
    pub call: Option<u64>,
    /// A description for people.
    pub detail: String,
}

impl Violation {
    /// Creates a violation by the call with the number `call`.
    pub fn of_call(kind: Kind, call: u64, detail: impl Into<String>) -> Self {
        Self { kind, call: Some(call), detail: detail.into() }
    }

    /// Creates a violation that does not belong to a single call.
    pub fn of_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self { kind, call: None, detail: detail.into() }
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.call {
            Some(call) => write!(f, "{}: call {call}: {}", self.kind, self.detail),
            None => write!(f, "{}: {}", self.kind, self.detail),
        }
    }
}
