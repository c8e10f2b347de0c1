//! The members of a database: the instances that may have acknowledged commits, whether or not the
//! directory still lists them. A member that has ended is kept until a replica is known to have what
//! it acknowledged.

use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use super::Keeper;
use super::messages::Action;
use super::messages::INLINE_INSTANCES;
use super::messages::ListedInstance;
use super::messages::Liveness;
use super::messages::MemberAnswer;
use super::messages::MemberState;
use super::phase::Phase;
use super::phase::StoppingReplicas;

/// The number of members from which on those with a cover are dropped that ended first. A database has
/// a few instances, so that this many follow from instances that were lost without a trace.
const MAX_MEMBERS: usize = 16;

/// The longest pause between two checks of a member.
const MAX_PAUSE: Span = Span::from_secs(6);

/// `Members` are the instances that may have acknowledged commits.
#[derive(Clone, Debug)]
pub(super) struct Members {
    known: SmallVec<[Member; INLINE_INSTANCES]>,
    /// The time from which on the list is complete.
    complete_from: Time,
    /// The first pause between two checks of a member.
    pause: Span,
}

/// `Member` is one start of an instance that may have acknowledged commits.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Member {
    state: MemberState,
    /// `true` while the directory lists the member.
    listed: bool,
    /// The time at which the member was first known to have ended; `None` if it may run.
    ended_at: Option<Time>,
    /// The time of the next check, and the pause after that.
    check_at: Time,
    pause: Span,
    /// The latest check that told whether the member runs: its time, and what it has received if it
    /// does.
    checked: Option<(Time, Option<LogPoint>)>,
}

impl Member {
    fn new(now: Time, state: MemberState, pause: Span) -> Self {
        let ended_at = (state.liveness != Liveness::Running).then_some(now);
        Self { state, listed: false, ended_at, check_at: now, pause, checked: None }
    }

    fn is_running(&self) -> bool {
        self.state.liveness == Liveness::Running
    }

    fn end(&mut self, now: Time, liveness: Liveness) {
        self.listed = false;
        self.state.liveness = liveness;
        self.ended_at.get_or_insert(now);
    }

    fn check_from(&mut self, now: Time, pause: Span) {
        (self.check_at, self.pause) = (now, pause);
    }

    /// Returns `true` if the member is to be checked: it is a replica whose entry is gone, or a
    /// listed one while the cover of another member is looked for.
    fn is_checked(&self, has_cover: bool, primary: Option<InstanceKey>) -> bool {
        let is_replica = primary != Some(self.state.key);
        self.is_running() && is_replica && (!self.listed || has_cover)
    }
}

impl Members {
    /// Creates the list of the members that a record names; `complete_from` is the time from which
    /// on no other instance has to be reckoned with.
    pub(super) fn new(now: Time, known: &[MemberState], complete_from: Time, pause: Span) -> Self {
        let known = known.iter().map(|state| Member::new(now, *state, pause)).collect();
        Self { known, complete_from, pause }
    }

    /// Takes over what the directory lists. Returns the instances that have started again.
    pub(super) fn update(
        &mut self,
        now: Time,
        listed: &[ListedInstance],
    ) -> SmallVec<[InstanceKey; INLINE_INSTANCES]> {
        let pause = self.pause;
        let mut restarted = SmallVec::new();
        for instance in listed {
            let state = MemberState::from(instance);
            let is_former =
                |member: &Member| member.state.key == state.key && member.state.life != state.life;
            if self.known.iter().any(is_former) {
                restarted.push(state.key);
            }
            // A primary acknowledges what others have received, so that nothing rests on it.
            self.known.retain(|member| !is_former(member) || !member.state.primary);
            let former = self.known.iter_mut().filter(|known| is_former(known));
            former.for_each(|known| known.end(now, Liveness::Gone));
            let listed = Member { listed: true, ..Member::new(now, state, pause) };
            let is_same =
                |member: &Member| member.state.key == state.key && member.state.life == state.life;
            match self.known.iter_mut().find(|member| is_same(member)) {
                Some(member) if member.listed => member.state = state,
                Some(member) => *member = listed,
                None => self.known.push(listed),
            }
        }
        for member in self.known.iter_mut().filter(|member| member.listed) {
            let MemberState { key, life, .. } = member.state;
            if !listed.iter().any(|instance| instance.key == key && instance.life == life) {
                member.listed = false;
                member.check_from(now, pause);
            }
        }
        while MAX_MEMBERS < self.known.len() && self.drop_oldest() {}
        restarted
    }

    /// Drops the member with a cover that has ended first. Returns `false` if there is none.
    fn drop_oldest(&mut self) -> bool {
        let covered = self.known.iter().enumerate();
        let covered = covered.filter(|(_, member)| member.state.cover.is_some());
        let Some((oldest, _)) = covered.min_by_key(|(_, member)| member.ended_at) else {
            return false;
        };
        self.known.remove(oldest);
        true
    }

    /// Returns what the record says of the members.
    pub(super) fn states(&self) -> SmallVec<[MemberState; INLINE_INSTANCES]> {
        self.known.iter().map(|member| member.state).collect()
    }

    /// Returns the members that can be asked for what they have received: the latest start of each
    /// instance, unless it has ended.
    pub(super) fn running(&self) -> impl Iterator<Item = InstanceKey> {
        self.known.iter().filter(|member| member.is_running()).map(|member| member.state.key)
    }

    /// Returns the member that was listed as primary last, if there is exactly one.
    pub(super) fn sole_primary(&self) -> Option<InstanceKey> {
        let mut primaries = self.known.iter().filter(|member| member.state.primary);
        let sole = primaries.next()?;
        primaries.next().is_none().then_some(sole.state.key)
    }

    /// Records the point that the primary told in its answer to a probe sent at `asked`: all that
    /// members had acknowledged that had ended before lies at or before it.
    fn cover(&mut self, asked: Time, point: LogPoint) {
        let mut is_new = false;
        for member in &mut self.known {
            let is_over = member.ended_at.is_some_and(|ended_at| ended_at <= asked);
            if is_over && member.state.cover.is_none() {
                member.state.cover = Some(point);
                is_new = true;
            }
        }
        let pause = self.pause;
        for member in self.known.iter_mut().filter(|member| is_new && member.listed) {
            member.check_from(asked, pause);
        }
    }

    /// Drops the members that do not run again and whose cover a listed replica has received.
    fn drop_covered(&mut self, key: InstanceKey, received: LogPoint) {
        if self.known.iter().any(|member| member.listed && member.state.key == key) {
            self.known.retain(|member| {
                member.state.liveness != Liveness::Gone
                    || member.state.cover.is_none_or(|cover| received < cover)
            });
        }
    }

    /// Returns the least point such that an instance which has received it has all that the members
    /// other than `primary` have acknowledged; `None` if one of them is not accounted for.
    fn bound(
        &self,
        now: Time,
        primary: Option<InstanceKey>,
        stopping: &StoppingReplicas,
    ) -> Option<LogPoint> {
        if now < self.complete_from {
            return None;
        }
        // An earlier start of the primary is no longer the primary.
        let counts = |member: &&Member| primary != Some(member.state.key) || !member.is_running();
        let mut bound = None;
        for member in self.known.iter().filter(counts) {
            bound = bound.max(Some(self.last_point(member, stopping)?));
        }
        bound
    }

    /// Returns a point at or after all that a member has acknowledged; `None` while none is known.
    fn last_point(&self, member: &Member, stopping: &StoppingReplicas) -> Option<LogPoint> {
        let MemberState { key, liveness, cover, .. } = member.state;
        match liveness {
            Liveness::Running => stopping.point_of(key),
            Liveness::Stopped => {
                let checked = member.checked.filter(|(at, _)| stopping.since <= *at);
                checked.and_then(|(_, received)| Some(cover?.max(received.unwrap_or_default())))
            }
            Liveness::Gone => cover,
        }
    }

    /// Returns the members other than `primary` whose acknowledgements are not accounted for.
    fn missing(
        &self,
        primary: Option<InstanceKey>,
        stopping: &StoppingReplicas,
    ) -> impl Iterator<Item = InstanceKey> {
        let counts =
            move |member: &&Member| primary != Some(member.state.key) || !member.is_running();
        let missing = self.known.iter().filter(counts);
        let missing = missing.filter(|member| self.last_point(member, stopping).is_none());
        missing.map(|member| member.state.key)
    }

    /// Returns the members that did not run when they were last asked, but may run again.
    pub(super) fn stopped(&self) -> impl Iterator<Item = InstanceKey> {
        let stopped = self.known.iter().filter(|member| member.state.liveness == Liveness::Stopped);
        stopped.map(|member| member.state.key)
    }

    /// Starts the term that `primary` leads. It has every acknowledged commit, so that members that
    /// do not run again are not needed; the others may acknowledge in the new term.
    pub(super) fn start_term(&mut self, primary: InstanceKey) {
        self.known.retain(|member| member.state.liveness != Liveness::Gone);
        for member in &mut self.known {
            member.state.primary = member.state.key == primary;
        }
    }

    /// Returns the members to check at `now`: those that are not listed and may run, and the listed
    /// replicas while the cover of a member that has ended is looked for.
    fn take_due(
        &mut self,
        now: Time,
        primary: Option<InstanceKey>,
    ) -> SmallVec<[InstanceKey; INLINE_INSTANCES]> {
        let has_cover = self.has_cover();
        let mut due = SmallVec::new();
        for member in &mut self.known {
            if member.check_at <= now && member.is_checked(has_cover, primary) {
                member.check_at = now + member.pause;
                member.pause = member.pause.times(2).min(MAX_PAUSE);
                due.push(member.state.key);
            }
        }
        due
    }

    fn next_check(&self, primary: Option<InstanceKey>) -> Time {
        let has_cover = self.has_cover();
        let checked = self.known.iter().filter(|member| member.is_checked(has_cover, primary));
        checked.map(|member| member.check_at).min().unwrap_or(Time(u64::MAX))
    }

    fn has_cover(&self) -> bool {
        let is_gone = |member: &Member| member.state.liveness == Liveness::Gone;
        self.known.iter().any(|member| is_gone(member) && member.state.cover.is_some())
    }
}

impl Keeper {
    /// Returns what the record has to say of the members.
    pub fn members(&self) -> SmallVec<[MemberState; INLINE_INSTANCES]> {
        self.members.states()
    }

    /// Returns the members other than the primary that can be asked, listed or not.
    pub(super) fn replicas(&self) -> impl Iterator<Item = InstanceKey> {
        let primary = self.assumed_primary();
        self.members.running().filter(move |key| primary != Some(*key))
    }

    /// Returns the primary or, while it is unknown, the member that was listed as primary last. A
    /// keeper that started after the primary was lost would otherwise wait for it as for a replica.
    pub(super) fn assumed_primary(&self) -> Option<InstanceKey> {
        self.primary.or_else(|| self.members.sole_primary())
    }

    /// Records the last point of the primary's log, as it answered a probe sent at `asked`.
    pub(super) fn handle_reached(&mut self, instance: InstanceKey, point: LogPoint, asked: Time) {
        if self.primary != Some(instance) || self.unresolved.is_some() {
            return;
        }
        match &mut self.phase {
            // No VM has confirmed a commit since the replicas are told to stop.
            Phase::StoppingReplicas(stopping)
                if stopping.planned
                    && stopping.since <= asked
                    && self.unanswered.is_none_or(|order| order.until <= asked) =>
            {
                stopping.bound = Some(point);
            }
            Phase::Watching | Phase::CheckingVms if !self.stopped => {
                self.members.cover(asked, point);
            }
            _ => {}
        }
    }

    /// Records the answer to a check of a member.
    pub(super) fn handle_checked(
        &mut self,
        now: Time,
        instance: InstanceKey,
        answer: MemberAnswer,
    ) {
        let received = match answer {
            MemberAnswer::Received(point) if !self.is_explained(now, instance, point.term) => {
                return;
            }
            MemberAnswer::Received(point) => Some(point),
            MemberAnswer::NotRunning | MemberAnswer::Replaced => None,
            MemberAnswer::NoAnswer => return,
        };
        let is_asked = |member: &&mut Member| {
            member.state.key == instance && member.state.liveness != Liveness::Gone
        };
        for member in self.members.known.iter_mut().filter(is_asked) {
            member.checked = Some((now, received));
            let is_gone = answer == MemberAnswer::Replaced || member.state.leaving;
            if received.is_none() && !member.listed {
                member.end(now, if is_gone { Liveness::Gone } else { Liveness::Stopped });
            }
        }
        if let Some(received) = received {
            self.members.drop_covered(instance, received);
        }
    }

    /// Asks the members that are due for a check.
    pub(super) fn send_checks(&mut self, now: Time, out: &mut Vec<Action>) {
        let primary = self.assumed_primary();
        let due = self.members.take_due(now, primary);
        out.extend(due.into_iter().map(Action::CheckMember));
    }

    /// Returns the time at which the next check of a member is due.
    pub(super) fn next_check(&self) -> Time {
        self.members.next_check(self.assumed_primary())
    }

    /// Returns a point such that an instance which has received it holds each acknowledged commit;
    /// `None` while none is proved.
    pub(super) fn required_point(
        &self,
        now: Time,
        stopping: &StoppingReplicas,
    ) -> Option<LogPoint> {
        let by_members = self.members_point(now, stopping);
        let by_members = by_members.filter(|point| self.is_of_listed(*point, stopping));
        match (by_members, stopping.bound) {
            (Some(members), Some(bound)) => Some(members.min(bound)),
            (members, bound) => members.or(bound),
        }
    }

    /// Returns the least point such that an instance which has received it has all that the members
    /// have told or are covered by; `None` if one of them is not accounted for.
    pub(super) fn members_point(&self, now: Time, stopping: &StoppingReplicas) -> Option<LogPoint> {
        self.members.bound(now, self.assumed_primary(), stopping)
    }

    /// Returns the members whose acknowledgements are not accounted for.
    pub(super) fn missing_members(
        &self,
        stopping: &StoppingReplicas,
    ) -> SmallVec<[InstanceKey; INLINE_INSTANCES]> {
        self.members.missing(self.assumed_primary(), stopping).collect()
    }
}
