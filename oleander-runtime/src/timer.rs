//! The timer service: one task that wakes the parts which subscribed to a time.

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

/// `TimerService` wakes its subscribers at the times that they asked for.
///
/// Clones share one task and one queue. The task ends with the last clone.
#[derive(Clone, Debug)]
pub struct TimerService {
    shared: Arc<Shared>,
    _task: Arc<TaskGuard>,
}

impl TimerService {
    /// Starts the service's task on the current runtime.
    pub fn start(clock: Clock) -> Self {
        let shared =
            Arc::new(Shared { clock, queue: Mutex::default(), changed: Notify::default() });
        let task = tokio::spawn(run(Arc::clone(&shared)));
        Self { shared, _task: Arc::new(TaskGuard(task)) }
    }

    /// Gets the clock of the service.
    pub fn clock(&self) -> Clock {
        self.shared.clock
    }

    /// Gets the time.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Waits until `due`. Dropping the future cancels the timer.
    pub async fn sleep_until(&self, due: Time) {
        let (sender, receiver) = oneshot::channel();
        let id = self.shared.schedule(due, sender);
        let _subscription = Subscription { shared: &self.shared, id };
        // The service lives as long as `self`, so the sender is not lost.
        let _ = receiver.await;
    }

    /// Waits for `span`. Dropping the future cancels the timer.
    pub async fn sleep(&self, span: Span) {
        self.sleep_until(self.now() + span).await;
    }

    /// Waits for `future`, but no longer than `span`; `None` if it took longer and was dropped.
    pub async fn within<T>(&self, span: Span, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            value = future => Some(value),
            () = self.sleep(span) => None,
        }
    }

    /// Makes a series of ticks, the first one after `period`.
    pub fn interval(&self, period: Span) -> Interval {
        Interval { due: self.now() + period, period, service: self.clone() }
    }

    /// Gets the number of waiting timers.
    pub fn waiting(&self) -> usize {
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
    /// Waits for the next tick and gets the time. Ticks that were missed are left out.
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

    /// Schedules a timer, and wakes the task if it is now the first one.
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

    /// Wakes what is due and gets the time of the next timer.
    fn wake_due(&self) -> Option<Time> {
        let now = self.clock.now();
        let mut queue = self.lock();
        while let Some(sender) = queue.pop_due(now) {
            // A subscriber that went away needs no wake-up.
            let _ = sender.send(());
        }
        queue.next_due()
    }
}

/// `Subscription` cancels its timer when it is dropped.
struct Subscription<'a> {
    shared: &'a Shared,
    id: TimerId,
}

impl Drop for Subscription<'_> {
    fn drop(&mut self) {
        self.shared.lock().cancel(self.id);
    }
}

/// `TaskGuard` ends the service's task when the last handle is dropped.
#[derive(Debug)]
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

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
