//! Commands of a caller whose session is a connection.

use oleander_core::statement::Access;

/// `Command` is one command of a caller. Its texts are not parsed or changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Opens a transaction.
    Begin {
        /// `true` if the transaction only reads, so that a replica may serve it.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Runs a statement that reads.
    Read(String),
    /// Runs a statement that may write.
    Write(String),
    /// Sets a value of the session.
    Set {
        /// The name of the value.
        name: String,
        /// The new value, which replaces an earlier one of the same name.
        value: String,
    },
    /// Prepares a statement under a name that is private to the session.
    Prepare {
        /// The name; an earlier statement of the same name is replaced.
        name: String,
        /// Whether the statement reads or writes.
        access: Access,
        /// The text of the statement.
        shape: String,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name under which the statement was prepared.
        name: String,
        /// The text of the arguments.
        arguments: String,
    },
    /// Removes a prepared statement; one that does not exist is no error.
    Close {
        /// The name under which the statement was prepared.
        name: String,
    },
}
