//! Acknowledgement of writes once enough instances have replicated them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_config::model::Acknowledge;
use oleander_core::ids::InstanceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_failover::acks::AckTracker;
use oleander_failover::acks::Settled;
use oleander_failover::acks::SettledList;
use oleander_failover::acks::WriteId;
use oleander_routing::retry;
use oleander_runtime::timer::TimerService;
use tokio::sync::Notify;
use tokio::sync::oneshot;

/// `Acks` holds the writes of one home that wait for replication.
#[derive(Debug)]
pub struct Acks {
    timers: TimerService,
    state: Mutex<State>,
    write_added: Notify,
}

#[derive(Debug)]
struct State {
    mode: Acknowledge,
    /// The number of instances of the database.
    group_size: u8,
    tracker: AckTracker,
    pending: HashMap<WriteId, oneshot::Sender<Result<(), Refusal>>>,
    /// The identifier of the write added last.
    serial: u64,
}

impl Acks {
    /// Creates an empty set with the default acknowledgement mode and no instances.
    pub fn new(timers: TimerService) -> Self {
        let state = State {
            mode: Acknowledge::default(),
            group_size: 0,
            tracker: AckTracker::new(0),
            pending: HashMap::new(),
            serial: 0,
        };
        Self { timers, state: Mutex::new(state), write_added: Notify::new() }
    }

    /// Sets the acknowledgement mode and the number of instances in the group.
    ///
    /// If the size changes, all pending writes end as not replicated.
    pub fn set_mode(&self, mode: Acknowledge, group_size: u8) {
        let mut state = self.lock();
        state.mode = mode;
        if state.group_size != group_size {
            state.group_size = group_size;
            state.tracker = AckTracker::new(group_size);
            state.pending.clear();
        }
    }

    /// Waits until the write at `point`, made by the primary with the ordinal `primary`, can be
    /// acknowledged.
    ///
    /// Returns `true` if a majority of instances has replicated it, and `false` immediately if the
    /// mode requires only the primary.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "may have run" if first a new term begins, the number of
    /// instances changes or the deadline passes.
    pub async fn confirm(
        &self,
        primary: u8,
        point: LogPoint,
        deadline: Time,
    ) -> Result<bool, Refusal> {
        let (id, done) = {
            let mut state = self.lock();
            if state.mode == Acknowledge::Primary {
                return Ok(false);
            }
            state.add(self.timers.now(), primary, point)
        };
        let _guard = WriteGuard { acks: self, id };
        self.write_added.notify_waiters();
        tokio::select! {
            outcome = done => outcome.unwrap_or_else(|_| Err(unconfirmed())).map(|()| true),
            () = self.timers.sleep_until(deadline) => Err(unconfirmed()),
        }
    }

    /// Records the last known statuses of the instances and completes the writes they settle.
    pub fn record_statuses(&self, statuses: &[(InstanceId, InstanceStatus)]) {
        let now = self.timers.now();
        let mut state = self.lock();
        for (instance, status) in statuses {
            let settled = state.tracker.observe(now, instance.ordinal, *status);
            state.settle(settled);
        }
    }

    /// Returns the time until the next poll of the instances; `None` while no write is pending.
    ///
    /// Counts a poll that is already due as made and returns the time until the one after it.
    pub fn next_poll(&self) -> Option<Span> {
        let now = self.timers.now();
        let mut state = self.lock();
        let due = state.tracker.next_poll()?;
        if due <= now {
            state.tracker.polled(now);
        }
        state.tracker.next_poll().map(|due| due.since(now))
    }

    /// Waits until at least one write is pending.
    pub async fn wait_pending(&self) {
        loop {
            let notified = self.write_added.notified();
            if !self.lock().tracker.is_idle() {
                return;
            }
            notified.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn add(
        &mut self,
        now: Time,
        primary: u8,
        point: LogPoint,
    ) -> (WriteId, oneshot::Receiver<Result<(), Refusal>>) {
        self.serial += 1;
        let id = WriteId(self.serial);
        let (sender, done) = oneshot::channel();
        self.pending.insert(id, sender);
        let settled = self.tracker.add(now, id, primary, point);
        self.settle(settled);
        (id, done)
    }

    fn settle(&mut self, settled: SettledList) {
        for write in settled {
            let (id, outcome) = match write {
                Settled::Acknowledged(id) => (id, Ok(())),
                Settled::Unconfirmed(id) => (id, Err(superseded())),
            };
            if let Some(sender) = self.pending.remove(&id) {
                // The receiver is dropped if the caller has stopped waiting.
                let _ = sender.send(outcome);
            }
        }
    }
}

/// `WriteGuard` removes a write when its caller stops waiting.
struct WriteGuard<'a> {
    acks: &'a Acks,
    id: WriteId,
}

impl Drop for WriteGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.acks.lock();
        state.tracker.forget(self.id);
        state.pending.remove(&self.id);
    }
}

fn unconfirmed() -> Refusal {
    not_replicated("the write ran, but its replication was not confirmed in time")
}

fn superseded() -> Refusal {
    not_replicated("another primary took over before the write was confirmed")
}

fn not_replicated(detail: &str) -> Refusal {
    Refusal {
        code: RefusalCode::NotReplicated,
        verdict: Verdict::MayHaveRun,
        retry_after: retry::retry_after(RefusalCode::NotReplicated),
        detail: detail.to_owned(),
        charged: false,
    }
}
