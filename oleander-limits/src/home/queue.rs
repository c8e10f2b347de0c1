//! The request queue of one database at one of its homes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use strum::EnumCount;

use crate::home::estimate::ServiceEstimate;
use crate::home::fair::FairQueue;
use crate::home::fair::Item;
use crate::home::request::Class;
use crate::home::request::QueuedRequest;
use crate::home::request::StartedRequest;
use crate::home::request::Ticket;
use crate::home::slots::Slots;

/// Out of this many turns, reads take precedence over writes in one and writes in the others.
const READ_FIRST_INTERVAL: usize = 8;
/// The minimum time after which a refused client is told to retry.
const MIN_RETRY: Span = Span::from_millis(1);

/// The factor by which a request's remaining time must exceed the expected wait. Estimates err, and
/// a queue as long as its requests can wait would serve most of them too late.
const WAIT_MARGIN: u64 = 2;

/// `QueueOptions` are the bounds of a `HomeQueue`.
#[derive(Clone, Copy, Debug)]
pub struct QueueOptions {
    /// The maximum number of waiting requests.
    pub total: usize,
    /// The maximum number of waiting requests of one workspace.
    pub workspace: usize,
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self { total: 1024, workspace: 256 }
    }
}

/// `HomeQueue` decides which requests to one database wait, start or are refused at one home.
#[derive(Debug)]
pub struct HomeQueue {
    options: QueueOptions,
    slots: Slots,
    queues: [FairQueue; Class::COUNT],
    estimates: [ServiceEstimate; Class::COUNT],
    waiting: HashMap<Ticket, QueueEntry>,
    running: HashMap<Ticket, Running>,
    counts: HashMap<WorkspaceId, usize>,
    /// The latest start of each request; also holds requests that no longer wait.
    deadlines: BinaryHeap<Reverse<(Time, Ticket)>>,
    /// The number of the turn, modulo `READ_FIRST_INTERVAL`; reads take precedence in turn 0.
    read_turn: usize,
}

#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    request: QueuedRequest,
    queued_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    cost: u32,
    ordinal: u8,
}

impl HomeQueue {
    /// Creates an empty queue for the home's slots.
    pub fn new(options: QueueOptions, slots: Slots) -> Self {
        Self {
            options,
            slots,
            queues: Default::default(),
            estimates: Default::default(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            counts: HashMap::new(),
            deadlines: BinaryHeap::new(),
            read_turn: 0,
        }
    }

    /// Returns the slots.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Returns the slots for setting quotas or releasing a connection.
    pub fn slots_mut(&mut self) -> &mut Slots {
        &mut self.slots
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run" if the queue is full or the request cannot be
    /// answered by its deadline.
    pub fn push(&mut self, now: Time, request: QueuedRequest) -> Result<(), Refusal> {
        let request =
            QueuedRequest { weight: request.weight.max(1), cost: request.cost.max(1), ..request };
        let wait = self.expected_wait(&request);
        self.check_capacity(&request, wait)?;
        self.check_deadline(now, &request, wait)?;
        *self.counts.entry(request.workspace).or_default() += 1;
        let latest = self.latest_start(&request).max(now);
        self.deadlines.push(Reverse((latest, request.ticket)));
        let item = Item { ticket: request.ticket, cost: request.cost };
        self.queues[request.class as usize].push(request.workspace, request.weight, item);
        self.waiting.insert(request.ticket, QueueEntry { request, queued_at: now });
        Ok(())
    }

    /// Removes and returns the next request that can start at `now`, and takes its slot.
    ///
    /// `place` chooses the instance for a request, or returns `None` if the request has to wait; it
    /// is given the slots. The caller repeats the call until it returns `None` whenever a request
    /// was pushed, a slot was freed or routing changed.
    pub fn pop(
        &mut self,
        now: Time,
        mut place: impl FnMut(&QueuedRequest, &Slots) -> Option<u8>,
    ) -> Option<StartedRequest> {
        if !self.slots.has_free_slot(now) {
            return None;
        }
        let start = self.pop_class(now, Class::Transaction, &mut place);
        if start.is_some() {
            return start;
        }
        // Writes usually precede reads, as reads can use the replicas too. Reads take precedence in
        // some turns, because there may be no usable replica.
        self.read_turn = (self.read_turn + 1) % READ_FIRST_INTERVAL;
        let order = if self.read_turn == 0 {
            [Class::Read, Class::Write]
        } else {
            [Class::Write, Class::Read]
        };
        order.into_iter().find_map(|class| self.pop_class(now, class, &mut place))
    }

    /// Frees the slot of a request that has ended.
    ///
    /// `service` is the time since its start. `connection` tells whether its connection is released
    /// too; it is kept for statements of a transaction and for a request that opened one.
    pub fn finish(&mut self, ticket: Ticket, service: Span, connection: Connection) {
        let Some(running) = self.running.remove(&ticket) else { return };
        self.estimates[running.class as usize].record(running.cost, service);
        self.slots.finish(running.ordinal);
        if connection == Connection::Free {
            self.slots.release_connection(running.ordinal);
        }
    }

    /// Removes a waiting request whose client has gone. Returns `true` if it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Removes and returns the requests that can no longer be answered by their deadline.
    ///
    /// The caller refuses each with the verdict "not run".
    pub fn expire(&mut self, now: Time) -> Vec<Ticket> {
        let mut expired = Vec::new();
        while let Some(Reverse((latest, ticket))) = self.deadlines.peek().copied() {
            if now <= latest {
                break;
            }
            self.deadlines.pop();
            if self.remove(ticket).is_some() {
                expired.push(ticket);
            }
        }
        expired
    }

    /// Returns the earliest time at which `expire` may remove a request, or `None` if none waits.
    pub fn next_expiry(&self) -> Option<Time> {
        self.deadlines.peek().map(|Reverse((latest, _))| *latest + Span(1))
    }

    /// Returns the estimated time a new request would wait before it starts.
    pub fn expected_wait(&self, request: &QueuedRequest) -> Span {
        let class = request.class as usize;
        let ahead = self.queues[class].cost_ahead(request.workspace, request.weight);
        let own = self.estimates[class].drain_time(ahead, self.slots_for(request.class));
        if self.slots.max_slots() < self.slots.total_slots() {
            // With several instances, the other classes may run on another one.
            return own;
        }
        let before = match request.class {
            Class::Transaction => &[][..],
            Class::Write => &[Class::Transaction],
            Class::Read => &[Class::Transaction, Class::Write],
        };
        let drain = |class: &Class| {
            let cost = self.queues[*class as usize].cost();
            self.estimates[*class as usize].drain_time(cost, self.slots_for(*class))
        };
        before.iter().map(drain).fold(own, |wait, drain| wait + drain)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn pop_class(
        &mut self,
        now: Time,
        class: Class,
        place: &mut impl FnMut(&QueuedRequest, &Slots) -> Option<u8>,
    ) -> Option<StartedRequest> {
        let slots = &mut self.slots;
        let waiting = &self.waiting;
        let (ticket, ordinal) = self.queues[class as usize].pop(|ticket| {
            let request = &waiting.get(&ticket)?.request;
            let ordinal = place(request, slots)?;
            take_slot(slots, now, class, ordinal).then_some(ordinal)
        })?;
        let entry = self.waiting.remove(&ticket)?;
        self.uncount(entry.request.workspace);
        let running = Running { class, cost: entry.request.cost, ordinal };
        self.running.insert(ticket, running);
        Some(StartedRequest { request: entry.request, ordinal, queued: now.since(entry.queued_at) })
    }

    /// Removes a waiting request. Returns `None` if it does not wait.
    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let QueueEntry { request, .. } = self.waiting.remove(&ticket)?;
        self.queues[request.class as usize].remove(request.workspace, ticket);
        self.uncount(request.workspace);
        Some(request)
    }

    fn uncount(&mut self, workspace: WorkspaceId) {
        let Some(count) = self.counts.get_mut(&workspace) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&workspace);
        }
    }

    fn check_capacity(&self, request: &QueuedRequest, wait: Span) -> Result<(), Refusal> {
        let own = self.counts.get(&request.workspace).copied().unwrap_or(0);
        if own < self.options.workspace && self.waiting.len() < self.options.total {
            return Ok(());
        }
        Err(Refusal::not_run(RefusalCode::QueueFull, "home: the queue is full")
            .with_retry_after(wait.max(MIN_RETRY)))
    }

    fn check_deadline(
        &self,
        now: Time,
        request: &QueuedRequest,
        wait: Span,
    ) -> Result<(), Refusal> {
        let latest = self.latest_start(request);
        if now < latest && wait.times(WAIT_MARGIN) <= latest.since(now) {
            return Ok(());
        }
        // Estimates are updated only by completed requests. With an empty queue one request is
        // tried, so that an estimate that is too long is corrected.
        if self.waiting.is_empty() && now < request.deadline {
            return Ok(());
        }
        let refusal = Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "home: the request cannot be answered by its deadline",
        );
        Err(refusal.with_retry_after(
            wait.times(WAIT_MARGIN).saturating_sub(latest.since(now)).max(MIN_RETRY),
        ))
    }

    /// Returns the time after which the request would probably miss its deadline even if started.
    fn latest_start(&self, request: &QueuedRequest) -> Time {
        let service = self.estimates[request.class as usize].service_time(u64::from(request.cost));
        Time(request.deadline.0.saturating_sub(service.0))
    }

    /// Returns the number of slots that serve a class. Only the primary serves writes and
    /// transactions.
    fn slots_for(&self, class: Class) -> u32 {
        match class {
            Class::Read => self.slots.total_slots(),
            Class::Write | Class::Transaction => self.slots.max_slots(),
        }
    }
}

/// `Connection` tells what happens to the connection of a completed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connection {
    /// The connection is released.
    Free,
    /// An open transaction keeps the connection until `Slots::release_connection`.
    Kept,
}

fn take_slot(slots: &mut Slots, now: Time, class: Class, ordinal: u8) -> bool {
    match class {
        Class::Transaction => slots.start_in_transaction(now, ordinal),
        Class::Read | Class::Write => slots.start(now, ordinal),
    }
}
