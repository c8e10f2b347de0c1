//! Runs statements outside transactions, and retries them.

use std::sync::Arc;

use oleander_core::ids::InstanceId;
use oleander_core::statement::Access;
use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_peer::messages::WorkAnswer;
use oleander_routing::reads;
use oleander_routing::reads::Check;
use oleander_routing::retry;
use oleander_routing::retry::Attempt;
use oleander_routing::retry::Cut;
use oleander_routing::retry::Effect;
use oleander_routing::retry::Next;
use oleander_session::proof;
use oleander_session::token::SeenPoint;
use oleander_upstream::connection::Connection;
use oleander_upstream::connection::Outcome;
use oleander_upstream::errors::Error;
use oleander_upstream::guard;

use crate::home::admission::ReadTarget;
use crate::home::admission::SlotGuard;
use crate::home::admission::Target;
use crate::home::database::Home;
use crate::home::database::Job;
use crate::home::instances::TriedInstances;

/// The expected duration of another attempt at this home; without that much time left after the
/// backoff, a request is not sent again.
const EXPECTED_ATTEMPT_TIME: Span = Span::from_millis(5);

/// The maximum duration of the first attempt of a read, before it is sent to another instance.
const FIRST_ATTEMPT_LIMIT: Span = Span::from_millis(300);

/// `AttemptFailure` describes an attempt that got no result.
pub(crate) struct AttemptFailure {
    /// The point at which the attempt failed.
    pub cut: Cut,
    /// The refusal for the caller if there is no further attempt.
    pub refusal: Refusal,
}

/// `Attempts` counts the attempts of one request at this home and keeps their worst verdict.
pub(crate) struct Attempts {
    effect: Effect,
    sends: u32,
    worst_verdict: Verdict,
}

impl Home {
    /// Runs a read on the most suitable instance.
    ///
    /// An answer that is not recent enough is discarded, and the read is sent to another instance.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the statement changes rows or no attempt succeeded.
    pub(crate) async fn read(
        &self,
        job: &Job,
        statement: &Statement,
        seen: Vec<SeenPoint>,
        max_age: Option<Span>,
    ) -> Result<WorkAnswer, Refusal> {
        if guard::changes_rows(&statement.sql) {
            // A read may be sent twice, so a write must not be accepted as one.
            return Err(Refusal::not_run(RefusalCode::BadRequest, "the class reads only"));
        }
        let mut attempts = Attempts::new(Effect::Read);
        let mut target =
            ReadTarget { seen, max_age, deadline: job.deadline, tried: TriedInstances::new() };
        loop {
            let slot = self
                .admission
                .acquire(self.admission_request(job, Target::Read(target.clone())))
                .await?;
            self.recheck(job)?;
            match self.attempt_read(&slot, job, statement, &target).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => {
                    target.tried.push(InstanceId { database: self.id, ordinal: slot.ordinal });
                    // The slot is released before the pause.
                    drop(slot);
                    self.retry_or_fail(&mut attempts, job, failure).await?;
                }
            }
        }
    }

    /// Runs a write on the primary and waits for the replication that the database requires.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no attempt succeeded or the replication was not confirmed. Returns one
    /// with code `HistoryLost` if the write ran, but on a history that lacks a point in `seen`.
    pub(crate) async fn write(
        &self,
        job: &Job,
        statement: &Statement,
        access: Access,
        seen: Vec<SeenPoint>,
    ) -> Result<WorkAnswer, Refusal> {
        let mut attempts = Attempts::new(Effect::of_single(access));
        loop {
            let slot = self.admission.acquire(self.admission_request(job, Target::Primary)).await?;
            self.recheck(job)?;
            let outcome = self.attempt_write(&slot, job, statement, access, &seen).await;
            let (ordinal, queued) = (slot.ordinal, slot.queued);
            drop(slot);
            match outcome {
                Ok(outcome) => {
                    // The session has seen points that a promotion dropped from the history.
                    let history_lost =
                        proof::check_points(&outcome.status, &seen) == proof::Proof::Lost;
                    let durable =
                        self.acks.confirm(ordinal, outcome.status.point, job.deadline).await?;
                    if history_lost {
                        let detail = "the write ran, but a change of primary dropped a part of what this session has seen";
                        return Err(Refusal::ran(RefusalCode::HistoryLost, detail));
                    }
                    let seen = SeenPoint { point: outcome.status.point, durable };
                    return Ok(self.work_answer(
                        job,
                        ordinal,
                        outcome.rows,
                        seen,
                        Role::Primary,
                        queued,
                    ));
                }
                Err(failure) => self.retry_or_fail(&mut attempts, job, failure).await?,
            }
        }
    }

    /// Waits before the next attempt if the request can be retried.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if the request must not be sent again, or has no time or retry
    /// budget left.
    pub(crate) async fn retry_or_fail(
        &self,
        attempts: &mut Attempts,
        job: &Job,
        failure: AttemptFailure,
    ) -> Result<(), Refusal> {
        attempts.sends += 1;
        let attempt = Attempt {
            effect: attempts.effect,
            sends: attempts.sends,
            prior_verdict: attempts.worst_verdict,
            deadline: job.deadline,
            expected: EXPECTED_ATTEMPT_TIME,
        };
        let now = self.context.timers.now();
        let next =
            retry::decide(now, failure.cut, &attempt, &mut self.retry_budget(), rand::random());
        match next {
            Next::Retry { at } => {
                attempts.worst_verdict = attempts.worst_verdict.max(failure.refusal.verdict);
                self.context.timers.sleep_until(at).await;
                Ok(())
            }
            Next::Refuse(decided) => Err(Refusal {
                verdict: decided.verdict,
                retry_after: decided.retry_after,
                ..failure.refusal
            }),
        }
    }

    /// Creates the answer to a request, without a transaction.
    pub(crate) fn work_answer(
        &self,
        job: &Job,
        ordinal: u8,
        rows: Rows,
        seen: SeenPoint,
        role: Role,
        queued: Span,
    ) -> WorkAnswer {
        WorkAnswer {
            id: job.request.id,
            rows,
            seen,
            instance: InstanceId { database: self.id, ordinal },
            replica: role == Role::Replica,
            transaction: None,
            queued,
        }
    }

    /// Records a status from a connection used for requests, and marks the instance reachable.
    pub(crate) fn observe_status(&self, ordinal: u8, status: InstanceStatus, requested_at: Time) {
        self.admission.update(|instances| {
            instances.record_status(ordinal, status, requested_at);
            instances.set_reachable(ordinal, true);
        });
        self.update_acks();
    }

    /// Converts an upstream error to a failed attempt.
    ///
    /// Returns the connection to the pool, or discards it after a timeout. Marks the instance
    /// unreachable if the connection could not be opened or was lost.
    pub(crate) fn fail(
        &self,
        ordinal: u8,
        error: &Error,
        connection: Option<Connection>,
        effect: Effect,
    ) -> AttemptFailure {
        if let (Some(connection), Some(pool)) = (connection, self.pool(ordinal)) {
            match error {
                Error::Timeout => pool.discard_silent(connection),
                _ => pool.put_back(connection),
            }
        }
        if matches!(error, Error::Connect(_) | Error::Lost(_)) {
            self.admission.update(|instances| instances.set_reachable(ordinal, false));
        }
        let cut = cut_of(error);
        let verdict = retry::outcome(cut, effect).verdict;
        AttemptFailure { cut, refusal: Refusal { verdict, ..error.refusal() } }
    }

    async fn attempt_read(
        &self,
        slot: &Arc<SlotGuard>,
        job: &Job,
        statement: &Statement,
        target: &ReadTarget,
    ) -> Result<WorkAnswer, AttemptFailure> {
        let ordinal = slot.ordinal;
        let mut connection = self
            .connect(ordinal, job)
            .await
            .map_err(|error| self.fail(ordinal, &error, None, Effect::Read))?;
        connection.attach(slot.clone());
        let requested_at = self.context.timers.now();
        // If the first attempt gets no answer, its connection may be silent; the remaining time is
        // left for other instances.
        let limit =
            if target.tried.is_empty() { requested_at + FIRST_ATTEMPT_LIMIT } else { job.deadline };
        let limit = self.to_instant(limit.min(job.deadline));
        let outcome = connection.read(&job.workspace, statement, limit).await;
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => return Err(self.fail(ordinal, &error, Some(connection), Effect::Read)),
        };
        if let Some(pool) = self.pool(ordinal) {
            pool.put_back(connection);
        }
        self.observe_status(ordinal, outcome.status, requested_at);
        let now = self.context.timers.now();
        let need = target.need();
        let id = InstanceId { database: self.id, ordinal };
        // The statement saw nothing newer than the status requested after it.
        let (check, seen) = self.admission.with_instances(|instances| {
            let group = instances.group();
            let check = group.check_answer(now, &outcome.status, &need);
            (check, group.seen_point(id, &outcome.after))
        });
        match check {
            Check::Accept(_) => {
                let (role, queued) = (outcome.status.role, slot.queued);
                Ok(self.work_answer(job, ordinal, outcome.rows, seen, role, queued))
            }
            Check::Retry => Err(AttemptFailure { cut: Cut::AnswerStale, refusal: stale_answer() }),
            Check::HistoryLost => {
                Err(AttemptFailure { cut: Cut::StatementFailed, refusal: reads::history_lost() })
            }
        }
    }

    async fn attempt_write(
        &self,
        slot: &Arc<SlotGuard>,
        job: &Job,
        statement: &Statement,
        access: Access,
        seen: &[SeenPoint],
    ) -> Result<Outcome, AttemptFailure> {
        let ordinal = slot.ordinal;
        let effect = Effect::of_single(access);
        self.check_primary_term(ordinal, access, seen)?;
        let mut connection = self
            .connect(ordinal, job)
            .await
            .map_err(|error| self.fail(ordinal, &error, None, effect))?;
        connection.attach(slot.clone());
        // The key or the share may have been withdrawn during the wait for a connection.
        if let Err(refusal) = self.recheck(job) {
            if let Some(pool) = self.pool(ordinal) {
                pool.put_back(connection);
            }
            return Err(AttemptFailure { cut: Cut::StatementFailed, refusal });
        }
        let requested_at = self.context.timers.now();
        match connection.write(&job.workspace, statement, self.to_instant(job.deadline)).await {
            Ok(outcome) => {
                if let Some(pool) = self.pool(ordinal) {
                    pool.put_back(connection);
                }
                self.observe_status(ordinal, outcome.status, requested_at);
                Ok(outcome)
            }
            Err(error) => Err(self.fail(ordinal, &error, Some(connection), effect)),
        }
    }
}

impl Home {
    /// Refuses a write before it is sent if the instance's last known status shows that it is not
    /// the primary or lacks a point of another term that the session has seen.
    ///
    /// Points of the status's own term are not checked: the status is older than the write, so the
    /// primary may have reached them since.
    fn check_primary_term(
        &self,
        ordinal: u8,
        access: Access,
        seen: &[SeenPoint],
    ) -> Result<(), AttemptFailure> {
        let known = self.admission.with_instances(|instances| {
            let id = instances.id(ordinal)?;
            instances
                .group()
                .statuses()
                .find(|(instance, _)| *instance == id)
                .map(|(_, known)| known.status)
        });
        let Some(status) = known else { return Ok(()) };
        let other_terms: Vec<SeenPoint> =
            seen.iter().filter(|seen| seen.point.term != status.point.term).copied().collect();
        reads::check_primary(&status, access, &other_terms).map_err(|refusal| {
            let is_lost = refusal.code == RefusalCode::HistoryLost;
            let cut = if is_lost { Cut::StatementFailed } else { Cut::RefusedBeforeRun };
            AttemptFailure { cut, refusal }
        })
    }
}

impl Attempts {
    /// Starts the count for a request with this effect.
    pub(crate) fn new(effect: Effect) -> Self {
        Self { effect, sends: 0, worst_verdict: Verdict::NotRun }
    }
}

/// Returns the point of failure that an upstream error indicates.
pub(crate) fn cut_of(error: &Error) -> Cut {
    match error {
        Error::Connect(_) | Error::TooManyConnections | Error::NoConnection => Cut::BeforeSend,
        Error::NotPrimary | Error::WrongTerm => Cut::RefusedBeforeRun,
        Error::Forbidden(_) => Cut::StatementFailed,
        Error::Answered { .. } if error.verdict() == Verdict::NotRun => Cut::StatementFailed,
        Error::Answered { .. } | Error::Lost(_) | Error::Identity(_) => Cut::Sent,
        Error::Timeout => Cut::TimedOut,
        Error::Protocol(_) => Cut::PartAnswered,
        Error::AnswerTooLarge => Cut::AnswerTooLarge,
        Error::TermChanged | Error::PositionUnknown => Cut::NotReplicated,
    }
}

fn stale_answer() -> Refusal {
    let detail = "no instance has caught up with what this session has seen";
    Refusal::not_run(RefusalCode::UpstreamUnavailable, detail)
}
