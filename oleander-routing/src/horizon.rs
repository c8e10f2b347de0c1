//! The levels that a home admits: decided at the home, and used by entry VMs to refuse requests
//! where they arrive.

use std::collections::BTreeMap;
use std::collections::HashMap;

use oleander_core::ids::InstanceKey;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// The interval at which a home opens one further level.
pub const STEP: Span = Span::from_millis(100);

/// The part of the time that a request may wait, as a divisor, from which on its wait closes its
/// level.
const WAIT_DIVISOR: u64 = 4;

/// The shortest wait that closes a level. A request that was tried elsewhere before has little time
/// left, so that a quarter of it says nothing about the queue.
const MIN_LONG_WAIT: Span = Span::from_millis(20);

/// The longest time for which an entry VM uses a horizon.
pub const HORIZON_TTL: Span = Span::from_secs(1);

/// The time for which a home that is closed to a request gets no probe at first. It doubles with
/// each probe that finds the home closed.
pub const MIN_PROBE_INTERVAL: Span = Span::from_millis(100);

/// The longest time between two probes, below `HORIZON_TTL`. Each of 64 entry VMs sends a database
/// about 5 requests a second in a burst, so that with a fixed interval of 100 ms nearly all of them
/// would be probes.
const MAX_PROBE_INTERVAL: Span = Span::from_millis(800);

/// The least time over which requests refused by an entry VM are spread after the level opens.
const MIN_SPREAD: Span = Span::from_millis(250);

/// `HorizonControl` decides at a home which levels it admits. It is advice to entry VMs; the queue
/// judges the requests that arrive all the same.
#[derive(Clone, Copy, Debug)]
pub struct HorizonControl {
    lowest: Level,
    /// The time since which no wait has closed a level, advanced by `STEP` for each opened level.
    since: Time,
}

impl HorizonControl {
    /// Creates the control of a home that admits all levels.
    pub fn open(now: Time) -> Self {
        Self { lowest: Level::LAST, since: now }
    }

    /// Creates the control of a home that has just started, or whose instance was away: it admits
    /// level 0 only and opens the others one by one.
    pub fn reopening(now: Time) -> Self {
        Self { lowest: Level(0), since: now }
    }

    /// Records that a request waits, or is expected to wait, for `wait` out of the `patience` that
    /// it had. A long wait closes its level and those of lower priority.
    pub fn record_wait(&mut self, now: Time, level: Level, wait: Span, patience: Span) {
        if Span(patience.0 / WAIT_DIVISOR).max(MIN_LONG_WAIT) <= wait {
            self.close(now, level);
        }
    }

    /// Closes a level and those of lower priority, because the queue refused a request. Level 0
    /// stays open.
    pub fn close(&mut self, now: Time, level: Level) {
        self.open_due(now);
        let lowest = Level(level.0.saturating_sub(1));
        // A closed level that is refused says nothing about the next one to open.
        if lowest <= self.lowest {
            self.lowest = lowest;
            self.since = now;
        }
    }

    /// Returns the horizon at `now`. `next_room` returns the time until there is room for a level.
    pub fn horizon(&mut self, now: Time, next_room: impl FnOnce(Level) -> Span) -> Horizon {
        self.open_due(now);
        if self.lowest == Level::LAST {
            return Horizon::OPEN;
        }
        let step = (self.since + STEP).since(now);
        Horizon::new(self.lowest, step.max(next_room(Level(self.lowest.0 + 1))))
    }

    /// Opens the levels that are due.
    fn open_due(&mut self, now: Time) {
        let steps = now.since(self.since).0 / STEP.0;
        let closed = u64::from(Level::LAST.0.saturating_sub(self.lowest.0));
        self.lowest = Level(self.lowest.0 + steps.min(closed) as u8);
        self.since = self.since + STEP.times(steps);
    }
}

/// `Horizons` holds the newest horizon of each instance, at an entry VM.
#[derive(Clone, Debug, Default)]
pub struct Horizons {
    known: HashMap<InstanceKey, KnownHorizon>,
}

#[derive(Clone, Copy, Debug)]
struct KnownHorizon {
    horizon: Horizon,
    received: Time,
    /// The earliest time of the next probe.
    probe_at: Time,
    probe_interval: Span,
}

/// `Admission` is the decision of an entry VM about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The homes of some instances may admit the request.
    Open,
    /// All homes are closed to the request, but it is sent to this instance as a probe.
    Probe(InstanceKey),
    /// The request is refused until this time has passed.
    Refuse(Span),
}

impl Horizons {
    /// Records the horizon in a reply.
    pub fn record(&mut self, now: Time, instance: InstanceKey, horizon: Horizon) {
        if horizon == Horizon::OPEN {
            self.known.remove(&instance);
            return;
        }
        self.known.retain(|_, known| now.since(known.received) < HORIZON_TTL);
        let former = self.known.get(&instance).copied();
        let probe_at = former.map_or(now + MIN_PROBE_INTERVAL, |known| known.probe_at);
        let probe_interval = former.map_or(MIN_PROBE_INTERVAL, |known| known.probe_interval);
        let known = KnownHorizon { horizon, received: now, probe_at, probe_interval };
        self.known.insert(instance, known);
    }

    /// Returns `true` unless the newest horizon of the instance excludes the level.
    pub fn admits(&self, now: Time, instance: InstanceKey, level: Level) -> bool {
        self.opens(now, instance, level) == Span::ZERO
    }

    /// Decides on a request that any of `instances` may run. `random` spreads the times of refused
    /// requests.
    pub fn decide(
        &mut self,
        now: Time,
        instances: impl Iterator<Item = InstanceKey> + Clone,
        level: Level,
        random: u64,
    ) -> Admission {
        let opens = instances.clone().map(|instance| self.opens(now, instance, level)).min();
        let Some(opens) = opens.filter(|opens| *opens != Span::ZERO) else {
            return Admission::Open;
        };
        for instance in instances {
            let Some(known) = self.known.get_mut(&instance) else { continue };
            if known.probe_at <= now {
                // The reply takes at least a round trip; other requests do not probe meanwhile.
                known.probe_interval = known.probe_interval.times(2).min(MAX_PROBE_INTERVAL);
                known.probe_at = now + known.probe_interval;
                return Admission::Probe(instance);
            }
        }
        // The calendar of the home does not know of these requests, so that they are spread over
        // about the time that it needs for those that it knows.
        Admission::Refuse(opens + Span(random % opens.max(MIN_SPREAD).0))
    }

    /// Returns the time until the instance is expected to admit the level; zero if it does now or
    /// nothing is known.
    fn opens(&self, now: Time, instance: InstanceKey, level: Level) -> Span {
        let Some(known) = self.known.get(&instance) else { return Span::ZERO };
        let age = now.since(known.received);
        let closed = level.min(Level::LAST).0.saturating_sub(known.horizon.lowest().0);
        if HORIZON_TTL <= age || closed == 0 {
            return Span::ZERO;
        }
        // Further levels open one by one.
        (known.horizon.opens() + STEP.times(u64::from(closed) - 1)).saturating_sub(age)
    }
}

/// The time before and after the given one within which a request counts as a return. The home
/// accepts it from one cell of its calendar before the time until 1 s after it.
const RETURN_EARLY: Span = Span::from_millis(50);
const RETURN_LATE: Span = Span::from_secs(1);

/// The maximum number of returns that an entry VM remembers.
const MAX_RETURNS: usize = 1_024;

/// `Returns` holds the times at which refused requests of this entry VM were told to return. Homes
/// have booked room for those that they refused, so that these are sent although the horizon excludes
/// their level. Those that this VM refused are sent so that it refuses none of them twice.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// The times with the instances, for each workspace and level.
    expected: BTreeMap<(WorkspaceId, Level), Vec<(Time, InstanceKey)>>,
    count: usize,
}

impl Returns {
    /// Records that a request was told to return at `at`.
    pub fn record(
        &mut self,
        now: Time,
        key: (WorkspaceId, Level),
        at: Time,
        instance: InstanceKey,
    ) {
        if MAX_RETURNS <= self.count {
            self.drop_late(now);
        }
        if self.count < MAX_RETURNS {
            self.expected.entry(key).or_default().push((at, instance));
            self.count += 1;
        }
    }

    /// Takes the earliest return that is due at a candidate for the request and returns the instance.
    pub fn take(
        &mut self,
        now: Time,
        key: (WorkspaceId, Level),
        is_candidate: impl Fn(InstanceKey) -> bool,
    ) -> Option<InstanceKey> {
        let expected = self.expected.get_mut(&key)?;
        let is_due = |at: Time| at <= now + RETURN_EARLY && now.since(at) <= RETURN_LATE;
        let due = expected
            .iter()
            .enumerate()
            .filter(|(_, (at, instance))| is_due(*at) && is_candidate(*instance));
        let (index, _) = due.min_by_key(|(_, (at, _))| *at)?;
        let (_, instance) = expected.swap_remove(index);
        self.count -= 1;
        Some(instance)
    }

    fn drop_late(&mut self, now: Time) {
        self.expected.retain(|_, expected| {
            expected.retain(|(at, _)| now.since(*at) <= RETURN_LATE);
            !expected.is_empty()
        });
        self.count = self.expected.values().map(Vec::len).sum();
    }
}

/// The shortest time after which a client returns that was refused for a reason other than the load
/// of a home.
pub const MIN_RETURN: Span = Span::from_millis(500);

/// The longest time after which such a client returns.
const MAX_RETURN: Span = Span::from_millis(1_500);

/// Returns a time between 500 ms and 1,500 ms after which a refused request of `level` returns,
/// shorter for higher priorities. `lowest` is the lowest-priority level in use.
///
/// Each level gets an equal part of that time. If all returned at the same time, as after an outage
/// of the store, most would be refused again.
pub fn spread_return(level: Level, lowest: Level, random: u64) -> Span {
    let count = u64::from(lowest.max(level).min(Level::LAST).0) + 1;
    let part = Span((MAX_RETURN.0 - MIN_RETURN.0) / count);
    MIN_RETURN + part.times(level.index() as u64) + Span(random % part.0)
}
