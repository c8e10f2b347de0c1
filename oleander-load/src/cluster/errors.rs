//! The errors of starting and configuring a fleet.

/// `Result` is the result of an operation on a fleet.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is an error of starting or configuring a fleet.
#[derive(Debug)]
pub enum Error {
    /// A listening socket or a server could not be started.
    Listen(std::io::Error),
    /// The configuration or the settings of an agent were refused; holds the reason.
    Configuration(String),
    /// The fleet was not ready within the timeout; holds the missing condition.
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

/// Creates an `Error::Configuration` from its reason.
pub fn configuration_error(reason: impl std::fmt::Display) -> Error {
    Error::Configuration(reason.to_string())
}
