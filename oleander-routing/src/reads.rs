//! The choice of an instance for a read, and the check of its answer.
//!
//! Known positions are only a hint. The status that the chosen instance gives on
//! the same connection right before the statement is the proof, and an answer
//! that does not prove enough is thrown away and the read sent elsewhere:
//!
//! 1. `choose` with the candidates. `WaitFor` holds no slot; choose again at its time.
//! 2. Run the status question and the statement on the instance.
//! 3. `check_answer` with that status. On `Retry`, mark the candidate excluded and choose again.
//! 4. On `Accept`, record in the token the point of a status that was asked for after the
//!    statement: the statement may have seen more than the status before it says.

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

/// `ReadNeed` is what a read asks of its answer.
#[derive(Clone, Copy, Debug)]
pub struct ReadNeed<'a> {
    /// The log points of the database that the session has seen.
    pub seen: &'a [SeenPoint],
    /// The age of data that the read accepts; `None` asks for the session's guarantee alone.
    pub max_age: Option<Span>,
    /// The time by which the caller wants the answer.
    pub deadline: Time,
}

/// `Candidate` is one instance of the database as a home knows it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceId,
    /// How far it is from the home.
    pub distance: Distance,
    /// Whether it can be used.
    pub state: CandidateState,
    /// The last status.
    pub status: Option<StatusAt>,
    /// The estimate of its delay behind the primary.
    pub lag: Lag,
    /// The expected time until a slot on it is free for this read.
    pub wait: Span,
    /// The expected time that a read runs on it.
    pub service: Span,
}

/// `CandidateState` is whether an instance can be used for a read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CandidateState {
    /// It answers and takes work.
    Ready,
    /// It does not answer.
    Unreachable,
    /// It is leaving and gets no new work.
    Leaving,
    /// It has been tried for this read.
    Excluded,
}

/// `Group` is what a home knows of one database.
#[derive(Clone, Copy, Debug)]
pub struct Group<'a> {
    /// The instances.
    pub candidates: &'a [Candidate],
    /// The primary's position over time, from its statuses and answers.
    pub progress: &'a Samples,
    /// The samples that a majority of the group confirmed; they prove the age of data.
    pub confirmed: &'a Samples,
}

/// `Options` are the settings of the choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// The round trips by distance.
    pub round_trips: RoundTrips,
    /// The time that a read waits for a replica to catch up rather than take the primary,
    /// in percent of the time left to its deadline. Such a wait takes no slot.
    pub patience: u64,
    /// The extra time that a read spends in a replica's queue rather than take the primary.
    pub detour: Span,
}

impl Default for Options {
    fn default() -> Self {
        Self { round_trips: RoundTrips::default(), patience: 45, detour: Span::from_millis(50) }
    }
}

/// `Choice` is the next step of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send the read to this instance.
    Run(InstanceId),
    /// Hold the read back without a slot until then, and choose again; the replica will have caught up.
    WaitFor {
        /// The instance that is expected to serve it.
        instance: InstanceId,
        /// The time of the next choice.
        until: Time,
    },
    /// Refuse the read at once.
    Refuse(Refusal),
}

/// `Check` is what becomes of a read's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Check {
    /// The answer is good and has at least this point.
    Accept(LogPoint),
    /// The answer is too old; send the read to another instance.
    Retry,
    /// A promotion dropped what the session has seen.
    HistoryLost,
}

/// The cost of an instance that has not followed the newest term: it may be cut off with its old primary.
const OLD_TERM_COST: Span = Span::from_secs(1);

/// Chooses the instance for a read by the least expected cost.
pub fn choose(now: Time, need: &ReadNeed<'_>, group: &Group<'_>, options: &Options) -> Choice {
    if need.deadline <= now {
        return refuse(RefusalCode::DeadlineExceeded, "the deadline has passed");
    }
    let Some(target) = Target::new(now, need, group) else {
        let detail = "nothing shows that data is within the age asked for";
        return refuse(RefusalCode::UpstreamUnavailable, detail);
    };
    let term = highest_term(group.candidates);
    let ready = group.candidates.iter().filter(|one| one.state == CandidateState::Ready);
    let (mut primary, mut replica) = (None, None);
    for offer in ready.filter_map(|one| Offer::new(now, one, &target, group, term, options)) {
        let best = if offer.role == Role::Primary { &mut primary } else { &mut replica };
        if best.as_ref().is_none_or(|best: &Offer| offer.cost < best.cost) {
            *best = Some(offer);
        }
    }
    let patience = Span(need.deadline.since(now).0.saturating_mul(options.patience) / 100);
    let best = match (primary, replica) {
        (Some(primary), Some(replica)) => {
            // Waiting for a replica takes no slot, so it is free up to the patience; the
            // primary's slots are needed for writes, so it is dearer by the detour.
            let price = replica.cost.saturating_sub(replica.held.min(patience));
            if primary.cost + options.detour < price { primary } else { replica }
        }
        (Some(only), None) | (None, Some(only)) => only,
        (None, None) => return no_offer(&target, group),
    };
    if best.ready_at <= now {
        return Choice::Run(best.instance);
    }
    Choice::WaitFor { instance: best.instance, until: best.ready_at }
}

/// Checks the status that the instance gave right before the statement, once the answer is whole.
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
    let is_young = confirmed
        .floor(now, age)
        .is_some_and(|floor| proof::check_point(status, transient(floor)) == Proof::Fresh);
    if is_young { Check::Accept(status.point) } else { Check::Retry }
}

/// Checks the status of the instance that is about to run a write or to open a transaction.
///
/// # Errors
///
/// Refuses, not run, if the instance is not primary or lacks what the session has seen.
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

/// Makes the refusal of a session whose history a promotion dropped.
pub fn history_lost() -> Refusal {
    let detail = "a change of primary dropped a part of what this session has seen; \
                  start a new session without the token";
    Refusal::not_run(RefusalCode::HistoryLost, detail)
}

/// Gets the highest term of the known statuses. Tokens do not count: anyone can forge one.
pub fn highest_term(candidates: &[Candidate]) -> Term {
    let statuses = candidates.iter().filter_map(|one| one.status);
    statuses.map(|known| known.status.point.term).max().unwrap_or_default()
}

/// `Target` is the points that an answer must include, with the age turned into a point.
struct Target {
    points: SmallVec<[SeenPoint; 2]>,
    seen: usize,
}

impl Target {
    /// Gets `None` if the age asked for cannot be shown by any sample.
    fn new(now: Time, need: &ReadNeed<'_>, group: &Group<'_>) -> Option<Self> {
        let mut points = SmallVec::from_slice(need.seen);
        if let Some(age) = need.max_age {
            points.push(transient(group.confirmed.floor(now, age)?));
        }
        Some(Self { points, seen: need.seen.len() })
    }

    fn seen(&self) -> &[SeenPoint] {
        &self.points[..self.seen]
    }
}

/// `Offer` is the expected cost of one candidate.
struct Offer {
    instance: InstanceId,
    role: Role,
    /// The time at which the read joins the queue.
    ready_at: Time,
    /// The part of the cost that is spent on waiting for the replica to catch up.
    held: Span,
    /// The expected time until the answer.
    cost: Span,
}

impl Offer {
    /// Gets `None` if the candidate cannot serve the read.
    fn new(
        now: Time,
        one: &Candidate,
        target: &Target,
        group: &Group<'_>,
        term: Term,
        options: &Options,
    ) -> Option<Self> {
        let StatusAt { status, .. } = one.status?;
        let is_of_term = status.point.term == term;
        let penalty = if is_of_term { Span::ZERO } else { OLD_TERM_COST };
        let run = options.round_trips.over(one.distance) + one.service + penalty;
        let offer = |role, fresh_at: Time| {
            let held = fresh_at.since(now).saturating_sub(one.wait);
            // The queue is joined in time to leave it when the replica has caught up.
            let cost = held + one.wait + run;
            Self { instance: one.instance, role, ready_at: now + held, held, cost }
        };
        if status.role == Role::Primary && is_of_term {
            let is_lost = proof::check_points(&status, target.seen()) == Proof::Lost;
            return (!is_lost).then(|| offer(Role::Primary, now));
        }
        let follows = is_of_term && status.role == Role::Replica;
        match proof::check_points(&status, &target.points) {
            Proof::Fresh => Some(offer(Role::Replica, now)),
            Proof::Behind if follows => {
                Some(offer(Role::Replica, caught_up_at(now, one.lag.likely()?, target, group)))
            }
            Proof::Behind | Proof::Lost => None,
        }
    }
}

/// Gets the time at which a replica with this delay is expected to have all points.
fn caught_up_at(now: Time, lag: Span, target: &Target, group: &Group<'_>) -> Time {
    let reached = |seen: &SeenPoint| group.progress.reached(seen.point.position).unwrap_or(now);
    let last = target.points.iter().map(reached).max().unwrap_or(now);
    (last + lag).max(now)
}

fn no_offer(target: &Target, group: &Group<'_>) -> Choice {
    let newest =
        group.candidates.iter().filter_map(|one| one.status).max_by_key(|known| known.status.point);
    let is_lost = newest
        .is_some_and(|known| proof::check_points(&known.status, target.seen()) == Proof::Lost);
    if is_lost {
        return Choice::Refuse(history_lost());
    }
    refuse(RefusalCode::UpstreamUnavailable, "no instance can serve the read now")
}

/// Gets a floor as a point. A sample is of the newest term known, so durability adds nothing.
fn transient(point: LogPoint) -> SeenPoint {
    SeenPoint { point, durable: false }
}

fn refuse(code: RefusalCode, detail: &str) -> Choice {
    Choice::Refuse(Refusal::not_run(code, detail))
}
