//! Errors of the command line and their exit codes.

use oleander_config::edit::EditError;
use oleander_config::problems::Problem;
use oleander_core::ids::ChangeId;
use oleander_core::verdict::Verdict;
use oleander_store::configuration::PublishError;
use strum::Display;
use strum::EnumIter;

/// `Result` is the result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// `Exit` is the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Exit {
    /// The command has done what it was asked for.
    Done = 0,
    /// A file, a section or the whole configuration is not valid.
    Invalid = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// Another edit has changed the section.
    Conflict = 3,
    /// The store or a VM cannot be reached; nothing has changed.
    Unreachable = 4,
    /// The change may be in or not; run again with the same change to find out.
    UnknownOutcome = 5,
}

/// `Error` says why a command failed.
#[derive(Debug)]
pub enum Error {
    /// The configuration is not valid.
    Invalid(Vec<Problem>),
    /// A file cannot be read.
    File(String),
    /// The arguments do not fit together.
    Usage(String),
    /// Another edit has changed the section, which now has this hash.
    Conflict(Option<String>),
    /// The store or a VM cannot be reached.
    Unreachable(String),
    /// The change with this identifier may be in or not.
    UnknownOutcome(ChangeId, String),
}

impl Error {
    /// Gets the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Invalid(_) | Error::File(_) => Exit::Invalid,
            Error::Usage(_) => Exit::Usage,
            Error::Conflict(_) => Exit::Conflict,
            Error::Unreachable(_) => Exit::Unreachable,
            Error::UnknownOutcome(..) => Exit::UnknownOutcome,
        }
    }

    /// Makes the error of a publication that failed.
    pub fn from_publish(change: ChangeId, error: PublishError<Vec<Problem>>) -> Self {
        match error {
            PublishError::Conflict(hash) => Error::Conflict(hash.map(|hash| hash.to_string())),
            PublishError::Rejected(problems) => Error::Invalid(problems),
            PublishError::Store(error) if error.verdict() == Verdict::NotRun => unreachable(error),
            PublishError::Store(error) => Error::UnknownOutcome(change, error.to_string()),
        }
    }
}

/// Makes an error of a store or a VM that cannot be reached.
pub fn unreachable(reason: impl std::fmt::Display) -> Error {
    Error::Unreachable(reason.to_string())
}

/// Makes an error of wrong arguments.
pub fn usage(reason: impl Into<String>) -> Error {
    Error::Usage(reason.into())
}

impl From<EditError> for Error {
    fn from(error: EditError) -> Self {
        usage(error.to_string())
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
