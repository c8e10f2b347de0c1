//! Errors of loading settings and of setting up the runtime.

use std::path::Path;
use std::path::PathBuf;

/// `Error` states why settings could not be loaded or a part of the runtime not set up.
#[derive(Debug)]
pub enum Error {
    /// A settings file could not be read.
    ReadError {
        /// The file.
        path: PathBuf,
        /// The reason.
        reason: String,
    },
    /// A settings file is malformed, too large or does not match the program's settings.
    SettingsError {
        /// The file.
        path: PathBuf,
        /// The line, from 1; 0 if unknown.
        line: u64,
        /// The reason.
        reason: String,
    },
    /// A part of the process could not be set up, such as the log writer, a socket, the signal
    /// handlers or the Tokio runtime.
    SetupError(&'static str),
}

/// `Result` is the result of a runtime call.
pub type Result<T> = std::result::Result<T, Error>;

/// Returns an `Error::ReadError`.
pub fn read_error<T>(path: &Path, reason: impl std::fmt::Display) -> Result<T> {
    Err(Error::ReadError { path: path.to_owned(), reason: reason.to_string() })
}

/// Returns an `Error::SettingsError`; `line` counts from 1, and 0 means unknown.
pub fn settings_error<T>(path: &Path, line: u64, reason: impl Into<String>) -> Result<T> {
    Err(Error::SettingsError { path: path.to_owned(), line, reason: reason.into() })
}

/// Returns an `Error::SetupError`.
pub fn setup_error<T>(detail: &'static str) -> Result<T> {
    Err(Error::SetupError(detail))
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::ReadError { path, reason } => {
                write!(f, "runtime: cannot read {}: {reason}", path.display())
            }
            Error::SettingsError { path, line, reason } => {
                write!(f, "runtime: {}:{line}: {reason}", path.display())
            }
            Error::SetupError(detail) => write!(f, "runtime: {detail}"),
        }
    }
}

impl std::error::Error for Error {}
