//! Errors of commands and the exit codes of the process.

use oleander_config::edit::EditError;
use oleander_config::problems::Problem;
use oleander_core::ids::ChangeId;
use oleander_core::verdict::Verdict;
use oleander_store::configuration::PublishError;
use strum::Display;
use strum::EnumIter;

/// `Result` is the result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// `Exit` is the exit code of the process; its name in kebab case is the `error` of the JSON
/// output.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Exit {
    /// The command has succeeded.
    Done = 0,
    /// A file cannot be read, or a section or the whole configuration is not valid.
    Invalid = 1,
    /// The arguments are wrong, or name something that does not exist.
    Usage = 2,
    /// Another edit has changed the section since the text that the edit is based on.
    Conflict = 3,
    /// The store or a VM cannot be reached; nothing has changed.
    Unreachable = 4,
    /// The change may have been published; running again with the same change identifier tells.
    UnknownOutcome = 5,
}

/// `Error` is the reason why a command failed.
#[derive(Debug)]
pub enum Error {
    /// The configuration is not valid; holds every problem found.
    Invalid(Vec<Problem>),
    /// A file cannot be read or is too large.
    File(String),
    /// The arguments are wrong, or name something that does not exist.
    Usage(String),
    /// Another edit has changed the section; holds the hash of its published text, or `None` if the
    /// section is not in the store.
    Conflict(Option<String>),
    /// The store or a VM cannot be reached, or did not answer as expected.
    Unreachable(String),
    /// The change with this identifier may have been published; holds the reason for the doubt.
    UnknownOutcome(ChangeId, String),
}

impl Error {
    /// Returns the exit code of a process that ends with this error.
    pub fn exit_code(&self) -> Exit {
        match self {
            Error::Invalid(_) | Error::File(_) => Exit::Invalid,
            Error::Usage(_) => Exit::Usage,
            Error::Conflict(_) => Exit::Conflict,
            Error::Unreachable(_) => Exit::Unreachable,
            Error::UnknownOutcome(..) => Exit::UnknownOutcome,
        }
    }

    /// Converts the error of a failed publication of `change`.
    pub fn from_publish(change: ChangeId, error: PublishError<Vec<Problem>>) -> Self {
        match error {
            PublishError::Conflict(hash) => Error::Conflict(hash.map(|hash| hash.to_string())),
            PublishError::Rejected(problems) => Error::Invalid(problems),
            PublishError::Store(error) if error.verdict() == Verdict::NotRun => {
                unreachable_error(error)
            }
            PublishError::Store(error) => Error::UnknownOutcome(change, error.to_string()),
        }
    }
}

/// Returns an `Error::Unreachable` with a reason.
pub fn unreachable_error(reason: impl std::fmt::Display) -> Error {
    Error::Unreachable(reason.to_string())
}

/// Returns an `Error::Usage` with a reason.
pub fn usage_error(reason: impl Into<String>) -> Error {
    Error::Usage(reason.into())
}

impl From<EditError> for Error {
    fn from(error: EditError) -> Self {
        usage_error(error.to_string())
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Invalid(problems) => {
                write!(f, "oleanderctl: {} problems", problems.len())?;
                problems.iter().try_for_each(|problem| write!(f, "\n{problem}"))
            }
            Error::File(reason) | Error::Usage(reason) => write!(f, "oleanderctl: {reason}"),
            Error::Conflict(Some(hash)) => {
                write!(f, "oleanderctl: another edit has changed the section to {hash}")
            }
            Error::Conflict(None) => f.write_str("oleanderctl: the section is not in the store"),
            Error::Unreachable(reason) => write!(f, "oleanderctl: unreachable: {reason}"),
            Error::UnknownOutcome(change, reason) => write!(
                f,
                "oleanderctl: the outcome is unknown: {reason}; run again with --change {:016x}",
                change.0
            ),
        }
    }
}

impl std::error::Error for Error {}
