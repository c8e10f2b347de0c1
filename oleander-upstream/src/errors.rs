//! Errors of upstream requests and whether the request may have run.

use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;

use crate::contract;

/// `Result` is the result of an upstream operation.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is the reason why an upstream request failed; [`Error::verdict`] tells whether it may
/// have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    Connect(String),
    /// The instance accepts no more connections; nothing was sent.
    TooManyConnections,
    /// No connection became free before the deadline; nothing was sent.
    NoConnection,
    /// The statement would change the state of the connection, or the connection's phase does not
    /// allow the request; nothing was sent.
    Forbidden(&'static str),
    /// The workspace could not be set, so the statement could not run.
    Identity(String),
    /// The instance is not the primary of the connection's term and did nothing.
    NotPrimary,
    /// The instance does not accept the term of a fence, promotion or follow and did nothing.
    WrongTerm,
    /// The database reported an error.
    Answered {
        /// The SQLSTATE.
        state: String,
        /// The text of the error.
        detail: String,
    },
    /// The deadline passed after the request was sent.
    Timeout,
    /// The connection broke after the request was sent.
    Lost(String),
    /// The answer does not conform to the SQL contract.
    Protocol(&'static str),
    /// The instance's term changed while the request was running.
    TermChanged,
    /// The answer exceeds the row or byte limit.
    AnswerTooLarge,
    /// The write ran, but the status query that returns its log position failed.
    PositionUnknown,
}

/// Returns an [`Error::Protocol`] for an answer that does not conform to the SQL contract.
pub fn protocol_error(detail: &'static str) -> Error {
    Error::Protocol(detail)
}

impl Error {
    /// Returns whether the request ran, did not run or may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Connect(_)
            | Error::TooManyConnections
            | Error::NoConnection
            | Error::Forbidden(_)
            | Error::Identity(_)
            | Error::NotPrimary
            | Error::WrongTerm => Verdict::NotRun,
            Error::Answered { state, .. } => verdict_of_state(state),
            Error::Timeout
            | Error::Lost(_)
            | Error::Protocol(_)
            | Error::TermChanged
            | Error::AnswerTooLarge => Verdict::MayHaveRun,
            Error::PositionUnknown => Verdict::Ran,
        }
    }

    /// Returns `true` if the connection can be used again after the error.
    pub fn leaves_connection_clean(&self) -> bool {
        match self {
            Error::Forbidden(_) | Error::NotPrimary | Error::WrongTerm => true,
            Error::Answered { state, .. } => verdict_of_state(state) == Verdict::NotRun,
            _ => false,
        }
    }

    /// Returns the stable refusal code that is reported to the caller.
    pub fn code(&self) -> RefusalCode {
        match self {
            Error::Connect(_)
            | Error::TooManyConnections
            | Error::NotPrimary
            | Error::WrongTerm
            | Error::Identity(_) => RefusalCode::UpstreamUnavailable,
            Error::NoConnection => RefusalCode::DeadlineExceeded,
            Error::Forbidden(_) => RefusalCode::BadRequest,
            Error::Answered { .. } => RefusalCode::UpstreamError,
            Error::Timeout => RefusalCode::Timeout,
            Error::Lost(_) | Error::Protocol(_) | Error::TermChanged => RefusalCode::UpstreamLost,
            Error::AnswerTooLarge => RefusalCode::AnswerTooLarge,
            Error::PositionUnknown => RefusalCode::NotReplicated,
        }
    }

    /// Returns the refusal that is reported to the caller.
    pub fn refusal(&self) -> Refusal {
        Refusal {
            code: self.code(),
            verdict: self.verdict(),
            retry_after: None,
            detail: self.to_string(),
            charged: false,
        }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Connect(detail) => write!(f, "upstream: connection not opened: {detail}"),
            Error::TooManyConnections => f.write_str("upstream: no room for a connection"),
            Error::NoConnection => f.write_str("upstream: no connection was free in time"),
            Error::Forbidden(detail) => write!(f, "upstream: statement not allowed: {detail}"),
            Error::Identity(detail) => write!(f, "upstream: workspace not set: {detail}"),
            Error::NotPrimary => f.write_str("upstream: the instance is not primary"),
            Error::WrongTerm => f.write_str("upstream: the term is not allowed"),
            Error::Answered { state, detail } => write!(f, "upstream: error {state}: {detail}"),
            Error::Timeout => f.write_str("upstream: no answer before the deadline"),
            Error::Lost(detail) => write!(f, "upstream: connection lost: {detail}"),
            Error::Protocol(detail) => write!(f, "upstream: unexpected answer: {detail}"),
            Error::TermChanged => f.write_str("upstream: the term changed during the request"),
            Error::AnswerTooLarge => f.write_str("upstream: answer too large"),
            Error::PositionUnknown => f.write_str("upstream: the write's position is unknown"),
        }
    }
}

impl std::error::Error for Error {}

impl From<tokio_postgres::Error> for Error {
    fn from(error: tokio_postgres::Error) -> Self {
        let Some(answer) = error.as_db_error() else { return Error::Lost(error.to_string()) };
        match answer.code().code() {
            contract::READ_ONLY_STATE => Error::NotPrimary,
            contract::WRONG_TERM_STATE => Error::WrongTerm,
            contract::TOO_MANY_CONNECTIONS_STATE => Error::TooManyConnections,
            state => {
                Error::Answered { state: state.to_owned(), detail: answer.message().to_owned() }
            }
        }
    }
}

/// The SQLSTATE `statement_completion_unknown`: the server does not know the outcome. Its class 40
/// otherwise means that the transaction was rolled back.
const UNKNOWN_OUTCOME_STATE: &str = "40003";

/// The SQLSTATE of a cancelled statement; its effects are rolled back.
const CANCELED_STATE: &str = "57014";

/// The SQLSTATE classes of errors that leave no effect of the statement, such as syntax errors and
/// constraint violations.
const NO_EFFECT_CLASSES: [&str; 16] = [
    "0A", "21", "22", "23", "25", "28", "2F", "3D", "3F", "40", "42", "44", "53", "54", "55", "P0",
];

fn verdict_of_state(state: &str) -> Verdict {
    if state == CANCELED_STATE {
        return Verdict::NotRun;
    }
    let class = state.get(..2).unwrap_or_default();
    if state != UNKNOWN_OUTCOME_STATE && NO_EFFECT_CLASSES.contains(&class) {
        return Verdict::NotRun;
    }
    Verdict::MayHaveRun
}
