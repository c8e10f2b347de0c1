//! Errors of session tokens.

use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

/// `Error` says why a token cannot be used. It holds nothing of the token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The token cannot be read.
    Malformed(&'static str),
    /// The token is longer, or there are more of them, than the limit.
    TooLarge(&'static str),
    /// The token belongs to another workspace.
    WrongWorkspace,
}

/// `Result` is the result of an operation on a token.
pub type Result<T> = std::result::Result<T, Error>;

/// Makes an error for a token that cannot be read.
pub fn malformed<T>(detail: &'static str) -> Result<T> {
    Err(Error::Malformed(detail))
}

/// Makes an error for a token over a limit.
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
