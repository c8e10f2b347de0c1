//! The duty of a home for one database: detection, promotion and rejoin.

use oleander_core::events::Event;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::detector::Detector;
use crate::detector::Reachability;
use crate::detector::Turn;
use crate::majority;
use crate::messages::Action;
use crate::messages::Input;
use crate::messages::Rank;
use crate::messages::Record;
use crate::messages::Step;
use crate::messages::StepResult;
use crate::options::Options;
use crate::promoter::Progress;
use crate::promoter::Promoter;

/// `Actions` is a short list of actions.
pub type Actions = SmallVec<[Action; 4]>;

/// `Supervisor` watches the instances of one database for one of its homes.
#[derive(Clone, Debug)]
pub struct Supervisor {
    pub(crate) options: Options,
    pub(crate) rank: Rank,
    pub(crate) instances: SmallVec<[Detector; 3]>,
    pub(crate) promoter: Option<Promoter>,
    pub(crate) vacant_since: Option<Time>,
    pub(crate) stray_since: Option<Time>,
    pub(crate) retry_at: Time,
    pub(crate) rejoins: SmallVec<[Option<Time>; 3]>,
    pub(crate) top: Term,
    pub(crate) leaving: SmallVec<[u8; 3]>,
}

impl Supervisor {
    /// Makes a supervisor of `size` instances; `phase` spreads the pings of many supervisors.
    pub fn new(size: u8, rank: Rank, options: Options, now: Time, phase: u64) -> Self {
        let interval = options.ping_interval.0.max(1);
        let first = |ordinal: u8| {
            let offset = phase.wrapping_add(u64::from(ordinal) * interval / u64::from(size.max(1)));
            now + Span(offset % interval)
        };
        Self {
            options,
            rank,
            instances: (0..size).map(|ordinal| Detector::new(first(ordinal))).collect(),
            promoter: None,
            vacant_since: None,
            stray_since: None,
            retry_at: Time::default(),
            rejoins: (0..size).map(|_| None).collect(),
            top: Term::default(),
            leaving: SmallVec::new(),
        }
    }

    /// Names instances that leave: a primary among them is replaced by an instance that stays.
    pub fn with_leaving(mut self, leaving: impl IntoIterator<Item = u8>) -> Self {
        self.leaving = leaving.into_iter().collect();
        self
    }

    /// Takes in what has happened and gets what is to be done.
    pub fn handle(&mut self, now: Time, input: Input) -> Actions {
        let mut actions = Actions::new();
        match input {
            Input::Tick => {}
            Input::RankChanged(rank) => self.rank = rank,
            Input::Answered(ordinal, status) => self.answered(now, ordinal, status, &mut actions),
            Input::Missed(ordinal) => self.missed(now, ordinal, &mut actions),
            Input::Opinion(ordinal, reply) => {
                if let Some(detector) = self.instances.get_mut(usize::from(ordinal)) {
                    detector.advised(now, reply);
                }
            }
            Input::PrimaryAnnounced(ordinal, term) => self.told(now, ordinal, term),
            Input::StepFinished { ordinal, step, term, result } => {
                self.stepped(now, (ordinal, step, term), result, &mut actions);
            }
        }
        self.note_top();
        self.ping(now, &mut actions);
        self.advance(now, &mut actions);
        self.rejoin(now, &mut actions);
        actions
    }

    /// Gets the time at which `Input::Tick` is next of use.
    pub fn next_due(&self) -> Time {
        let ordinals = self.instances.iter().enumerate();
        let pings = ordinals.map(|(at, detector)| detector.next_ping(self.interval(at)));
        let promotion = self.promoter.iter().map(|promoter| promoter.next_due(&self.options));
        pings.chain(promotion).min().unwrap_or_default()
    }

    /// Gets the last status of an instance and whether it answers.
    pub fn instance(&self, ordinal: u8) -> Option<(Option<InstanceStatus>, Reachability)> {
        let detector = self.instances.get(usize::from(ordinal))?;
        Some((detector.status(), detector.reach(&self.options)))
    }

    /// Gets the reachable primary with the highest term.
    pub fn primary(&self) -> Option<(u8, InstanceStatus)> {
        let primaries = self.reachable().filter(|(_, status)| status.role == Role::Primary);
        let (ordinal, status) = primaries.max_by_key(|(_, status)| status.fence)?;
        // A majority that promised a higher term has deposed it.
        let above = self.statuses().filter(|known| status.fence < known.fence).count();
        (above < majority(self.instances.len())).then_some((ordinal, status))
    }

    fn answered(&mut self, now: Time, ordinal: u8, status: InstanceStatus, out: &mut Actions) {
        let Some(detector) = self.instances.get_mut(usize::from(ordinal)) else { return };
        if detector.answered(now, status) == Some(Turn::Back) {
            out.push(record(Event::InstanceRecovered, Some(ordinal), status.fence, ""));
        }
    }

    fn missed(&mut self, now: Time, ordinal: u8, out: &mut Actions) {
        let options = self.options;
        let Some(detector) = self.instances.get_mut(usize::from(ordinal)) else { return };
        if detector.missed(now, &options) == Some(Turn::Lost) {
            out.push(record(Event::InstanceSuspected, Some(ordinal), self.top, "pings missed"));
        }
    }

    /// Looks at an instance at once that is said to be primary at a new term.
    fn told(&mut self, now: Time, ordinal: u8, term: Term) {
        if self.top <= term
            && let Some(detector) = self.instances.get_mut(usize::from(ordinal))
        {
            detector.hurry(now);
        }
    }

    fn stepped(
        &mut self,
        now: Time,
        (ordinal, step, term): (u8, Step, Term),
        result: StepResult,
        out: &mut Actions,
    ) {
        let former = self.instances.get(usize::from(ordinal)).and_then(Detector::status);
        // A step that was done shows as well as a ping that the instance answers.
        if let StepResult::Done(status) = result
            && let Some(detector) = self.instances.get_mut(usize::from(ordinal))
            && detector.heard(now, status) == Some(Turn::Back)
        {
            out.push(record(Event::InstanceRecovered, Some(ordinal), term, ""));
        }
        if step == Step::Follow {
            let was_primary = former.is_some_and(|status| status.role == Role::Primary);
            if was_primary && matches!(result, StepResult::Done(_)) {
                out.push(record(Event::PrimaryRejoined, Some(ordinal), term, ""));
            }
            return;
        }
        let options = self.options;
        let Some(promoter) = self.promoter.as_mut().filter(|promoter| promoter.term() == term)
        else {
            return;
        };
        let progress = promoter.stepped(now, ordinal, step, result, &options);
        self.progress(now, progress, out);
    }

    fn progress(&mut self, now: Time, progress: Progress, out: &mut Actions) {
        let Some(promoter) = &self.promoter else { return };
        let term = promoter.term();
        match progress {
            Progress::Waiting => {}
            Progress::Fenced => out.push(record(Event::MajorityFenced, None, term, "")),
            Progress::FenceAgain => {
                self.top = self.top.max(term);
                self.fence_all(term, out);
            }
            Progress::Promote(ordinal) => {
                out.push(Action::Run { ordinal, step: Step::Promote, term });
            }
            Progress::Finished(ordinal, status) => {
                out.push(record(Event::PrimaryPromoted, Some(ordinal), term, ""));
                self.instances[usize::from(ordinal)].learn(status);
                self.promoter = None;
                self.retry_at = now + self.options.retry_interval;
                self.vacant_since = None;
                self.stray_since = None;
            }
            Progress::Abandoned(reason) => {
                out.push(record(Event::PromotionAbandoned, None, term, reason));
                self.promoter = None;
                // Unequal pauses keep two homes from meeting at every term.
                let pauses = if self.rank == Rank::First { 1 } else { 3 };
                self.retry_at = now + self.options.retry_interval.times(pauses);
            }
        }
    }

    fn ping(&mut self, now: Time, out: &mut Actions) {
        for ordinal in 0..self.instances.len() {
            let interval = self.interval(ordinal);
            if self.instances[ordinal].ping_due(now, interval) {
                out.push(Action::Ping(ordinal as u8));
            }
        }
    }

    /// Gets the time between two pings of an instance: short for the primary and in doubt.
    fn interval(&self, ordinal: usize) -> Span {
        let options = &self.options;
        let primary = self.primary().map(|(leader, _)| usize::from(leader));
        match (primary, self.rank) {
            _ if self.instances[ordinal].is_missing() => options.ping_interval,
            (None, _) => options.ping_interval,
            (Some(leader), Rank::First) if leader == ordinal => options.ping_interval,
            (Some(leader), Rank::Second) if leader == ordinal => options.standby_interval,
            (Some(_), _) => options.replica_interval,
        }
    }

    /// Carries a promotion on, or starts one if it is needed.
    fn advance(&mut self, now: Time, out: &mut Actions) {
        if let Some(promoter) = &mut self.promoter {
            let progress = promoter.tick(now, &self.options);
            return self.progress(now, progress, out);
        }
        let Some((leader, primary)) = self.primary() else { return self.fill_vacancy(now, out) };
        self.vacant_since = None;
        let doubtful = self.instances[usize::from(leader)].is_doubtful(&self.options);
        if doubtful && 1 < self.options.misses {
            // The opinion is under way while the last miss is still awaited.
            self.ask_opinion(now, usize::from(leader), out);
        }
        if self.may_relieve(now, leader) {
            return self.start_promotion(now, "the primary leaves", out);
        }
        self.mend_stray(now, primary, out);
    }

    /// Starts a promotion if an instance was left fenced above the primary's term.
    fn mend_stray(&mut self, now: Time, primary: InstanceStatus, out: &mut Actions) {
        let stray = self.reachable().any(|(_, status)| primary.fence < status.fence);
        if !stray {
            self.stray_since = None;
            return;
        }
        let since = *self.stray_since.get_or_insert(now);
        let patience = self.options.stray_limit + self.stagger();
        if patience <= now.since(since) && self.retry_at <= now {
            self.start_promotion(now, "an instance is fenced above the primary", out);
        }
    }

    pub(crate) fn fence_all(&self, term: Term, out: &mut Actions) {
        for ordinal in 0..self.instances.len() as u8 {
            out.push(Action::Run { ordinal, step: Step::Fence, term });
        }
    }

    /// Leads reachable instances that are behind the primary's term back to it.
    fn rejoin(&mut self, now: Time, out: &mut Actions) {
        if self.promoter.is_some() {
            return;
        }
        let Some((leader, primary)) = self.primary() else { return };
        let reachable: SmallVec<[(u8, InstanceStatus); 3]> = self.reachable().collect();
        for (ordinal, status) in reachable {
            let astray = status.fence < primary.fence
                || (status.fence == primary.fence && status.role != Role::Replica);
            let last = &mut self.rejoins[usize::from(ordinal)];
            let recent = last.is_some_and(|at| now.since(at) < self.options.rejoin_interval);
            if ordinal == leader || !astray || recent {
                continue;
            }
            *last = Some(now);
            out.push(Action::Run { ordinal, step: Step::Follow, term: primary.fence });
        }
    }

    fn note_top(&mut self) {
        let top = self.statuses().map(|status| status.fence).max().unwrap_or_default();
        let tried = self.promoter.as_ref().map(Promoter::term).unwrap_or_default();
        self.top = self.top.max(top).max(tried);
    }

    fn statuses(&self) -> impl Iterator<Item = InstanceStatus> {
        self.instances.iter().filter_map(Detector::status)
    }

    pub(crate) fn reachable(&self) -> impl Iterator<Item = (u8, InstanceStatus)> {
        let options = self.options;
        self.instances.iter().enumerate().filter_map(move |(ordinal, detector)| {
            let status =
                detector.status().filter(|_| detector.reach(&options) == Reachability::Up)?;
            Some((ordinal as u8, status))
        })
    }
}

pub(crate) fn is_primary_at(status: InstanceStatus, top: Term) -> bool {
    status.role == Role::Primary && top <= status.fence
}

pub(crate) fn record(
    event: Event,
    ordinal: Option<u8>,
    term: Term,
    reason: &'static str,
) -> Action {
    Action::Record(Record { event, ordinal, term, reason })
}
