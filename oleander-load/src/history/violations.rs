//! What a check can find wrong with a history.

use serde::Serialize;
use strum::Display;
use strum::EnumIter;

/// `Kind` is a rule that a history can break.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Display, EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// The record itself is not usable: a call or a value comes twice.
    MalformedHistory,
    /// An acknowledged write is not in the log at the end.
    LostWrite,
    /// A write is in the log more than once.
    DoubledWrite,
    /// A call whose verdict was "not run" has run.
    FalseNotRun,
    /// The log holds a value that no call wrote, or under another key than asked for.
    ForeignWrite,
    /// A row was written for another workspace than the call's.
    WrongWorkspace,
    /// Writes of different calls share an upstream transaction, or one call's are spread or cut.
    MixedTransaction,
    /// An answer holds values that are not of the key and workspace asked for, or not written yet.
    WrongAnswer,
    /// An answer's values are not in the order in which the log holds them.
    WrongOrder,
    /// A read lacks a write that its session was told had run.
    LostOwnWrite,
    /// A read lacks what an earlier read of its session had.
    ReadWentBack,
    /// A read lacks a write that was acknowledged longer ago than the age it accepts.
    TooOld,
    /// More requests of a workspace ran in a window than its burst and rate allow.
    RateExceeded,
    /// An upstream saw more statements or connections at once than its limit.
    LimitExceeded,
}

/// `Violation` is one place where a history breaks a rule.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub kind: Kind,
    /// The call where it shows, if it is one call's.
    pub call: Option<u64>,
    /// What was found.
    pub detail: String,
}

impl Violation {
    /// Makes a violation that shows at a call.
    pub fn at(kind: Kind, call: u64, detail: impl Into<String>) -> Self {
        Self { kind, call: Some(call), detail: detail.into() }
    }

    /// Makes a violation that is not one call's.
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
