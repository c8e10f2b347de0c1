//! Watching a database's primary and replacing it, where the platform arbitrates between promoters.
//!
//! The platform promotes whichever instance it is told to, so that an
//! acknowledged commit is kept only if the promoter chooses well. A commit is
//! acknowledged once one replica has received it. The keeper therefore stops
//! all replicas from receiving, which also ends acknowledgements at the old
//! primary, and promotes the one that has received most. A replica that does
//! not answer may hold the only copy: it is left out only once the directory no
//! longer names it. A replica that joins or restarts meanwhile receives and
//! acknowledges all the same, so that the keeper first waits until no VM takes
//! the old primary's word for a commit any more.
//!
//! Every order carries a fencing token of its own, for which the duty's record
//! is written first, with the instance that the order names and without a
//! primary. An order that was not answered may be executed later, and one that
//! was accepted takes effect later. It is therefore repeated for the same
//! instance with a higher token, by this keeper or the next one, until its
//! effect is seen; only then does the record name a primary again.

pub mod messages;
mod phase;
mod promotion;

use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use smallvec::SmallVec;

use self::messages::Action;
use self::messages::INLINE_INSTANCES;
use self::messages::Input;
use self::messages::KeeperOptions;
use self::messages::ListedInstance;
use self::messages::ProbeResult;
use self::messages::RecordState;
use self::phase::Doubt;
use self::phase::Phase;

/// `Keeper` is the state of one database at the VM that keeps it.
#[derive(Clone, Debug)]
pub struct Keeper {
    options: KeeperOptions,
    instances: SmallVec<[ListedInstance; INLINE_INSTANCES]>,
    primary: Option<InstanceKey>,
    term: Term,
    phase: Phase,
    asked: Option<InstanceKey>,
    next_beat: Time,
    turn: usize,
    silent: Option<Silence>,
    retry: Time,
    /// The time at which the primary was first found leaving.
    leaving: Option<Time>,
    /// The order that may still take effect.
    doubt: Option<Doubt>,
    /// `true` while the record may name an instance that is to be promoted.
    named: bool,
    /// `true` while replicas may be stopped that nobody told to receive again.
    stopped: bool,
    started: bool,
    /// Orders to receive again that may still take effect, and until when if they were not answered.
    resuming: SmallVec<[(InstanceKey, Option<Time>); INLINE_INSTANCES]>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Time,
    misses: u32,
    /// The last beats in a row that found the primary not running.
    gone: u32,
}

impl Keeper {
    /// Makes a keeper that builds on the record of the one before.
    pub fn new(options: KeeperOptions, standing: RecordState, now: Time) -> Self {
        let mut keeper = Self {
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
            leaving: None,
            doubt: None,
            named: false,
            stopped: true,
            started: false,
            resuming: SmallVec::new(),
        };
        match standing {
            RecordState::Settled(primary) => {
                keeper.primary = Some(primary);
                keeper.stopped = false;
            }
            RecordState::Unsettled => {}
            RecordState::Ordered(instance) => {
                keeper.doubt = Some(Doubt::inherited(instance));
                keeper.named = true;
            }
        }
        keeper
    }

    /// Gets the instance that led when it was last asked.
    pub fn primary(&self) -> Option<InstanceKey> {
        self.primary
    }

    /// Returns `true` while the primary is being replaced, or may be by an order on its way: no
    /// write may be sent to it then.
    pub fn is_promoting(&self) -> bool {
        let is_calm = matches!(self.phase, Phase::Watching | Phase::Reaching);
        !is_calm || self.doubt.is_some() || self.stopped
    }

    /// Gets the time at which `Input::Tick` is needed next.
    pub fn next_due(&self) -> Time {
        let beat = if self.asked.is_some() { Time(u64::MAX) } else { self.next_beat };
        match &self.phase {
            Phase::Watching
            | Phase::Reaching
            | Phase::Claiming { .. }
            | Phase::Informing { .. } => beat,
            Phase::Stopping(stopping) => beat
                .min(stopping.asked + self.options.repeat)
                .min(stopping.since + self.options.stopping),
            Phase::Proposing { again, .. } | Phase::Clearing { again } => {
                again.map_or(beat, |at| beat.min(at))
            }
            Phase::Ordering { resend, .. } => resend.map_or(beat, |at| beat.min(at)),
            Phase::Taking(taking) => beat.min(taking.until),
        }
    }

    /// Takes in an input and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Tick => {}
            Input::Instances(instances) => self.note_instances(now, instances),
            Input::Probed(instance, beat) => self.note_beat(now, instance, beat, out),
            Input::ReplicationStopped(instance, point) => self.note_stopped(instance, point),
            Input::ReplicationResumed(instance, answered) => {
                self.note_resumed(now, instance, answered)
            }
            Input::VmsChecked(all) => self.note_reached(now, all, out),
            Input::TokenAcquired(token) => self.note_claim(now, token, out),
            Input::VmsInformed(token) => self.note_informed(now, token, out),
            Input::PromotionOrdered(outcome) => self.note_order(now, outcome, out),
        }
        self.advance(now, out);
        self.beat(now, out);
    }

    fn note_instances(
        &mut self,
        now: Time,
        instances: SmallVec<[ListedInstance; INLINE_INSTANCES]>,
    ) {
        self.instances = instances;
        if self.primary.is_some_and(|primary| self.known(primary).is_none()) {
            // The directory no longer names it, so there is nothing to wait for.
            self.primary = None;
            self.silent.get_or_insert(Silence { since: now, misses: self.options.misses, gone: 0 });
        }
    }

    fn note_beat(
        &mut self,
        now: Time,
        instance: InstanceKey,
        beat: ProbeResult,
        out: &mut Vec<Action>,
    ) {
        if self.asked == Some(instance) {
            self.asked = None;
        }
        match beat {
            ProbeResult::Primary(point) => self.note_leader(now, instance, point, out),
            ProbeResult::Inconclusive => {}
            ProbeResult::Replica => {
                if self.primary == Some(instance) {
                    self.primary = None;
                }
                self.note_follower(instance);
                if self.primary.is_none() {
                    self.miss(now);
                }
            }
            ProbeResult::NoAnswer | ProbeResult::NotRunning => {
                let counts = self.primary.is_none_or(|primary| primary == instance);
                if counts {
                    self.miss(now);
                    self.note_gone(
                        beat == ProbeResult::NotRunning && self.primary == Some(instance),
                    );
                }
            }
        }
        let is_urgent = self.silent.is_some() || matches!(self.phase, Phase::Taking(_));
        let pace = if is_urgent { self.options.alarm } else { self.options.interval };
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
        if first || former != Some(instance) {
            out.push(record(Event::PrimarySeen, Some(instance), point.term, "answered as primary"));
        }
        self.follow_leader(now, instance, point.term, out);
    }

    /// Starts a promotion if the primary is silent or leaves, or an order is in doubt.
    fn consider(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.retry {
            return;
        }
        if let Some(doubt) = self.doubt
            && self.resolve(now, doubt, out)
        {
            return;
        }
        let silent = self.silent.is_some_and(|silence| {
            let is_gone = self.options.misses <= silence.gone;
            let least = if is_gone { self.options.gone } else { self.options.silence };
            self.options.misses <= silence.misses && least <= now.since(silence.since)
        });
        let leaving = self.primary.and_then(|primary| self.known(primary)).is_some_and(|primary| {
            primary.leaving && self.instances.iter().any(|other| !other.leaving)
        });
        let since = leaving.then(|| self.leaving.unwrap_or(now));
        self.leaving = since;
        if !self.instances.iter().any(|known| self.primary != Some(known.key)) {
            return;
        }
        match since {
            _ if silent => self.claim(false, out),
            Some(since) if self.options.handover <= now.since(since) => self.claim(true, out),
            // Writes stop with the claim for as long as a VM does not answer.
            Some(_) => {
                self.phase = Phase::Reaching;
                out.push(Action::CheckVms);
            }
            None => {}
        }
    }

    fn beat(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.asked.is_some() || now < self.next_beat {
            return;
        }
        let target = match &self.phase {
            Phase::Taking(taking) => Some(taking.instance),
            _ => self.primary.or_else(|| self.next_suspect()),
        };
        let Some(target) = target else {
            self.next_beat = now + self.options.interval;
            return;
        };
        self.asked = Some(target);
        out.push(Action::Probe(target));
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
        let silence = self.silent.get_or_insert(Silence { since: now, misses: 0, gone: 0 });
        silence.misses += 1;
    }

    fn note_gone(&mut self, is_gone: bool) {
        if let Some(silence) = &mut self.silent {
            silence.gone = if is_gone { silence.gone + 1 } else { 0 };
        }
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

    fn known(&self, key: InstanceKey) -> Option<ListedInstance> {
        self.instances.iter().copied().find(|known| known.key == key)
    }

    fn is_leaving(&self, key: InstanceKey) -> bool {
        self.known(key).is_some_and(|known| known.leaving)
    }
}

fn record(event: Event, instance: Option<InstanceKey>, term: Term, reason: &'static str) -> Action {
    Action::LogEvent { event, instance, term, reason }
}
