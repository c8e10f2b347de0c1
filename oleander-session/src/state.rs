//! The state of a session that is a connection: values, prepared statements and the transaction.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use oleander_core::ids::DatabaseId;
use oleander_core::terms::LogPoint;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use smallvec::SmallVec;

use crate::budget::ENTRY_BYTES;
use crate::budget::Holding;
use crate::budget::SessionBudget;
use crate::command::Command;
use crate::work::Prepared;
use crate::work::Work;

/// The maximum number of values, and likewise of prepared statements, of one session. Their size is
/// bounded by `budget`.
pub const MAX_NAMES: usize = 1_024;

/// The maximum number of databases of which a session keeps its last commit. A session writes to
/// another database only if its route moves.
pub const MAX_WRITTEN: usize = 16;

/// `OwnCommits` tells which commits of its own a session's reads of a database must include.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnCommits {
    /// The session has not written to the database.
    None,
    /// All commits up to this point of the database's log.
    UpTo(LogPoint),
    /// The session may have written to the database, but the point is not known. Only a read of the
    /// latest data includes its commits.
    Unknown,
}

/// `TransactionPhase` is the state of the session's transaction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TransactionPhase {
    /// No transaction is open.
    #[default]
    Idle,
    /// The caller has opened a transaction, but no statement of it has run on an instance yet.
    Begun {
        /// `true` if the transaction only reads.
        read_only: bool,
    },
    /// The transaction is open on an instance.
    Open {
        /// `true` if the transaction only reads.
        read_only: bool,
        /// `true` once a statement of the transaction may have changed data.
        wrote: bool,
    },
    /// The transaction has failed and is rolled back; only a commit or rollback is accepted.
    Failed,
}

/// `Step` is the next step that a command requires.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The command is complete, and no instance is involved.
    Done,
    /// The transaction has ended for the caller; the home has to roll it back.
    Abandon,
    /// An instance has to run this statement.
    Run(Work),
    /// The command is refused.
    Refuse(Refusal),
}

/// `SessionState` is the state that the entry VM keeps for one connection.
#[derive(Debug, Default)]
pub struct SessionState {
    /// What the values and prepared statements hold of the budget.
    holding: Holding,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, Prepared>,
    phase: TransactionPhase,
    /// The databases that the session has written to, the latest last, each with the point of its last
    /// commit there; `None` if the point is not known.
    written: SmallVec<[(DatabaseId, Option<LogPoint>); 1]>,
    /// `true` once a database had to be dropped from `written`.
    forgotten: bool,
}

impl SessionState {
    /// Creates the state of a session that shares a budget with others.
    pub fn new(budget: Arc<SessionBudget>) -> Self {
        Self { holding: Holding::new(budget), ..Self::default() }
    }

    /// Returns the state of the transaction.
    pub fn transaction(&self) -> TransactionPhase {
        self.phase
    }

    /// Returns the values of the session, ordered by name.
    pub fn values(&self) -> Vec<(String, String)> {
        self.values.iter().map(|(name, value)| (name.clone(), value.clone())).collect()
    }

    /// Returns which commits of its own a read of `database` must include.
    pub fn own_commits(&self, database: DatabaseId) -> OwnCommits {
        match self.written.iter().find(|(written, _)| *written == database) {
            Some((_, Some(point))) => OwnCommits::UpTo(*point),
            Some((_, None)) => OwnCommits::Unknown,
            None if self.forgotten => OwnCommits::Unknown,
            None => OwnCommits::None,
        }
    }

    /// Handles a command and returns the next step.
    pub fn handle(&mut self, command: Command) -> Step {
        if self.phase == TransactionPhase::Failed
            && !matches!(command, Command::Commit | Command::Rollback)
        {
            return refuse(RefusalCode::BadRequest, "the transaction has failed; end it first");
        }
        match command {
            Command::Begin { read_only } => self.begin(read_only),
            Command::Commit => self.commit(),
            Command::Rollback => self.rollback(),
            Command::Read(text) => Step::Run(Work::Read(text)),
            Command::Write(text) => Step::Run(Work::Write(text)),
            Command::Set { name, value } => self.set(name, value),
            Command::Prepare { name, access, shape } => {
                self.prepare(name, Prepared { access, shape })
            }
            Command::Execute { name, arguments } => match self.prepared.get(&name) {
                Some(prepared) => {
                    Step::Run(Work::Execute { prepared: prepared.clone(), arguments })
                }
                None => refuse(RefusalCode::UnknownStatement, "no statement of this name"),
            },
            Command::Close { name } => {
                if let Some(removed) = self.prepared.remove(&name) {
                    // A session that shrinks is never refused.
                    let _ = self.holding.exchange(entry_bytes(&name, &removed.shape), 0);
                }
                Step::Done
            }
        }
    }

    /// Records that a statement succeeded on `database`; `point` is the log point after it, if known.
    pub fn succeeded(&mut self, work: &Work, database: DatabaseId, point: Option<LogPoint>) {
        match self.phase {
            TransactionPhase::Idle => {
                if work.is_write() {
                    self.record_write(database, point);
                }
            }
            TransactionPhase::Begun { read_only }
            | TransactionPhase::Open { read_only, wrote: false }
                if !work.is_end() =>
            {
                self.phase = TransactionPhase::Open { read_only, wrote: work.is_write() };
            }
            TransactionPhase::Open { wrote, .. } if work.is_end() => {
                self.phase = TransactionPhase::Idle;
                if wrote {
                    self.record_write(database, point);
                }
            }
            TransactionPhase::Begun { .. } if work.is_end() => self.phase = TransactionPhase::Idle,
            TransactionPhase::Begun { .. }
            | TransactionPhase::Open { .. }
            | TransactionPhase::Failed => {}
        }
    }

    /// Records that a statement failed or was refused.
    ///
    /// An open transaction fails with it; a failed commit or rollback ends the transaction.
    pub fn failed(&mut self, work: &Work) {
        match self.phase {
            TransactionPhase::Idle => {}
            TransactionPhase::Begun { .. } | TransactionPhase::Open { .. } if work.is_end() => {
                self.phase = TransactionPhase::Idle;
            }
            TransactionPhase::Begun { .. }
            | TransactionPhase::Open { .. }
            | TransactionPhase::Failed => self.phase = TransactionPhase::Failed,
        }
    }

    fn begin(&mut self, read_only: bool) -> Step {
        if self.phase != TransactionPhase::Idle {
            return refuse(RefusalCode::BadRequest, "a transaction is open");
        }
        self.phase = TransactionPhase::Begun { read_only };
        Step::Done
    }

    fn commit(&mut self) -> Step {
        match self.phase {
            TransactionPhase::Idle => refuse(RefusalCode::BadRequest, "no transaction is open"),
            TransactionPhase::Begun { .. } | TransactionPhase::Open { .. } => {
                Step::Run(Work::Commit)
            }
            TransactionPhase::Failed => {
                self.phase = TransactionPhase::Idle;
                refuse(RefusalCode::TransactionGone, "the transaction was rolled back")
            }
        }
    }

    fn rollback(&mut self) -> Step {
        match std::mem::take(&mut self.phase) {
            TransactionPhase::Idle => refuse(RefusalCode::BadRequest, "no transaction is open"),
            TransactionPhase::Begun { .. } | TransactionPhase::Failed => Step::Done,
            TransactionPhase::Open { .. } => Step::Abandon,
        }
    }

    fn set(&mut self, name: String, value: String) -> Step {
        if MAX_NAMES <= self.values.len() && !self.values.contains_key(&name) {
            return refuse(RefusalCode::BadRequest, "the session holds too many values");
        }
        let removed = self.values.get(&name).map_or(0, |former| entry_bytes(&name, former));
        if let Err(refusal) = self.holding.exchange(removed, entry_bytes(&name, &value)) {
            return Step::Refuse(refusal);
        }
        self.values.insert(name, value);
        Step::Done
    }

    fn prepare(&mut self, name: String, prepared: Prepared) -> Step {
        if MAX_NAMES <= self.prepared.len() && !self.prepared.contains_key(&name) {
            return refuse(RefusalCode::BadRequest, "the session holds too many statements");
        }
        let removed =
            self.prepared.get(&name).map_or(0, |former| entry_bytes(&name, &former.shape));
        if let Err(refusal) = self.holding.exchange(removed, entry_bytes(&name, &prepared.shape)) {
            return Step::Refuse(refusal);
        }
        self.prepared.insert(name, prepared);
        Step::Done
    }

    fn record_write(&mut self, database: DatabaseId, point: Option<LogPoint>) {
        // A promotion may have dropped the earlier point, so the newer one replaces it even if it
        // is not further.
        self.written.retain(|(written, _)| *written != database);
        if self.written.len() == MAX_WRITTEN {
            self.written.remove(0);
            self.forgotten = true;
        }
        self.written.push((database, point));
    }
}

/// Returns what a value or a prepared statement holds of the budget.
fn entry_bytes(name: &str, text: &str) -> usize {
    ENTRY_BYTES + name.len() + text.len()
}

fn refuse(code: RefusalCode, detail: &str) -> Step {
    Step::Refuse(Refusal::not_run(code, detail))
}
