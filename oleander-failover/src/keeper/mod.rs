//! Watching a database's primary and replacing it, where the platform arbitrates between promoters.
//!
//! The platform promotes whichever instance it is told to, so that an
//! acknowledged commit is kept only if the promoter chooses well. A commit is
//! acknowledged once one replica has received it. The keeper therefore stops
//! all replicas from receiving, which also ends acknowledgements at the old
//! primary, and promotes the one that has received most. A replica that does
//! not answer may hold the only copy: it is left out only once the directory no
//! longer names it.
//!
//! Every order carries a fencing token of its own. An order that was not
//! answered may be executed later, so that a further order with a higher token
//! has to follow it in any case, before any replica may receive again. The same
//! holds for orders of an earlier keeper: a new one starts with such an order
//! for the present primary, which changes nothing.

pub mod messages;

use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use smallvec::SmallVec;

use self::messages::Action;
use self::messages::Beat;
use self::messages::INLINE_INSTANCES;
use self::messages::Input;
use self::messages::KeeperOptions;
use self::messages::Known;
use self::messages::Ordered;

/// `Keeper` is the state of one database at the VM that keeps it.
#[derive(Clone, Debug)]
pub struct Keeper {
    options: KeeperOptions,
    instances: SmallVec<[Known; INLINE_INSTANCES]>,
    primary: Option<InstanceKey>,
    term: Term,
    phase: Phase,
    asked: Option<InstanceKey>,
    next_beat: Time,
    turn: usize,
    silent: Option<Silence>,
    retry: Time,
    unsettled: bool,
    started: bool,
    /// The instance whose promotion was ordered last, until it is seen to lead.
    promoted: Option<InstanceKey>,
    /// The time at which another primary was seen than before.
    changed: Time,
    /// Orders to receive again that may still take effect, and until when if they were not answered.
    resuming: SmallVec<[(InstanceKey, Option<Time>); INLINE_INSTANCES]>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Time,
    misses: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Watching,
    Claiming { planned: bool },
    Stopping(Stopping),
    Ordering { instance: InstanceKey, token: u64, resend: Option<Time> },
    Taking { instance: InstanceKey, until: Time },
    Settling { instance: InstanceKey, token: u64, resend: Option<Time> },
}

#[derive(Clone, Debug, PartialEq)]
struct Stopping {
    token: u64,
    planned: bool,
    term: Term,
    since: Time,
    asked: Time,
    stopped: SmallVec<[(InstanceKey, LogPoint); INLINE_INSTANCES]>,
}

impl Keeper {
    /// Makes a keeper that knows nothing yet.
    pub fn new(options: KeeperOptions, now: Time) -> Self {
        Self {
            options,
            instances: SmallVec::new(),
            primary: None,
            term: Term(0),
            phase: Phase::Watching,
            asked: None,
            next_beat: now,
            turn: 0,
            silent: None,
            retry: now,
            // Orders of the keeper before this one may still be on their way.
            unsettled: true,
            started: false,
            promoted: None,
            changed: Time(0),
            resuming: SmallVec::new(),
        }
    }

    /// Gets the instance that led when it was last asked.
    pub fn primary(&self) -> Option<InstanceKey> {
        self.primary
    }

    /// Returns `true` while the primary is being replaced, or may be by an order on its way: no
    /// write may be sent to it then.
    pub fn is_promoting(&self) -> bool {
        self.phase != Phase::Watching || self.unsettled
    }

    /// Gets the time at which `Input::Tick` is needed next.
    pub fn next_due(&self) -> Time {
        let beat = if self.asked.is_some() { Time(u64::MAX) } else { self.next_beat };
        match &self.phase {
            Phase::Watching => beat.min(self.silent.map_or(beat, |_| beat.max(self.retry))),
            Phase::Claiming { .. } => beat,
            Phase::Stopping(stopping) => beat
                .min(stopping.asked + self.options.repeat)
                .min(stopping.since + self.options.stopping),
            Phase::Ordering { resend, .. } | Phase::Settling { resend, .. } => {
                resend.map_or(beat, |at| beat.min(at))
            }
            Phase::Taking { until, .. } => beat.min(*until),
        }
    }

    /// Takes in an input and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Tick => {}
            Input::Instances(instances) => self.note_instances(now, instances),
            Input::Beat(instance, beat) => self.note_beat(now, instance, beat, out),
            Input::Stopped(instance, point) => self.note_stopped(instance, point),
            Input::Resumed(instance, answered) => self.note_resumed(now, instance, answered),
            Input::Claimed(token) => self.note_claim(now, token, out),
            Input::Ordered(outcome) => self.note_order(now, outcome, out),
        }
        self.advance(now, out);
        self.beat(now, out);
    }

    fn note_instances(&mut self, now: Time, instances: SmallVec<[Known; INLINE_INSTANCES]>) {
        self.instances = instances;
        if self.primary.is_some_and(|primary| self.known(primary).is_none()) {
            // The directory no longer names it, so there is nothing to wait for.
            self.primary = None;
            self.silent.get_or_insert(Silence { since: now, misses: self.options.misses });
        }
    }

    fn note_beat(&mut self, now: Time, instance: InstanceKey, beat: Beat, out: &mut Vec<Action>) {
        if self.asked == Some(instance) {
            self.asked = None;
        }
        match beat {
            Beat::Leads(point) => self.note_leader(now, instance, point, out),
            Beat::Busy => {}
            Beat::Follows => {
                if self.primary == Some(instance) {
                    self.primary = None;
                }
                if self.primary.is_none() {
                    self.miss(now);
                }
            }
            Beat::Silent => {
                let counts = self.primary.is_none_or(|primary| primary == instance);
                if counts {
                    self.miss(now);
                }
            }
        }
        let pace = if self.silent.is_some() { self.options.alarm } else { self.options.interval };
        self.next_beat = now + pace;
    }

    fn note_leader(
        &mut self,
        now: Time,
        instance: InstanceKey,
        point: LogPoint,
        out: &mut Vec<Action>,
    ) {
        if point.term < self.term {
            return;
        }
        self.term = point.term;
        self.silent = None;
        let former = self.primary.replace(instance);
        let first = !std::mem::replace(&mut self.started, true);
        if former.is_some_and(|former| former != instance) || self.promoted == Some(instance) {
            self.changed = now;
            self.promoted = None;
        }
        if first || former != Some(instance) {
            out.push(record(Event::PrimarySeen, Some(instance), point.term, "answered as primary"));
        }
        match &self.phase {
            Phase::Taking { instance: target, .. } if *target == instance => {
                out.push(record(Event::PrimaryPromoted, Some(instance), point.term, "leads"));
                self.phase = Phase::Watching;
                self.unsettled = false;
            }
            Phase::Stopping(stopping) if !stopping.planned => {
                let token = stopping.token;
                self.give_up(now, "the primary answers again", out);
                if self.unsettled {
                    self.settle(instance, token, out);
                }
            }
            _ => {}
        }
    }

    fn note_stopped(&mut self, instance: InstanceKey, point: Option<LogPoint>) {
        if self.resuming.iter().any(|(resuming, _)| *resuming == instance) {
            return;
        }
        let Phase::Stopping(stopping) = &mut self.phase else { return };
        let Some(point) = point else { return };
        stopping.stopped.retain(|(stopped, _)| *stopped != instance);
        stopping.stopped.push((instance, point));
        self.term = self.term.max(point.term);
    }

    fn note_resumed(&mut self, now: Time, instance: InstanceKey, answered: bool) {
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

    fn note_claim(&mut self, now: Time, token: Option<u64>, out: &mut Vec<Action>) {
        let Phase::Claiming { planned } = self.phase else { return };
        let Some(token) = token else {
            self.phase = Phase::Watching;
            self.retry = now + self.options.retry;
            return;
        };
        if let (true, Some(primary), None) = (self.unsettled, self.primary, self.silent) {
            return self.settle(primary, token, out);
        }
        let term = Term(self.term.0 + 1);
        out.push(record(Event::PromotionStarted, self.primary, term, why(planned)));
        self.phase = Phase::Stopping(Stopping {
            token,
            planned,
            term,
            since: now,
            asked: now,
            stopped: SmallVec::new(),
        });
        self.ask_to_stop(out);
    }

    fn note_order(&mut self, now: Time, outcome: Ordered, out: &mut Vec<Action>) {
        let (settling, instance, token) = match self.phase {
            Phase::Ordering { instance, token, .. } => (false, instance, token),
            Phase::Settling { instance, token, .. } => (true, instance, token),
            _ => return,
        };
        let resend = Some(now + self.options.alarm);
        match (outcome, settling) {
            (Ordered::Accepted, false) => {
                self.phase = Phase::Taking { instance, until: now + self.options.taking };
                self.next_beat = now;
            }
            (Ordered::Accepted, true) => {
                self.unsettled = false;
                self.phase = Phase::Watching;
                // Replicas may be stopped since before; no order can find them behind any more.
                self.resume_all(out);
            }
            (Ordered::Rejected, _) => {
                // The platform has seen a higher token or the instance does not run.
                self.give_up(now, "the platform refused the order", out);
            }
            (Ordered::NotRun, false) => self.phase = Phase::Ordering { instance, token, resend },
            (Ordered::NotRun, true) => self.phase = Phase::Settling { instance, token, resend },
            (Ordered::Unknown, _) => {
                self.unsettled = true;
                self.phase = Phase::Claiming { planned: self.silent.is_none() && !settling };
                out.push(Action::Claim);
            }
        }
    }

    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
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
            Phase::Ordering { instance, token, resend: Some(at) } if *at <= now => {
                let (instance, token) = (*instance, *token);
                self.order(instance, token, out);
            }
            Phase::Settling { instance, token, resend: Some(at) } if *at <= now => {
                let (instance, token) = (*instance, *token);
                self.settle(instance, token, out);
            }
            Phase::Taking { until, .. } if *until <= now => {
                self.give_up(now, "the promoted instance does not lead", out);
            }
            _ => {}
        }
    }

    /// Starts a promotion if the primary is silent or leaves.
    fn consider(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.retry {
            return;
        }
        let silent = self.silent.is_some_and(|silence| {
            self.options.misses <= silence.misses
                && self.options.silence <= now.since(silence.since)
        });
        // Another VM may still go by the record from before the last change of primary.
        let steady = self.options.steady <= now.since(self.changed);
        let leaving = self.primary.and_then(|primary| self.known(primary)).is_some_and(|primary| {
            primary.leaving && self.instances.iter().any(|other| !other.leaving)
        });
        let able = self.instances.iter().any(|known| self.primary != Some(known.key));
        let unsettled = self.unsettled && self.primary.is_some() && self.silent.is_none();
        if (able && (silent || (leaving && steady))) || unsettled {
            self.phase = Phase::Claiming { planned: !silent };
            out.push(Action::Claim);
        }
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
        let (token, planned) = (stopping.token, stopping.planned);
        let present = stopping.stopped.iter().filter(|(key, _)| self.known(*key).is_some());
        let best = present.max_by_key(|(key, point)| (*point, !self.is_leaving(*key)));
        let Some((instance, _)) = best.copied() else {
            return self.give_up(now, "no replica is left", out);
        };
        if planned && self.is_leaving(instance) {
            return self.give_up(now, "the furthest replica leaves too", out);
        }
        self.order(instance, token, out);
    }

    fn order(&mut self, instance: InstanceKey, token: u64, out: &mut Vec<Action>) {
        self.phase = Phase::Ordering { instance, token, resend: None };
        self.promoted = Some(instance);
        out.push(record(Event::PromotionOrdered, Some(instance), self.term, "received most"));
        out.push(Action::Order { instance, token });
    }

    /// Makes tokens of earlier orders worthless by an order that changes nothing.
    fn settle(&mut self, primary: InstanceKey, token: u64, out: &mut Vec<Action>) {
        self.phase = Phase::Settling { instance: primary, token, resend: None };
        out.push(Action::Order { instance: primary, token });
    }

    fn give_up(&mut self, now: Time, reason: &'static str, out: &mut Vec<Action>) {
        out.push(record(Event::PromotionAbandoned, self.primary, self.term, reason));
        if !self.unsettled {
            self.resume_all(out);
        }
        self.phase = Phase::Watching;
        self.retry = now + self.options.retry;
    }

    fn resume_all(&mut self, out: &mut Vec<Action>) {
        let replicas: SmallVec<[InstanceKey; INLINE_INSTANCES]> = self.replicas().collect();
        for replica in replicas {
            self.resuming.retain(|(resuming, _)| *resuming != replica);
            self.resuming.push((replica, None));
            out.push(Action::Resume(replica));
        }
    }

    fn ask_to_stop(&self, out: &mut Vec<Action>) {
        let Phase::Stopping(stopping) = &self.phase else { return };
        let is_stopped = |key| stopping.stopped.iter().any(|(stopped, _)| *stopped == key);
        // An order to receive again that arrives after the one to stop would undo it unseen.
        let is_resuming = |key| self.resuming.iter().any(|(resuming, _)| *resuming == key);
        let missing = self.replicas().filter(|key| !is_stopped(*key) && !is_resuming(*key));
        out.extend(missing.map(|key| Action::Stop(key, stopping.term)));
    }

    fn ask_again(&mut self, now: Time, out: &mut Vec<Action>) {
        self.resuming.retain(|(_, until)| until.is_none_or(|until| now < until));
        let term = Term(self.term.0 + 1);
        if let Phase::Stopping(stopping) = &mut self.phase {
            stopping.asked = now;
            stopping.term = stopping.term.max(term);
        }
        self.ask_to_stop(out);
    }

    fn beat(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.asked.is_some() || now < self.next_beat {
            return;
        }
        let target = match self.phase {
            Phase::Taking { instance, .. } => Some(instance),
            _ => self.primary.or_else(|| self.next_suspect()),
        };
        let Some(target) = target else {
            self.next_beat = now + self.options.interval;
            return;
        };
        self.asked = Some(target);
        out.push(Action::Beat(target));
    }

    /// Gets the next instance that may lead: those that say so in the directory first.
    fn next_suspect(&mut self) -> Option<InstanceKey> {
        let mut order = self.instances.clone();
        order.sort_by_key(|known| !known.primary);
        let known = order.get(self.turn % order.len().max(1))?;
        self.turn += 1;
        Some(known.key)
    }

    fn miss(&mut self, now: Time) {
        let silence = self.silent.get_or_insert(Silence { since: now, misses: 0 });
        silence.misses += 1;
    }

    fn replicas(&self) -> impl Iterator<Item = InstanceKey> {
        let primary = self.primary.or_else(|| self.sole_listed());
        self.instances.iter().map(|known| known.key).filter(move |key| primary != Some(*key))
    }

    /// Gets the one instance that the directory names as primary: a keeper that finds it silent
    /// cannot have seen it lead.
    fn sole_listed(&self) -> Option<InstanceKey> {
        let mut listed = self.instances.iter().filter(|known| known.primary);
        let sole = listed.next()?;
        listed.next().is_none().then_some(sole.key)
    }

    fn known(&self, key: InstanceKey) -> Option<Known> {
        self.instances.iter().copied().find(|known| known.key == key)
    }

    fn is_leaving(&self, key: InstanceKey) -> bool {
        self.known(key).is_some_and(|known| known.leaving)
    }
}

fn why(planned: bool) -> &'static str {
    if planned { "the primary leaves" } else { "the primary is silent" }
}

fn record(event: Event, instance: Option<InstanceKey>, term: Term, reason: &'static str) -> Action {
    Action::Record { event, instance, term, reason }
}
