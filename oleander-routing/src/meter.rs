//! Measures the answers of instances at their home.

use std::collections::HashMap;
use std::collections::VecDeque;

use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_session::report::InstanceReport;
use smallvec::SmallVec;

/// The time for which an outcome counts.
pub const WINDOW: Span = Span::from_millis(2_000);

/// The maximum number of outcomes that are kept of an instance and class; later ones replace the
/// earliest. It bounds the time that a report takes, which is computed for each reply.
const MAX_OUTCOMES: usize = 64;

/// `StatementClass` separates the measurements of reads from those of writes, which wait for
/// replication.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StatementClass {
    /// Reads.
    Read,
    /// Writes, commits and reads of the latest data.
    Write,
}

/// `Outcome` is how a statement that was sent to an instance ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The instance answered as it should, which includes refusals that are not its fault.
    Answered,
    /// The instance reported an error, or was busy although the home had counted a free slot.
    Failed,
    /// The instance did not answer: it could not be reached, the connection broke, or the time limit
    /// passed.
    Unanswered,
}

/// `Running` identifies a statement that an instance runs.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    key: InstanceKey,
    class: StatementClass,
    serial: u64,
}

/// `Meter` keeps the outcomes and service times of the statements that this VM has run as a home.
#[derive(Debug, Default)]
pub struct Meter {
    windows: HashMap<(InstanceKey, StatementClass), Window>,
    /// The shortest time from sending to answer of each instance.
    fastest: HashMap<InstanceKey, Span>,
    /// The number of the last statement.
    serial: u64,
}

#[derive(Debug, Default)]
struct Window {
    /// When each statement ended, and its service time; `None` if it failed.
    outcomes: VecDeque<(Time, Option<Span>)>,
    /// The statements that run, each with the time at which it was sent.
    running: SmallVec<[(u64, Time); 8]>,
    /// When the earliest statement since the last answer was sent, or the time of that answer if it
    /// was sent before; `None` if there is none.
    unanswered_since: Option<Time>,
}

impl Meter {
    /// Records that a statement is being sent to an instance.
    pub fn start(&mut self, now: Time, key: InstanceKey, class: StatementClass) -> Running {
        self.serial += 1;
        let running = Running { key, class, serial: self.serial };
        let window = self.windows.entry((key, class)).or_default();
        window.running.push((self.serial, now));
        window.unanswered_since.get_or_insert(now);
        running
    }

    /// Records that a statement has ended.
    ///
    /// The service time is the time since its start less the round trip. The fastest answer bounds
    /// the round trip, and so does `max_round_trip`, which follows from the distance: where all
    /// statements take equally long, the fastest answer is mostly work.
    pub fn end(&mut self, now: Time, running: Running, outcome: Outcome, max_round_trip: Span) {
        let Running { key, class, serial } = running;
        let Some(window) = self.windows.get_mut(&(key, class)) else { return };
        let Some(index) = window.running.iter().position(|(other, _)| *other == serial) else {
            return;
        };
        let (_, sent_at) = window.running.swap_remove(index);
        if outcome != Outcome::Unanswered {
            window.unanswered_since = (!window.running.is_empty()).then_some(now);
        }
        let service = match outcome {
            Outcome::Failed | Outcome::Unanswered => None,
            Outcome::Answered => {
                let elapsed = now.since(sent_at);
                let fastest = self.fastest.entry(key).or_insert(elapsed);
                *fastest = elapsed.min(*fastest);
                Some(elapsed.saturating_sub((*fastest).min(max_round_trip)))
            }
        };
        if window.outcomes.len() == MAX_OUTCOMES {
            window.outcomes.pop_front();
        }
        window.outcomes.push_back((now, service));
    }

    /// Returns the report on the reads of an instance.
    pub fn report(&mut self, now: Time, key: InstanceKey) -> InstanceReport {
        let Some(window) = self.windows.get_mut(&(key, StatementClass::Read)) else {
            return InstanceReport::default();
        };
        while window.outcomes.front().is_some_and(|(at, _)| WINDOW < now.since(*at)) {
            window.outcomes.pop_front();
        }
        let mut times: SmallVec<[Span; MAX_OUTCOMES]> =
            window.outcomes.iter().filter_map(|(_, service)| *service).collect();
        let ended = window.outcomes.len() as u32;
        let failed = ended - times.len() as u32;
        times.sort_unstable();
        if window.running.is_empty() && ended == 0 {
            // Reads that went unanswered long ago say nothing about the instance now.
            window.unanswered_since = None;
        }
        InstanceReport {
            ended,
            failed,
            service: times.get(times.len() / 2).copied().unwrap_or_default(),
            silent: window.unanswered_since.map_or(Span::ZERO, |since| now.since(since)),
        }
    }

    /// Drops what is known of an instance that was removed or has restarted.
    pub fn forget(&mut self, key: InstanceKey) {
        self.windows.retain(|(other, _), _| *other != key);
        self.fastest.remove(&key);
    }
}
