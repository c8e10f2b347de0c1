//! The steps of a promotion: stop the replicas, choose one, write the choice into the record, order
//! its promotion and wait until it answers as primary.

use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use smallvec::SmallVec;

use super::Keeper;
use super::log_event;
use super::messages::Action;
use super::messages::INLINE_INSTANCES;
use super::messages::ListedInstance;
use super::messages::OrderOutcome;
use super::phase::Phase;
use super::phase::Stopped;
use super::phase::StoppingReplicas;
use super::phase::Takeover;
use super::phase::UnansweredOrder;
use super::phase::UnresolvedOrder;

/// `VmPoints` are the points that VMs told when the primary was withdrawn, as in
/// `Input::VmsInformed`.
#[derive(Clone, Copy, Debug)]
pub(super) struct VmPoints {
    pub(super) confirmed: Option<LogPoint>,
    pub(super) mark: Option<LogPoint>,
}

impl Keeper {
    /// Records the last point that a stopped replica has received; `None` if it did not answer.
    pub(super) fn handle_stopped(
        &mut self,
        now: Time,
        instance: InstanceKey,
        point: Option<LogPoint>,
    ) {
        if self.resuming.iter().any(|(resuming, _)| *resuming == instance) {
            // An order to resume may still arrive and undo the stop.
            return;
        }
        let Some(point) = point.filter(|point| self.is_explained(now, instance, point.term)) else {
            return;
        };
        let Phase::StoppingReplicas(stopping) = &mut self.phase else { return };
        if !self.members.running().any(|running| running == instance) {
            return;
        }
        stopping.stopped.retain(|stopped| stopped.key != instance);
        stopping.stopped.push(Stopped { key: instance, point, at: now });
        self.term = self.term.max(point.term);
    }

    /// Records the answer to an order to resume. An unanswered order may still take effect until
    /// `resume_limit` has passed.
    pub(super) fn handle_resumed(&mut self, now: Time, instance: InstanceKey, answered: bool) {
        if answered {
            self.resuming.retain(|(resuming, _)| *resuming != instance);
            if let Phase::StoppingReplicas(stopping) = &mut self.phase {
                // Makes the next `advance` tell the replica to stop, without waiting for the repeat
                // interval.
                stopping.sent_at = Time(0);
            }
            return;
        }
        let unanswered = self.resuming.iter_mut().filter(|(resuming, _)| *resuming == instance);
        for (_, until) in unanswered {
            *until = Some(now + self.options.resume_limit);
        }
    }

    /// Starts a planned promotion if `all` VMs answered.
    pub(super) fn handle_vms_checked(&mut self, now: Time, all: bool, out: &mut Vec<Action>) {
        if self.phase != Phase::CheckingVms {
            return;
        }
        if all {
            return self.start(true, out);
        }
        self.phase = Phase::Watching;
        self.retry_at = now + self.options.retry_delay;
    }

    /// Starts a promotion by requesting a token for a record without a primary.
    pub(super) fn start(&mut self, planned: bool, out: &mut Vec<Action>) {
        self.phase = Phase::AcquiringToken { planned };
        // A later keeper must know of an order that may still take effect.
        let ordered = self.unresolved.map(|order| order.instance());
        out.push(Action::AcquireToken { ordered });
    }

    /// Continues after a write of the record; `token` is `None` if the write failed.
    pub(super) fn handle_token(&mut self, now: Time, token: Option<u64>, out: &mut Vec<Action>) {
        match (&mut self.phase, token) {
            (Phase::AcquiringToken { .. }, None) => {
                self.phase = Phase::Watching;
                self.retry_at = now + self.options.retry_delay;
            }
            (Phase::AcquiringToken { planned }, Some(token)) => {
                let planned = *planned;
                self.record_ordered = self.unresolved.is_some();
                let reason = match self.primary {
                    _ if !planned => "the primary is silent",
                    Some(primary) if self.is_evacuated(primary) && !self.is_leaving(primary) => {
                        "the zone of the primary is evacuated"
                    }
                    Some(primary) if self.listed(primary).is_none() => {
                        "the directory does not list the primary"
                    }
                    _ => "the primary leaves",
                };
                let term = self.next_term();
                out.push(log_event(Event::PromotionStarted, self.primary, term, reason));
                self.phase = Phase::InformingVms { planned, token };
                out.push(Action::InformVms(token));
            }
            (Phase::ClearingRecord { .. }, Some(_)) => {
                self.record_ordered = false;
                self.resume_all(out);
                self.phase = Phase::Watching;
                self.retry_at = now + self.options.retry_delay;
            }
            (
                Phase::RecordingChoice { retry_at, .. } | Phase::ClearingRecord { retry_at },
                None,
            ) => {
                *retry_at = Some(now + self.options.repeat_interval);
            }
            (Phase::RecordingChoice { instance, .. }, Some(token)) => {
                let instance = *instance;
                self.send_order(instance, token, out);
            }
            _ => {}
        }
    }

    /// Tells the replicas to stop once no VM uses a record older than that of the token `informed`.
    pub(super) fn handle_vms_informed(
        &mut self,
        now: Time,
        informed: u64,
        points: VmPoints,
        out: &mut Vec<Action>,
    ) {
        if let Phase::InformingVms { planned, token } = self.phase
            && token == informed
        {
            self.stop_replicas(now, planned, points, out);
        }
    }

    /// Continues after the platform's answer to a promotion order.
    pub(super) fn handle_order_outcome(
        &mut self,
        now: Time,
        outcome: OrderOutcome,
        out: &mut Vec<Action>,
    ) {
        let Phase::OrderingPromotion { instance, token, .. } = self.phase else { return };
        let has_others =
            self.unresolved.is_some_and(|order| order.has_others || order.instance != instance);
        match outcome {
            OrderOutcome::Accepted => {
                self.phase = Phase::Takeover(Takeover {
                    instance,
                    since: now,
                    until: now + self.options.takeover_limit,
                    needs_confirmation: has_others,
                    seen_replica: false,
                    seen_primary: false,
                });
                self.next_probe = now;
            }
            OrderOutcome::Rejected if self.unresolved.is_none() => {
                // The platform has seen a higher token, or the instance does not run.
                self.abandon(now, "the platform refused the order", out);
            }
            OrderOutcome::Rejected => {
                self.leave_pending(now, instance, has_others, "refused after a doubt", out);
            }
            OrderOutcome::NotRun => {
                let resend_at = Some(now + self.options.suspect_interval);
                self.phase = Phase::OrderingPromotion { instance, token, resend_at };
            }
            OrderOutcome::Unknown => {
                self.note_unanswered(now, instance);
                let life = self.chosen_life;
                self.unresolved =
                    Some(UnresolvedOrder { instance, life, has_others, retry_failed: false });
                self.record_choice(now, instance, out);
            }
        }
    }

    /// Continues the current phase if its condition is met, and repeats or abandons its operation
    /// if the time for it has passed.
    pub(super) fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        match &self.phase {
            Phase::Watching => self.start_if_needed(now, out),
            Phase::Scanning(_) => self.finish_scan(now, out),
            Phase::StoppingReplicas(stopping) => {
                if let Some(required) = self.choice_bound(now, stopping) {
                    self.choose_replica(now, required, out);
                } else if self.stop_until(now, stopping) <= now {
                    self.log_missing_proof(now, out);
                    self.abandon(now, "no instance is shown to have all commits", out);
                } else if stopping.sent_at + self.options.repeat_interval <= now {
                    self.repeat_stops(now, out);
                }
            }
            Phase::RecordingChoice { until, .. } if *until <= now && self.unresolved.is_none() => {
                self.abandon(now, "the store did not answer", out);
            }
            Phase::RecordingChoice { instance, .. }
            | Phase::OrderingPromotion { instance, resend_at: Some(_), .. }
                if !self.is_chosen_listed(*instance) =>
            {
                let (instance, reason) = (*instance, "the directory no longer names the instance");
                match self.unresolved {
                    Some(order) => self.leave_pending(now, instance, order.has_others, reason, out),
                    None => self.abandon(now, reason, out),
                }
            }
            Phase::RecordingChoice { instance, retry_at: Some(at), .. } if *at <= now => {
                let instance = *instance;
                self.record_choice(now, instance, out);
            }
            Phase::ClearingRecord { retry_at: Some(at) } if *at <= now => self.clear_record(out),
            Phase::OrderingPromotion { instance, token, resend_at: Some(at) } if *at <= now => {
                let (instance, token) = (*instance, *token);
                self.send_order(instance, token, out);
            }
            Phase::Takeover(takeover) if takeover.until <= now => {
                let Takeover { instance, needs_confirmation, .. } = *takeover;
                self.note_unanswered(now, instance);
                self.leave_pending(
                    now,
                    instance,
                    needs_confirmation,
                    "the promoted instance did not become primary",
                    out,
                );
            }
            _ => {}
        }
    }

    /// Advances the promotion when an instance answers as primary.
    pub(super) fn advance_on_primary(
        &mut self,
        now: Time,
        instance: InstanceKey,
        term: Term,
        out: &mut Vec<Action>,
    ) {
        match &mut self.phase {
            Phase::Takeover(takeover) if takeover.instance == instance => {
                takeover.seen_primary = true;
                let is_confirmed = takeover.since + self.options.confirm_time <= now;
                if takeover.needs_confirmation && !takeover.seen_replica && !is_confirmed {
                    return;
                }
                out.push(log_event(Event::PrimaryPromoted, Some(instance), term, "leads"));
                self.complete_promotion();
                self.members.start_term(instance);
                if self.is_evacuated(instance) {
                    // Before it is replaced in turn, the others have to receive what it has.
                    self.retry_at = now + self.options.retry_delay;
                }
                // The order may be for the instance that was already primary, which leaves the
                // replicas stopped.
                self.resume_all(out);
            }
            Phase::StoppingReplicas(StoppingReplicas { planned: false, .. })
            | Phase::InformingVms { planned: false, .. } => match self.unresolved {
                None => self.abandon(now, "the primary answers again", out),
                Some(_) if self.may_order(now, instance) => self.order(now, instance, out),
                Some(_) => self.abandon(now, "an earlier order may still be executed", out),
            },
            Phase::Watching if self.unresolved.is_none() && self.stopped => self.resume_all(out),
            _ => {}
        }
    }

    /// Advances the promotion when an instance answers as replica.
    pub(super) fn advance_on_replica(&mut self, instance: InstanceKey) {
        let Phase::Takeover(takeover) = &mut self.phase else { return };
        if takeover.instance != instance {
            return;
        }
        takeover.seen_replica = true;
        if takeover.seen_primary && self.options.order_expiry.is_none() {
            // An order for another instance, executed just before, has demoted it. No order is left
            // that can take effect. Without checked tokens, this may also be a replaced primary
            // that has stepped down, and its own order has yet to take effect.
            self.complete_promotion();
        }
    }

    /// Repeats an unresolved order, or orders the promotion of the present primary, to supersede
    /// it.
    ///
    /// Returns `false` if neither is possible, so that only a new promotion can supersede the
    /// order.
    pub(super) fn retry_unresolved(
        &mut self,
        now: Time,
        order: UnresolvedOrder,
        out: &mut Vec<Action>,
    ) -> bool {
        // An instance that has started again may lack what it had when it was chosen.
        let is_same = |listed: ListedInstance| order.life.is_none_or(|life| life == listed.life);
        let is_chosen = self.listed(order.instance).is_some_and(is_same);
        let candidate = (!order.retry_failed && is_chosen)
            .then_some(order.instance)
            .or(self.primary.filter(|_| self.silence.is_none()));
        let candidate = candidate.filter(|instance| self.may_order(now, *instance));
        let Some(instance) = candidate else { return false };
        self.order(now, instance, out);
        true
    }

    /// Records an order that the platform may execute later, if it does not check tokens.
    pub(super) fn note_unanswered(&mut self, now: Time, instance: InstanceKey) {
        if let Some(expiry) = self.options.order_expiry {
            let until = now + expiry;
            self.unanswered = Some(UnansweredOrder { instance: Some(instance), until });
        }
    }

    /// Returns `true` unless an order for another instance may still be executed after one for
    /// `instance`, whatever their tokens.
    fn may_order(&self, now: Time, instance: InstanceKey) -> bool {
        self.unanswered(now).is_none_or(|ordered| ordered == instance)
    }

    fn next_term(&self) -> Term {
        Term(self.term.0.saturating_add(1))
    }

    fn stop_replicas(&mut self, now: Time, planned: bool, points: VmPoints, out: &mut Vec<Action>) {
        let VmPoints { confirmed: bound, mark } = points;
        let (term, stopped) = (self.next_term(), SmallVec::new());
        let stopping =
            StoppingReplicas { planned, term, since: now, sent_at: now, stopped, bound, mark };
        self.phase = Phase::StoppingReplicas(stopping);
        self.send_stops(out);
    }

    /// Returns the point that the promoted instance must have received, once a listed replica has.
    /// The other listed replicas have a moment to answer as well, since one may be the better choice.
    fn choice_bound(&self, now: Time, stopping: &StoppingReplicas) -> Option<LogPoint> {
        let required = self.required_point(now, stopping)?;
        let is_silent = |listed: &ListedInstance| {
            self.assumed_primary() != Some(listed.key) && stopping.point_of(listed.key).is_none()
        };
        let is_awaited = now < stopping.since + self.options.repeat_interval
            && self.instances.iter().any(is_silent);
        let has_required =
            |stopped: &Stopped| required <= stopped.point && self.listed(stopped.key).is_some();
        (!is_awaited && stopping.stopped.iter().any(has_required)).then_some(required)
    }

    /// Logs why no instance can be promoted: the members whose acknowledgements are not accounted
    /// for, or that no listed instance has received what is required.
    fn log_missing_proof(&self, now: Time, out: &mut Vec<Action>) {
        let Phase::StoppingReplicas(stopping) = &self.phase else { return };
        let event = Event::PromotionUnproven;
        if let Some(required) = self.required_point(now, stopping) {
            let holder = stopping.stopped.iter().find(|stopped| required <= stopped.point);
            let (holder, reason) = match holder {
                Some(stopped) => (Some(stopped.key), "has what is required, but is not listed"),
                None => (None, "no instance that answers has what is required"),
            };
            return out.push(log_event(event, holder, self.term, reason));
        }
        if self.members_point(now, stopping).is_some() {
            let reason = "a member may have started again without its log";
            return out.push(log_event(event, None, self.term, reason));
        }
        let missing = self.missing_members(stopping).into_iter();
        let reason = "what it has acknowledged is not accounted for";
        out.extend(missing.map(|key| log_event(event, Some(key), self.term, reason)));
    }

    /// Chooses, among the listed replicas that have received `required`, the one that has received
    /// most; among equals one that neither leaves nor is in an evacuated zone.
    fn choose_replica(&mut self, now: Time, required: LogPoint, out: &mut Vec<Action>) {
        let Phase::StoppingReplicas(stopping) = &self.phase else { return };
        let planned = stopping.planned;
        let listed = stopping.stopped.iter().filter(|stopped| self.listed(stopped.key).is_some());
        let proved = listed.filter(|stopped| required <= stopped.point);
        let best = proved.max_by_key(|Stopped { key, point, .. }| {
            (*point, self.stays(*key), !self.is_leaving(*key), self.allowing_routes(*key))
        });
        let Some(Stopped { key: instance, .. }) = best.copied() else {
            return self.abandon(now, "no replica is left", out);
        };
        if planned && self.is_leaving(instance) {
            return self.abandon(now, "the replica that has received most leaves too", out);
        }
        // A leaving primary still serves for a while, which an instance in an evacuated zone or
        // without an entry does not.
        let primary = self.primary.and_then(|primary| self.listed(primary));
        let primary_serves = primary.is_some_and(|primary| !primary.evacuated);
        if planned && self.is_evacuated(instance) && primary_serves {
            let reason = "the zone of the replica that has received most is evacuated";
            return self.abandon(now, reason, out);
        }
        self.order(now, instance, out);
    }

    /// Returns `true` if the directory lists the chosen instance with the start that was chosen: an
    /// instance that has started again may lack what it had.
    fn is_chosen_listed(&self, instance: InstanceKey) -> bool {
        let listed = self.listed(instance);
        listed.is_some_and(|listed| self.chosen_life.is_none_or(|life| life == listed.life))
    }

    /// Starts the order for an instance as the directory lists it.
    fn order(&mut self, now: Time, instance: InstanceKey, out: &mut Vec<Action>) {
        self.chosen_life = self.listed(instance).map(|listed| listed.life);
        self.record_choice(now, instance, out);
    }

    /// Writes the instance to promote into the record, which also gives the order its token.
    fn record_choice(&mut self, now: Time, instance: InstanceKey, out: &mut Vec<Action>) {
        let until = match self.phase {
            Phase::RecordingChoice { until, .. } => until,
            _ => now + self.options.stop_limit,
        };
        self.phase = Phase::RecordingChoice { instance, retry_at: None, until };
        self.record_ordered = true;
        out.push(Action::AcquireToken { ordered: Some(instance) });
    }

    fn send_order(&mut self, instance: InstanceKey, token: u64, out: &mut Vec<Action>) {
        self.phase = Phase::OrderingPromotion { instance, token, resend_at: None };
        let repeated = "an earlier order may still take effect";
        let reason = if self.unresolved.is_some() { repeated } else { "received most" };
        out.push(log_event(Event::PromotionOrdered, Some(instance), self.term, reason));
        out.push(Action::OrderPromotion { instance, token });
    }

    /// Ends a promotion whose effect was seen; no earlier order can take effect any more.
    fn complete_promotion(&mut self) {
        self.unresolved = None;
        self.record_ordered = false;
        self.stopped = false;
        self.leaving_since = None;
        self.phase = Phase::Watching;
    }

    /// Abandons a promotion whose order had no effect so far but may still take effect.
    fn leave_pending(
        &mut self,
        now: Time,
        instance: InstanceKey,
        has_others: bool,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        let life = self.chosen_life;
        self.unresolved = Some(UnresolvedOrder { instance, life, has_others, retry_failed: true });
        self.abandon(now, reason, out);
    }

    /// Abandons the promotion. Unless an order may still take effect, the record is cleared of the
    /// instance that it names and the replicas are told to resume.
    fn abandon(&mut self, now: Time, reason: &'static str, out: &mut Vec<Action>) {
        out.push(log_event(Event::PromotionAbandoned, self.primary, self.term, reason));
        self.retry_at = now + self.options.retry_delay;
        match (self.unresolved, self.record_ordered) {
            (Some(_), _) => self.phase = Phase::Watching,
            // If the record kept naming the instance, a later keeper would promote it even if
            // others have received more since.
            (None, true) => self.clear_record(out),
            (None, false) => {
                self.phase = Phase::Watching;
                self.resume_all(out);
            }
        }
    }

    fn clear_record(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::ClearingRecord { retry_at: None };
        out.push(Action::AcquireToken { ordered: None });
    }

    /// Tells all replicas to receive the log again.
    fn resume_all(&mut self, out: &mut Vec<Action>) {
        self.stopped = false;
        let replicas: SmallVec<[InstanceKey; INLINE_INSTANCES]> = self.replicas().collect();
        for replica in replicas {
            self.resuming.retain(|(resuming, _)| *resuming != replica);
            self.resuming.push((replica, None));
            out.push(Action::ResumeReplication(replica));
        }
    }

    /// Repeats the orders to resume that were not answered. A replica that misses its order would stay
    /// stopped, and once the others are gone no commit could be acknowledged.
    pub(super) fn repeat_resumes(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.is_promoting() {
            return;
        }
        let replicas: SmallVec<[InstanceKey; INLINE_INSTANCES]> = self.replicas().collect();
        let is_over = |until: Option<Time>| until.is_some_and(|until| until <= now);
        self.resuming.retain(|(key, until)| !is_over(*until) || replicas.contains(key));
        for (key, until) in self.resuming.iter_mut().filter(|(_, until)| is_over(*until)) {
            *until = None;
            out.push(Action::ResumeReplication(*key));
        }
    }

    /// Returns the time at which the next order to resume is repeated.
    pub(super) fn next_resume(&self) -> Time {
        if self.is_promoting() {
            return Time(u64::MAX);
        }
        self.resuming.iter().filter_map(|(_, until)| *until).min().unwrap_or(Time(u64::MAX))
    }

    /// Tells the replicas that have not stopped yet to stop.
    fn send_stops(&self, out: &mut Vec<Action>) {
        let Phase::StoppingReplicas(stopping) = &self.phase else { return };
        let is_stopped = |key| stopping.answer_of(key).is_some();
        // An order to resume that arrives after the order to stop would silently undo it.
        let is_resuming = |key| self.resuming.iter().any(|(resuming, _)| *resuming == key);
        let missing = self.replicas().filter(|key| !is_stopped(*key) && !is_resuming(*key));
        out.extend(missing.map(|key| Action::StopReplication(key, stopping.term)));
        out.extend(self.members.stopped().map(Action::CheckMember));
    }

    /// Repeats the orders to stop, also to replicas whose order to resume can no longer take
    /// effect.
    fn repeat_stops(&mut self, now: Time, out: &mut Vec<Action>) {
        self.resuming.retain(|(_, until)| until.is_none_or(|until| now < until));
        let term = self.next_term();
        if let Phase::StoppingReplicas(stopping) = &mut self.phase {
            stopping.sent_at = now;
            stopping.term = stopping.term.max(term);
        }
        self.send_stops(out);
    }
}
