//! A timer queue without a clock.
//!
//! The timer service of the runtime owns one queue and wakes the tasks that wait on it. The state
//! machines own no timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;

use crate::time::Time;

/// `TimerId` identifies a scheduled timer within its queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TimerId(u64);

/// `TimerQueue` holds timers ordered by due time.
#[derive(Debug)]
pub struct TimerQueue<T> {
    /// The timers, including cancelled ones that are not at the front.
    heap: BinaryHeap<Reverse<Entry<T>>>,
    /// The timers that have neither been returned nor cancelled.
    live: HashSet<TimerId>,
    /// The number of the last scheduled timer.
    serial: u64,
}

impl<T> TimerQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), live: HashSet::new(), serial: 0 }
    }

    /// Schedules `item` at `due`. Items due at the same time are returned in the order in which
    /// they were scheduled.
    pub fn schedule(&mut self, due: Time, item: T) -> TimerId {
        self.serial += 1;
        let id = TimerId(self.serial);
        self.live.insert(id);
        self.heap.push(Reverse(Entry { due, id, item }));
        id
    }

    /// Cancels a timer. Returns `false` if it has already been returned or cancelled.
    pub fn cancel(&mut self, id: TimerId) -> bool {
        self.live.remove(&id)
    }

    /// Returns the time at which the next timer is due; `None` if the queue is empty.
    pub fn next_due(&mut self) -> Option<Time> {
        self.drop_cancelled();
        self.heap.peek().map(|Reverse(entry)| entry.due)
    }

    /// Removes and returns the next item that is due at or before `now`; `None` if there is none.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        self.drop_cancelled();
        if self.heap.peek().is_none_or(|Reverse(entry)| now < entry.due) {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        self.live.remove(&entry.id);
        Some(entry.item)
    }

    /// Returns the number of scheduled timers, without cancelled ones.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Returns `true` if no timer is scheduled.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Removes cancelled timers from the front of the heap.
    fn drop_cancelled(&mut self) {
        while self.heap.peek().is_some_and(|Reverse(entry)| !self.live.contains(&entry.id)) {
            self.heap.pop();
        }
    }
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Debug)]
struct Entry<T> {
    due: Time,
    id: TimerId,
    item: T,
}

impl<T> Entry<T> {
    fn key(&self) -> (Time, TimerId) {
        (self.due, self.id)
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}
