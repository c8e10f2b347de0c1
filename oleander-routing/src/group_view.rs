//! A home's view of one database group, built from instance statuses.

use oleander_core::ids::InstanceId;
use oleander_core::places::Distance;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_session::proof;
use oleander_session::token::SeenPoint;
use smallvec::SmallVec;

use crate::lag;
use crate::lag::Lag;
use crate::reads;
use crate::reads::Candidate;
use crate::reads::CandidateState;
use crate::reads::Check;
use crate::reads::Choice;
use crate::reads::Group;
use crate::reads::Options;
use crate::reads::ReadNeed;
use crate::samples;
use crate::samples::Sample;
use crate::samples::Samples;
use crate::samples::StatusAt;

/// The weight of a new service time in the moving average, as a divisor (1/16).
const SERVICE_WEIGHT: u64 = 16;

/// `GroupView` is a home's view of one database group.
///
/// Pass every status to `record_status`: those of pings and those that precede statements. Use only
/// statuses that this process requested itself, since their age must be known.
#[derive(Clone, Debug, Default)]
pub struct GroupView {
    members: SmallVec<[Member; 3]>,
    /// The primary's position over time, from its own statuses.
    progress: Samples,
    /// The samples that a majority of the group confirmed.
    confirmed: Samples,
}

/// `Load` is the load of an instance as seen by this home's queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// The expected time until a slot is free for the request.
    pub wait: Span,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    instance: InstanceId,
    distance: Distance,
    state: CandidateState,
    last_status: Option<StatusAt>,
    lag: Lag,
    /// The moving average of the execution time of statements; zero before the first.
    service: Span,
}

impl GroupView {
    /// Creates a view without statuses in which all instances are ready. The distances are those
    /// from this home.
    pub fn new(instances: impl IntoIterator<Item = (InstanceId, Distance)>) -> Self {
        let members = instances.into_iter().map(|(instance, distance)| Member {
            instance,
            distance,
            state: CandidateState::Ready,
            last_status: None,
            lag: Lag::default(),
            service: Span::ZERO,
        });
        Self { members: members.collect(), ..Self::default() }
    }

    /// Records a status. Ignores one that was requested before the last recorded one, and one of an
    /// instance that is not in the group.
    pub fn record_status(&mut self, instance: InstanceId, observed: StatusAt) {
        let Some(member) = self.member_mut(instance) else { return };
        if member.last_status.is_some_and(|last| observed.requested_at < last.requested_at) {
            return;
        }
        member.last_status = Some(observed);
        if observed.status.role == Role::Primary {
            self.progress
                .push(Sample { time: observed.requested_at, point: observed.status.point });
        } else if let Some(delay) = lag::delay(&self.progress, observed)
            && let Some(member) = self.member_mut(instance)
        {
            member.lag.record(delay);
        }
        if let Some(sample) = samples::confirmed(self.members.len(), self.statuses_at()) {
            self.confirmed.push(sample);
        }
    }

    /// Records the execution time of a statement on an instance, without the time in the queue.
    pub fn record_service_time(&mut self, instance: InstanceId, service: Span) {
        let Some(member) = self.member_mut(instance) else { return };
        let sum = member.service.0.saturating_mul(SERVICE_WEIGHT - 1).saturating_add(service.0);
        member.service = Span(sum / SERVICE_WEIGHT);
    }

    /// Sets whether an instance can be used. Ignores an instance that is not in the group.
    pub fn set_state(&mut self, instance: InstanceId, state: CandidateState) {
        if let Some(member) = self.member_mut(instance) {
            member.state = state;
        }
    }

    /// Returns the primary of the highest known term; `None` if it is unknown or not ready.
    pub fn primary(&self) -> Option<InstanceId> {
        let statuses =
            self.members.iter().filter_map(|member| Some((member, member.last_status?.status)));
        let (member, status) = statuses.max_by_key(|(_, status)| {
            (status.point.term, status.role == Role::Primary, status.point.position)
        })?;
        let is_usable = status.role == Role::Primary && member.state == CandidateState::Ready;
        is_usable.then_some(member.instance)
    }

    /// Chooses the instance for a read. `load` returns the load of an instance at this home;
    /// `excluded` are the instances that the read has already tried.
    pub fn choose(
        &self,
        now: Time,
        need: &ReadNeed<'_>,
        load: impl Fn(InstanceId) -> Load,
        excluded: &[InstanceId],
        options: &Options,
    ) -> Choice {
        let candidates: SmallVec<[Candidate; 3]> = self
            .members
            .iter()
            .map(|member| member.candidate(load(member.instance), excluded))
            .collect();
        let group =
            Group { candidates: &candidates, progress: &self.progress, confirmed: &self.confirmed };
        reads::choose(now, need, &group, options)
    }

    /// Checks a read's answer against the status that preceded its statement.
    pub fn check_answer(&self, now: Time, status: &InstanceStatus, need: &ReadNeed<'_>) -> Check {
        reads::check_answer(now, status, need, &self.confirmed)
    }

    /// Returns the point to record in the session's token after a statement on `instance`. `status`
    /// must have been requested after the statement.
    pub fn seen_point(&self, instance: InstanceId, status: &InstanceStatus) -> SeenPoint {
        let statuses = self
            .members
            .iter()
            .filter_map(|member| Some((member.instance, member.last_status?.status)));
        let size = self.members.len();
        let durable = proof::is_durable(status, instance, statuses, size);
        SeenPoint { point: status.point, durable }
    }

    /// Returns the last status of each instance that has one.
    pub fn statuses(&self) -> impl Iterator<Item = (InstanceId, StatusAt)> {
        self.members.iter().filter_map(|member| Some((member.instance, member.last_status?)))
    }

    fn statuses_at(&self) -> impl Iterator<Item = StatusAt> + Clone {
        self.members.iter().filter_map(|member| member.last_status)
    }

    fn member_mut(&mut self, instance: InstanceId) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.instance == instance)
    }
}

impl Member {
    fn candidate(&self, load: Load, excluded: &[InstanceId]) -> Candidate {
        let is_excluded = excluded.contains(&self.instance);
        Candidate {
            instance: self.instance,
            distance: self.distance,
            state: if is_excluded { CandidateState::Excluded } else { self.state },
            status: self.last_status,
            lag: self.lag,
            wait: load.wait,
            service: self.service,
        }
    }
}
