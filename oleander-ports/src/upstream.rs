//! Connections to database instances.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use oleander_core::budget::ByteBudget;
use oleander_core::budget::HeldBytes;
use oleander_core::budget::Holding;
use oleander_core::line::Name;
use oleander_core::line::Tail;
use oleander_core::line::Word;
use oleander_core::statement::Access;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::verdict::Verdict;
use strum::Display;

/// The maximum size of the rows of one exchange, in bytes. A reply of this size fits into one message
/// between VMs.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The size of the rows of an exchange up to which they take nothing of the budget.
pub const FREE_ANSWER_BYTES: usize = 64 << 10;

/// What a row takes beside its text.
const ROW_BYTES: usize = 32;

/// `RowMeter` counts the rows of an exchange while they are read. Above `FREE_ANSWER_BYTES` they are
/// held from a budget that all exchanges share.
#[derive(Debug)]
pub struct RowMeter {
    holding: Holding,
    bytes: usize,
}

impl RowMeter {
    /// Creates a meter that has counted nothing.
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self { holding: Holding::new(budget), bytes: 0 }
    }

    /// Counts a row. After an error the rest of the rows must not be read.
    ///
    /// # Errors
    /// Fails with `TooLarge` if the rows exceed `MAX_ANSWER_BYTES`, and with `NoRoom` if the budget
    /// has not enough left.
    pub fn count(&mut self, row: &str) -> Result<(), LinkError> {
        self.bytes += row.len() + ROW_BYTES;
        if self.bytes <= FREE_ANSWER_BYTES {
            return Ok(());
        }
        if MAX_ANSWER_BYTES < self.bytes {
            return Err(LinkError::TooLarge);
        }
        if self.holding.raise(self.bytes) { Ok(()) } else { Err(LinkError::NoRoom) }
    }

    /// Returns what the counted rows hold.
    pub fn into_held(self) -> HeldBytes {
        self.holding.into()
    }
}

/// `Target` identifies the instance to connect to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The address of the instance.
    pub address: SocketAddr,
    /// The name of the database.
    pub database: Name,
    /// The identifier of the instance. If another instance listens at the address, it refuses the
    /// connection.
    pub instance: Name,
}

/// `InstanceCommand` is a command to an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceCommand<'a> {
    /// Opens a transaction; a read-only one may run on a replica.
    Begin {
        /// `true` for a read-only transaction.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Runs a read; the text is the statement.
    Read(Tail<'a>),
    /// Runs a write; the text is the statement.
    Write(Tail<'a>),
    /// Sets a session setting on the connection.
    Set {
        /// The name of the setting.
        name: Word<'a>,
        /// The value.
        value: Tail<'a>,
    },
    /// Prepares a statement.
    Prepare {
        /// The name under which the connection stores the statement.
        name: Word<'a>,
        /// Whether it reads or writes.
        access: Access,
        /// The text of the statement, without arguments.
        shape: Tail<'a>,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name of the prepared statement.
        name: Word<'a>,
        /// The arguments of this execution, as one text.
        arguments: Tail<'a>,
    },
    /// Resets the connection's session: drops all settings and prepared statements.
    Reset,
    /// Asks for the replication status.
    Status,
    /// Stops a replica from receiving the log from primaries up to this term.
    StopReceiving(Term),
    /// Lets a replica receive the log again.
    ResumeReceiving,
    /// Makes the instance a replica if it acts as the primary of a term before this one.
    StepDown(Term),
}

/// `Message` is a command with its identifier and precondition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Message<'a> {
    /// The caller's statement identifier; `None` for commands of the proxy itself.
    pub id: Option<Word<'a>>,
    /// The log point that the instance must have applied before it runs a read or opens a
    /// transaction; `None` if any state is acceptable.
    pub after: Option<LogPoint>,
    /// The command.
    pub command: InstanceCommand<'a>,
}

impl<'a> Message<'a> {
    /// Returns a message for a command of the proxy itself, without a precondition.
    pub fn internal(command: InstanceCommand<'a>) -> Self {
        Self { id: None, after: None, command }
    }
}

/// `TransactionState` is the transaction state of a connection between statements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A statement of the open transaction failed; only a rollback is possible.
    Failed,
}

/// `Reply` is the complete answer of an instance to one message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The returned rows, one text each.
    pub rows: Vec<String>,
    /// The signature with which the instance completed the command, an opaque text that is passed
    /// to the caller, or the error.
    pub outcome: Result<String, Failure>,
    /// The state of the connection after the statement.
    pub state: TransactionState,
    /// The log point of the instance; `None` if the answer does not contain one.
    pub point: Option<LogPoint>,
    /// What the rows hold of the budget of answers.
    pub held: HeldBytes,
}

/// `Failure` is an error that an instance reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The kind of the error.
    pub kind: FailureKind,
    /// The text of the error as the instance sent it.
    pub detail: String,
}

/// `FailureKind` is the kind of an instance's error.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FailureKind {
    /// The instance is busy.
    Busy,
    /// The connection has no prepared statement of that name.
    UnknownStatement,
    /// The instance has not applied the log point in `Message::after`.
    Behind,
    /// The instance is not the primary.
    NotPrimary,
    /// The instance at the address has another identifier or serves another database.
    WrongInstance,
    /// The instance has reached its connection limit.
    TooManyConnections,
    /// The statement ran and failed.
    Failed,
    /// The statement ran and exceeded the instance's time limit.
    TimedOut,
    /// The message is malformed or not allowed in the current transaction state.
    Malformed,
    /// An error code that this version does not know.
    Other,
}

impl FailureKind {
    /// Returns whether the statement ran, did not run or may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            FailureKind::Busy
            | FailureKind::UnknownStatement
            | FailureKind::Behind
            | FailureKind::NotPrimary
            | FailureKind::WrongInstance
            | FailureKind::TooManyConnections
            | FailureKind::Malformed => Verdict::NotRun,
            FailureKind::Failed | FailureKind::TimedOut => Verdict::Ran,
            FailureKind::Other => Verdict::MayHaveRun,
        }
    }
}

/// `LinkError` is the reason why a connection could not be opened or broke.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// No connection was opened.
    Connect(&'static str),
    /// The host refused the TCP connection because nothing listens at the address, so the instance
    /// is not running.
    NotListening,
    /// The instance refused the connection.
    Refused(Failure),
    /// The connection was closed before a byte was sent.
    Closed,
    /// The connection broke after bytes were sent, or the answer was malformed.
    Lost(&'static str),
    /// The rows of the answer exceed `MAX_ANSWER_BYTES`.
    TooLarge,
    /// All answers together hold as much as they may.
    NoRoom,
}

impl LinkError {
    /// Returns whether the sent messages may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            LinkError::Lost(_) | LinkError::TooLarge | LinkError::NoRoom => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LinkError::Connect(detail) => write!(f, "cannot connect: {detail}"),
            LinkError::NotListening => f.write_str("cannot connect: nothing listens"),
            LinkError::Refused(failure) => write!(f, "refused: {}", failure.kind),
            LinkError::Closed => f.write_str("the instance had closed the connection"),
            LinkError::Lost(detail) => write!(f, "connection lost: {detail}"),
            LinkError::TooLarge => {
                write!(f, "the rows of the answer exceed {MAX_ANSWER_BYTES} bytes")
            }
            LinkError::NoRoom => f.write_str("this VM holds as many large answers as it may"),
        }
    }
}

/// `Upstreams` opens connections to database instances.
#[async_trait]
pub trait Upstreams: Send + Sync {
    /// Returns the last log point that an instance has received, taken from its reply to
    /// [`InstanceCommand::Status`], [`InstanceCommand::StopReceiving`] or
    /// [`InstanceCommand::ResumeReceiving`]; `None` if the reply does not contain it.
    fn received_point(&self, reply: &Reply) -> Option<LogPoint>;

    /// Returns the term that an instance leads, taken from its reply to
    /// [`InstanceCommand::Status`]; `None` if it is a replica or the reply does not contain it.
    fn leading_term(&self, reply: &Reply) -> Option<Term>;

    /// Opens a connection on behalf of `workspace`. It has no time limit; the caller applies one.
    async fn open(&self, target: &Target, workspace: Word<'_>) -> Result<Box<dyn Link>, LinkError>;
}

/// `Link` is an open connection to an instance. It must be dropped after an error.
#[async_trait]
pub trait Link: Send + Sync {
    /// Sends all messages without waiting in between, and returns one reply for each, in order. Each
    /// row is counted by `meter` before the next one is read. It has no time limit; the caller applies
    /// one. A link whose exchange was cancelled must be dropped.
    async fn exchange(
        &mut self,
        messages: &[Message<'_>],
        meter: &mut RowMeter,
    ) -> Result<Vec<Reply>, LinkError>;

    /// Returns `false` if the instance has closed the idle connection or has sent data that no
    /// message asked for.
    fn is_open(&mut self) -> bool;
}
