//! The session token and its merge.

use oleander_core::ids::DatabaseId;
use oleander_core::ids::WorkspaceId;
use oleander_core::terms::LogPoint;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::errors;
use crate::errors::Result;

/// The maximum number of marks of a token.
pub const MAX_MARKS: usize = 64;

/// `SeenPoint` is a log point that a session has seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SeenPoint {
    /// The log point.
    pub point: LogPoint,
    /// `true` if a majority of the group's instances held the point, so that every later term
    /// includes it.
    pub durable: bool,
}

/// `Mark` is the high-water mark of a session for one database in one term.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The database.
    pub database: DatabaseId,
    /// The furthest point that the session has seen in the term.
    pub seen: SeenPoint,
}

/// `Token` records what a session has seen of each database.
///
/// A token has one mark for each database and term. The mark of an older term stays until an answer
/// has proved that the newer term includes it; a merge alone cannot tell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Token {
    workspace: WorkspaceId,
    marks: SmallVec<[Mark; 2]>,
}

impl SeenPoint {
    /// Returns the further of two points of the same term. Equal points are durable if one of them
    /// is.
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
    /// Creates the token of a session that has seen nothing.
    pub fn new(workspace: WorkspaceId) -> Self {
        Self { workspace, marks: SmallVec::new() }
    }

    /// Returns the workspace that the token belongs to.
    pub fn workspace(&self) -> WorkspaceId {
        self.workspace
    }

    /// Returns the marks, ordered by database and term, at most one for each pair.
    pub fn marks(&self) -> &[Mark] {
        &self.marks
    }

    /// Returns the points of `database` that an answer must include.
    pub fn seen(&self, database: DatabaseId) -> SmallVec<[SeenPoint; 1]> {
        let of_database = self.marks.iter().filter(|mark| mark.database == database);
        of_database.map(|mark| mark.seen).collect()
    }

    /// Returns `true` if the point of an answer of `database` can be recorded.
    ///
    /// The entry VM checks this before a request runs and refuses the request otherwise, since the
    /// session's next read could miss a point that was not recorded.
    pub fn has_room(&self, database: DatabaseId) -> bool {
        self.marks.len() < MAX_MARKS || self.marks.iter().any(|mark| mark.database == database)
    }

    /// Records the point of an answer that was proved to include all marks of `database`.
    ///
    /// Marks of older terms are removed, since the answer includes them.
    ///
    /// # Errors
    ///
    /// Returns `Error::TooLarge` if the token has no room; see `has_room`.
    pub fn observe(&mut self, database: DatabaseId, seen: SeenPoint) -> Result<()> {
        if !self.has_room(database) {
            return errors::too_large("session: the token holds too many databases");
        }
        let term = seen.point.term;
        self.marks.retain(|mark| mark.database != database || term <= mark.seen.point.term);
        self.put(Mark { database, seen })
    }

    /// Adds all marks of `other`. The order of merges does not matter.
    ///
    /// # Errors
    ///
    /// Returns `Error::WrongWorkspace` if the tokens belong to different workspaces, and
    /// `Error::TooLarge` if they hold too many marks together; `self` may then hold a part of the
    /// marks of `other` and must not be used any more.
    pub fn merge(&mut self, other: &Token) -> Result<()> {
        if self.workspace != other.workspace {
            return Err(errors::Error::WrongWorkspace);
        }
        for mark in &other.marks {
            self.put(*mark)?;
        }
        Ok(())
    }

    /// Adds a mark, or advances the existing mark of its database and term.
    ///
    /// # Errors
    ///
    /// Returns `Error::TooLarge` if the mark is new and the token is full.
    pub(crate) fn put(&mut self, mark: Mark) -> Result<()> {
        match self.marks.binary_search_by_key(&mark.key(), Mark::key) {
            Ok(index) => self.marks[index].seen = self.marks[index].seen.further(mark.seen),
            Err(_) if self.marks.len() == MAX_MARKS => {
                return errors::too_large("session: the token holds too many marks");
            }
            Err(index) => self.marks.insert(index, mark),
        }
        Ok(())
    }
}
