//! The state of a session that is a connection: values, prepared statements and the transaction.

use std::collections::BTreeMap;
use std::collections::HashMap;

use oleander_core::terms::LogPoint;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

use crate::command::Command;
use crate::work::Prepared;
use crate::work::Work;

/// The maximum number of values, and likewise of prepared statements, of one session; it bounds the
/// memory of the session.
pub const MAX_NAMES: usize = 1_024;

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
#[derive(Clone, Debug, Default)]
pub struct SessionState {
    values: BTreeMap<String, String>,
    prepared: HashMap<String, Prepared>,
    phase: TransactionPhase,
    written: Option<LogPoint>,
}

impl SessionState {
    /// Returns the state of the transaction.
    pub fn transaction(&self) -> TransactionPhase {
        self.phase
    }

    /// Returns the values of the session, ordered by name.
    pub fn values(&self) -> Vec<(String, String)> {
        self.values.iter().map(|(name, value)| (name.clone(), value.clone())).collect()
    }

    /// Returns the log point of the session's last commit with a known point; `None` if there is
    /// none.
    pub fn written(&self) -> Option<LogPoint> {
        self.written
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
                self.prepared.remove(&name);
                Step::Done
            }
        }
    }

    /// Records that a statement succeeded; `point` is the log point after it, if known.
    pub fn succeeded(&mut self, work: &Work, point: Option<LogPoint>) {
        match self.phase {
            TransactionPhase::Idle => {
                if work.is_write() {
                    self.record_write(point);
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
                    self.record_write(point);
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
        self.values.insert(name, value);
        Step::Done
    }

    fn prepare(&mut self, name: String, prepared: Prepared) -> Step {
        if MAX_NAMES <= self.prepared.len() && !self.prepared.contains_key(&name) {
            return refuse(RefusalCode::BadRequest, "the session holds too many statements");
        }
        self.prepared.insert(name, prepared);
        Step::Done
    }

    fn record_write(&mut self, point: Option<LogPoint>) {
        // A promotion may have dropped the earlier point, so the newer one replaces it even if it
        // is not further.
        self.written = point.or(self.written);
    }
}

fn refuse(code: RefusalCode, detail: &str) -> Step {
    Step::Refuse(Refusal::not_run(code, detail))
}
