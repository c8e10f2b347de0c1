//! Errors of the runtime.

use std::path::Path;
use std::path::PathBuf;

/// `Error` is a failure of the runtime.
#[derive(Debug)]
pub enum Error {
    /// A settings file could not be read.
    ReadError {
        /// The file.
        path: PathBuf,
        /// The reason.
        reason: String,
    },
    /// A settings file does not hold what the program expects.
    SettingsError {
        /// The file.
        path: PathBuf,
        /// The line, from 1; 0 if unknown.
        line: u64,
        /// The reason.
        reason: String,
    },
    /// The log writer or a metrics socket could not be set up.
    SetupError(&'static str),
}

/// `Result` is the result of a runtime call.
pub type Result<T> = std::result::Result<T, Error>;

/// Makes a read error.
pub fn read_error<T>(path: &Path, reason: impl std::fmt::Display) -> Result<T> {
    Err(Error::ReadError { path: path.to_owned(), reason: reason.to_string() })
}

/// Makes a settings error.
pub fn settings_error<T>(path: &Path, line: u64, reason: impl Into<String>) -> Result<T> {
    Err(Error::SettingsError { path: path.to_owned(), line, reason: reason.into() })
}

/// Makes a setup error.
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
