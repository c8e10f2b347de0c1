//! Acknowledgement of writes by replicated position.
//!
//! A write at point (t, p) is safe once a majority of the instances, the
//! primary included, has reported a point of term t at p or beyond. An instance
//! that is fenced at a higher term receives nothing of term t any more, so each
//! of that majority held the write when it was fenced. A later promotion fences
//! a majority too; the two share an instance, and the furthest fenced instance
//! is promoted, so the new history holds the write. A report counts for ever, in
//! whatever order reports arrive, if the instance had promised no later term.

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::majority;

/// `WriteId` names a write that waits for its acknowledgement.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WriteId(pub u64);

/// `Settled` is the end of a write's wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settled {
    /// The write is held by a majority and survives promotions.
    Acknowledged(WriteId),
    /// A promotion has dropped the write's term, and it cannot be shown that the write survived.
    Unconfirmed(WriteId),
}

/// `SettledList` is a short list of settled writes.
pub type SettledList = SmallVec<[Settled; 8]>;

/// The shortest time between two polls of the replicas.
pub const POLL_MIN: Span = Span::from_millis(2);

/// The longest time between two polls of the replicas while writes wait.
pub const POLL_MAX: Span = Span::from_millis(50);

/// `AckTracker` follows the writes of one database that wait for replication.
#[derive(Clone, Debug)]
pub struct AckTracker {
    term: Term,
    reached: SmallVec<[Position; 3]>,
    waiting: Vec<Waiting>,
    inherited: Vec<WriteId>,
    previous: SmallVec<[Position; 3]>,
    lag: Span,
    next_poll: Time,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: WriteId,
    position: Position,
    since: Time,
}

impl AckTracker {
    /// Makes a tracker for a group of `size` instances.
    pub fn new(size: u8) -> Self {
        Self {
            term: Term::default(),
            reached: (0..size).map(|_| Position::default()).collect(),
            waiting: Vec::new(),
            inherited: Vec::new(),
            previous: SmallVec::new(),
            lag: POLL_MIN,
            next_poll: Time::default(),
        }
    }

    /// Takes in a write that the instance `primary` holds at `point`.
    pub fn add(&mut self, now: Time, id: WriteId, primary: u8, point: LogPoint) -> SettledList {
        let mut settled = self.enter(point.term, None);
        if point.term < self.term {
            settled.push(Settled::Unconfirmed(id));
            return settled;
        }
        if self.waiting.is_empty() {
            self.next_poll = now + self.poll_interval();
        }
        self.waiting.push(Waiting { id, position: point.position, since: now });
        self.reach(primary, point);
        self.settle(now, &mut settled);
        settled
    }

    /// Takes in what an instance reported of itself.
    pub fn observe(&mut self, now: Time, ordinal: u8, status: InstanceStatus) -> SettledList {
        let mut settled = SettledList::new();
        if self.term < status.point.term {
            let leader = (status.role == Role::Primary).then_some(ordinal);
            settled = self.enter(status.point.term, leader);
        }
        // Once it has promised to a later term, an instance may hold the entry as that term's history only.
        if status.fence <= status.point.term {
            self.reach(ordinal, status.point);
        }
        self.settle(now, &mut settled);
        settled
    }

    /// Stops waiting for a write, as when its deadline has passed.
    /// Returns `true` if it was still waiting.
    pub fn forget(&mut self, id: WriteId) -> bool {
        let before = self.waiting.len() + self.inherited.len();
        self.waiting.retain(|waiting| waiting.id != id);
        self.inherited.retain(|waiting| *waiting != id);
        self.waiting.len() + self.inherited.len() < before
    }

    /// Gets the time at which the replicas are to be asked for their status; `None` if no write waits.
    pub fn next_poll(&self) -> Option<Time> {
        (!self.is_idle()).then_some(self.next_poll)
    }

    /// Notes that the replicas are being asked now.
    pub fn polled(&mut self, now: Time) {
        self.next_poll = now + self.poll_interval();
    }

    /// Returns `true` if no write waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.inherited.is_empty()
    }

    fn poll_interval(&self) -> Span {
        Span(self.lag.0 / 4).max(POLL_MIN).min(POLL_MAX)
    }

    /// Moves on to a later term, whose primary is `leader` where that is known.
    fn enter(&mut self, term: Term, leader: Option<u8>) -> SettledList {
        let mut settled = SettledList::new();
        if term <= self.term {
            return settled;
        }
        let direct = term.0 == self.term.0 + 1;
        self.previous = std::mem::take(&mut self.reached);
        self.reached = self.previous.iter().map(|_| Position::default()).collect();
        self.term = term;
        let dropped = std::mem::take(&mut self.inherited);
        settled.extend(dropped.into_iter().map(Settled::Unconfirmed));
        for waiting in std::mem::take(&mut self.waiting) {
            // The new primary's own report shows that its history holds the write.
            let held = leader.is_some_and(|leader| {
                waiting.position <= self.previous[usize::from(leader)] && direct
            });
            if held {
                self.inherited.push(waiting.id);
            } else {
                settled.push(Settled::Unconfirmed(waiting.id));
            }
        }
        settled
    }

    fn reach(&mut self, ordinal: u8, point: LogPoint) {
        let Some(reached) = self.reached.get_mut(usize::from(ordinal)) else { return };
        if point.term == self.term {
            *reached = point.position.max(*reached);
        }
    }

    fn settle(&mut self, now: Time, settled: &mut SettledList) {
        let safe = self.safe_position();
        if Position::default() < safe {
            // A record of the new term on a majority makes all history before it safe.
            settled.extend(self.inherited.drain(..).map(Settled::Acknowledged));
        }
        let mut newest = None;
        self.waiting.retain(|waiting| {
            let done = waiting.position <= safe;
            if done {
                settled.push(Settled::Acknowledged(waiting.id));
                newest = Some(waiting.since);
            }
            !done
        });
        if let Some(since) = newest {
            // A moving average over about four observations.
            self.lag = Span((self.lag.0 * 3 + now.since(since).0) / 4);
        }
    }

    /// Gets the position that a majority has reached in the current term.
    fn safe_position(&self) -> Position {
        let mut reached: SmallVec<[Position; 3]> = self.reached.clone();
        reached.sort_unstable();
        reached[self.reached.len() - majority(self.reached.len())]
    }
}
