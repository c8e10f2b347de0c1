//! Refusals and failures of requests, and whether such a request may have run.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::time::Span;

/// `Verdict` states whether a request may have run on an upstream.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The request has not run and will not run; any request may be retried.
    NotRun,
    /// The request may have run; only an idempotent request may be retried.
    MayHaveRun,
    /// The request has run.
    Ran,
}

/// `RefusalCode` is the stable code of a refusal or failure that callers receive.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCode {
    /// The request or its body is malformed.
    BadRequest,
    /// The request body is longer than the limit.
    BodyTooLarge,
    /// The session token is malformed or belongs to another workspace.
    BadToken,
    /// The route needs an API key and the request has none.
    KeyMissing,
    /// The API key is unknown or has been withdrawn.
    KeyRejected,
    /// No route matches the request.
    UnknownRoute,
    /// The workspace is not allowed to use the route.
    RouteForbidden,
    /// The workspace exceeds its rate limit.
    RateLimited,
    /// The queue of the database's home is full.
    QueueFull,
    /// The request cannot meet its deadline.
    DeadlineExceeded,
    /// The deadline passed after the request was sent to an upstream.
    Timeout,
    /// No home of the database is reachable.
    HomeUnreachable,
    /// No instance of the database can serve the request.
    UpstreamUnavailable,
    /// The connection to the instance broke while the request was running.
    UpstreamLost,
    /// The upstream returned an error.
    UpstreamError,
    /// The answer is larger than the limit.
    AnswerTooLarge,
    /// No reachable instance has replicated far enough for the read yet.
    ReplicaBehind,
    /// The instance accepts no writes because it is not the primary.
    NotPrimary,
    /// The session has no prepared statement with this name.
    UnknownStatement,
    /// A promotion discarded history that the session token has seen.
    HistoryLost,
    /// A write ran but its replication was not confirmed in time.
    NotReplicated,
    /// The transaction is unknown, ended or expired.
    TransactionGone,
    /// The workspace or the home has too many open transactions.
    TooManyTransactions,
    /// The VM has no current configuration and refuses requests that need an API key.
    NotCurrent,
    /// The VM is shutting down and accepts no new requests.
    Draining,
    /// An internal error of the proxy occurred.
    Internal,
}

/// `Refusal` is the answer to a request that was refused or failed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The stable code of the reason.
    pub code: RefusalCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// How long the caller should wait before a retry; `None` if unknown.
    pub retry_after: Option<Span>,
    /// A message for people; it never contains API keys or row data.
    pub detail: String,
    /// `true` if a home has taken the tokens of the operation from its workspace's rate, so that a
    /// repetition elsewhere needs none.
    pub charged: bool,
}

impl Refusal {
    /// Creates the refusal of a request that has not run.
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self::with_verdict(code, Verdict::NotRun, detail)
    }

    /// Creates the failure of a request that may have run.
    pub fn may_have_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self::with_verdict(code, Verdict::MayHaveRun, detail)
    }

    /// Creates the failure of a request that has run.
    pub fn ran(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self::with_verdict(code, Verdict::Ran, detail)
    }

    /// Sets how long the caller should wait before a retry.
    pub fn with_retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    fn with_verdict(code: RefusalCode, verdict: Verdict, detail: impl Into<String>) -> Self {
        Self { code, verdict, retry_after: None, detail: detail.into(), charged: false }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.verdict, self.detail)
    }
}
