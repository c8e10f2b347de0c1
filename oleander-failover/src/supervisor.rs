//! Detection, promotion and rejoin for one database on one of its homes.

use oleander_core::events::Event;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::detector::Detector;
use crate::detector::Reachability;
use crate::detector::Transition;
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

/// `Supervisor` monitors the instances of one database on one of its homes.
#[derive(Clone, Debug)]
pub struct Supervisor {
    pub(crate) options: Options,
    pub(crate) rank: Rank,
    pub(crate) instances: SmallVec<[Detector; 3]>,
    pub(crate) promoter: Option<Promoter>,
    /// The time since which there has been no reachable primary.
    pub(crate) no_primary_since: Option<Time>,
    /// The time since which a reachable instance has been fenced above the primary's term.
    pub(crate) fenced_ahead_since: Option<Time>,
    /// The time before which no promotion starts.
    pub(crate) retry_at: Time,
    /// The time at which each instance was last told to follow the primary.
    pub(crate) last_rejoins: SmallVec<[Option<Time>; 3]>,
    /// The highest term that an instance has promised or that this home has tried.
    pub(crate) highest_term: Term,
    /// The ordinals of the instances that are about to shut down.
    pub(crate) leaving: SmallVec<[u8; 3]>,
}

impl Supervisor {
    /// Creates a supervisor of `size` instances.
    ///
    /// `phase`, in microseconds, shifts the first pings so that those of many supervisors do
    /// not coincide.
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
            no_primary_since: None,
            fenced_ahead_since: None,
            retry_at: Time::default(),
            last_rejoins: (0..size).map(|_| None).collect(),
            highest_term: Term::default(),
            leaving: SmallVec::new(),
        }
    }

    /// Sets the instances that are about to shut down. A primary among them is replaced by an
    /// instance that stays.
    pub fn with_leaving(mut self, leaving: impl IntoIterator<Item = u8>) -> Self {
        self.leaving = leaving.into_iter().collect();
        self
    }

    /// Handles an input and returns the resulting actions.
    pub fn handle(&mut self, now: Time, input: Input) -> Actions {
        let mut actions = Actions::new();
        match input {
            Input::Tick => {}
            Input::RankChanged(rank) => self.rank = rank,
            Input::Answered(ordinal, status) => self.on_answer(now, ordinal, status, &mut actions),
            Input::Missed(ordinal) => self.on_miss(now, ordinal, &mut actions),
            Input::Opinion(ordinal, reply) => {
                if let Some(detector) = self.instances.get_mut(usize::from(ordinal)) {
                    detector.add_opinion(now, reply);
                }
            }
            Input::PrimaryAnnounced(ordinal, term) => self.check_announced(now, ordinal, term),
            Input::StepFinished { ordinal, step, term, result } => {
                self.step_finished(now, (ordinal, step, term), result, &mut actions);
            }
        }
        self.update_highest_term();
        self.send_pings(now, &mut actions);
        self.advance(now, &mut actions);
        self.rejoin_instances(now, &mut actions);
        actions
    }

    /// Returns the time at which `Input::Tick` is needed next.
    pub fn next_due(&self) -> Time {
        let ordinals = self.instances.iter().enumerate();
        let pings =
            ordinals.map(|(ordinal, detector)| detector.next_ping(self.ping_interval(ordinal)));
        let promotion = self.promoter.iter().map(|promoter| promoter.next_due(&self.options));
        pings.chain(promotion).min().unwrap_or_default()
    }

    /// Returns the last known status of an instance and whether it answers; `None` if there is no
    /// such instance.
    pub fn instance(&self, ordinal: u8) -> Option<(Option<InstanceStatus>, Reachability)> {
        let detector = self.instances.get(usize::from(ordinal))?;
        Some((detector.status(), detector.reachability(&self.options)))
    }

    /// Returns the reachable primary with the highest term; `None` if there is none or a majority
    /// has promised a higher term.
    pub fn primary(&self) -> Option<(u8, InstanceStatus)> {
        let primaries = self.reachable().filter(|(_, status)| status.role == Role::Primary);
        let (ordinal, status) = primaries.max_by_key(|(_, status)| status.fence)?;
        // A majority that has promised a higher term no longer follows this primary.
        let above = self.statuses().filter(|known| status.fence < known.fence).count();
        (above < majority(self.instances.len())).then_some((ordinal, status))
    }

    fn on_answer(&mut self, now: Time, ordinal: u8, status: InstanceStatus, out: &mut Actions) {
        let Some(detector) = self.instances.get_mut(usize::from(ordinal)) else { return };
        if detector.ping_answered(now, status) == Some(Transition::Recovered) {
            out.push(log_event(Event::InstanceRecovered, Some(ordinal), status.fence, ""));
        }
    }

    fn on_miss(&mut self, now: Time, ordinal: u8, out: &mut Actions) {
        let options = self.options;
        let Some(detector) = self.instances.get_mut(usize::from(ordinal)) else { return };
        if detector.ping_missed(now, &options) == Some(Transition::Lost) {
            out.push(log_event(
                Event::InstanceSuspected,
                Some(ordinal),
                self.highest_term,
                "pings missed",
            ));
        }
    }

    /// Pings an instance at once that a peer announced as primary, unless its term is outdated.
    fn check_announced(&mut self, now: Time, ordinal: u8, term: Term) {
        if self.highest_term <= term
            && let Some(detector) = self.instances.get_mut(usize::from(ordinal))
        {
            detector.ping_now(now);
        }
    }

    fn step_finished(
        &mut self,
        now: Time,
        (ordinal, step, term): (u8, Step, Term),
        result: StepResult,
        out: &mut Actions,
    ) {
        let former = self.instances.get(usize::from(ordinal)).and_then(Detector::status);
        // A completed step shows that the instance answers, like an answered ping.
        if let StepResult::Done(status) = result
            && let Some(detector) = self.instances.get_mut(usize::from(ordinal))
            && detector.status_received(now, status) == Some(Transition::Recovered)
        {
            out.push(log_event(Event::InstanceRecovered, Some(ordinal), term, ""));
        }
        if step == Step::Follow {
            let was_primary = former.is_some_and(|status| status.role == Role::Primary);
            if was_primary && matches!(result, StepResult::Done(_)) {
                out.push(log_event(Event::PrimaryRejoined, Some(ordinal), term, ""));
            }
            return;
        }
        let options = self.options;
        let Some(promoter) = self.promoter.as_mut().filter(|promoter| promoter.term() == term)
        else {
            return;
        };
        let progress = promoter.step_finished(now, ordinal, step, result, &options);
        self.apply_progress(now, progress, out);
    }

    fn apply_progress(&mut self, now: Time, progress: Progress, out: &mut Actions) {
        let Some(promoter) = &self.promoter else { return };
        let term = promoter.term();
        match progress {
            Progress::Waiting => {}
            Progress::Fenced => out.push(log_event(Event::MajorityFenced, None, term, "")),
            Progress::FenceAgain => {
                self.highest_term = self.highest_term.max(term);
                self.fence_all(term, out);
            }
            Progress::Promote(ordinal) => {
                out.push(Action::Run { ordinal, step: Step::Promote, term });
            }
            Progress::Finished(ordinal, status) => {
                out.push(log_event(Event::PrimaryPromoted, Some(ordinal), term, ""));
                self.instances[usize::from(ordinal)].update_status(status);
                self.promoter = None;
                self.retry_at = now + self.options.retry_interval;
                self.no_primary_since = None;
                self.fenced_ahead_since = None;
            }
            Progress::Abandoned(reason) => {
                out.push(log_event(Event::PromotionAbandoned, None, term, reason));
                self.promoter = None;
                // Unequal pauses keep the two homes from colliding at every term.
                let pauses = if self.rank == Rank::First { 1 } else { 3 };
                self.retry_at = now + self.options.retry_interval.times(pauses);
            }
        }
    }

    fn send_pings(&mut self, now: Time, out: &mut Actions) {
        for ordinal in 0..self.instances.len() {
            let interval = self.ping_interval(ordinal);
            if self.instances[ordinal].ping_due(now, interval) {
                out.push(Action::Ping(ordinal as u8));
            }
        }
    }

    /// Returns the time between two pings of an instance. It is short for the primary, after a
    /// missed ping and while there is no primary.
    fn ping_interval(&self, ordinal: usize) -> Span {
        let options = &self.options;
        let primary = self.primary().map(|(primary_ordinal, _)| usize::from(primary_ordinal));
        match (primary, self.rank) {
            _ if self.instances[ordinal].has_missed() => options.ping_interval,
            (None, _) => options.ping_interval,
            (Some(primary_ordinal), Rank::First) if primary_ordinal == ordinal => {
                options.ping_interval
            }
            (Some(primary_ordinal), Rank::Second) if primary_ordinal == ordinal => {
                options.standby_interval
            }
            (Some(_), _) => options.replica_interval,
        }
    }

    /// Continues a running promotion, or starts one if needed.
    fn advance(&mut self, now: Time, out: &mut Actions) {
        if let Some(promoter) = &mut self.promoter {
            let progress = promoter.tick(now, &self.options);
            return self.apply_progress(now, progress, out);
        }
        let Some((ordinal, primary)) = self.primary() else { return self.handle_loss(now, out) };
        self.no_primary_since = None;
        let is_suspect = self.instances[usize::from(ordinal)].is_nearly_down(&self.options);
        if is_suspect && 1 < self.options.misses {
            // Asks early, so that the opinion arrives while the last ping is still awaited.
            self.ask_opinion(now, usize::from(ordinal), out);
        }
        if self.should_hand_over(now, ordinal) {
            return self.start_promotion(now, "the primary leaves", out);
        }
        self.resolve_fenced_ahead(now, primary, out);
    }

    /// Starts a promotion if an instance stays fenced above the primary's term, which an abandoned
    /// promotion leaves behind. Such an instance cannot follow the primary.
    fn resolve_fenced_ahead(&mut self, now: Time, primary: InstanceStatus, out: &mut Actions) {
        let is_fenced_ahead = self.reachable().any(|(_, status)| primary.fence < status.fence);
        if !is_fenced_ahead {
            self.fenced_ahead_since = None;
            return;
        }
        let since = *self.fenced_ahead_since.get_or_insert(now);
        let limit = self.options.fenced_ahead_limit + self.stagger();
        if limit <= now.since(since) && self.retry_at <= now {
            self.start_promotion(now, "an instance is fenced above the primary", out);
        }
    }

    pub(crate) fn fence_all(&self, term: Term, out: &mut Actions) {
        for ordinal in 0..self.instances.len() as u8 {
            out.push(Action::Run { ordinal, step: Step::Fence, term });
        }
    }

    /// Makes reachable instances that are not replicas at the primary's term follow the primary.
    fn rejoin_instances(&mut self, now: Time, out: &mut Actions) {
        if self.promoter.is_some() {
            return;
        }
        let Some((primary_ordinal, primary)) = self.primary() else { return };
        let reachable: SmallVec<[(u8, InstanceStatus); 3]> = self.reachable().collect();
        for (ordinal, status) in reachable {
            let is_outdated = status.fence < primary.fence
                || (status.fence == primary.fence && status.role != Role::Replica);
            let last = &mut self.last_rejoins[usize::from(ordinal)];
            let is_recent = last.is_some_and(|at| now.since(at) < self.options.rejoin_interval);
            if ordinal == primary_ordinal || !is_outdated || is_recent {
                continue;
            }
            *last = Some(now);
            out.push(Action::Run { ordinal, step: Step::Follow, term: primary.fence });
        }
    }

    fn update_highest_term(&mut self) {
        let promised = self.statuses().map(|status| status.fence).max().unwrap_or_default();
        let tried = self.promoter.as_ref().map(Promoter::term).unwrap_or_default();
        self.highest_term = self.highest_term.max(promised).max(tried);
    }

    fn statuses(&self) -> impl Iterator<Item = InstanceStatus> {
        self.instances.iter().filter_map(Detector::status)
    }

    pub(crate) fn reachable(&self) -> impl Iterator<Item = (u8, InstanceStatus)> {
        let options = self.options;
        self.instances.iter().enumerate().filter_map(move |(ordinal, detector)| {
            let status = detector
                .status()
                .filter(|_| detector.reachability(&options) == Reachability::Up)?;
            Some((ordinal as u8, status))
        })
    }
}

pub(crate) fn is_primary_at(status: InstanceStatus, highest_term: Term) -> bool {
    status.role == Role::Primary && highest_term <= status.fence
}

pub(crate) fn log_event(
    event: Event,
    ordinal: Option<u8>,
    term: Term,
    reason: &'static str,
) -> Action {
    Action::Record(Record { event, ordinal, term, reason })
}
