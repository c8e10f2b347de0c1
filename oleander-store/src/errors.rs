//! Errors of calls to the platform's services: the store and the VM list.

use oleander_core::verdict::Verdict;

/// `Result` is the result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` states why a call failed, which determines whether a write may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection could be opened.
    Connect(&'static str),
    /// The platform rejected the request with this HTTP status, a 4xx one.
    Refused(u16),
    /// The platform returned this HTTP status, neither 2xx nor 4xx.
    Failed(u16),
    /// The deadline passed, or the retries were used up.
    Timeout(&'static str),
    /// The connection was lost before the answer was complete.
    Lost(&'static str),
    /// The answer could not be decoded.
    Decode(&'static str),
    /// The value is longer than the store accepts; it was not sent.
    TooLarge(&'static str),
}

impl Error {
    /// Returns whether a write whose call failed with this error may have taken effect.
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

/// Returns an `Error::Timeout`.
pub fn timeout_error(detail: &'static str) -> Error {
    Error::Timeout(detail)
}

/// Returns an `Error::Lost`.
pub fn lost_error(detail: &'static str) -> Error {
    Error::Lost(detail)
}

/// Returns an `Error::Decode`.
pub fn decode_error(detail: &'static str) -> Error {
    Error::Decode(detail)
}

/// Returns an `Error::TooLarge`.
pub fn size_error(detail: &'static str) -> Error {
    Error::TooLarge(detail)
}

/// Converts an error of the HTTP client.
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
