//! Admission of statements to the slots of one instance, in the order of a fair queue.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::home::queue::Connection;
use oleander_limits::home::queue::Dropped;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::queue::QueueOptions;
use oleander_limits::home::request::Class;
use oleander_limits::home::request::QueuedRequest;
use oleander_limits::home::request::Ticket;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::slots::Slots;
use oleander_limits::home::urgency::Urgency;
use oleander_runtime::timer::TimerService;
use tokio::sync::oneshot;

use super::overload;
use super::overload::Entitlement;
use super::overload::Overload;

/// The ordinal of the instance, the only one in its queue.
pub(super) const ORDINAL: u8 = 0;

/// `InstanceSlots` admits statements to an instance. Clones share the same queue.
#[derive(Clone)]
pub struct InstanceSlots {
    timers: TimerService,
    expiry: Expiry,
    state: Arc<Mutex<State>>,
}

/// `Expiry` is the time at which a waiting statement is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expiry {
    /// It is refused at its deadline.
    Deadline,
    /// It is refused once it can no longer be answered by its deadline.
    LatestStart,
}

struct State {
    queue: HomeQueue,
    /// The times for refused statements; `None` if `expiry` is `Deadline`.
    overload: Option<Overload>,
    /// Wakes the caller of each queued statement with its permit or refusal.
    waiting: HashMap<Ticket, Waiting>,
    /// The number of the last ticket.
    serial: u64,
}

/// `Waiting` is a queued statement.
struct Waiting {
    sender: oneshot::Sender<Result<Permit, Refusal>>,
    entitlement: Entitlement,
}

/// `SlotRequest` describes a statement that needs a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// The workspace of the statement.
    pub workspace: WorkspaceId,
    /// The workspace's weight in fair queueing, 1 or more.
    pub weight: u32,
    /// The class of the statement; `Transaction` if it uses a transaction's connection.
    pub class: Class,
    /// The time after which the statement must not start.
    pub deadline: Time,
    /// The place of the statement among the waiting ones.
    pub urgency: Urgency,
}

/// `Permit` holds a slot and a connection of the quota; dropping it frees the slot, and the
/// connection unless a transaction keeps it.
pub struct Permit {
    slots: InstanceSlots,
    ticket: Ticket,
    started_at: Time,
    /// The time spent in the queue.
    pub queued: Span,
    /// `true` if a transaction keeps the connection when the permit is dropped.
    keep: bool,
    level: Level,
    entitlement: Entitlement,
}

impl InstanceSlots {
    /// Creates an empty queue for an instance with this home's quota of its slots and connections.
    pub fn new(timers: TimerService, quota: Quota, expiry: Expiry) -> Self {
        let mut slots = Slots::default();
        slots.set_quotas([quota], Time(0));
        let queue = HomeQueue::new(QueueOptions::default(), slots);
        let overload = match expiry {
            Expiry::Deadline => None,
            Expiry::LatestStart => Some(Overload::new(timers.now(), quota.slots)),
        };
        let state = State { queue, overload, waiting: HashMap::new(), serial: 0 };
        Self { timers, expiry, state: Arc::new(Mutex::new(state)) }
    }

    /// Replaces the quota and starts what it newly allows.
    pub fn set_quota(&self, quota: Quota) {
        let mut state = self.lock();
        if state.queue.slots().quota(ORDINAL) != quota {
            state.queue.slots_mut().set_quotas([quota], Time(0));
            if let Some(overload) = &mut state.overload {
                overload.set_slots(quota.slots);
            }
            self.start_next(self.timers.now(), &mut state);
        }
    }

    /// Closes the horizon to all but level 0; it opens level by level, and at once while a slot is
    /// free.
    pub fn reopen(&self) {
        let now = self.timers.now();
        if let Some(overload) = &mut self.lock().overload {
            overload.reopen(now);
        }
    }

    /// Returns the levels that are admitted now.
    pub fn horizon(&self) -> Horizon {
        let now = self.timers.now();
        let State { queue, overload, .. } = &mut *self.lock();
        overload.as_mut().map_or(Horizon::OPEN, |overload| overload.horizon(now, queue))
    }

    /// Books the return of a statement that was refused although it had a slot.
    pub fn book_return(&self, workspace: WorkspaceId, level: Level, refusal: Refusal) -> Refusal {
        let now = self.timers.now();
        match &mut self.lock().overload {
            Some(overload) => overload.refuse(now, Span::ZERO, workspace, level, refusal),
            None => refusal,
        }
    }

    /// Waits for a slot. If the future is dropped, the statement leaves the queue.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if the queue is full, the statement cannot start by its deadline
    /// or a more urgent one takes its place in a full queue.
    pub async fn acquire(&self, request: SlotRequest) -> Result<Permit, Refusal> {
        let now = self.timers.now();
        let SlotRequest { workspace, weight, class, deadline, mut urgency } = request;
        let (queued, until, waiting) = {
            let mut state = self.lock();
            let state = &mut *state;
            state.serial += 1;
            let ticket = Ticket(state.serial);
            let queued = QueuedRequest { ticket, workspace, weight, cost: 1, deadline, class };
            let entitlement = match &mut state.overload {
                Some(overload) => overload.admit(now, &state.queue, &queued, &mut urgency)?,
                None => Entitlement::New,
            };
            let added = state
                .queue
                .push_urgent(now, queued, urgency)
                .map_err(|refusal| state.book_return(now, &queued, urgency.level, refusal))?;
            if let Some(Dropped { request, urgency, refusal }) = added.dropped {
                let refusal = state.book_return(now, &request, urgency.level, refusal);
                state.refuse(request.ticket, refusal);
            }
            let until = match self.expiry {
                Expiry::Deadline => deadline,
                Expiry::LatestStart => added.latest_start,
            };
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(ticket, Waiting { sender, entitlement });
            // At the time of the push: a statement that only an empty queue tries, because it has no
            // time to spare, would otherwise expire before it starts.
            self.start_next(now, state);
            (queued, until, receiver)
        };
        let guard = QueueGuard { slots: self, ticket: queued.ticket };
        let admitted = self.timers.within(until.since(now), waiting).await;
        drop(guard);
        match admitted {
            Some(Ok(outcome)) => outcome,
            _ => Err(self.expired(&queued, urgency)),
        }
    }

    /// Refuses all statements that wait.
    pub fn refuse_waiting(&self) {
        let mut state = self.lock();
        let tickets: Vec<Ticket> = state.waiting.keys().copied().collect();
        for ticket in tickets {
            state.queue.cancel(ticket);
            state.refuse(ticket, stopping_refusal());
        }
    }

    /// Frees the connection of a transaction that has ended.
    pub fn release_connection(&self) {
        let mut state = self.lock();
        state.queue.slots_mut().release_connection(ORDINAL);
        self.start_next(self.timers.now(), &mut state);
    }

    /// Returns the refusal of a statement that waited for too long.
    fn expired(&self, queued: &QueuedRequest, urgency: Urgency) -> Refusal {
        let detail = "the statement waited too long for a slot";
        let refusal = Refusal::not_run(RefusalCode::DeadlineExceeded, detail);
        match self.expiry {
            Expiry::Deadline => refusal,
            Expiry::LatestStart => {
                self.lock().book_return(self.timers.now(), queued, urgency.level, refusal)
            }
        }
    }

    /// Sends a permit to each statement that can start now.
    fn start_next(&self, now: Time, state: &mut State) {
        if self.expiry == Expiry::LatestStart {
            // Without its sender, the caller of an expired statement refuses it.
            for ticket in state.queue.expire(now) {
                state.waiting.remove(&ticket);
            }
        }
        let place = |waiting: &QueuedRequest, slots: &Slots| {
            let is_free = match waiting.class {
                Class::Transaction => slots.has_slot(now, ORDINAL),
                Class::Write | Class::Read => slots.is_free(now, ORDINAL),
            };
            is_free.then_some(ORDINAL)
        };
        while let Some(started) = state.queue.pop(now, place) {
            let ticket = started.request.ticket;
            let keep = started.request.class == Class::Transaction;
            if let Some(overload) = &mut state.overload {
                overload.record_start(now, &started);
            }
            let waiting = state.waiting.remove(&ticket);
            let entitlement =
                waiting.as_ref().map_or(Entitlement::New, |waiting| waiting.entitlement);
            let permit = Permit {
                slots: self.clone(),
                ticket,
                started_at: now,
                queued: started.queued,
                keep,
                level: started.urgency.level,
                entitlement,
            };
            let undelivered = match waiting {
                Some(Waiting { sender, .. }) => sender.send(Ok(permit)).err(),
                None => Some(Ok(permit)),
            };
            if let Some(Ok(permit)) = undelivered {
                // The caller has gone. Dropping the permit would lock `state` again, which is held
                // here.
                state.queue.finish(ticket, Span::ZERO, connection(permit.keep));
                std::mem::forget(permit);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Sets the time after which a refused statement returns.
    fn book_return(
        &mut self,
        now: Time,
        queued: &QueuedRequest,
        level: Level,
        refusal: Refusal,
    ) -> Refusal {
        let Some(overload) = &mut self.overload else { return refusal };
        let wait = overload::expected_wait(&self.queue, queued, level);
        overload.refuse(now, wait, queued.workspace, level, refusal)
    }

    /// Refuses a statement that has left the queue.
    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(Waiting { sender, .. }) = self.waiting.remove(&ticket) {
            // If this fails, the caller has gone.
            let _ = sender.send(Err(refusal));
        }
    }
}

impl Permit {
    /// Leaves the connection in use, for a transaction, when the permit is dropped.
    pub fn keep_connection(&mut self) {
        self.keep = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.slots.timers.now();
        let mut state = self.slots.lock();
        let service = now.since(self.started_at);
        state.queue.finish(self.ticket, service, connection(self.keep));
        if let Some(overload) = &mut state.overload {
            overload.record_end(now, self.level, self.entitlement, service);
        }
        self.slots.start_next(now, &mut state);
    }
}

/// Returns the refusal of a statement at a VM that stops. Another VM may be the home.
pub(super) fn stopping_refusal() -> Refusal {
    Refusal::not_run(RefusalCode::HomeUnreachable, "home: the VM is stopping")
}

fn connection(keep: bool) -> Connection {
    if keep { Connection::Kept } else { Connection::Free }
}

/// `QueueGuard` removes a statement from the queue if its caller stops waiting.
struct QueueGuard<'a> {
    slots: &'a InstanceSlots,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.queue.cancel(self.ticket);
        }
    }
}
