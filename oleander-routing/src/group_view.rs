//! What a home knows of one database group, kept from statuses and answers.

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

/// The weight of a new service time in the mean, as a divisor.
const SERVICE_WEIGHT: u64 = 16;

/// `GroupView` is a home's view of one database group.
///
/// Feed it every status with `record_status`: those of pings and those that come before
/// statements. Only statuses that this process asked for itself may be used,
/// since their age is to be known.
#[derive(Clone, Debug, Default)]
pub struct GroupView {
    members: SmallVec<[Member; 3]>,
    progress: Samples,
    confirmed: Samples,
}

/// `Load` is what this home's queue says of an instance.
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
    known: Option<StatusAt>,
    lag: Lag,
    service: Span,
}

impl GroupView {
    /// Makes the view of a group of which nothing is known yet.
    pub fn new(instances: impl IntoIterator<Item = (InstanceId, Distance)>) -> Self {
        let members = instances.into_iter().map(|(instance, distance)| Member {
            instance,
            distance,
            state: CandidateState::Ready,
            known: None,
            lag: Lag::default(),
            service: Span::ZERO,
        });
        Self { members: members.collect(), ..Self::default() }
    }

    /// Takes in a status that was asked for at `known.requested_at`. An older one than known is ignored.
    pub fn record_status(&mut self, instance: InstanceId, known: StatusAt) {
        let Some(member) = self.member_mut(instance) else { return };
        if member.known.is_some_and(|before| known.requested_at < before.requested_at) {
            return;
        }
        member.known = Some(known);
        if known.status.role == Role::Primary {
            self.progress.push(Sample { time: known.requested_at, point: known.status.point });
        } else if let Some(delay) = lag::delay(&self.progress, known)
            && let Some(member) = self.member_mut(instance)
        {
            member.lag.record(delay);
        }
        if let Some(sample) = samples::confirmed(self.members.len(), self.statuses_at()) {
            self.confirmed.push(sample);
        }
    }

    /// Takes in the time that a statement ran on an instance, without the queue.
    pub fn record_service_time(&mut self, instance: InstanceId, service: Span) {
        let Some(member) = self.member_mut(instance) else { return };
        let sum = member.service.0.saturating_mul(SERVICE_WEIGHT - 1).saturating_add(service.0);
        member.service = Span(sum / SERVICE_WEIGHT);
    }

    /// Sets whether an instance can be used.
    pub fn set_state(&mut self, instance: InstanceId, state: CandidateState) {
        if let Some(member) = self.member_mut(instance) {
            member.state = state;
        }
    }

    /// Gets the primary of the highest known term, if it is known and ready.
    pub fn primary(&self) -> Option<InstanceId> {
        let statuses = self.members.iter().filter_map(|one| Some((one, one.known?.status)));
        let (member, status) = statuses.max_by_key(|(_, status)| {
            (status.point.term, status.role == Role::Primary, status.point.position)
        })?;
        let is_usable = status.role == Role::Primary && member.state == CandidateState::Ready;
        is_usable.then_some(member.instance)
    }

    /// Chooses the instance for a read; `load` tells of this home's queues.
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

    /// Checks a read's answer by the status that came before its statement.
    pub fn check_answer(&self, now: Time, status: &InstanceStatus, need: &ReadNeed<'_>) -> Check {
        reads::check_answer(now, status, need, &self.confirmed)
    }

    /// Gets the point for the session's token from the status that was asked for after a statement.
    pub fn seen_point(&self, instance: InstanceId, status: &InstanceStatus) -> SeenPoint {
        let known = self.members.iter().filter_map(|one| Some((one.instance, one.known?.status)));
        let size = self.members.len();
        let durable = proof::is_durable(status, instance, known, size);
        SeenPoint { point: status.point, durable }
    }

    /// Gets the last known statuses.
    pub fn statuses(&self) -> impl Iterator<Item = (InstanceId, StatusAt)> {
        self.members.iter().filter_map(|member| Some((member.instance, member.known?)))
    }

    fn statuses_at(&self) -> impl Iterator<Item = StatusAt> + Clone {
        self.members.iter().filter_map(|member| member.known)
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
            status: self.known,
            lag: self.lag,
            wait: load.wait,
            service: self.service,
        }
    }
}
