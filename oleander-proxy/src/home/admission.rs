//! The queue of a home: requests wait here until an instance has a slot for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use oleander_core::ids::WorkspaceId;
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
use oleander_routing::reads::Choice;
use oleander_routing::reads::ReadNeed;
use oleander_routing::retry;
use oleander_runtime::timer::TimerService;
use oleander_session::token::SeenPoint;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::home::instances::Instances;
use crate::home::instances::Tried;

/// `Admission` is the queue of one home with its waiting tasks.
#[derive(Debug)]
pub struct Admission {
    timers: TimerService,
    state: Mutex<State>,
    changed: Notify,
    arrived: Notify,
}

/// `Place` says where a request may run.
#[derive(Clone, Debug)]
pub enum Place {
    /// On the primary.
    Primary,
    /// On the instance with this ordinal, on a connection that the request has already.
    Connected(u8),
    /// On an instance that satisfies the need.
    Read(ReadPlace),
}

/// `ReadPlace` is what a read needs of the instance that serves it.
#[derive(Clone, Debug)]
pub struct ReadPlace {
    /// The log points of the database that the session has seen.
    pub seen: Vec<SeenPoint>,
    /// The age of data that the read accepts.
    pub age: Option<Span>,
    /// The time by which the answer is wanted.
    pub deadline: Time,
    /// The instances that have been tried.
    pub tried: Tried,
}

impl ReadPlace {
    /// Gets the need as the decisions on reads take it.
    pub fn need(&self) -> ReadNeed<'_> {
        ReadNeed { seen: &self.seen, max_age: self.age, deadline: self.deadline }
    }
}

/// `Entrant` is a request on its way into the queue.
#[derive(Clone, Debug)]
pub struct Entrant {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The workspace's weight.
    pub weight: u32,
    /// The cost in queue units.
    pub cost: u32,
    /// The time by which the answer is wanted.
    pub deadline: Time,
    /// Where the request may run.
    pub place: Place,
}

#[derive(Debug)]
struct State {
    queue: HomeQueue,
    instances: Instances,
    pending: HashMap<Ticket, Pending>,
    serial: u64,
    closed: bool,
}

#[derive(Debug)]
struct Pending {
    place: Place,
    start: oneshot::Sender<Result<Started, Refusal>>,
}

impl Admission {
    /// Makes an empty queue.
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
            arrived: Notify::new(),
        })
    }

    /// Waits until the request may run and takes its slot.
    ///
    /// Fails "not run" if the queue is full or the deadline cannot be met. A
    /// caller that drops the future leaves the queue.
    pub async fn enter(self: &Arc<Self>, entrant: Entrant) -> Result<Arc<Started>, Refusal> {
        let (start, started) = oneshot::channel();
        let ticket = self.push(entrant, start)?;
        let _guard = QueueGuard { admission: self, ticket };
        self.pump();
        self.arrived.notify_waiters();
        started.await.unwrap_or_else(|_| Err(gone())).map(Arc::new)
    }

    /// Changes what is known of the instances and starts what can run now.
    pub fn update(self: &Arc<Self>, change: impl FnOnce(&mut Instances)) {
        change(&mut self.lock().instances);
        self.pump();
    }

    /// Reads what is known of the instances.
    pub fn with_instances<T>(&self, read: impl FnOnce(&Instances) -> T) -> T {
        read(&self.lock().instances)
    }

    /// Sets the home's part of each instance, to be used from `from` on.
    pub fn set_quotas(self: &Arc<Self>, parts: impl IntoIterator<Item = Quota>, from: Time) {
        self.lock().queue.slots_mut().set_quotas(parts, from);
        self.pump();
    }

    /// Refuses all that waits and all that comes later.
    pub fn close(&self) {
        let pending: Vec<Pending> = {
            let mut state = self.lock();
            state.closed = true;
            let tickets: Vec<Ticket> = state.pending.keys().copied().collect();
            for ticket in tickets {
                state.queue.cancel(ticket);
            }
            state.pending.drain().map(|(_, pending)| pending).collect()
        };
        for waiting in pending {
            let _ = waiting.start.send(Err(gone()));
        }
    }

    /// Gets the time that a new request of small cost would wait on the primary.
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
        self.lock().queue.expected_wait(&probe)
    }

    /// Waits until a request is in the queue.
    pub async fn wait_busy(&self) {
        loop {
            let arrived = self.arrived.notified();
            if !self.is_idle() {
                return;
            }
            arrived.await;
        }
    }

    /// Returns `true` if nothing waits.
    pub fn is_idle(&self) -> bool {
        self.lock().pending.is_empty()
    }

    /// Gives the connection back that an ended transaction had kept.
    pub fn disconnect(self: &Arc<Self>, ordinal: u8) {
        self.lock().queue.slots_mut().release_connection(ordinal);
        self.pump();
    }

    /// Refuses what has expired and starts what has become possible with time, until dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let wake = self.pump();
            tokio::select! {
                () = self.changed.notified() => {}
                () = self.timers.sleep_until(wake) => {}
            }
        }
    }

    fn push(
        &self,
        entrant: Entrant,
        start: oneshot::Sender<Result<Started, Refusal>>,
    ) -> Result<Ticket, Refusal> {
        let mut state = self.lock();
        if state.closed {
            return Err(gone());
        }
        state.serial += 1;
        let ticket = Ticket(state.serial);
        let class = match &entrant.place {
            Place::Primary => Class::Write,
            Place::Connected(_) => Class::Transaction,
            Place::Read(_) => Class::Read,
        };
        let Entrant { workspace, weight, cost, deadline, place } = entrant;
        state.queue.push(
            self.timers.now(),
            QueuedRequest { ticket, workspace, weight, cost, deadline, class },
        )?;
        state.pending.insert(ticket, Pending { place, start });
        Ok(ticket)
    }

    /// Starts what can run, refuses what has expired, and returns when to look again.
    fn pump(self: &Arc<Self>) -> Time {
        let now = self.timers.now();
        let mut state = self.lock();
        for ticket in state.queue.expire(now) {
            state.refuse(
                ticket,
                refusal(RefusalCode::DeadlineExceeded, "no slot came free in time"),
            );
        }
        let mut look = Look { wake: Time(u64::MAX), refused: Vec::new() };
        let mut orphans = Vec::new();
        while let Some((ticket, started)) = state.start_next(now, &mut look, self) {
            let Some(pending) = state.pending.remove(&ticket) else { continue };
            // A caller that has gone hands its slot back below, outside the lock.
            orphans.extend(pending.start.send(Ok(started)).err());
        }
        for (ticket, refusal) in look.refused {
            state.queue.cancel(ticket);
            state.refuse(ticket, refusal);
        }
        let wake = state.queue.next_expiry().map_or(look.wake, |expiry| expiry.min(look.wake));
        drop(state);
        drop(orphans);
        wake
    }

    fn finish(self: &Arc<Self>, ticket: Ticket, service: Span, connection: Connection) {
        self.lock().queue.finish(ticket, service, connection);
        self.pump();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn start_next(
        &mut self,
        now: Time,
        look: &mut Look,
        admission: &Arc<Admission>,
    ) -> Option<(Ticket, Started)> {
        let Self { queue, instances, pending, .. } = self;
        let start =
            queue.pop(now, |waiting, slots| match &pending.get(&waiting.ticket)?.place {
                Place::Primary => instances.primary(),
                Place::Connected(ordinal) => Some(*ordinal),
                Place::Read(read) => look.place_read(now, waiting.ticket, read, instances, slots),
            })?;
        let ticket = start.request.ticket;
        let started = Started {
            admission: admission.clone(),
            ticket,
            ordinal: start.ordinal,
            queued: start.queued,
            since: now,
            kept: AtomicBool::new(false),
        };
        Some((ticket, started))
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(pending) = self.pending.remove(&ticket) {
            let _ = pending.start.send(Err(refusal));
        }
    }
}

/// `Started` holds the slot of a running request; the drop gives it back.
///
/// It is attached to the request's connection, which drops it once the instance
/// has surely finished, so that a slot never comes free while a statement that
/// timed out or was cancelled still runs.
#[derive(Debug)]
pub struct Started {
    admission: Arc<Admission>,
    ticket: Ticket,
    /// The ordinal of the instance to run on.
    pub ordinal: u8,
    /// The time spent in the queue.
    pub queued: Span,
    since: Time,
    kept: AtomicBool,
}

impl Started {
    /// Leaves the connection counted when the slot is given back, for a transaction that keeps it.
    pub fn keep_connection(&self) {
        self.kept.store(true, Ordering::Release);
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        let service = self.admission.timers.now().since(self.since);
        let kept = self.kept.load(Ordering::Acquire);
        let connection = if kept { Connection::Kept } else { Connection::Free };
        self.admission.finish(self.ticket, service, connection);
    }
}

/// `QueueGuard` takes a request out of the queue when its task gives up.
struct QueueGuard<'a> {
    admission: &'a Admission,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        if state.queue.cancel(self.ticket) {
            state.pending.remove(&self.ticket);
        }
    }
}

/// `Look` collects what a look through the queue found besides requests to start.
struct Look {
    /// The time at which a read may be placed that cannot be now.
    wake: Time,
    /// The requests that no instance can ever serve.
    refused: Vec<(Ticket, Refusal)>,
}

impl Look {
    fn place_read(
        &mut self,
        now: Time,
        ticket: Ticket,
        read: &ReadPlace,
        instances: &Instances,
        slots: &Slots,
    ) -> Option<u8> {
        match instances.choose(now, &read.need(), slots, &read.tried) {
            Choice::Run(instance) => Some(instance.ordinal),
            Choice::WaitFor { until, .. } => {
                self.wake = until.min(self.wake);
                None
            }
            // A primary or a replica may come back before the deadline.
            Choice::Refuse(refusal) if refusal.code == RefusalCode::UpstreamUnavailable => None,
            Choice::Refuse(refusal) => {
                self.refused.push((ticket, refusal));
                None
            }
        }
    }
}

/// Makes the refusal of a home that has stopped.
pub fn gone() -> Refusal {
    refusal(RefusalCode::HomeUnreachable, "this VM is not a home of the database")
}

fn refusal(code: RefusalCode, detail: &str) -> Refusal {
    Refusal { retry_after: retry::retry_after(code), ..Refusal::not_run(code, detail) }
}
