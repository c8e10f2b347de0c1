//! What an entry VM asks of the home of an instance for a session, and what it gets.

use oleander_core::ids::TransactionId;
use oleander_core::statement::Access;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use serde::Deserialize;
use serde::Serialize;

/// `Prepared` is a prepared statement of a session, without the session's name for it.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Prepared {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// The statement.
    pub shape: String,
}

/// `Work` is a statement that an instance has to run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// Reads.
    Read(String),
    /// Writes.
    Write(String),
    /// Executes a prepared statement.
    Execute {
        /// The prepared statement.
        prepared: Prepared,
        /// The arguments.
        arguments: String,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
}

impl Work {
    /// Returns `true` if the statement may change data.
    pub fn is_write(&self) -> bool {
        match self {
            Work::Read(_) | Work::Rollback => false,
            Work::Write(_) | Work::Commit => true,
            Work::Execute { prepared, .. } => prepared.access.is_write(),
        }
    }

    /// Returns `true` if the statement ends its transaction.
    pub fn is_end(&self) -> bool {
        matches!(self, Work::Commit | Work::Rollback)
    }
}

/// `Scope` says in which transaction a statement runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Scope {
    /// The statement stands alone.
    Single,
    /// The statement is the first of a transaction, which is to be opened before it.
    First {
        /// `true` if the transaction only reads.
        read_only: bool,
    },
    /// The statement belongs to an open transaction.
    Within(TransactionId),
}

/// `Freshness` is what the data of a read must include.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Freshness {
    /// `true` for all commits; only the primary can serve it.
    pub latest: bool,
    /// All commits that are older than this when the read arrives.
    pub age: Option<Span>,
    /// The session's own last commit.
    pub seen: Option<LogPoint>,
}

/// `HomeRequest` is a statement on its way to the home of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeRequest {
    /// The caller's identifier of the statement.
    pub statement: String,
    /// The name of the workspace.
    pub workspace: String,
    /// The instance that is to run the statement.
    pub instance: String,
    /// The values of the session, in the order of their names.
    pub values: Vec<(String, String)>,
    /// The statement.
    pub work: Work,
    /// The transaction.
    pub scope: Scope,
    /// What a read must see; for the statements of a transaction only the first one's counts.
    pub freshness: Freshness,
    /// The time within which the statement must be answered.
    pub limit: Span,
    /// The time within which the statement should start; later it is refused.
    pub patience: Span,
    /// The time for which the transaction may rest between statements.
    pub rest: Span,
}

/// `HomeAnswer` is the result of a statement that ran with success.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HomeAnswer {
    /// The rows.
    pub rows: Vec<String>,
    /// The instance's signature.
    pub signature: String,
    /// The point of the instance's log after the statement.
    pub point: Option<LogPoint>,
    /// The open transaction that the statement belongs to.
    pub transaction: Option<TransactionId>,
    /// The time spent in the home's queue.
    pub queued: Span,
}
