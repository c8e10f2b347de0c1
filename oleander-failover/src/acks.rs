//! Acknowledgement of writes by replicated position.
//!
//! A write at point (t, p) is safe once a majority of the instances, including
//! the primary, has reported a point of term t at p or beyond. An instance that
//! is fenced at a higher term receives no more entries of term t, so each
//! instance of that majority held the write when it was fenced. A later
//! promotion also fences a majority. The two majorities share an instance, and
//! the most advanced fenced instance is promoted, so the new history contains
//! the write. A report from an instance that had promised no later term stays
//! valid, in whatever order reports arrive.

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::majority;

/// `WriteId` identifies a write that waits for its acknowledgement; the caller assigns it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WriteId(pub u64);

/// `Settled` is the final state of a write that waited for its acknowledgement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settled {
    /// The write is held by a majority and survives promotions.
    Acknowledged(WriteId),
    /// A promotion has ended the write's term, and the reports do not prove that the write
    /// survived.
    Unconfirmed(WriteId),
}

/// `SettledList` is a short list of settled writes.
pub type SettledList = SmallVec<[Settled; 8]>;

/// The shortest time between two polls of the replicas.
pub const POLL_MIN: Span = Span::from_millis(2);

/// The longest time between two polls of the replicas while writes wait.
pub const POLL_MAX: Span = Span::from_millis(50);

/// `AckTracker` tracks the writes of one database that wait for replication.
#[derive(Clone, Debug)]
pub struct AckTracker {
    /// The current term; writes of older terms cannot be acknowledged.
    term: Term,
    /// The furthest position that each instance has reported in the current term.
    positions: SmallVec<[Position; 3]>,
    pending: Vec<PendingWrite>,
    /// Writes of the previous term that the current primary's history contains. They are safe once
    /// a majority holds an entry of the current term.
    inherited: Vec<WriteId>,
    /// The furthest position that each instance reported in the previous term.
    former_positions: SmallVec<[Position; 3]>,
    /// The moving average of the time from a write to its acknowledgement.
    lag: Span,
    next_poll: Time,
}

#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    id: WriteId,
    position: Position,
    since: Time,
}

impl AckTracker {
    /// Creates a tracker for a group of `size` instances.
    pub fn new(size: u8) -> Self {
        Self {
            term: Term::default(),
            positions: (0..size).map(|_| Position::default()).collect(),
            pending: Vec::new(),
            inherited: Vec::new(),
            former_positions: SmallVec::new(),
            lag: POLL_MIN,
            next_poll: Time::default(),
        }
    }

    /// Adds a write that the instance with the ordinal `primary` holds at `point`.
    pub fn add(&mut self, now: Time, id: WriteId, primary: u8, point: LogPoint) -> SettledList {
        let mut settled = self.enter_term(point.term, None);
        if point.term < self.term {
            settled.push(Settled::Unconfirmed(id));
            return settled;
        }
        if self.pending.is_empty() {
            self.next_poll = now + self.poll_interval();
        }
        self.pending.push(PendingWrite { id, position: point.position, since: now });
        self.record_position(primary, point);
        self.settle(now, &mut settled);
        settled
    }

    /// Handles a status that the instance `ordinal` reported of itself.
    pub fn observe(&mut self, now: Time, ordinal: u8, status: InstanceStatus) -> SettledList {
        let mut settled = SettledList::new();
        if self.term < status.point.term {
            let primary = (status.role == Role::Primary).then_some(ordinal);
            settled = self.enter_term(status.point.term, primary);
        }
        // An instance that has promised a later term may hold the entry only as part of that term's
        // history.
        if status.fence <= status.point.term {
            self.record_position(ordinal, status.point);
        }
        self.settle(now, &mut settled);
        settled
    }

    /// Stops tracking a write, for instance because its deadline has passed.
    ///
    /// Returns `true` if the write was still waiting.
    pub fn forget(&mut self, id: WriteId) -> bool {
        let before = self.pending.len() + self.inherited.len();
        self.pending.retain(|pending| pending.id != id);
        self.inherited.retain(|pending| *pending != id);
        self.pending.len() + self.inherited.len() < before
    }

    /// Returns the time at which the replicas' status should be polled next; `None` if no write
    /// waits.
    pub fn next_poll(&self) -> Option<Time> {
        (!self.is_idle()).then_some(self.next_poll)
    }

    /// Schedules the next poll after one that was sent at `now`.
    pub fn polled(&mut self, now: Time) {
        self.next_poll = now + self.poll_interval();
    }

    /// Returns `true` if no write waits.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.inherited.is_empty()
    }

    fn poll_interval(&self) -> Span {
        Span(self.lag.0 / 4).max(POLL_MIN).min(POLL_MAX)
    }

    /// Enters a later term, whose primary is `primary` if that is known.
    ///
    /// Returns the writes that are not known to survive the change of term.
    fn enter_term(&mut self, term: Term, primary: Option<u8>) -> SettledList {
        let mut settled = SettledList::new();
        if term <= self.term {
            return settled;
        }
        let is_next = term.0 == self.term.0 + 1;
        self.former_positions = std::mem::take(&mut self.positions);
        self.positions = self.former_positions.iter().map(|_| Position::default()).collect();
        self.term = term;
        let dropped = std::mem::take(&mut self.inherited);
        settled.extend(dropped.into_iter().map(Settled::Unconfirmed));
        for pending in std::mem::take(&mut self.pending) {
            // In the previous term, the new primary reported a position that includes the write.
            let is_held = primary.is_some_and(|primary| {
                pending.position <= self.former_positions[usize::from(primary)] && is_next
            });
            if is_held {
                self.inherited.push(pending.id);
            } else {
                settled.push(Settled::Unconfirmed(pending.id));
            }
        }
        settled
    }

    fn record_position(&mut self, ordinal: u8, point: LogPoint) {
        let Some(position) = self.positions.get_mut(usize::from(ordinal)) else { return };
        if point.term == self.term {
            *position = point.position.max(*position);
        }
    }

    fn settle(&mut self, now: Time, settled: &mut SettledList) {
        let safe = self.safe_position();
        if Position::default() < safe {
            // An entry of the current term on a majority makes all history before it safe.
            settled.extend(self.inherited.drain(..).map(Settled::Acknowledged));
        }
        let mut newest = None;
        self.pending.retain(|pending| {
            let is_safe = pending.position <= safe;
            if is_safe {
                settled.push(Settled::Acknowledged(pending.id));
                newest = Some(pending.since);
            }
            !is_safe
        });
        if let Some(since) = newest {
            // An exponential moving average over about four observations.
            self.lag = Span((self.lag.0 * 3 + now.since(since).0) / 4);
        }
    }

    /// Returns the position that a majority has reached in the current term.
    fn safe_position(&self) -> Position {
        let mut positions: SmallVec<[Position; 3]> = self.positions.clone();
        positions.sort_unstable();
        positions[self.positions.len() - majority(self.positions.len())]
    }
}
