//! The request queue of a home: requests wait here until an instance has a free slot.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::home::queue::Connection;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::request::Class;
use oleander_limits::home::request::QueuedRequest;
use oleander_limits::home::request::Ticket;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::slots::Slots;
use oleander_limits::home::urgency::Rank;
use oleander_limits::home::urgency::Urgency;
use oleander_routing::reads::Choice;
use oleander_routing::reads::ReadNeed;
use oleander_routing::retry;
use oleander_runtime::timer::TimerService;
use oleander_session::token::SeenPoint;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::home::instances::Instances;
use crate::home::instances::TriedInstances;

/// `Admission` is the queue of one home and the tasks that wait in it.
#[derive(Debug)]
pub struct Admission {
    timers: TimerService,
    state: Mutex<State>,
    changed: Notify,
    request_added: Notify,
}

/// `Target` states where a request may run.
#[derive(Clone, Debug)]
pub enum Target {
    /// On the primary.
    Primary,
    /// On the instance with this ordinal, on the connection of the request's open transaction.
    Instance(u8),
    /// On any instance that meets the requirements of a read.
    Read(ReadTarget),
}

/// `ReadTarget` holds the requirements of a read on its instance.
#[derive(Clone, Debug)]
pub struct ReadTarget {
    /// The log points of the database that the session has seen.
    pub seen: Vec<SeenPoint>,
    /// The maximum age of the data; `None` requires only what the session has seen.
    pub max_age: Option<Span>,
    /// The time by which the answer is needed.
    pub deadline: Time,
    /// The instances that the read has already been sent to; they are excluded.
    pub tried: TriedInstances,
}

impl ReadTarget {
    /// Returns the requirements as a `ReadNeed`, for `Instances::choose`.
    pub fn need(&self) -> ReadNeed<'_> {
        ReadNeed { seen: &self.seen, max_age: self.max_age, deadline: self.deadline }
    }
}

/// `AdmissionRequest` describes a request for which a slot is wanted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The workspace charged with the cost.
    pub workspace: WorkspaceId,
    /// The workspace's weight in fair queueing.
    pub weight: u32,
    /// The cost in queue units.
    pub cost: u32,
    /// The priority level.
    pub level: Level,
    /// The time by which the answer is needed.
    pub deadline: Time,
    /// Where the request may run.
    pub target: Target,
}

#[derive(Debug)]
struct State {
    queue: HomeQueue,
    instances: Instances,
    pending: HashMap<Ticket, PendingRequest>,
    serial: u64,
    closed: bool,
}

#[derive(Debug)]
struct PendingRequest {
    target: Target,
    sender: oneshot::Sender<Result<SlotGuard, Refusal>>,
}

impl Admission {
    /// Wraps `queue`, with no known instances; `run` has to be spawned for it.
    pub fn new(timers: TimerService, queue: HomeQueue) -> Arc<Self> {
        let state = State {
            queue,
            instances: Instances::default(),
            pending: HashMap::new(),
            serial: 0,
            closed: false,
        };
        Arc::new(Self {
            timers,
            state: Mutex::new(state),
            changed: Notify::new(),
            request_added: Notify::new(),
        })
    }

    /// Waits until the request can run and takes a slot for it.
    ///
    /// Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run" if the queue is full or closed, if the deadline
    /// cannot be met, or if no instance can ever serve the request.
    pub async fn acquire(
        self: &Arc<Self>,
        request: AdmissionRequest,
    ) -> Result<Arc<SlotGuard>, Refusal> {
        let (sender, slot) = oneshot::channel();
        let ticket = self.push(request, sender)?;
        let _guard = QueueEntryGuard { admission: self, ticket };
        self.request_added.notify_waiters();
        slot.await.unwrap_or_else(|_| Err(not_a_home())).map(Arc::new)
    }

    /// Changes the state of the instances and starts the requests that can run now.
    pub fn update(self: &Arc<Self>, change: impl FnOnce(&mut Instances)) {
        change(&mut self.lock().instances);
        self.dispatch();
    }

    /// Calls `read` with the state of the instances.
    pub fn with_instances<T>(&self, read: impl FnOnce(&Instances) -> T) -> T {
        read(&self.lock().instances)
    }

    /// Sets the home's quota on each instance, in the order of ordinals; it applies from `from`.
    pub fn set_quotas(self: &Arc<Self>, quotas: impl IntoIterator<Item = Quota>, from: Time) {
        self.lock().queue.slots_mut().set_quotas(quotas, from);
        self.dispatch();
    }

    /// Refuses all waiting and later requests.
    pub fn close(&self) {
        let pending: Vec<PendingRequest> = {
            let mut state = self.lock();
            state.closed = true;
            let tickets: Vec<Ticket> = state.pending.keys().copied().collect();
            for ticket in tickets {
                state.queue.cancel(ticket);
            }
            state.pending.drain().map(|(_, pending)| pending).collect()
        };
        for waiting in pending {
            let _ = waiting.sender.send(Err(not_a_home()));
        }
    }

    /// Returns the time that a new write of cost 1 is expected to wait in the queue.
    pub fn expected_wait(&self) -> Span {
        let now = self.timers.now();
        let probe = QueuedRequest {
            ticket: Ticket(0),
            workspace: WorkspaceId::default(),
            weight: 1,
            cost: 1,
            deadline: now,
            class: Class::Write,
        };
        self.lock().queue.expected_wait(&probe, Rank::default())
    }

    /// Waits until the queue is not empty.
    pub async fn wait_non_empty(&self) {
        loop {
            let request_added = self.request_added.notified();
            if !self.is_idle() {
                return;
            }
            request_added.await;
        }
    }

    /// Returns `true` if no request is waiting.
    pub fn is_idle(&self) -> bool {
        self.lock().pending.is_empty()
    }

    /// Releases the connection that an ended transaction held on the instance.
    pub fn release_connection(self: &Arc<Self>, ordinal: u8) {
        self.lock().queue.slots_mut().release_connection(ordinal);
        self.dispatch();
    }

    /// Refuses expired requests and starts those that become able to run, until dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let wake_at = self.dispatch();
            tokio::select! {
                () = self.changed.notified() => {}
                () = self.timers.sleep_until(wake_at) => {}
            }
        }
    }

    /// Adds a request to the queue and starts it if it can run. `sender` receives its slot or its
    /// refusal.
    fn push(
        self: &Arc<Self>,
        request: AdmissionRequest,
        sender: oneshot::Sender<Result<SlotGuard, Refusal>>,
    ) -> Result<Ticket, Refusal> {
        let now = self.timers.now();
        let mut state = self.lock();
        let ticket = state.push(now, request, sender)?;
        // At the time of the push: a request that only an empty queue tries, because it has no time
        // to spare, would otherwise expire before it starts.
        self.dispatch_at(now, state);
        Ok(ticket)
    }

    /// Starts requests that can run, refuses expired ones and returns the time of the next pass.
    fn dispatch(self: &Arc<Self>) -> Time {
        self.dispatch_at(self.timers.now(), self.lock())
    }

    fn dispatch_at(self: &Arc<Self>, now: Time, mut state: MutexGuard<'_, State>) -> Time {
        for ticket in state.queue.expire(now) {
            state.refuse(
                ticket,
                refusal(RefusalCode::DeadlineExceeded, "no slot came free in time"),
            );
        }
        let mut pass = DispatchPass { wake_at: Time(u64::MAX), refused: Vec::new() };
        let mut unclaimed = Vec::new();
        while let Some((ticket, slot)) = state.start_next(now, &mut pass, self) {
            let Some(pending) = state.pending.remove(&ticket) else { continue };
            // If the caller has gone, the returned guard is dropped after the lock is released: its
            // drop takes the lock.
            unclaimed.extend(pending.sender.send(Ok(slot)).err());
        }
        for (ticket, refusal) in pass.refused {
            state.queue.cancel(ticket);
            state.refuse(ticket, refusal);
        }
        let wake_at =
            state.queue.next_expiry().map_or(pass.wake_at, |expiry| expiry.min(pass.wake_at));
        drop(state);
        drop(unclaimed);
        wake_at
    }

    fn finish(self: &Arc<Self>, ticket: Ticket, service: Span, connection: Connection) {
        self.lock().queue.finish(ticket, service, connection);
        self.dispatch();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn push(
        &mut self,
        now: Time,
        request: AdmissionRequest,
        sender: oneshot::Sender<Result<SlotGuard, Refusal>>,
    ) -> Result<Ticket, Refusal> {
        if self.closed {
            return Err(not_a_home());
        }
        self.serial += 1;
        let ticket = Ticket(self.serial);
        let class = match &request.target {
            Target::Primary => Class::Write,
            Target::Instance(_) => Class::Transaction,
            Target::Read(_) => Class::Read,
        };
        let AdmissionRequest { workspace, weight, cost, level, deadline, target } = request;
        let queued = self.queue.push_urgent(
            now,
            QueuedRequest { ticket, workspace, weight, cost, deadline, class },
            Urgency { level, target: None },
        )?;
        if let Some(dropped) = queued.dropped {
            self.refuse(dropped.request.ticket, dropped.refusal);
        }
        self.pending.insert(ticket, PendingRequest { target, sender });
        Ok(ticket)
    }

    fn start_next(
        &mut self,
        now: Time,
        pass: &mut DispatchPass,
        admission: &Arc<Admission>,
    ) -> Option<(Ticket, SlotGuard)> {
        let Self { queue, instances, pending, .. } = self;
        let start =
            queue.pop(now, |waiting, slots| match &pending.get(&waiting.ticket)?.target {
                Target::Primary => instances.primary(),
                Target::Instance(ordinal) => Some(*ordinal),
                Target::Read(read) => pass.place_read(now, waiting.ticket, read, instances, slots),
            })?;
        let ticket = start.request.ticket;
        let slot = SlotGuard {
            admission: admission.clone(),
            ticket,
            ordinal: start.ordinal,
            queued: start.queued,
            started_at: now,
            connection_kept: AtomicBool::new(false),
        };
        Some((ticket, slot))
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(pending) = self.pending.remove(&ticket) {
            let _ = pending.sender.send(Err(refusal));
        }
    }
}

/// `SlotGuard` holds the slot of a running request and releases it on drop.
///
/// It is attached to the request's connection, which drops it only when the instance has certainly
/// finished. A slot is therefore never freed while a statement that timed out or was cancelled is
/// still running.
#[derive(Debug)]
pub struct SlotGuard {
    admission: Arc<Admission>,
    ticket: Ticket,
    /// The ordinal of the instance to run on.
    pub ordinal: u8,
    /// The time spent in the queue.
    pub queued: Span,
    started_at: Time,
    connection_kept: AtomicBool,
}

impl SlotGuard {
    /// Keeps the connection counted as in use after the slot is released, for an open transaction.
    pub fn keep_connection(&self) {
        self.connection_kept.store(true, Ordering::Release);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let service = self.admission.timers.now().since(self.started_at);
        let connection_kept = self.connection_kept.load(Ordering::Acquire);
        let connection = if connection_kept { Connection::Kept } else { Connection::Free };
        self.admission.finish(self.ticket, service, connection);
    }
}

/// `QueueEntryGuard` removes a request from the queue if its task is dropped while waiting.
struct QueueEntryGuard<'a> {
    admission: &'a Admission,
    ticket: Ticket,
}

impl Drop for QueueEntryGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        if state.queue.cancel(self.ticket) {
            state.pending.remove(&self.ticket);
        }
    }
}

/// `DispatchPass` collects the results of one pass through the queue besides the started requests.
struct DispatchPass {
    /// The earliest time at which a read that cannot start now may find an instance.
    wake_at: Time,
    /// The reads that no instance can ever serve.
    refused: Vec<(Ticket, Refusal)>,
}

impl DispatchPass {
    fn place_read(
        &mut self,
        now: Time,
        ticket: Ticket,
        read: &ReadTarget,
        instances: &Instances,
        slots: &Slots,
    ) -> Option<u8> {
        match instances.choose(now, &read.need(), slots, &read.tried) {
            Choice::Run(instance) => Some(instance.ordinal),
            Choice::WaitFor { until, .. } => {
                self.wake_at = until.min(self.wake_at);
                None
            }
            // An instance may become available again before the deadline.
            Choice::Refuse(refusal) if refusal.code == RefusalCode::UpstreamUnavailable => None,
            Choice::Refuse(refusal) => {
                self.refused.push((ticket, refusal));
                None
            }
        }
    }
}

/// Returns the refusal of a VM that is not, or no longer, a home of the database.
pub fn not_a_home() -> Refusal {
    refusal(RefusalCode::HomeUnreachable, "this VM is not a home of the database")
}

fn refusal(code: RefusalCode, detail: &str) -> Refusal {
    Refusal { retry_after: retry::retry_after(code), ..Refusal::not_run(code, detail) }
}
