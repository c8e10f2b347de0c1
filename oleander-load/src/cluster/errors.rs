//! Errors of bringing up a fleet.

/// `Result` is the result of a step of bringing up a fleet.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says which part of a fleet could not be brought up.
#[derive(Debug)]
pub enum Error {
    /// A socket or a server could not be set up.
    Listen(std::io::Error),
    /// The configuration was refused; holds the reason.
    Configuration(String),
    /// The fleet did not come up in time; holds what was missing.
    NotReady(&'static str),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Listen(error) => write!(f, "cluster: cannot listen: {error}"),
            Error::Configuration(reason) => write!(f, "cluster: configuration refused: {reason}"),
            Error::NotReady(detail) => write!(f, "cluster: not ready in time: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Error::Listen(error)
    }
}

/// Makes an error of a refused configuration.
pub fn configuration_error(reason: impl std::fmt::Display) -> Error {
    Error::Configuration(reason.to_string())
}
