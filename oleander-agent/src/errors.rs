//! Errors of the agent's start.

/// `Result` is the result of starting an agent.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says why an agent could not start.
#[derive(Debug)]
pub enum Error {
    /// The peer address cannot be bound.
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

/// Makes an error of binding the peer address.
pub fn listen_error(error: std::io::Error) -> Error {
    Error::Listen(error)
}
