//! The choice of an instance for a read, and the check of its answer.
//!
//! The positions recorded earlier are only a hint. What proves that an answer is recent enough is
//! the status that the chosen instance returns on the same connection immediately before the
//! statement. An answer without sufficient proof is discarded and the read is sent elsewhere:
//!
//! 1. Call `choose` with the candidates. `WaitFor` holds no slot; call it again at the given time.
//! 2. Run the status query and the statement on the instance.
//! 3. Call `check_answer` with that status. On `Retry`, exclude the candidate and choose again.
//! 4. On `Accept`, record in the session's token the point of a status requested after the
//!    statement: the statement may have read newer data than the preceding status shows.

use oleander_core::ids::InstanceId;
use oleander_core::places::Distance;
use oleander_core::statement::Access;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_session::proof;
use oleander_session::proof::Proof;
use oleander_session::token::SeenPoint;
use smallvec::SmallVec;

use crate::homes::RoundTrips;
use crate::lag::Lag;
use crate::samples::Samples;
use crate::samples::StatusAt;

/// `ReadNeed` holds the requirements of a read on its answer.
#[derive(Clone, Copy, Debug)]
pub struct ReadNeed<'a> {
    /// The log points of the database that the session has seen.
    pub seen: &'a [SeenPoint],
    /// The maximum age of the data; `None` requires only what the session has seen.
    pub max_age: Option<Span>,
    /// The time by which the caller needs the answer.
    pub deadline: Time,
}

/// `Candidate` is one instance of the database as seen by a home.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The identifier of the instance.
    pub instance: InstanceId,
    /// The distance from the home.
    pub distance: Distance,
    /// Whether it can be used for this read.
    pub state: CandidateState,
    /// The last recorded status; `None` if it has not reported one.
    pub status: Option<StatusAt>,
    /// The estimate of its replication lag.
    pub lag: Lag,
    /// The expected time until a slot on it is free for this read.
    pub wait: Span,
    /// The expected execution time of a read.
    pub service: Span,
}

/// `CandidateState` states whether an instance can be used for a read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CandidateState {
    /// It responds and accepts work.
    Ready,
    /// It does not respond.
    Unreachable,
    /// It is being removed from the configuration and gets no new work.
    Leaving,
    /// It has already been tried for this read.
    Excluded,
}

/// `Group` holds the state of one database group that `choose` decides on.
#[derive(Clone, Copy, Debug)]
pub struct Group<'a> {
    /// The instances of the group.
    pub candidates: &'a [Candidate],
    /// The primary's position over time, from its own statuses.
    pub progress: &'a Samples,
    /// The samples that a majority of the group confirmed. Only these prove the age of data.
    pub confirmed: &'a Samples,
}

/// `Options` holds the settings of `choose`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// The round-trip times to the instances by distance.
    pub round_trips: RoundTrips,
    /// The time that a read may wait for a replica to catch up instead of using the primary, as a
    /// percentage of the time left until its deadline. Such a wait holds no slot.
    pub catchup_percent: u64,
    /// The extra time that a read may spend in a replica's queue instead of using the primary.
    pub queue_slack: Span,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            round_trips: RoundTrips::default(),
            catchup_percent: 45,
            queue_slack: Span::from_millis(50),
        }
    }
}

/// `Choice` is the next step of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send the read to this instance.
    Run(InstanceId),
    /// Wait until the given time without holding a slot, then choose again. The replica should have
    /// caught up by then.
    WaitFor {
        /// The instance that is expected to serve the read.
        instance: InstanceId,
        /// The time of the next choice.
        until: Time,
    },
    /// Refuse the read immediately.
    Refuse(Refusal),
}

/// `Check` is the result of checking a read's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Check {
    /// The answer meets the requirements and includes at least this point.
    Accept(LogPoint),
    /// The answer is not proven to be recent enough; send the read to another instance.
    Retry,
    /// A promotion dropped writes that the session has seen.
    HistoryLost,
}

/// The extra cost, as a time, of an instance of an older term, which may be partitioned together
/// with its old primary.
const OLD_TERM_PENALTY: Span = Span::from_secs(1);

/// Chooses the instance with the lowest expected cost for a read.
pub fn choose(now: Time, need: &ReadNeed<'_>, group: &Group<'_>, options: &Options) -> Choice {
    if need.deadline <= now {
        return refuse(RefusalCode::DeadlineExceeded, "the deadline has passed");
    }
    let Some(required) = RequiredPoints::new(now, need, group) else {
        let detail = "nothing shows that data is within the age asked for";
        return refuse(RefusalCode::UpstreamUnavailable, detail);
    };
    let term = highest_term(group.candidates);
    let ready =
        group.candidates.iter().filter(|candidate| candidate.state == CandidateState::Ready);
    let (mut primary, mut replica) = (None, None);
    for estimate in ready
        .filter_map(|candidate| CostEstimate::new(now, candidate, &required, group, term, options))
    {
        let best = if estimate.role == Role::Primary { &mut primary } else { &mut replica };
        if best.as_ref().is_none_or(|best: &CostEstimate| estimate.cost < best.cost) {
            *best = Some(estimate);
        }
    }
    let max_wait = Span(need.deadline.since(now).0.saturating_mul(options.catchup_percent) / 100);
    let best = match (primary, replica) {
        (Some(primary), Some(replica)) => {
            // Waiting for a replica holds no slot, so it costs nothing up to `max_wait`. The
            // primary's slots are needed for writes, so a replica may cost `queue_slack` more.
            let charged_cost = replica.cost.saturating_sub(replica.catch_up.min(max_wait));
            if primary.cost + options.queue_slack < charged_cost { primary } else { replica }
        }
        (Some(only), None) | (None, Some(only)) => only,
        (None, None) => return refuse_without_candidate(&required, group),
    };
    if best.ready_at <= now {
        return Choice::Run(best.instance);
    }
    Choice::WaitFor { instance: best.instance, until: best.ready_at }
}

/// Checks a complete answer against the status that the instance returned immediately before the
/// statement.
pub fn check_answer(
    now: Time,
    status: &InstanceStatus,
    need: &ReadNeed<'_>,
    confirmed: &Samples,
) -> Check {
    match proof::check_current(status, need.seen) {
        Proof::Lost => return Check::HistoryLost,
        Proof::Behind => return Check::Retry,
        Proof::Fresh => {}
    }
    let Some(age) = need.max_age else { return Check::Accept(status.point) };
    let is_within_age = confirmed
        .floor(now, age)
        .is_some_and(|floor| proof::check_point(status, non_durable(floor)) == Proof::Fresh);
    if is_within_age { Check::Accept(status.point) } else { Check::Retry }
}

/// Checks the status of an instance that is about to run a write or to open a transaction.
///
/// # Errors
///
/// Returns a refusal with verdict `NotRun` if `access` is a write and the instance is not the
/// primary, or if the instance lacks what the session has seen.
pub fn check_primary(
    status: &InstanceStatus,
    access: Access,
    seen: &[SeenPoint],
) -> Result<(), Refusal> {
    if access.is_write() && status.role != Role::Primary {
        let detail = "the instance is not the primary any more";
        return Err(Refusal::not_run(RefusalCode::UpstreamUnavailable, detail));
    }
    match proof::check_current(status, seen) {
        Proof::Fresh => Ok(()),
        Proof::Behind => {
            let detail = "the session has seen a newer term than this instance";
            Err(Refusal::not_run(RefusalCode::UpstreamUnavailable, detail))
        }
        Proof::Lost => Err(history_lost()),
    }
}

/// Creates the refusal for a session of which a promotion dropped seen writes.
pub fn history_lost() -> Refusal {
    let detail = "a change of primary dropped a part of what this session has seen; \
                  start a new session without the token";
    Refusal::not_run(RefusalCode::HistoryLost, detail)
}

/// Returns the highest term among the statuses. Terms in session tokens are not considered because
/// anyone can forge a token.
pub fn highest_term(candidates: &[Candidate]) -> Term {
    let statuses = candidates.iter().filter_map(|candidate| candidate.status);
    statuses.map(|last| last.status.point.term).max().unwrap_or_default()
}

/// `RequiredPoints` holds the log points that an answer must include.
///
/// The points seen by the session come first; a maximum age adds one more point.
struct RequiredPoints {
    points: SmallVec<[SeenPoint; 2]>,
    /// The number of leading points that the session has seen.
    seen: usize,
}

impl RequiredPoints {
    /// Returns `None` if no sample proves the maximum age.
    fn new(now: Time, need: &ReadNeed<'_>, group: &Group<'_>) -> Option<Self> {
        let mut points = SmallVec::from_slice(need.seen);
        if let Some(age) = need.max_age {
            points.push(non_durable(group.confirmed.floor(now, age)?));
        }
        Some(Self { points, seen: need.seen.len() })
    }

    fn seen(&self) -> &[SeenPoint] {
        &self.points[..self.seen]
    }
}

/// `CostEstimate` is the expected cost of a read on one candidate.
struct CostEstimate {
    instance: InstanceId,
    role: Role,
    /// The time at which the read joins the queue.
    ready_at: Time,
    /// The part of the cost that is spent waiting for the replica to catch up, outside the queue.
    catch_up: Span,
    /// The expected time until the answer.
    cost: Span,
}

impl CostEstimate {
    /// Returns `None` if the candidate cannot serve the read.
    fn new(
        now: Time,
        candidate: &Candidate,
        required: &RequiredPoints,
        group: &Group<'_>,
        term: Term,
        options: &Options,
    ) -> Option<Self> {
        let StatusAt { status, .. } = candidate.status?;
        let is_of_term = status.point.term == term;
        let penalty = if is_of_term { Span::ZERO } else { OLD_TERM_PENALTY };
        let run = options.round_trips.over(candidate.distance) + candidate.service + penalty;
        let estimate = |role, fresh_at: Time| {
            let catch_up = fresh_at.since(now).saturating_sub(candidate.wait);
            // The read joins the queue early enough to leave it when the replica has caught up.
            let cost = catch_up + candidate.wait + run;
            Self { instance: candidate.instance, role, ready_at: now + catch_up, catch_up, cost }
        };
        if status.role == Role::Primary && is_of_term {
            let is_lost = proof::check_points(&status, required.seen()) == Proof::Lost;
            return (!is_lost).then(|| estimate(Role::Primary, now));
        }
        let follows = is_of_term && status.role == Role::Replica;
        match proof::check_points(&status, &required.points) {
            Proof::Fresh => Some(estimate(Role::Replica, now)),
            Proof::Behind if follows => Some(estimate(
                Role::Replica,
                caught_up_at(now, candidate.lag.estimate()?, required, group),
            )),
            Proof::Behind | Proof::Lost => None,
        }
    }
}

/// Returns the time at which a replica with this lag is expected to have applied all points.
fn caught_up_at(now: Time, lag: Span, required: &RequiredPoints, group: &Group<'_>) -> Time {
    let reached =
        |seen: &SeenPoint| group.progress.first_at_or_after(seen.point.position).unwrap_or(now);
    let last = required.points.iter().map(reached).max().unwrap_or(now);
    (last + lag).max(now)
}

/// Returns the refusal of a read that no candidate can serve: lost history if even the newest
/// status lacks what the session has seen because of a promotion.
fn refuse_without_candidate(required: &RequiredPoints, group: &Group<'_>) -> Choice {
    let newest = group
        .candidates
        .iter()
        .filter_map(|candidate| candidate.status)
        .max_by_key(|last| last.status.point);
    let is_lost = newest
        .is_some_and(|last| proof::check_points(&last.status, required.seen()) == Proof::Lost);
    if is_lost {
        return Choice::Refuse(history_lost());
    }
    refuse(RefusalCode::UpstreamUnavailable, "no instance can serve the read now")
}

/// Converts the point of a sample. Samples are of the newest known term, so whether the point is
/// durable makes no difference to the proof.
fn non_durable(point: LogPoint) -> SeenPoint {
    SeenPoint { point, durable: false }
}

fn refuse(code: RefusalCode, detail: &str) -> Choice {
    Choice::Refuse(Refusal::not_run(code, detail))
}
