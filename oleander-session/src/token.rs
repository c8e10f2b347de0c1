//! The session token and its merge.

use oleander_core::ids::DatabaseId;
use oleander_core::ids::WorkspaceId;
use oleander_core::terms::LogPoint;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// The number of databases that a token remembers.
pub const MAX_MARKS: usize = 16;

/// `Mark` is the furthest log point of one database that a session has seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The database.
    pub database: DatabaseId,
    /// The log point.
    pub point: LogPoint,
}

/// `Token` is a session's history as the caller carries it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// The workspace that the token belongs to.
    pub workspace: WorkspaceId,
    /// The marks, ordered by database, one each.
    pub marks: SmallVec<[Mark; 2]>,
}
