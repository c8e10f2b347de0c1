//! Requests from an entry VM to the home of an instance for a session, and the answers.

use oleander_core::budget::HeldBytes;
use oleander_core::ids::TransactionId;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
use oleander_core::places::Regions;
use oleander_core::statement::Access;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use serde::Deserialize;
use serde::Serialize;

/// `Prepared` is a prepared statement of a session, without the name that the session gave it.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Prepared {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// The text of the statement.
    pub shape: String,
}

/// `Work` is a statement that an instance has to run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// Runs a statement that reads.
    Read(String),
    /// Runs a statement that may write.
    Write(String),
    /// Executes a prepared statement.
    Execute {
        /// The prepared statement.
        prepared: Prepared,
        /// The text of the arguments.
        arguments: String,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
}

impl Work {
    /// Returns `true` if the statement may change data. A commit always counts as a write.
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

/// `Scope` is the transaction in which a statement runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Scope {
    /// The statement runs outside a transaction.
    Single,
    /// The statement is the first of a transaction, which is opened before it.
    First {
        /// `true` if the transaction only reads.
        read_only: bool,
    },
    /// The statement belongs to an open transaction.
    Within(TransactionId),
}

/// `Freshness` tells which commits the data of a read must include.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Freshness {
    /// `true` if the data must include all commits; only the primary can serve such a read.
    pub latest: bool,
    /// The data must include all commits that are older than this when the read arrives; `None`
    /// sets no bound.
    pub age: Option<Span>,
    /// The log point of the session's own last commit, which the data must include; `None` if there
    /// is none.
    pub seen: Option<LogPoint>,
}

/// `HomeRequest` is a request to the home of an instance to run a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeRequest {
    /// The caller's identifier of the statement.
    pub statement: String,
    /// The name of the caller's workspace.
    pub workspace: String,
    /// The name of the instance that runs the statement.
    pub instance: String,
    /// The values of the session, in the order of their names.
    pub values: Vec<(String, String)>,
    /// The statement.
    pub work: Work,
    /// The transaction in which the statement runs.
    pub scope: Scope,
    /// The freshness that a read requires; in a transaction only that of the first statement
    /// counts.
    pub freshness: Freshness,
    /// The time within which the statement must be answered.
    pub limit: Span,
    /// The time within which the statement must start; it is refused after that. A home that
    /// serves levels takes it as the time after which the answer is late: it puts the statement
    /// behind the others of its level and refuses it only if it cannot be answered within `limit`.
    pub patience: Span,
    /// The time for which the transaction may be idle between statements.
    pub rest: Span,
    /// The urgency of the operation that the statement belongs to.
    pub level: Level,
    /// The regions in which the statement may run. Besides the entry VM, only VMs in these regions
    /// may receive it.
    pub regions: Regions,
    /// What the home takes from the workspace's rate before it runs the statement; `None` if
    /// nothing is due: the operation has been admitted before.
    pub charge: Option<RateCharge>,
}

/// `RateCharge` is what an operation takes from the rate of its workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RateCharge {
    /// The tokens.
    pub cost: u32,
    /// The urgency among the requests of the same workspace.
    pub level: Level,
}

/// `HomeAnswer` is the result of a statement that succeeded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HomeAnswer {
    /// The rows of the result.
    pub rows: Vec<String>,
    /// The signature that the instance sent with its answer, passed on to the caller unchanged.
    pub signature: String,
    /// The point of the instance's log after the statement; `None` if the instance did not tell it.
    pub point: Option<LogPoint>,
    /// The open transaction that the statement belongs to; `None` if there is none.
    pub transaction: Option<TransactionId>,
    /// The time spent in the home's queue.
    pub queued: Span,
    /// The levels that the home admits now.
    pub horizon: Horizon,
    /// What the rows hold of this VM's budget of answers.
    #[serde(skip)]
    pub held: HeldBytes,
}
