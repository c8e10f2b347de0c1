//! The queue of one database at one home.

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
use crate::home::request::Start;
use crate::home::request::Ticket;
use crate::home::slots::Slots;

/// The turns of which one prefers reads to writes.
const READ_TURN: usize = 8;
/// The least time after which a refused caller is asked to come back.
const MIN_RETRY: Span = Span::from_millis(1);

/// How many times the expected wait must fit into the time that a request has: estimates err, and
/// a queue that is as long as its requests can wait serves most of them too late.
const WAIT_MARGIN: u64 = 2;

/// `QueueOptions` are the bounds of a home queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueOptions {
    /// The requests of all workspaces that may wait.
    pub total: usize,
    /// The requests of one workspace that may wait.
    pub workspace: usize,
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self { total: 1024, workspace: 256 }
    }
}

/// `HomeQueue` decides for one database at one home what waits, what starts and what is refused.
#[derive(Debug)]
pub struct HomeQueue {
    options: QueueOptions,
    slots: Slots,
    queues: [FairQueue; Class::COUNT],
    estimates: [ServiceEstimate; Class::COUNT],
    waiting: HashMap<Ticket, Queued>,
    running: HashMap<Ticket, Running>,
    counts: HashMap<WorkspaceId, usize>,
    deadlines: BinaryHeap<Reverse<(Time, Ticket)>>,
    turn: usize,
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    request: QueuedRequest,
    since: Time,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    cost: u32,
    ordinal: u8,
}

impl HomeQueue {
    /// Makes an empty queue over the home's slots.
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
            turn: 0,
        }
    }

    /// Gets the slots and connections in use.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Gets the slots to set the home's parts, or to give a connection back.
    pub fn slots_mut(&mut self) -> &mut Slots {
        &mut self.slots
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal "not run" if the queue is full or the request cannot
    /// be answered by its deadline.
    pub fn push(&mut self, now: Time, request: QueuedRequest) -> Result<(), Refusal> {
        let request =
            QueuedRequest { weight: request.weight.max(1), cost: request.cost.max(1), ..request };
        let wait = self.expected_wait(&request);
        self.check_room(&request, wait)?;
        self.check_deadline(now, &request, wait)?;
        *self.counts.entry(request.workspace).or_default() += 1;
        let latest = self.latest_start(&request).max(now);
        self.deadlines.push(Reverse((latest, request.ticket)));
        let item = Item { ticket: request.ticket, cost: request.cost };
        self.queues[request.class as usize].push(request.workspace, request.weight, item);
        self.waiting.insert(request.ticket, Queued { request, since: now });
        Ok(())
    }

    /// Takes the next request that can start now, with its slot.
    ///
    /// `place` chooses the instance for a request, or `None` if it has to wait;
    /// it may consult the given slots. The caller calls `pop` until it gets
    /// `None`, whenever a request was pushed, a slot came free or routing changed.
    pub fn pop(
        &mut self,
        now: Time,
        mut place: impl FnMut(&QueuedRequest, &Slots) -> Option<u8>,
    ) -> Option<Start> {
        if !self.slots.any_slot(now) {
            return None;
        }
        let start = self.pop_class(now, Class::Transaction, &mut place);
        if start.is_some() {
            return start;
        }
        // Writes come first, since reads have the replicas too, but not always, since they may not.
        self.turn = (self.turn + 1) % READ_TURN;
        let order =
            if self.turn == 0 { [Class::Read, Class::Write] } else { [Class::Write, Class::Read] };
        order.into_iter().find_map(|class| self.pop_class(now, class, &mut place))
    }

    /// Takes in that a request that was started has ended, and frees its slot.
    ///
    /// `service` is the time from its start. The connection is freed too, but
    /// for statements of a transaction and a request that opened one: `finish`
    /// leaves a connection in place if `keep` says so.
    pub fn finish(&mut self, ticket: Ticket, service: Span, connection: Connection) {
        let Some(running) = self.running.remove(&ticket) else { return };
        self.estimates[running.class as usize].record(running.cost, service);
        self.slots.finish(running.ordinal);
        if connection == Connection::Free {
            self.slots.release_connection(running.ordinal);
        }
    }

    /// Removes a waiting request whose caller has gone. Returns `true` if it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Removes the requests that can no longer be answered by their deadline.
    ///
    /// The caller answers each with a refusal "not run".
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

    /// Gets the earliest time at which `expire` may have something to do.
    pub fn next_expiry(&self) -> Option<Time> {
        self.deadlines.peek().map(|Reverse((latest, _))| *latest + Span(1))
    }

    /// Gets the time that a new request would probably wait before it starts.
    pub fn expected_wait(&self, request: &QueuedRequest) -> Span {
        let class = request.class as usize;
        let ahead = self.queues[class].cost_ahead(request.workspace, request.weight);
        let own = self.estimates[class].drain(ahead, self.servers(request.class));
        if self.slots.largest() < self.slots.total() {
            // Other instances may serve the other classes.
            return own;
        }
        let before = match request.class {
            Class::Transaction => &[][..],
            Class::Write => &[Class::Transaction],
            Class::Read => &[Class::Transaction, Class::Write],
        };
        let drain = |class: &Class| {
            let cost = self.queues[*class as usize].cost();
            self.estimates[*class as usize].drain(cost, self.servers(*class))
        };
        before.iter().map(drain).fold(own, |wait, drain| wait + drain)
    }

    /// Gets the number of waiting requests.
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
    ) -> Option<Start> {
        let slots = &mut self.slots;
        let waiting = &self.waiting;
        let (ticket, ordinal) = self.queues[class as usize].pop(|ticket| {
            let request = &waiting.get(&ticket)?.request;
            let ordinal = place(request, slots)?;
            take_slot(slots, now, class, ordinal).then_some(ordinal)
        })?;
        let queued = self.waiting.remove(&ticket)?;
        self.uncount(queued.request.workspace);
        let running = Running { class, cost: queued.request.cost, ordinal };
        self.running.insert(ticket, running);
        Some(Start { request: queued.request, ordinal, queued: now.since(queued.since) })
    }

    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let Queued { request, .. } = self.waiting.remove(&ticket)?;
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

    fn check_room(&self, request: &QueuedRequest, wait: Span) -> Result<(), Refusal> {
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
        // Estimates are learnt from what runs: with nothing ahead, one request has to be tried.
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

    /// Gets the time after which the request, once started, would probably miss its deadline.
    fn latest_start(&self, request: &QueuedRequest) -> Time {
        let service = self.estimates[request.class as usize].service(u64::from(request.cost));
        Time(request.deadline.0.saturating_sub(service.0))
    }

    /// Gets the slots that serve a class: only the primary takes writes.
    fn servers(&self, class: Class) -> u32 {
        match class {
            Class::Read => self.slots.total(),
            Class::Write | Class::Transaction => self.slots.largest(),
        }
    }
}

/// `Connection` says what becomes of the connection on which a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connection {
    /// Nothing uses the connection any more.
    Free,
    /// An open transaction keeps the connection; `Slots::release_connection` gives it back.
    Kept,
}

fn take_slot(slots: &mut Slots, now: Time, class: Class, ordinal: u8) -> bool {
    match class {
        Class::Transaction => slots.start_in_transaction(now, ordinal),
        Class::Read | Class::Write => slots.start(now, ordinal),
    }
}
