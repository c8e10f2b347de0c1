//! The timer service: a single task that wakes all sleeping tasks of a program at their due times.

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::timers::TimerId;
use oleander_core::timers::TimerQueue;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::clock::Clock;

/// `TimerService` provides sleeps, timeouts and intervals by a `Clock`.
///
/// Clones share one task and one queue. The task is aborted when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct TimerService {
    shared: Arc<Shared>,
    _task: Arc<TaskGuard>,
}

impl TimerService {
    /// Starts the service's task on the current Tokio runtime.
    pub fn start(clock: Clock) -> Self {
        let shared =
            Arc::new(Shared { clock, queue: Mutex::default(), changed: Notify::default() });
        let task = tokio::spawn(run(Arc::clone(&shared)));
        Self { shared, _task: Arc::new(TaskGuard(task)) }
    }

    /// Returns the clock of the service.
    pub fn clock(&self) -> Clock {
        self.shared.clock
    }

    /// Returns the present time by the service's clock.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Waits until `due`. Dropping the future cancels the timer.
    pub async fn sleep_until(&self, due: Time) {
        let (sender, receiver) = oneshot::channel();
        let id = self.shared.schedule(due, sender);
        let _pending = PendingTimer { shared: &self.shared, id };
        // Cannot fail, because `self` keeps the service's task and its queue alive.
        let _ = receiver.await;
    }

    /// Waits for `span`. Dropping the future cancels the timer.
    pub async fn sleep(&self, span: Span) {
        self.sleep_until(self.now() + span).await;
    }

    /// Waits for `future` for at most `span`. Returns `None` if it did not complete in time; it is
    /// then dropped.
    pub async fn within<T>(&self, span: Span, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            value = future => Some(value),
            () = self.sleep(span) => None,
        }
    }

    /// Creates an interval whose first tick is after `period`.
    pub fn interval(&self, period: Span) -> Interval {
        Interval { due: self.now() + period, period, service: self.clone() }
    }

    /// Returns the number of timers that have neither fired nor been cancelled.
    pub fn pending(&self) -> usize {
        self.shared.lock().len()
    }
}

/// `Interval` is a series of ticks at a fixed period.
#[derive(Debug)]
pub struct Interval {
    due: Time,
    period: Span,
    service: TimerService,
}

impl Interval {
    /// Waits for the next tick and returns the present time. Missed ticks are skipped.
    pub async fn tick(&mut self) -> Time {
        self.service.sleep_until(self.due).await;
        let now = self.service.now();
        let next = self.due + self.period;
        self.due = if next < now { now + self.period } else { next };
        now
    }
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    queue: Mutex<TimerQueue<oneshot::Sender<()>>>,
    changed: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, TimerQueue<oneshot::Sender<()>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Schedules a timer, and notifies the service's task if it is due before all others.
    fn schedule(&self, due: Time, sender: oneshot::Sender<()>) -> TimerId {
        let mut queue = self.lock();
        let is_first = queue.next_due().is_none_or(|next| due < next);
        let id = queue.schedule(due, sender);
        drop(queue);
        if is_first {
            self.changed.notify_one();
        }
        id
    }

    /// Fires the timers that are due. Returns the due time of the next one; `None` if there is
    /// none.
    fn wake_due(&self) -> Option<Time> {
        let now = self.clock.now();
        let mut queue = self.lock();
        while let Some(sender) = queue.pop_due(now) {
            // Sending fails only if the sleep was dropped.
            let _ = sender.send(());
        }
        queue.next_due()
    }
}

/// `PendingTimer` cancels its timer when it is dropped.
struct PendingTimer<'a> {
    shared: &'a Shared,
    id: TimerId,
}

impl Drop for PendingTimer<'_> {
    fn drop(&mut self) {
        self.shared.lock().cancel(self.id);
    }
}

/// `TaskGuard` aborts the service's task when it is dropped.
#[derive(Debug)]
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Fires timers as they become due.
async fn run(shared: Arc<Shared>) {
    loop {
        let Some(due) = shared.wake_due() else {
            shared.changed.notified().await;
            continue;
        };
        let wait = due.since(shared.clock.now()).duration();
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.changed.notified() => {}
        }
    }
}
