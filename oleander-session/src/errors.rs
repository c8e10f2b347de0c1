//! Errors of session tokens.

use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

/// `Error` is the reason why a token cannot be used. It contains no part of the token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The token cannot be decoded; the text says why.
    Malformed(&'static str),
    /// The token, its marks or the number of tokens exceed a limit; the text says which.
    TooLarge(&'static str),
    /// The token belongs to another workspace.
    WrongWorkspace,
}

/// `Result` is a result whose error is an `Error` of a token.
pub type Result<T> = std::result::Result<T, Error>;

/// Returns `Error::Malformed` with this text.
pub fn malformed<T>(detail: &'static str) -> Result<T> {
    Err(Error::Malformed(detail))
}

/// Returns `Error::TooLarge` with this text.
pub fn too_large<T>(detail: &'static str) -> Result<T> {
    Err(Error::TooLarge(detail))
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Malformed(detail) | Error::TooLarge(detail) => f.write_str(detail),
            Error::WrongWorkspace => f.write_str("session: the token belongs to another workspace"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        Refusal::not_run(RefusalCode::BadToken, error.to_string())
    }
}
