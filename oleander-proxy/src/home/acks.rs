//! Acknowledgement of writes: a write is done once enough instances hold it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_config::model::Acknowledge;
use oleander_core::ids::InstanceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Role;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_routing::retry;
use oleander_runtime::timer::TimerService;
use oleander_session::proof;
use tokio::sync::Notify;
use tokio::sync::oneshot;

/// `Acks` holds the writes of one home that wait for their replication.
#[derive(Debug)]
pub struct Acks {
    timers: TimerService,
    state: Mutex<State>,
    waiting: Notify,
}

#[derive(Debug)]
struct State {
    mode: Acknowledge,
    size: usize,
    known: Vec<(InstanceId, InstanceStatus)>,
    pending: Vec<Pending>,
}

#[derive(Debug)]
struct Pending {
    point: LogPoint,
    done: oneshot::Sender<Result<(), Refusal>>,
}

/// `Standing` is how a write stands with what is known of the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    Confirmed,
    Waiting,
    Superseded,
}

impl Acks {
    /// Makes an empty set in the default mode.
    pub fn new(timers: TimerService) -> Self {
        let state =
            State { mode: Acknowledge::default(), size: 1, known: Vec::new(), pending: Vec::new() };
        Self { timers, state: Mutex::new(state), waiting: Notify::new() }
    }

    /// Sets the mode and the number of instances of the group.
    pub fn set_mode(&self, mode: Acknowledge, size: usize) {
        let mut state = self.lock();
        state.mode = mode;
        state.size = size;
    }

    /// Waits until the write at `point` may be acknowledged. Returns `true` if a majority holds it.
    ///
    /// Fails "may have run" if another term began first or the deadline passes.
    pub async fn confirm(&self, point: LogPoint, deadline: Time) -> Result<bool, Refusal> {
        let done = {
            let mut state = self.lock();
            if state.mode == Acknowledge::Primary {
                return Ok(false);
            }
            match state.standing(point) {
                Standing::Confirmed => return Ok(true),
                Standing::Superseded => return Err(superseded()),
                Standing::Waiting => {}
            }
            let (sender, done) = oneshot::channel();
            state.pending.push(Pending { point, done: sender });
            done
        };
        self.waiting.notify_waiters();
        tokio::select! {
            outcome = done => outcome.unwrap_or_else(|_| Err(unconfirmed())).map(|()| true),
            () = self.timers.sleep_until(deadline) => Err(unconfirmed()),
        }
    }

    /// Takes in the last known statuses of the group.
    pub fn observe(&self, known: &[(InstanceId, InstanceStatus)]) {
        let mut state = self.lock();
        state.known = known.to_vec();
        let pending = std::mem::take(&mut state.pending);
        for waiting in pending {
            match state.standing(waiting.point) {
                Standing::Confirmed => drop(waiting.done.send(Ok(()))),
                Standing::Superseded => drop(waiting.done.send(Err(superseded()))),
                Standing::Waiting if waiting.done.is_closed() => {}
                Standing::Waiting => state.pending.push(waiting),
            }
        }
    }

    /// Returns `true` if a write waits for its replication.
    pub fn is_waiting(&self) -> bool {
        !self.lock().pending.is_empty()
    }

    /// Waits until a write waits for its replication.
    pub async fn wait_pending(&self) {
        loop {
            let notified = self.waiting.notified();
            if self.is_waiting() {
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
    /// Judges a write by the last known statuses.
    ///
    /// An instance of the same term at or past the position, which has promised
    /// no later one, holds the write. A majority of such instances includes one
    /// of every later majority, so no promotion can drop it.
    fn standing(&self, point: LogPoint) -> Standing {
        let statuses = self.known.iter().map(|(_, status)| status);
        let holders = statuses.clone().filter(|status| proof::holds_in_term(status, point));
        if self.size / 2 < holders.count() {
            return Standing::Confirmed;
        }
        let newer = |status: &InstanceStatus| {
            point.term < status.point.term && status.role == Role::Primary
        };
        if statuses.clone().any(newer) { Standing::Superseded } else { Standing::Waiting }
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
    }
}
