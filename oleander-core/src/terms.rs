//! Terms and log positions of database groups.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// `Term` is the number of one primary's reign over a database group; each promotion has a higher one.
///
/// A promotion at term `t + 1` continues a log that ends in term `t`, or no
/// primary ever held term `t`. A promoter whose best log ends in an older term
/// leaves out the term at which it fenced: it fences again at the next one.
/// The proofs of session history rest on this.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// `Position` is an offset in a database group's log; it only grows within a term.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Position(pub u64);

/// `LogPoint` is a term and a position: a point in a database group's history.
///
/// Points are ordered by term first. A point of an older term may lie on a
/// history that a promotion dropped, so order alone does not prove inclusion.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct LogPoint {
    /// The term in which the position was seen.
    pub term: Term,
    /// The position in the log.
    pub position: Position,
}

/// `Role` is what an instance says it is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// The instance takes writes.
    Primary,
    /// The instance follows a primary.
    Replica,
    /// The instance takes neither writes nor replication until a promotion at its fence term.
    Fenced,
}

/// `InstanceStatus` is an instance's answer to a status question.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The role at the time of the answer.
    pub role: Role,
    /// The last log point that the instance has applied; its term is that of the last entry.
    pub point: LogPoint,
    /// The highest term that the instance has promised to; at least `point.term`.
    pub fence: Term,
    /// The position at which the current term started: history before it is shared with earlier terms.
    pub start: Position,
}
