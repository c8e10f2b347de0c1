//! Verdicts and retries: where a request can be cut, and what follows.
//!
//! `outcome` is the table: place of the cut and kind of work give the verdict,
//! the code and whether another send is safe. `decide` adds the deadline and
//! the retry budget.

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

/// `Cut` is the place at which a request can be cut.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Cut {
    /// No stream to the home could be opened, or the home did not take the request in.
    HomeUnreachable,
    /// The home is draining and did not take the request in.
    HomeDraining,
    /// The home's queue is full.
    QueueFull,
    /// The request would not have met its deadline and was refused in the queue.
    QueueDeadline,
    /// The whole request went to the home and no reply came: it is gone, or the stream broke.
    HomeLost,
    /// A reply came that is not the reply to this request.
    ReplyCrossed,
    /// The connection to the instance could not be opened, or broke before a byte was sent.
    BeforeSend,
    /// The instance refused before it ran anything: not primary, no connection, shutting down.
    RefusedBeforeRun,
    /// The connection broke while the statement was being sent.
    PartSent,
    /// The statement was sent and the connection broke before an answer.
    Sent,
    /// The statement was sent and no answer came in time; the connection is closed.
    TimedOut,
    /// The connection broke in the middle of the answer.
    PartAnswered,
    /// The answer is larger than the limit; the connection is closed.
    AnswerTooLarge,
    /// The instance answered with an error of its own and rolled the statement back.
    StatementFailed,
    /// A read's answer does not prove what the session has seen.
    AnswerStale,
    /// A write ran on the primary and its replication was not confirmed in time.
    NotReplicated,
}

/// `Effect` is what a request does to the database, as far as a retry is concerned.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Effect {
    /// A single read.
    Read,
    /// A single write that may run twice.
    IdempotentWrite,
    /// A single write that must run at most once.
    Write,
    /// The opening of a transaction.
    Begin,
    /// A statement in an open transaction.
    InTransaction,
    /// The commit of a transaction.
    Commit,
    /// The rollback of a transaction.
    Rollback,
}

/// `Resend` says whether another send of a request is safe.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Resend {
    /// The request may be sent again, elsewhere first.
    Elsewhere,
    /// The request gets its final answer at once.
    Never,
}

/// `Outcome` is a row of the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The code that the caller gets if the request is not sent again.
    pub code: RefusalCode,
    /// Whether another send is safe.
    pub resend: Resend,
}

/// `Attempt` is how far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// What the request does.
    pub effect: Effect,
    /// The number of sends so far; 1 after the first.
    pub sends: u32,
    /// The worst verdict of the sends before this one.
    pub prior_verdict: Verdict,
    /// The time by which the caller wants the answer.
    pub deadline: Time,
    /// The time that one more send is expected to take.
    pub expected: Span,
}

/// `Next` is what is done with a request that was cut.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send it again at this time.
    Retry {
        /// The time of the send.
        at: Time,
    },
    /// Answer the caller at once.
    Refuse(Refusal),
}

/// The number of sends of one request at most.
pub const MAX_SENDS: u32 = 4;

/// The longest pause before the first retry; it doubles with each further one.
pub const FIRST_PAUSE: Span = Span::from_millis(2);

impl Effect {
    /// Gets the effect of a single statement.
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

    /// Returns `true` if the request belongs to a transaction that one home holds.
    fn is_bound(self) -> bool {
        matches!(self, Effect::InTransaction | Effect::Commit | Effect::Rollback)
    }
}

/// Gets the outcome of a request with this effect that was cut at this place.
pub fn outcome(cut: Cut, effect: Effect) -> Outcome {
    let verdict = verdict(cut, effect);
    let is_safe = verdict == Verdict::NotRun || effect.is_idempotent();
    let resend = if is_safe && !effect.is_bound() && !is_final(cut) {
        Resend::Elsewhere
    } else {
        Resend::Never
    };
    Outcome { verdict, code: code(cut, effect), resend }
}

/// Decides on a request that was cut. `draw` is a random number for the pause.
pub fn decide(now: Time, cut: Cut, attempt: &Attempt, budget: &mut RetryBudget, draw: u64) -> Next {
    let outcome = outcome(cut, attempt.effect);
    let at = now + pause(attempt.sends, draw);
    let is_in_time = at + attempt.expected < attempt.deadline;
    let may_resend = outcome.resend == Resend::Elsewhere && attempt.sends < MAX_SENDS && is_in_time;
    if may_resend && (is_free(cut, attempt) || budget.take(now)) {
        return Next::Retry { at };
    }
    // An idempotent request may have run in an earlier send.
    let verdict = outcome.verdict.max(attempt.prior_verdict);
    let detail = format!("cut at: {cut}; sends: {}", attempt.sends);
    let retry_after = retry_after(outcome.code);
    Next::Refuse(Refusal { code: outcome.code, verdict, retry_after, detail })
}

/// Gets the time after which a caller should come back; `None` where that would not help.
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
        Cut::PartSent | Cut::Sent | Cut::TimedOut | Cut::PartAnswered => when_broken(effect),
        Cut::AnswerTooLarge => match effect {
            // The answer had begun, but only its end says that the write took effect.
            Effect::Read => Verdict::Ran,
            _ => when_broken(effect),
        },
        Cut::AnswerStale => Verdict::Ran,
        // A promotion may still drop the write.
        Cut::NotReplicated => Verdict::MayHaveRun,
    }
}

/// Gets the verdict on a statement whose connection is closed before its answer is whole.
fn when_broken(effect: Effect) -> Verdict {
    match effect {
        // The transaction ends with its connection and was not committed.
        Effect::Begin | Effect::InTransaction | Effect::Rollback => Verdict::NotRun,
        Effect::Read | Effect::IdempotentWrite | Effect::Write | Effect::Commit => {
            Verdict::MayHaveRun
        }
    }
}

/// Returns `true` if another send adds no load: nobody took the request in, and the other home is untried.
///
/// Otherwise the budget would be spent on a dead home before the others notice
/// it, and requests refused that the living home can serve.
fn is_free(cut: Cut, attempt: &Attempt) -> bool {
    matches!(cut, Cut::HomeUnreachable | Cut::HomeDraining)
        && attempt.sends < HOMES_PER_DATABASE as u32
}

/// Returns `true` if another send would fare no better.
fn is_final(cut: Cut) -> bool {
    matches!(
        cut,
        Cut::QueueDeadline | Cut::StatementFailed | Cut::AnswerTooLarge | Cut::NotReplicated
    )
}

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

/// Returns `true` if the cut ended the transaction before its commit was sent.
fn ends_transaction(cut: Cut, effect: Effect) -> bool {
    let prior_verdict = matches!(cut, Cut::BeforeSend | Cut::RefusedBeforeRun);
    let broken = matches!(cut, Cut::PartSent | Cut::Sent | Cut::TimedOut | Cut::PartAnswered);
    match effect {
        Effect::InTransaction | Effect::Rollback => prior_verdict || broken,
        Effect::Commit => prior_verdict,
        _ => false,
    }
}

/// Gets the pause before the next send: uniform up to a bound that doubles with each send.
fn pause(sends: u32, draw: u64) -> Span {
    let doublings = sends.saturating_sub(1).min(MAX_SENDS);
    let bound = FIRST_PAUSE.times(1 << doublings);
    Span(draw % (bound.0 + 1))
}
