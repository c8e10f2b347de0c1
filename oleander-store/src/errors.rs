//! Errors of calls to the platform.

use oleander_core::verdict::Verdict;

/// `Result` is the result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says why a call failed, and so whether a write may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection could be opened.
    Connect(&'static str),
    /// The platform refused the request with this HTTP status.
    Refused(u16),
    /// The platform failed with this HTTP status.
    Failed(u16),
    /// No answer came within the deadline.
    Timeout(&'static str),
    /// The connection broke before the answer was complete.
    Lost(&'static str),
    /// The answer cannot be read.
    Decode(&'static str),
    /// The value is longer than the store accepts.
    TooLarge(&'static str),
}

impl Error {
    /// Gets the verdict on a write whose call failed in this way.
    pub fn verdict(self) -> Verdict {
        match self {
            Error::Connect(_) | Error::Refused(_) | Error::TooLarge(_) => Verdict::NotRun,
            Error::Failed(_) | Error::Timeout(_) | Error::Lost(_) | Error::Decode(_) => {
                Verdict::MayHaveRun
            }
        }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Connect(detail) => write!(f, "platform: connect failed: {detail}"),
            Error::Refused(status) => write!(f, "platform: request refused with status {status}"),
            Error::Failed(status) => write!(f, "platform: request failed with status {status}"),
            Error::Timeout(detail) => write!(f, "platform: timed out: {detail}"),
            Error::Lost(detail) => write!(f, "platform: connection lost: {detail}"),
            Error::Decode(detail) => write!(f, "platform: cannot decode: {detail}"),
            Error::TooLarge(detail) => write!(f, "platform: too large: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

/// Makes an error of a missed deadline.
pub fn timeout_error(detail: &'static str) -> Error {
    Error::Timeout(detail)
}

/// Makes an error of a broken connection.
pub fn lost_error(detail: &'static str) -> Error {
    Error::Lost(detail)
}

/// Makes an error of an unreadable answer.
pub fn decode_error(detail: &'static str) -> Error {
    Error::Decode(detail)
}

/// Makes an error of an oversize value.
pub fn size_error(detail: &'static str) -> Error {
    Error::TooLarge(detail)
}

/// Turns an error of the HTTP client into one of this crate.
pub(crate) fn from_http(error: &reqwest::Error) -> Error {
    if error.is_connect() {
        return Error::Connect("no connection to the platform");
    }
    if error.is_timeout() {
        return timeout_error("no answer in time");
    }
    if error.is_decode() {
        return decode_error("malformed answer");
    }
    lost_error("the connection broke")
}
