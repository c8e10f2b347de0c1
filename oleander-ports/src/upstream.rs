//! Connections to the instances of databases.

use std::net::SocketAddr;

use async_trait::async_trait;
use oleander_core::statement::Access;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::verdict::Verdict;
use strum::Display;

/// `Target` names the instance that a connection is to reach.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The address.
    pub address: SocketAddr,
    /// The name of the database.
    pub database: String,
    /// The identifier of the instance; another one at the address refuses the connection.
    pub instance: String,
}

/// `InstanceCommand` is what an instance is asked to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceCommand<'a> {
    /// Opens a transaction; a read-only one may run on a replica.
    Begin {
        /// `true` for a read-only transaction.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads; the text names what.
    Read(&'a str),
    /// Writes; the text names what.
    Write(&'a str),
    /// Sets a value of the connection's session.
    Set {
        /// The name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// The name.
        name: &'a str,
        /// Whether it reads or writes.
        access: Access,
        /// The statement.
        shape: &'a str,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name.
        name: &'a str,
        /// The arguments.
        arguments: &'a str,
    },
    /// Drops all values and prepared statements of the connection's session.
    Reset,
    /// Stops a replica from receiving the log, up to this term.
    StopReceiving(Term),
    /// Lets a replica receive again.
    ResumeReceiving,
}

/// `Message` is one order with what goes before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Message<'a> {
    /// The caller's statement identifier; `None` for statements of our own.
    pub id: Option<&'a str>,
    /// The log point that the instance must have to run a read or to open a transaction.
    pub after: Option<LogPoint>,
    /// The command.
    pub command: InstanceCommand<'a>,
}

impl<'a> Message<'a> {
    /// Makes a message of our own without a condition.
    pub fn internal(command: InstanceCommand<'a>) -> Self {
        Self { id: None, after: None, command }
    }
}

/// `TransactionState` is the state of a connection between statements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A statement of the open transaction failed.
    Failed,
}

/// `Reply` is the whole answer of an instance to one message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The rows.
    pub rows: Vec<String>,
    /// The instance's signature, or why it failed.
    pub outcome: Result<String, Failure>,
    /// The state of the connection after the statement.
    pub state: TransactionState,
    /// The point of the instance's log, where it told one.
    pub point: Option<LogPoint>,
}

/// `Failure` is an error that an instance answered with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The kind.
    pub kind: FailureKind,
    /// The instance's words.
    pub detail: String,
}

/// `FailureKind` is the kind of an instance's error.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FailureKind {
    /// The instance is busy.
    Busy,
    /// The prepared statement is unknown on the connection.
    UnknownStatement,
    /// The instance's log lacks the point asked for.
    Behind,
    /// The instance is not the primary.
    NotPrimary,
    /// Another database or instance stands at the address.
    WrongInstance,
    /// The instance has as many connections as it accepts.
    TooManyConnections,
    /// The statement ran and failed.
    Failed,
    /// The statement ran and took too long.
    TimedOut,
    /// The transaction or the message was not acceptable.
    Malformed,
    /// An error that is not known here.
    Other,
}

impl FailureKind {
    /// Gets the verdict on the statement.
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

/// `LinkError` says why a connection could not be opened or broke.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// No connection was opened.
    Connect(&'static str),
    /// The machine answered that nothing listens at the address: the instance does not run.
    NotListening,
    /// The instance refused the connection.
    Refused(Failure),
    /// The connection had closed before a byte was sent.
    Closed,
    /// The connection broke after bytes were sent, or the answer was malformed.
    Lost(&'static str),
}

impl LinkError {
    /// Gets the verdict on what was sent.
    pub fn verdict(&self) -> Verdict {
        match self {
            LinkError::Lost(_) => Verdict::MayHaveRun,
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
        }
    }
}

/// `Upstreams` opens connections to instances.
#[async_trait]
pub trait Upstreams: Send + Sync {
    /// Gets the last point of the log that an instance has received, from its answer to an order
    /// about receiving; `None` if the answer does not say.
    fn received_point(&self, reply: &Reply) -> Option<LogPoint>;

    /// Opens a connection on behalf of a workspace. The caller limits the time.
    async fn open(&self, target: &Target, workspace: &str) -> Result<Box<dyn Link>, LinkError>;
}

/// `Link` is an open connection to an instance. After an error it must be dropped.
#[async_trait]
pub trait Link: Send + Sync {
    /// Sends all messages at once and gets as many replies, in order. The caller limits the time;
    /// a link whose exchange was not awaited to its end must be dropped.
    async fn exchange(&mut self, messages: &[Message<'_>]) -> Result<Vec<Reply>, LinkError>;

    /// Returns `false` if the far side has closed the connection while it was idle.
    fn is_open(&mut self) -> bool;
}
