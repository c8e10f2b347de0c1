//! The session token and its merge.

use oleander_core::ids::DatabaseId;
use oleander_core::ids::WorkspaceId;
use oleander_core::terms::LogPoint;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::errors;
use crate::errors::Result;

/// The number of marks that a token holds at most.
pub const MAX_MARKS: usize = 64;

/// `SeenPoint` is a log point that a session has seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SeenPoint {
    /// The log point.
    pub point: LogPoint,
    /// `true` if a majority of the group's instances held the point: every later term includes it.
    pub durable: bool,
}

/// `Mark` is what a session has seen of one database in one term.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The database.
    pub database: DatabaseId,
    /// The furthest point seen in the term.
    pub seen: SeenPoint,
}

/// `Token` is a session's history as the caller carries it.
///
/// A token has one mark for each database and term. The marks of an older term
/// stay until an answer has proved that the newer term includes them; the merge
/// alone cannot know that.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Token {
    workspace: WorkspaceId,
    marks: SmallVec<[Mark; 2]>,
}

impl SeenPoint {
    /// Gets the further of two points of the same term.
    fn further(self, other: SeenPoint) -> SeenPoint {
        match self.point.position.cmp(&other.point.position) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => {
                SeenPoint { point: self.point, durable: self.durable | other.durable }
            }
        }
    }
}

impl Mark {
    fn key(&self) -> (DatabaseId, oleander_core::terms::Term) {
        (self.database, self.seen.point.term)
    }
}

impl Token {
    /// Makes the token of a session that has seen nothing.
    pub fn new(workspace: WorkspaceId) -> Self {
        Self { workspace, marks: SmallVec::new() }
    }

    /// Gets the workspace that the token belongs to.
    pub fn workspace(&self) -> WorkspaceId {
        self.workspace
    }

    /// Gets the marks, ordered by database and term, at most one each.
    pub fn marks(&self) -> &[Mark] {
        &self.marks
    }

    /// Gets the points of `database` that an answer must include.
    pub fn seen(&self, database: DatabaseId) -> SmallVec<[SeenPoint; 1]> {
        let of_database = self.marks.iter().filter(|mark| mark.database == database);
        of_database.map(|mark| mark.seen).collect()
    }

    /// Returns `true` if an answer of `database` can be recorded.
    ///
    /// An entry VM asks before the request runs and refuses it otherwise, since a
    /// point that is not recorded could be missed by the session's next read.
    pub fn has_room(&self, database: DatabaseId) -> bool {
        self.marks.len() < MAX_MARKS || self.marks.iter().any(|mark| mark.database == database)
    }

    /// Records the point of an answer that was proved to include all the marks of `database`.
    ///
    /// Marks of older terms are dropped, since the answer includes them.
    ///
    /// # Errors
    ///
    /// Fails if the token has no room; see `has_room`.
    pub fn observe(&mut self, database: DatabaseId, seen: SeenPoint) -> Result<()> {
        if !self.has_room(database) {
            return errors::too_large("session: the token holds too many databases");
        }
        let term = seen.point.term;
        self.marks.retain(|mark| mark.database != database || term <= mark.seen.point.term);
        self.put(Mark { database, seen })
    }

    /// Adds all that `other` has seen. The order of merges does not matter.
    ///
    /// # Errors
    ///
    /// Fails if the tokens are of different workspaces or hold too many marks
    /// together; `self` may then hold a part of the marks and is to be dropped.
    pub fn merge(&mut self, other: &Token) -> Result<()> {
        if self.workspace != other.workspace {
            return Err(errors::Error::WrongWorkspace);
        }
        for mark in &other.marks {
            self.put(*mark)?;
        }
        Ok(())
    }

    /// Adds a mark or moves the mark of its database and term forward.
    pub(crate) fn put(&mut self, mark: Mark) -> Result<()> {
        match self.marks.binary_search_by_key(&mark.key(), Mark::key) {
            Ok(at) => self.marks[at].seen = self.marks[at].seen.further(mark.seen),
            Err(_) if self.marks.len() == MAX_MARKS => {
                return errors::too_large("session: the token holds too many marks");
            }
            Err(at) => self.marks.insert(at, mark),
        }
        Ok(())
    }
}
