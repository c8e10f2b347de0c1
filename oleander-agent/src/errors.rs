//! Errors of starting an agent.

/// `Result` is the result of starting an agent.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` states why an agent could not start.
#[derive(Debug)]
pub enum Error {
    /// The listener for peer streams could not be bound, or its address not determined.
    Listen(std::io::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Listen(error) => write!(f, "agent: cannot listen for peers: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Wraps an I/O error of the peer listener.
pub fn listen_error(error: std::io::Error) -> Error {
    Error::Listen(error)
}
