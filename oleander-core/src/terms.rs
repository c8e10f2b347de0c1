//! Terms and log positions of database groups.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// `Term` numbers the periods in which one instance is the primary of a database group; each
/// promotion has a higher one.
///
/// A promotion at term `t + 1` continues a log that ends in term `t`, or no instance was ever
/// primary at term `t`. If the most recent log that a promoter finds ends in an older term, it
/// skips the term at which it fenced and fences again at the next one. The proofs about session
/// history rely on this.
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
/// Points are ordered by term first. A point of an older term may belong to history that a
/// promotion discarded, so a smaller point is not always included in the history of a greater one.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct LogPoint {
    /// The term in which the position was observed.
    pub term: Term,
    /// The position in the log.
    pub position: Position,
}

/// `Role` is the replication role that an instance reports.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// The instance accepts writes.
    Primary,
    /// The instance replicates from a primary.
    Replica,
    /// The instance accepts neither writes nor replication until a promotion at its fence term.
    Fenced,
}

/// `InstanceStatus` is an instance's answer to a status request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The role at the time of the answer.
    pub role: Role,
    /// The last log point that the instance has applied; its term is that of the last entry.
    pub point: LogPoint,
    /// The highest term that the instance has accepted, below which it refuses orders; at least
    /// `point.term`.
    pub fence: Term,
    /// The position at which the current term started. History before it is shared with earlier
    /// terms.
    pub start: Position,
}
