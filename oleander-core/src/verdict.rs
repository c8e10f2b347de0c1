//! What is known of a request that was not answered: whether it may have run.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::time::Span;

/// `Verdict` says whether a request may have run on an upstream.
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
    /// The request has not run and will not run; it may be sent again.
    NotRun,
    /// The request may or may not have run; only an idempotent request may be sent again.
    MayHaveRun,
    /// The request has run.
    Ran,
}

/// `RefusalCode` is the stable code of a refusal or failure, as callers see it.
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
    /// The request's form or body is not valid.
    BadRequest,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The session token cannot be read or belongs to another workspace.
    BadToken,
    /// The route needs a key and none came with the request.
    KeyMissing,
    /// The key is unknown or has been withdrawn.
    KeyRejected,
    /// No route matches the request.
    UnknownRoute,
    /// The workspace may not use the route.
    RouteForbidden,
    /// The workspace is over its rate.
    RateLimited,
    /// The home's queue is full.
    QueueFull,
    /// The request cannot meet its deadline.
    DeadlineExceeded,
    /// The deadline passed after the request was sent to an upstream.
    Timeout,
    /// No home of the database can be reached.
    HomeUnreachable,
    /// No instance of the database can serve the request.
    UpstreamUnavailable,
    /// The connection to the instance broke while the request was running.
    UpstreamLost,
    /// The upstream answered with an error of its own.
    UpstreamError,
    /// The answer is larger than the limit.
    AnswerTooLarge,
    /// No instance that can be reached has the data that the read needs yet.
    ReplicaBehind,
    /// The instance takes no writes, since it is not the primary.
    NotPrimary,
    /// The session has prepared no statement of this name.
    UnknownStatement,
    /// The token's history was dropped by a promotion.
    HistoryLost,
    /// A write ran but its replication was not confirmed in time.
    NotReplicated,
    /// The transaction is unknown, ended or expired.
    TransactionGone,
    /// The workspace or the home has too many open transactions.
    TooManyTransactions,
    /// The VM has no current configuration and refuses keyed requests.
    NotCurrent,
    /// The VM is stopping and takes no new requests.
    Draining,
    /// An error inside the proxy.
    Internal,
}

/// `Refusal` is the typed answer to a request that got no result.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The stable code.
    pub code: RefusalCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// How long the caller should wait before it sends the request again, where known.
    pub retry_after: Option<Span>,
    /// A sentence for a person; holds no key and no row.
    pub detail: String,
}

impl Refusal {
    /// Makes a refusal of a request that has not run.
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self { code, verdict: Verdict::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Makes a failure of a request that may have run.
    pub fn may_have_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self { code, verdict: Verdict::MayHaveRun, retry_after: None, detail: detail.into() }
    }

    /// Makes a failure of a request that has run.
    pub fn ran(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self { code, verdict: Verdict::Ran, retry_after: None, detail: detail.into() }
    }

    /// Sets the time after which the caller should come back.
    pub fn with_retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.verdict, self.detail)
    }
}
