//! What a caller sends in a session that is a connection.

use oleander_core::statement::Access;

/// `Command` is one statement of a caller. Texts are kept as they came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Opens a transaction.
    Begin {
        /// `true` if it only reads, so that a replica may serve it.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads.
    Read(String),
    /// Writes.
    Write(String),
    /// Sets a value of the session.
    Set {
        /// The name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The name.
        name: String,
        /// Whether the statement reads or writes.
        access: Access,
        /// The statement.
        shape: String,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name.
        name: String,
        /// The arguments.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Close {
        /// The name.
        name: String,
    },
}
