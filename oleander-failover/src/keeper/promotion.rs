//! The steps of a promotion: stop the replicas, choose, persist the choice, order, see it lead.

use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use smallvec::SmallVec;

use super::Keeper;
use super::messages::Action;
use super::messages::INLINE_INSTANCES;
use super::messages::OrderOutcome;
use super::phase::Doubt;
use super::phase::Phase;
use super::phase::Stopping;
use super::phase::Taking;
use super::record;

impl Keeper {
    pub(super) fn note_stopped(&mut self, instance: InstanceKey, point: Option<LogPoint>) {
        if self.resuming.iter().any(|(resuming, _)| *resuming == instance) {
            return;
        }
        let Phase::Stopping(stopping) = &mut self.phase else { return };
        let Some(point) = point else { return };
        stopping.stopped.retain(|(stopped, _)| *stopped != instance);
        stopping.stopped.push((instance, point));
        self.term = self.term.max(point.term);
    }

    pub(super) fn note_resumed(&mut self, now: Time, instance: InstanceKey, answered: bool) {
        if answered {
            self.resuming.retain(|(resuming, _)| *resuming != instance);
            if let Phase::Stopping(stopping) = &mut self.phase {
                // The order to stop can follow at once.
                stopping.asked = Time(0);
            }
            return;
        }
        let doubtful = self.resuming.iter_mut().filter(|(resuming, _)| *resuming == instance);
        for (_, until) in doubtful {
            *until = Some(now + self.options.doubt);
        }
    }

    pub(super) fn note_reached(&mut self, now: Time, all: bool, out: &mut Vec<Action>) {
        if self.phase != Phase::Reaching {
            return;
        }
        if all {
            return self.claim(true, out);
        }
        self.phase = Phase::Watching;
        self.retry = now + self.options.retry;
    }

    pub(super) fn claim(&mut self, planned: bool, out: &mut Vec<Action>) {
        self.phase = Phase::Claiming { planned };
        // A later keeper must know of an order that is still in doubt.
        let ordered = self.doubt.map(|doubt| doubt.instance());
        out.push(Action::AcquireToken { ordered });
    }

    pub(super) fn note_claim(&mut self, now: Time, token: Option<u64>, out: &mut Vec<Action>) {
        match (&mut self.phase, token) {
            (Phase::Claiming { .. }, None) => {
                self.phase = Phase::Watching;
                self.retry = now + self.options.retry;
            }
            (Phase::Claiming { planned }, Some(token)) => {
                let planned = *planned;
                self.named = self.doubt.is_some();
                let why = if planned { "the primary leaves" } else { "the primary is silent" };
                let term = self.next_term();
                out.push(record(Event::PromotionStarted, self.primary, term, why));
                self.phase = Phase::Informing { planned, token };
                out.push(Action::InformVms(token));
            }
            (Phase::Clearing { .. }, Some(_)) => {
                self.named = false;
                self.resume_all(out);
                self.phase = Phase::Watching;
                self.retry = now + self.options.retry;
            }
            (Phase::Proposing { again, .. } | Phase::Clearing { again }, None) => {
                *again = Some(now + self.options.repeat);
            }
            (Phase::Proposing { instance, .. }, Some(token)) => {
                let instance = *instance;
                self.order(instance, token, out);
            }
            _ => {}
        }
    }

    pub(super) fn note_informed(&mut self, now: Time, informed: u64, out: &mut Vec<Action>) {
        if let Phase::Informing { planned, token } = self.phase
            && token == informed
        {
            self.start_stopping(now, planned, out);
        }
    }

    pub(super) fn note_order(&mut self, now: Time, outcome: OrderOutcome, out: &mut Vec<Action>) {
        let Phase::Ordering { instance, token, .. } = self.phase else { return };
        let mixed = self.doubt.is_some_and(|doubt| doubt.mixed || doubt.instance != instance);
        match outcome {
            OrderOutcome::Accepted => {
                self.phase = Phase::Taking(Taking {
                    instance,
                    since: now,
                    until: now + self.options.taking,
                    confirm: mixed,
                    followed: false,
                    led: false,
                });
                self.next_beat = now;
            }
            OrderOutcome::Rejected if self.doubt.is_none() => {
                // The platform has seen a higher token or the instance does not run.
                self.give_up(now, "the platform refused the order", out);
            }
            OrderOutcome::Rejected => {
                self.set_back(now, instance, mixed, "refused after a doubt", out)
            }
            OrderOutcome::NotRun => {
                let resend = Some(now + self.options.alarm);
                self.phase = Phase::Ordering { instance, token, resend };
            }
            OrderOutcome::Unknown => {
                self.doubt = Some(Doubt { instance, mixed, refused: false });
                self.propose(now, instance, out);
            }
        }
    }

    pub(super) fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        match &self.phase {
            Phase::Watching => self.consider(now, out),
            Phase::Stopping(stopping) => {
                if self.all_stopped(stopping) {
                    self.choose(now, out);
                } else if stopping.since + self.options.stopping <= now {
                    self.give_up(now, "a replica does not answer", out);
                } else if stopping.asked + self.options.repeat <= now {
                    self.ask_again(now, out);
                }
            }
            Phase::Proposing { until, .. } if *until <= now && self.doubt.is_none() => {
                self.give_up(now, "the store did not answer", out);
            }
            Phase::Proposing { instance, .. } if self.known(*instance).is_none() => {
                let (instance, reason) = (*instance, "the directory no longer names the instance");
                match self.doubt {
                    Some(doubt) => self.set_back(now, instance, doubt.mixed, reason, out),
                    None => self.give_up(now, reason, out),
                }
            }
            Phase::Proposing { instance, again: Some(at), .. } if *at <= now => {
                let instance = *instance;
                self.propose(now, instance, out);
            }
            Phase::Clearing { again: Some(at) } if *at <= now => self.clear(out),
            Phase::Ordering { instance, token, resend: Some(at) } if *at <= now => {
                let (instance, token) = (*instance, *token);
                self.order(instance, token, out);
            }
            Phase::Taking(taking) if taking.until <= now => {
                let Taking { instance, confirm, .. } = *taking;
                self.set_back(now, instance, confirm, "the promoted instance does not lead", out);
            }
            _ => {}
        }
    }

    /// Takes in that an instance leads.
    pub(super) fn follow_leader(
        &mut self,
        now: Time,
        instance: InstanceKey,
        term: Term,
        out: &mut Vec<Action>,
    ) {
        match &mut self.phase {
            Phase::Taking(taking) if taking.instance == instance => {
                taking.led = true;
                let confirmed = taking.since + self.options.confirm <= now;
                if taking.confirm && !taking.followed && !confirmed {
                    return;
                }
                // An order that changed nothing leaves replicas stopped.
                let resumes = taking.confirm;
                out.push(record(Event::PrimaryPromoted, Some(instance), term, "leads"));
                self.settle();
                if resumes {
                    self.resume_all(out);
                }
            }
            Phase::Stopping(Stopping { planned: false, .. })
            | Phase::Informing { planned: false, .. } => match self.doubt {
                None => self.give_up(now, "the primary answers again", out),
                Some(_) => self.propose(now, instance, out),
            },
            Phase::Watching if self.doubt.is_none() && self.stopped => self.resume_all(out),
            _ => {}
        }
    }

    /// Takes in that an instance is a replica.
    pub(super) fn note_follower(&mut self, instance: InstanceKey) {
        let Phase::Taking(taking) = &mut self.phase else { return };
        if taking.instance != instance {
            return;
        }
        taking.followed = true;
        if taking.led {
            // An order that had been executed just before took effect; all are overtaken now.
            self.settle();
        }
    }

    /// Tries to find out what came of an order in doubt. Returns `false` if only another promotion
    /// can end it.
    pub(super) fn resolve(&mut self, now: Time, doubt: Doubt, out: &mut Vec<Action>) -> bool {
        let again = (!doubt.refused && self.known(doubt.instance).is_some())
            .then_some(doubt.instance)
            .or(self.primary.filter(|_| self.silent.is_none()));
        let Some(instance) = again else { return false };
        self.propose(now, instance, out);
        true
    }

    fn next_term(&self) -> Term {
        Term(self.term.0 + 1)
    }

    fn start_stopping(&mut self, now: Time, planned: bool, out: &mut Vec<Action>) {
        let term = self.next_term();
        let stopped = SmallVec::new();
        let stopping = Stopping { planned, term, since: now, asked: now, stopped };
        self.phase = Phase::Stopping(stopping);
        self.ask_to_stop(out);
    }

    /// Returns `true` once every replica that the directory names has stopped receiving.
    fn all_stopped(&self, stopping: &Stopping) -> bool {
        let mut any = false;
        for replica in self.replicas() {
            if !stopping.stopped.iter().any(|(stopped, _)| *stopped == replica) {
                return false;
            }
            any = true;
        }
        any
    }

    fn choose(&mut self, now: Time, out: &mut Vec<Action>) {
        let Phase::Stopping(stopping) = &self.phase else { return };
        let planned = stopping.planned;
        let present = stopping.stopped.iter().filter(|(key, _)| self.known(*key).is_some());
        let best = present.max_by_key(|(key, point)| (*point, !self.is_leaving(*key)));
        let Some((instance, _)) = best.copied() else {
            return self.give_up(now, "no replica is left", out);
        };
        if planned && self.is_leaving(instance) {
            return self.give_up(now, "the furthest replica leaves too", out);
        }
        self.propose(now, instance, out);
    }

    /// Persists which instance the next order names, for which there is a token of its own.
    fn propose(&mut self, now: Time, instance: InstanceKey, out: &mut Vec<Action>) {
        let until = match self.phase {
            Phase::Proposing { until, .. } => until,
            _ => now + self.options.stopping,
        };
        self.phase = Phase::Proposing { instance, again: None, until };
        self.named = true;
        out.push(Action::AcquireToken { ordered: Some(instance) });
    }

    fn order(&mut self, instance: InstanceKey, token: u64, out: &mut Vec<Action>) {
        self.phase = Phase::Ordering { instance, token, resend: None };
        let doubtful = "an earlier order is in doubt";
        let why = if self.doubt.is_some() { doubtful } else { "received most" };
        out.push(record(Event::PromotionOrdered, Some(instance), self.term, why));
        out.push(Action::OrderPromotion { instance, token });
    }

    /// Ends a promotion whose effect was seen: no earlier order can have one any more.
    fn settle(&mut self) {
        self.doubt = None;
        self.named = false;
        self.stopped = false;
        self.phase = Phase::Watching;
    }

    /// Notes that an order for an instance came to nothing, though it may still take effect.
    fn set_back(
        &mut self,
        now: Time,
        instance: InstanceKey,
        mixed: bool,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        self.doubt = Some(Doubt { instance, mixed, refused: true });
        self.give_up(now, reason, out);
    }

    fn give_up(&mut self, now: Time, reason: &'static str, out: &mut Vec<Action>) {
        out.push(record(Event::PromotionAbandoned, self.primary, self.term, reason));
        self.retry = now + self.options.retry;
        match (self.doubt, self.named) {
            (Some(_), _) => self.phase = Phase::Watching,
            // A later keeper would promote the instance though others have received more.
            (None, true) => self.clear(out),
            (None, false) => {
                self.phase = Phase::Watching;
                self.resume_all(out);
            }
        }
    }

    fn clear(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Clearing { again: None };
        out.push(Action::AcquireToken { ordered: None });
    }

    fn resume_all(&mut self, out: &mut Vec<Action>) {
        self.stopped = false;
        let replicas: SmallVec<[InstanceKey; INLINE_INSTANCES]> = self.replicas().collect();
        for replica in replicas {
            self.resuming.retain(|(resuming, _)| *resuming != replica);
            self.resuming.push((replica, None));
            out.push(Action::ResumeReplication(replica));
        }
    }

    fn ask_to_stop(&self, out: &mut Vec<Action>) {
        let Phase::Stopping(stopping) = &self.phase else { return };
        let is_stopped = |key| stopping.stopped.iter().any(|(stopped, _)| *stopped == key);
        // An order to receive again that arrives after the one to stop would undo it unseen.
        let is_resuming = |key| self.resuming.iter().any(|(resuming, _)| *resuming == key);
        let missing = self.replicas().filter(|key| !is_stopped(*key) && !is_resuming(*key));
        out.extend(missing.map(|key| Action::StopReplication(key, stopping.term)));
    }

    fn ask_again(&mut self, now: Time, out: &mut Vec<Action>) {
        self.resuming.retain(|(_, until)| until.is_none_or(|until| now < until));
        let term = self.next_term();
        if let Phase::Stopping(stopping) = &mut self.phase {
            stopping.asked = now;
            stopping.term = stopping.term.max(term);
        }
        self.ask_to_stop(out);
    }
}
