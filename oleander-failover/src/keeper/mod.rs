//! Monitors the primary of a database and replaces it through the platform.
//!
//! A keeper is the VM that has the duty of watching one database. The keeper record in the store
//! names that VM and the primary, or the instance whose promotion has been ordered.
//!
//! The platform promotes whichever instance it is ordered to, so an acknowledged commit survives
//! only if the keeper chooses the right one. A commit is acknowledged once one replica has received
//! it. The keeper therefore stops replication at all replicas, which also ends acknowledgements at
//! the old primary, and promotes a replica that is shown to have each acknowledged commit
//! (`members`): it has what all members have received, or all that VMs have confirmed. An answer of
//! a member counts only if it is that of the listed start (`starts`). Without a proof the keeper waits
//! for the members or the primary. A replica that joins or restarts during the
//! promotion receives and acknowledges all the same, so the keeper first waits until no VM accepts
//! acknowledgements of the old primary any more.
//!
//! Each order carries a fencing token of its own, by which the platform decides between concurrent
//! keepers. To get one, the keeper writes its record with the instance to promote and without a
//! primary. An unanswered order may be executed later, and an accepted one takes effect with a
//! delay. The order is therefore repeated for the same instance with a higher token, by this keeper
//! or the next one, until its effect is seen; only then does the record name a primary again.
//!
//! If the platform does not check tokens, a higher one does not end an earlier order. No other
//! instance is then ordered until an unanswered order has expired (`KeeperOptions::order_expiry`).
//!
//! After the store was restored from a copy, the record may lack the latest promotion. A keeper that
//! has not written it itself then asks all instances which of them leads the latest term.
//!
//! A replaced primary may go on as one until it is told to step down. It is told from its term,
//! which the record holds as well: an instance that leads a lower term is never the primary.

mod members;
pub mod messages;
mod phase;
mod promotion;
mod replaced;
mod scan;
mod starts;
mod terms;

use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use self::members::Members;
use self::messages::Action;
use self::messages::INLINE_INSTANCES;
use self::messages::Input;
use self::messages::KeeperOptions;
use self::messages::ListedInstance;
use self::messages::Liveness;
use self::messages::MemberState;
use self::messages::ProbeResult;
use self::messages::RecordState;
use self::phase::Phase;
use self::phase::Scan;
use self::phase::UnansweredOrder;
use self::phase::UnresolvedOrder;
use self::promotion::VmPoints;
use self::replaced::ReplacedPrimary;
use self::starts::ListingSpan;

/// The version of the rules by which a keeper chooses the instance to promote. A VM with a later one
/// takes the duty from one with an earlier one.
///
/// Version 0 goes by the directory alone, version 1 takes the answer of any member for that of the
/// start that the directory lists, and version 2 believes any instance that claims a later term.
pub const RULES_VERSION: u32 = 3;

/// The version from which on a VM tells which commits it has confirmed.
pub const CONFIRMATIONS_VERSION: u32 = 1;

/// `Keeper` decides when to probe and when to replace the primary of one database.
#[derive(Clone, Debug)]
pub struct Keeper {
    options: KeeperOptions,
    instances: SmallVec<[ListedInstance; INLINE_INSTANCES]>,
    members: Members,
    listing: ListingSpan,
    primary: Option<InstanceKey>,
    /// The primary and the time since which the directory does not list it; `None` while it does.
    unlisted: Option<(InstanceKey, Time)>,
    /// The highest term seen.
    term: Term,
    phase: Phase,
    /// The instance whose answer to a probe is awaited.
    probing: Option<InstanceKey>,
    next_probe: Time,
    /// Counts the probes without a known primary, to go through the instances in turn.
    rotation: usize,
    /// `true` if the last probe while the primary was silent was of another instance.
    probe_others: bool,
    /// The failed probes since the primary last answered.
    silence: Option<Silence>,
    /// The time before which no promotion starts.
    retry_at: Time,
    /// The time at which the primary was first seen to be leaving or in an evacuated zone.
    leaving_since: Option<Time>,
    /// The start of the instance that was chosen last.
    chosen_life: Option<u64>,
    /// The latest order that may still take effect.
    unresolved: Option<UnresolvedOrder>,
    /// The orders without an answer on a platform that does not check tokens; all of them are for
    /// one instance.
    unanswered: Option<UnansweredOrder>,
    /// Former primaries that have not confirmed that they stepped down.
    replaced: SmallVec<[ReplacedPrimary; INLINE_INSTANCES]>,
    /// `true` while the record may name an instance to promote.
    record_ordered: bool,
    /// `true` while replicas may be stopped that have not been told to resume.
    stopped: bool,
    /// `true` once an instance has answered this keeper as primary.
    primary_seen: bool,
    /// The latest primary, also after it has answered as replica.
    last_primary: Option<InstanceKey>,
    /// `true` until a primary is found after the store was restored from a copy, as the record may lack
    /// promotions.
    restored: bool,
    /// The latest claim to a term that no order explains.
    unexplained: Option<(InstanceKey, Term)>,
    /// Replicas with an order to resume that may still take effect. The time is set if the order
    /// was not answered, and is the latest at which it can take effect.
    resuming: SmallVec<[(InstanceKey, Option<Time>); INLINE_INSTANCES]>,
}

/// `Silence` counts the failed probes since the primary last answered.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// The time at which the first of these probes failed or the directory dropped the primary.
    since: Time,
    misses: u32,
    /// The number of latest probes in a row that found the primary not running.
    not_running: u32,
}

impl Keeper {
    /// Creates a keeper that continues from the record of its predecessor.
    pub fn new(options: KeeperOptions, record: RecordState, now: Time) -> Self {
        let mut keeper = Self {
            options,
            instances: SmallVec::new(),
            members: Members::new(now, &[], now + options.listing_limit, options.repeat_interval),
            listing: ListingSpan::default(),
            primary: None,
            unlisted: None,
            term: Term(0),
            phase: Phase::Watching,
            probing: None,
            next_probe: now,
            rotation: 0,
            probe_others: false,
            silence: None,
            retry_at: now,
            leaving_since: None,
            chosen_life: None,
            unresolved: None,
            unanswered: None,
            replaced: SmallVec::new(),
            record_ordered: false,
            stopped: true,
            primary_seen: false,
            last_primary: None,
            restored: false,
            unexplained: None,
            resuming: SmallVec::new(),
        };
        match record {
            RecordState::Settled(primary) => {
                keeper.primary = Some(primary);
                keeper.stopped = false;
            }
            RecordState::SettledUnanswered(primary) => {
                keeper.primary = Some(primary);
                keeper.stopped = false;
                keeper.note_unanswered(now, primary);
            }
            RecordState::Unsettled => {}
            RecordState::Ordered(instance) => {
                keeper.unresolved = Some(UnresolvedOrder::from_record(instance));
                keeper.record_ordered = true;
                keeper.note_unanswered(now, instance);
            }
            RecordState::Restored => {
                keeper.restored = true;
                // An order that the platform has accepted takes effect within `confirm_time`.
                let options = keeper.options;
                let since = now + options.order_expiry.unwrap_or(options.confirm_time);
                keeper.unanswered = Some(UnansweredOrder { instance: None, until: since });
                keeper.phase = Phase::Scanning(Scan { since, answers: SmallVec::new() });
            }
        }
        keeper.last_primary = keeper.primary;
        keeper
    }

    /// Sets the term of the record that the keeper continues from: an instance that leads an
    /// earlier term has been replaced.
    pub fn with_term(self, term: Term) -> Self {
        Self { term, ..self }
    }

    /// Sets the members that the keeper continues from. If the record names them, they are all that
    /// has to be reckoned with, beside what the directory lists.
    pub fn with_members(self, members: &[MemberState], now: Time, recorded: bool) -> Self {
        let wait = if recorded { Span::ZERO } else { self.options.listing_limit };
        let pause = self.options.repeat_interval;
        Self { members: Members::new(now, members, now + wait, pause), ..self }
    }

    /// Sets the start of the instance whose promotion may have been ordered, as the record tells it;
    /// `None` if it does not.
    pub fn with_ordered_life(self, life: Option<u64>) -> Self {
        let unresolved = self.unresolved.map(|order| UnresolvedOrder { life, ..order });
        Self { unresolved, chosen_life: life, ..self }
    }

    /// Returns the start of the instance that was chosen last, which the record has to tell beside
    /// the instance.
    pub fn ordered_life(&self) -> Option<u64> {
        self.chosen_life
    }

    /// Returns the highest term seen.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the instance for which an order without an answer may still be executed, on a
    /// platform that does not check tokens. The record has to name it beside the primary.
    pub fn unanswered(&self, now: Time) -> Option<InstanceKey> {
        self.unanswered.filter(|order| now < order.until).and_then(|order| order.instance)
    }

    /// Returns the instance that was primary at its last answer, or according to the record that
    /// the keeper continues from; `None` while the primary is unknown.
    pub fn primary(&self) -> Option<InstanceKey> {
        self.primary
    }

    /// Returns `true` while the primary is being replaced, or may be by an unresolved order. The
    /// record must not name a primary then, so that no writes are sent to it.
    pub fn is_promoting(&self) -> bool {
        let is_watching = matches!(self.phase, Phase::Watching | Phase::CheckingVms);
        !is_watching || self.unresolved.is_some() || self.stopped
    }

    /// Records the time at which the list of instances was last known to be complete.
    pub fn note_synced(&mut self, synced_at: Time) {
        self.listing.extend(synced_at);
    }

    /// Returns the time at which `Input::Tick` is needed next.
    pub fn next_due(&self, now: Time) -> Time {
        let probe_due = if self.probing.is_some() { Time(u64::MAX) } else { self.next_probe };
        let probe_due = probe_due.min(self.next_step_down()).min(self.next_check());
        let probe_due = probe_due.min(self.next_resume());
        match &self.phase {
            Phase::Watching
            | Phase::Scanning(_)
            | Phase::CheckingVms
            | Phase::AcquiringToken { .. }
            | Phase::InformingVms { .. } => probe_due,
            Phase::StoppingReplicas(stopping) => probe_due
                .min(stopping.sent_at + self.options.repeat_interval)
                .min(self.stop_until(now, stopping)),
            Phase::RecordingChoice { retry_at, .. } | Phase::ClearingRecord { retry_at } => {
                retry_at.map_or(probe_due, |at| probe_due.min(at))
            }
            Phase::OrderingPromotion { resend_at, .. } => {
                resend_at.map_or(probe_due, |at| probe_due.min(at))
            }
            Phase::Takeover(takeover) => probe_due.min(takeover.until),
        }
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Tick => {}
            Input::Instances(instances) => self.update_instances(now, instances),
            Input::Reached(instance, point, asked) => self.handle_reached(instance, point, asked),
            Input::MemberChecked(instance, answer) => self.handle_checked(now, instance, answer),
            Input::Probed(instance, result) => self.handle_probe(now, instance, result, out),
            Input::ReplicationStopped(instance, point) => {
                self.handle_stopped(now, instance, point);
            }
            Input::ReplicationResumed(instance, done) => self.handle_resumed(now, instance, done),
            Input::SteppedDown(instance, done) => self.handle_stepped_down(now, instance, done),
            Input::VmsChecked(all) => self.handle_vms_checked(now, all, out),
            Input::TokenAcquired(token) => self.handle_token(now, token, out),
            Input::VmsInformed { token, confirmed, mark } => {
                self.handle_vms_informed(now, token, VmPoints { confirmed, mark }, out);
            }
            Input::PromotionOrdered(outcome) => self.handle_order_outcome(now, outcome, out),
        }
        self.update_unlisted(now);
        self.advance(now, out);
        self.send_step_downs(now, out);
        self.repeat_resumes(now, out);
        self.send_checks(now, out);
        self.send_probe(now, out);
    }

    fn update_instances(
        &mut self,
        now: Time,
        instances: SmallVec<[ListedInstance; INLINE_INSTANCES]>,
    ) {
        self.instances = instances;
        let restarted = self.members.update(now, &self.instances);
        if let Phase::StoppingReplicas(stopping) = &mut self.phase {
            stopping.stopped.retain(|stopped| !restarted.contains(&stopped.key));
        }
    }

    /// Records since when the directory does not list the primary. Its entry may have lapsed although
    /// it runs, so that it is asked all the same.
    fn update_unlisted(&mut self, now: Time) {
        let unlisted = self.primary.filter(|primary| self.listed(*primary).is_none());
        let known = self.unlisted;
        let since = |key| known.filter(|(known, _)| *known == key).map_or(now, |(_, since)| since);
        self.unlisted = unlisted.map(|key| (key, since(key)));
    }

    fn handle_probe(
        &mut self,
        now: Time,
        instance: InstanceKey,
        result: ProbeResult,
        out: &mut Vec<Action>,
    ) {
        if self.probing == Some(instance) {
            self.probing = None;
        }
        if matches!(self.phase, Phase::Scanning(_)) {
            self.next_probe = now + self.options.suspect_interval;
            return self.handle_scan(now, instance, result);
        }
        match result {
            ProbeResult::Primary(point) if !self.may_lead(now, instance, point.term) => {
                self.log_unexplained(instance, point.term, out);
            }
            ProbeResult::Primary(point) if self.term <= point.term => {
                self.handle_primary(now, instance, point, out);
            }
            ProbeResult::Inconclusive => {}
            ProbeResult::Primary(_) | ProbeResult::Replica => {
                if result != ProbeResult::Replica {
                    self.note_replaced(now, instance);
                }
                if self.primary == Some(instance) {
                    self.primary = None;
                }
                self.advance_on_replica(instance);
                if self.primary.is_none() {
                    self.count_miss(now);
                }
            }
            ProbeResult::NoAnswer | ProbeResult::NotRunning => {
                let is_counted = self.primary.is_none_or(|primary| primary == instance);
                if is_counted {
                    self.count_miss(now);
                    self.count_not_running(
                        result == ProbeResult::NotRunning && self.primary == Some(instance),
                    );
                }
            }
        }
        let is_suspect = self.silence.is_some() || matches!(self.phase, Phase::Takeover(_));
        let interval =
            if is_suspect { self.options.suspect_interval } else { self.options.probe_interval };
        self.next_probe = now + interval;
    }

    fn handle_primary(
        &mut self,
        now: Time,
        instance: InstanceKey,
        point: LogPoint,
        out: &mut Vec<Action>,
    ) {
        self.term = point.term;
        self.silence = None;
        let former = self.primary.replace(instance);
        self.last_primary = self.primary;
        self.restored = false;
        let is_first = !std::mem::replace(&mut self.primary_seen, true);
        if is_first || former != Some(instance) {
            out.push(log_event(
                Event::PrimarySeen,
                Some(instance),
                point.term,
                "answered as primary",
            ));
            self.note_former_primaries(now, former, instance);
        }
        self.advance_on_primary(now, instance, point.term, out);
    }

    /// Starts a promotion if the primary is silent, leaves or is in an evacuated zone, or an order is
    /// unresolved.
    fn start_if_needed(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.retry_at {
            return;
        }
        if let Some(order) = self.unresolved
            && self.retry_unresolved(now, order, out)
        {
            return;
        }
        if self.unanswered(now).is_some() {
            // Any other instance that leads now might lose the lead to the order's.
            return;
        }
        let silent = self.silence.is_some_and(|silence| {
            let is_down = self.options.misses <= silence.not_running;
            let limit =
                if is_down { self.options.not_running_limit } else { self.options.silence_limit };
            self.options.misses <= silence.misses && limit <= now.since(silence.since)
        });
        let limit = self.options.listing_limit;
        let is_missing = self.unlisted.is_some_and(|(_, since)| limit <= now.since(since));
        let listed = self.primary.and_then(|primary| self.listed(primary));
        let leaving = (is_missing || listed.is_some_and(|primary| !primary.stays()))
            && self.instances.iter().any(ListedInstance::stays);
        let since = leaving.then(|| self.leaving_since.unwrap_or(now));
        self.leaving_since = since;
        if !self.instances.iter().any(|listed| self.primary != Some(listed.key)) {
            return;
        }
        match since {
            _ if silent => self.start(false, out),
            Some(since) if self.options.handover_limit <= now.since(since) => self.start(true, out),
            // VMs send nothing to an evacuated primary, so that it need not be kept for them.
            Some(_) if self.primary.is_some_and(|primary| self.is_evacuated(primary)) => {
                self.start(true, out);
            }
            // Writes stop from the time at which the record names no primary until all VMs have
            // answered or timed out. A primary that still serves is therefore kept until all VMs
            // answer.
            Some(_) => {
                self.phase = Phase::CheckingVms;
                out.push(Action::CheckVms);
            }
            None => {}
        }
    }

    fn send_probe(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.probing.is_some() || now < self.next_probe {
            return;
        }
        let target = match &self.phase {
            Phase::Takeover(takeover) => Some(takeover.instance),
            Phase::Scanning(_) => self.next_candidate(),
            _ => self.primary.filter(|_| !self.takes_turn()).or_else(|| self.next_candidate()),
        };
        let Some(target) = target else {
            self.next_probe = now + self.options.probe_interval;
            return;
        };
        self.probing = Some(target);
        out.push(Action::Probe(target));
    }

    /// Returns `true` for each second probe while the primary is silent and the directory lists
    /// another instance as primary: it may be the same one that is back under another name.
    fn takes_turn(&mut self) -> bool {
        let is_other = |listed: &ListedInstance| listed.primary && self.primary != Some(listed.key);
        if self.silence.is_none() || !self.instances.iter().any(is_other) {
            return false;
        }
        self.probe_others = !self.probe_others;
        self.probe_others
    }

    /// Returns the next instance to probe while the primary is unknown; instances that the
    /// directory listed as primary last come first.
    fn next_candidate(&mut self) -> Option<InstanceKey> {
        let mut candidates = self.members();
        candidates.retain(|member| member.liveness == Liveness::Running);
        candidates.sort_by_key(|member| !member.primary);
        let candidate = candidates.get(self.rotation % candidates.len().max(1))?;
        self.rotation += 1;
        Some(candidate.key)
    }

    fn count_miss(&mut self, now: Time) {
        let silence = self.silence.get_or_insert(Silence { since: now, misses: 0, not_running: 0 });
        silence.misses += 1;
    }

    /// Counts a probe that found the primary not running; any other failed probe resets the count.
    fn count_not_running(&mut self, is_down: bool) {
        if let Some(silence) = &mut self.silence {
            silence.not_running = if is_down { silence.not_running + 1 } else { 0 };
        }
    }

    fn listed(&self, key: InstanceKey) -> Option<ListedInstance> {
        self.instances.iter().copied().find(|listed| listed.key == key)
    }

    fn allowing_routes(&self, key: InstanceKey) -> u32 {
        self.listed(key).map_or(0, |listed| listed.allowing_routes)
    }

    fn is_leaving(&self, key: InstanceKey) -> bool {
        self.listed(key).is_some_and(|listed| listed.leaving)
    }

    fn is_evacuated(&self, key: InstanceKey) -> bool {
        self.listed(key).is_some_and(|listed| listed.evacuated)
    }

    fn stays(&self, key: InstanceKey) -> bool {
        self.listed(key).is_some_and(|listed| listed.stays())
    }
}

fn log_event(
    event: Event,
    instance: Option<InstanceKey>,
    term: Term,
    reason: &'static str,
) -> Action {
    Action::LogEvent { event, instance, term, reason }
}
