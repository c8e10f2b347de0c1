//! Admission to the slots of one instance: a queue whose waiters are woken in its order.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::home::queue::Connection;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::queue::QueueOptions;
use oleander_limits::home::request::Class;
use oleander_limits::home::request::QueuedRequest;
use oleander_limits::home::request::Ticket;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::slots::Slots;
use oleander_runtime::timer::TimerService;
use tokio::sync::oneshot;

/// The ordinal of the one instance in its queue.
const ONLY: u8 = 0;

/// `InstanceSlots` admits statements to an instance. Clones share the queue.
#[derive(Clone)]
pub struct InstanceSlots {
    timers: TimerService,
    state: Arc<Mutex<State>>,
}

struct State {
    queue: HomeQueue,
    waiting: HashMap<Ticket, oneshot::Sender<Permit>>,
    serial: u64,
}

/// `Wanted` is a statement that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The workspace's weight.
    pub weight: u32,
    /// Whether it opens a connection's use or goes on with it.
    pub class: Class,
    /// The time after which it must not start any more.
    pub until: Time,
}

/// `Permit` is a slot in use; dropping it frees the slot.
pub struct Permit {
    slots: InstanceSlots,
    ticket: Ticket,
    start: Time,
    /// The time spent in the queue.
    pub queued: Span,
    keep: bool,
}

impl InstanceSlots {
    /// Makes a queue for an instance with this part of its slots and connections.
    pub fn new(timers: TimerService, part: Quota) -> Self {
        let mut slots = Slots::default();
        slots.set_quotas([part], Time(0));
        let queue = HomeQueue::new(QueueOptions::default(), slots);
        let state = State { queue, waiting: HashMap::new(), serial: 0 };
        Self { timers, state: Arc::new(Mutex::new(state)) }
    }

    /// Changes the part.
    pub fn set_part(&self, part: Quota) {
        let mut state = self.lock();
        if state.queue.slots().quota(ONLY) != part {
            state.queue.slots_mut().set_quotas([part], Time(0));
            self.start_next(&mut state);
        }
    }

    /// Waits for a slot.
    ///
    /// Fails "not run" if the statement cannot start in time.
    pub async fn acquire(&self, wanted: Wanted) -> Result<Permit, Refusal> {
        let now = self.timers.now();
        let (ticket, waiting) = {
            let mut state = self.lock();
            state.serial += 1;
            let ticket = Ticket(state.serial);
            state.queue.push(
                now,
                QueuedRequest {
                    ticket,
                    workspace: wanted.workspace,
                    weight: wanted.weight,
                    cost: 1,
                    deadline: wanted.until,
                    class: wanted.class,
                },
            )?;
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(ticket, sender);
            self.start_next(&mut state);
            (ticket, receiver)
        };
        let guard = WaitGuard { slots: self, ticket };
        let admitted = self.timers.within(wanted.until.since(now), waiting).await;
        drop(guard);
        match admitted {
            Some(Ok(permit)) => Ok(permit),
            _ => {
                let detail = "the statement waited too long for a slot";
                Err(Refusal::not_run(RefusalCode::DeadlineExceeded, detail))
            }
        }
    }

    /// Gives a connection back that a transaction has used.
    pub fn disconnect(&self) {
        let mut state = self.lock();
        state.queue.slots_mut().release_connection(ONLY);
        self.start_next(&mut state);
    }

    /// Hands a permit to each statement that can start now.
    fn start_next(&self, state: &mut State) {
        let now = self.timers.now();
        let place = |waiting: &QueuedRequest, slots: &Slots| {
            let is_free = match waiting.class {
                Class::Transaction => slots.has_slot(now, ONLY),
                Class::Write | Class::Read => slots.is_free(now, ONLY),
            };
            is_free.then_some(ONLY)
        };
        while let Some(start) = state.queue.pop(now, place) {
            let ticket = start.request.ticket;
            let keep = start.request.class == Class::Transaction;
            let permit =
                Permit { slots: self.clone(), ticket, start: now, queued: start.queued, keep };
            let refused = match state.waiting.remove(&ticket) {
                Some(sender) => sender.send(permit).err(),
                None => Some(permit),
            };
            if let Some(permit) = refused {
                // Its drop would take the lock that is held here.
                state.queue.finish(ticket, Span::ZERO, connection(permit.keep));
                std::mem::forget(permit);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit {
    /// Leaves the connection in use when the slot is freed.
    pub fn keep_connection(&mut self) {
        self.keep = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.slots.timers.now();
        let mut state = self.slots.lock();
        state.queue.finish(self.ticket, now.since(self.start), connection(self.keep));
        self.slots.start_next(&mut state);
    }
}

fn connection(keep: bool) -> Connection {
    if keep { Connection::Kept } else { Connection::Free }
}

/// `WaitGuard` takes a statement out of the queue whose caller has gone.
struct WaitGuard<'a> {
    slots: &'a InstanceSlots,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.queue.cancel(self.ticket);
        }
    }
}
