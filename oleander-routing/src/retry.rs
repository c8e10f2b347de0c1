//! Verdicts and retries of requests that fail.
//!
//! `outcome` is a table: the point of failure and the effect of the request determine the verdict,
//! the refusal code and whether the request can safely be sent again. `decide` also takes the
//! deadline and the retry budget into account.

use oleander_core::statement::Access;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use strum::Display;
use strum::EnumIter;

use crate::budget::RetryBudget;
use crate::homes::HOMES_PER_DATABASE;

/// `Cut` is the point at which processing of a request failed.
///
/// Its kebab-case names appear in the details of refusals.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Cut {
    /// No stream to the home could be opened, or the home did not accept the request.
    HomeUnreachable,
    /// The home is draining and did not accept the request.
    HomeDraining,
    /// The home's queue is full.
    QueueFull,
    /// The queue refused the request because it would have missed its deadline.
    QueueDeadline,
    /// The whole request was sent to the home and no reply arrived: the home stopped or the stream
    /// broke.
    HomeLost,
    /// The reply belongs to another request.
    ReplyCrossed,
    /// The connection to the instance could not be opened, or broke before a byte was sent.
    BeforeSend,
    /// The instance refused the request before running anything: it is not the primary, has no
    /// connection left, or is shutting down.
    RefusedBeforeRun,
    /// The connection broke while the statement was being sent.
    PartSent,
    /// The statement was sent and the connection broke before the answer began.
    Sent,
    /// The statement was sent and no answer arrived in time; the connection is closed.
    TimedOut,
    /// The connection broke in the middle of the answer.
    PartAnswered,
    /// The answer exceeds the size limit; the connection is closed.
    AnswerTooLarge,
    /// The instance returned an error and rolled the statement back.
    StatementFailed,
    /// The answer of a read is not proven to include what the read requires.
    AnswerStale,
    /// A write ran on the primary and was not confirmed as replicated in time.
    NotReplicated,
}

/// `Effect` classifies a request by whether it can be repeated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Effect {
    /// A single read.
    Read,
    /// A single write that may safely run twice.
    IdempotentWrite,
    /// A single write that must run at most once.
    Write,
    /// The begin of a transaction.
    Begin,
    /// A statement in an open transaction.
    InTransaction,
    /// The commit of a transaction.
    Commit,
    /// The rollback of a transaction.
    Rollback,
}

/// `Resend` states whether a request can safely be sent again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Resend {
    /// The request may be sent again, to another home or instance first.
    Elsewhere,
    /// The request must not be sent again.
    Never,
}

/// `Outcome` is the result of a failed request, one cell of the retry table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The code that the caller receives if the request is not sent again.
    pub code: RefusalCode,
    /// Whether the request can safely be sent again.
    pub resend: Resend,
}

/// `Attempt` is the progress of a request over all its sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The effect of the request.
    pub effect: Effect,
    /// The number of sends so far, including the one that failed.
    pub sends: u32,
    /// The worst verdict of the earlier sends.
    pub prior_verdict: Verdict,
    /// The time by which the caller needs the answer.
    pub deadline: Time,
    /// The expected duration of another send.
    pub expected: Span,
}

/// `Next` is the next step for a failed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send the request again.
    Retry {
        /// The time at which to send it.
        at: Time,
    },
    /// Return this refusal to the caller immediately.
    Refuse(Refusal),
}

/// The maximum number of sends of one request, including the first.
pub const MAX_SENDS: u32 = 4;

/// The upper bound of the backoff before the first retry; it doubles with each further retry.
pub const INITIAL_BACKOFF: Span = Span::from_millis(2);

impl Effect {
    /// Returns the effect of a single statement.
    pub fn of_single(access: Access) -> Self {
        match access {
            Access::Read => Effect::Read,
            Access::IdempotentWrite => Effect::IdempotentWrite,
            Access::Write => Effect::Write,
        }
    }

    fn is_idempotent(self) -> bool {
        matches!(self, Effect::Read | Effect::IdempotentWrite)
    }

    /// Returns `true` if the request belongs to an open transaction, which only its home can serve.
    fn is_in_transaction(self) -> bool {
        matches!(self, Effect::InTransaction | Effect::Commit | Effect::Rollback)
    }
}

/// Returns the outcome of a request with this effect that failed at this point.
pub fn outcome(cut: Cut, effect: Effect) -> Outcome {
    let verdict = verdict(cut, effect);
    let is_safe = verdict == Verdict::NotRun || effect.is_idempotent();
    let resend = if is_safe && !effect.is_in_transaction() && !is_retry_futile(cut) {
        Resend::Elsewhere
    } else {
        Resend::Never
    };
    Outcome { verdict, code: code(cut, effect), resend }
}

/// Decides on the next step of a failed request. `random` is a uniform random number for the
/// jitter of the backoff.
pub fn decide(
    now: Time,
    cut: Cut,
    attempt: &Attempt,
    budget: &mut RetryBudget,
    random: u64,
) -> Next {
    let outcome = outcome(cut, attempt.effect);
    let at = now + backoff(attempt.sends, random);
    let is_in_time = at + attempt.expected < attempt.deadline;
    let may_resend = outcome.resend == Resend::Elsewhere && attempt.sends < MAX_SENDS && is_in_time;
    if may_resend && (is_exempt_from_budget(cut, attempt) || budget.take(now)) {
        return Next::Retry { at };
    }
    // An idempotent request may have run in an earlier send.
    let verdict = outcome.verdict.max(attempt.prior_verdict);
    let detail = format!("cut at: {cut}; sends: {}", attempt.sends);
    let retry_after = retry_after(outcome.code);
    Next::Refuse(Refusal { code: outcome.code, verdict, retry_after, detail, charged: false })
}

/// Returns the time after which a caller should retry; `None` if a retry would not help.
pub fn retry_after(code: RefusalCode) -> Option<Span> {
    match code {
        RefusalCode::QueueFull | RefusalCode::DeadlineExceeded => Some(Span::from_millis(200)),
        RefusalCode::HomeUnreachable | RefusalCode::Draining => Some(Span::from_millis(500)),
        RefusalCode::UpstreamUnavailable
        | RefusalCode::UpstreamLost
        | RefusalCode::Timeout
        | RefusalCode::NotReplicated => Some(Span::from_secs(1)),
        _ => None,
    }
}

/// Returns whether a request that failed at this point may have run.
fn verdict(cut: Cut, effect: Effect) -> Verdict {
    match cut {
        Cut::HomeUnreachable
        | Cut::HomeDraining
        | Cut::QueueFull
        | Cut::QueueDeadline
        | Cut::BeforeSend
        | Cut::RefusedBeforeRun
        | Cut::StatementFailed => Verdict::NotRun,
        Cut::HomeLost | Cut::ReplyCrossed if effect == Effect::Begin => Verdict::NotRun,
        Cut::HomeLost | Cut::ReplyCrossed => Verdict::MayHaveRun,
        Cut::PartSent | Cut::Sent | Cut::TimedOut | Cut::PartAnswered => {
            broken_connection_verdict(effect)
        }
        Cut::AnswerTooLarge => match effect {
            // The answer had begun, but only its end shows whether the write took effect.
            Effect::Read => Verdict::Ran,
            _ => broken_connection_verdict(effect),
        },
        Cut::AnswerStale => Verdict::Ran,
        // A promotion may still drop the write.
        Cut::NotReplicated => Verdict::MayHaveRun,
    }
}

/// Returns the verdict on a statement whose connection was closed before its answer was complete.
fn broken_connection_verdict(effect: Effect) -> Verdict {
    match effect {
        // Closing the connection ends the transaction without a commit.
        Effect::Begin | Effect::InTransaction | Effect::Rollback => Verdict::NotRun,
        Effect::Read | Effect::IdempotentWrite | Effect::Write | Effect::Commit => {
            Verdict::MayHaveRun
        }
    }
}

/// Returns `true` if a retry is not charged to the budget: the home did not accept the request, and
/// the other home has not been tried.
///
/// Such a retry adds no load. Charging it would exhaust the budget on a dead home before its
/// failure is detected, and refuse requests that the other home could serve.
fn is_exempt_from_budget(cut: Cut, attempt: &Attempt) -> bool {
    matches!(cut, Cut::HomeUnreachable | Cut::HomeDraining)
        && attempt.sends < HOMES_PER_DATABASE as u32
}

/// Returns `true` if another send would not help.
fn is_retry_futile(cut: Cut) -> bool {
    matches!(
        cut,
        Cut::QueueDeadline | Cut::StatementFailed | Cut::AnswerTooLarge | Cut::NotReplicated
    )
}

/// Returns the code that the caller receives if the request is not sent again.
fn code(cut: Cut, effect: Effect) -> RefusalCode {
    if ends_transaction(cut, effect) {
        return RefusalCode::TransactionGone;
    }
    match cut {
        Cut::HomeUnreachable => RefusalCode::HomeUnreachable,
        Cut::HomeDraining => RefusalCode::Draining,
        Cut::QueueFull => RefusalCode::QueueFull,
        Cut::QueueDeadline => RefusalCode::DeadlineExceeded,
        Cut::HomeLost | Cut::ReplyCrossed => RefusalCode::HomeUnreachable,
        Cut::BeforeSend | Cut::RefusedBeforeRun | Cut::AnswerStale => {
            RefusalCode::UpstreamUnavailable
        }
        Cut::PartSent | Cut::Sent | Cut::PartAnswered => RefusalCode::UpstreamLost,
        Cut::TimedOut => RefusalCode::Timeout,
        Cut::AnswerTooLarge => RefusalCode::AnswerTooLarge,
        Cut::StatementFailed => RefusalCode::UpstreamError,
        Cut::NotReplicated => RefusalCode::NotReplicated,
    }
}

/// Returns `true` if the failure ended the transaction before its commit was sent.
fn ends_transaction(cut: Cut, effect: Effect) -> bool {
    let not_sent = matches!(cut, Cut::BeforeSend | Cut::RefusedBeforeRun);
    let broken = matches!(cut, Cut::PartSent | Cut::Sent | Cut::TimedOut | Cut::PartAnswered);
    match effect {
        Effect::InTransaction | Effect::Rollback => not_sent || broken,
        Effect::Commit => not_sent,
        _ => false,
    }
}

/// Returns the backoff before the next send: uniform from zero to a bound that doubles with each
/// send.
fn backoff(sends: u32, random: u64) -> Span {
    let doublings = sends.saturating_sub(1).min(MAX_SENDS);
    let bound = INITIAL_BACKOFF.times(1 << doublings);
    Span(random % (bound.0 + 1))
}
