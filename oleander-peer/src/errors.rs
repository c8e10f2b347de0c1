//! Errors of the peer protocol.

use oleander_core::verdict::Verdict;

/// `Result` is the result of a peer operation.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is the reason why a peer operation failed; [`Error::verdict`] tells whether the peer may
/// have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection to the peer could be opened.
    Connect(&'static str),
    /// The peer refused the stream before it read the request.
    Refused(&'static str),
    /// The request could not be encoded or exceeds the frame size limit.
    Encode(&'static str),
    /// A frame from the peer is malformed, exceeds the size limit or has another version.
    Decode(&'static str),
    /// The stream or its connection broke after the request was sent.
    Lost(&'static str),
    /// No reply arrived before the deadline.
    Timeout(&'static str),
    /// The reply is large, and the budget of large replies has not enough left.
    NoRoom(&'static str),
}

impl Error {
    /// Returns whether the peer may have run the request of the failed call.
    pub fn verdict(self) -> Verdict {
        match self {
            Error::Connect(_) | Error::Refused(_) | Error::Encode(_) => Verdict::NotRun,
            Error::Decode(_) | Error::Lost(_) | Error::Timeout(_) | Error::NoRoom(_) => {
                Verdict::MayHaveRun
            }
        }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (kind, detail) = match self {
            Error::Connect(detail) => ("connect failed", detail),
            Error::Refused(detail) => ("stream refused", detail),
            Error::Encode(detail) => ("cannot encode", detail),
            Error::Decode(detail) => ("cannot decode", detail),
            Error::Lost(detail) => ("stream lost", detail),
            Error::Timeout(detail) => ("timed out", detail),
            Error::NoRoom(detail) => ("no room", detail),
        };
        write!(f, "peer: {kind}: {detail}")
    }
}

impl std::error::Error for Error {}

/// Returns the error of a connection that could not be opened.
pub fn connect_error(detail: &'static str) -> Error {
    Error::Connect(detail)
}

/// Returns the error of a stream that was refused before the request was read.
pub fn refused_error(detail: &'static str) -> Error {
    Error::Refused(detail)
}

/// Returns the error of a message that cannot be encoded.
pub fn encode_error(detail: &'static str) -> Error {
    Error::Encode(detail)
}

/// Returns the error of a frame that cannot be decoded.
pub fn decode_error(detail: &'static str) -> Error {
    Error::Decode(detail)
}

/// Returns the error of a stream that broke after the request was sent.
pub fn lost_error(detail: &'static str) -> Error {
    Error::Lost(detail)
}

/// Returns the error of a call without a reply before its deadline.
pub fn timeout_error(detail: &'static str) -> Error {
    Error::Timeout(detail)
}

/// Returns the error of a reply that the budget of large replies has no room for.
pub fn no_room_error(detail: &'static str) -> Error {
    Error::NoRoom(detail)
}
