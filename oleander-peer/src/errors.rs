//! Errors of the peer protocol.

use oleander_core::verdict::Verdict;

/// `Result` is the result of a peer operation.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says why a peer operation failed, and so whether the peer may have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection to the peer could be opened.
    Connect(&'static str),
    /// The peer refused the stream before it read the request.
    Refused(&'static str),
    /// The request could not be encoded or is longer than the limit.
    Encode(&'static str),
    /// A frame from the peer is malformed, longer than the limit or of another version.
    Decode(&'static str),
    /// The stream or its connection broke after the request was sent.
    Lost(&'static str),
    /// No answer came within the deadline.
    Timeout(&'static str),
}

impl Error {
    /// Gets the verdict on the request of the failed call.
    pub fn verdict(self) -> Verdict {
        match self {
            Error::Connect(_) | Error::Refused(_) | Error::Encode(_) => Verdict::NotRun,
            Error::Decode(_) | Error::Lost(_) | Error::Timeout(_) => Verdict::MayHaveRun,
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
        };
        write!(f, "peer: {kind}: {detail}")
    }
}

impl std::error::Error for Error {}

/// Makes an error of opening a connection.
pub fn connect_error(detail: &'static str) -> Error {
    Error::Connect(detail)
}

/// Makes an error of a refused stream.
pub fn refused_error(detail: &'static str) -> Error {
    Error::Refused(detail)
}

/// Makes an error of encoding a frame.
pub fn encode_error(detail: &'static str) -> Error {
    Error::Encode(detail)
}

/// Makes an error of decoding a frame.
pub fn decode_error(detail: &'static str) -> Error {
    Error::Decode(detail)
}

/// Makes an error of a lost stream.
pub fn lost_error(detail: &'static str) -> Error {
    Error::Lost(detail)
}

/// Makes an error of a missed deadline.
pub fn timeout_error(detail: &'static str) -> Error {
    Error::Timeout(detail)
}
