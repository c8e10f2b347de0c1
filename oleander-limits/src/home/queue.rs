//! The request queue of one database at one of its homes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

use crate::home::drops::DropKey;
use crate::home::drops::DropOrder;
use crate::home::fair::Item;
use crate::home::levels::LevelQueue;
use crate::home::request::Class;
use crate::home::request::QueuedRequest;
use crate::home::request::StartedRequest;
use crate::home::request::Ticket;
use crate::home::slots::Slots;
use crate::home::urgency::Rank;
use crate::home::urgency::Standing;
use crate::home::urgency::Urgency;

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
    levels: [LevelQueue; Level::COUNT],
    waiting: HashMap<Ticket, QueueEntry>,
    running: HashMap<Ticket, Running>,
    counts: HashMap<WorkspaceId, usize>,
    /// The requests that may be dropped; statements of open transactions are not.
    drop_order: DropOrder,
    /// The number of the last request, in the order of arrival.
    serial: u64,
    /// The latest start of each request; also holds requests that no longer wait.
    deadlines: BinaryHeap<Reverse<(Time, Ticket)>>,
    /// The time after which each request with a target becomes late; also holds requests that no
    /// longer wait.
    targets: BinaryHeap<Reverse<(Time, Ticket)>>,
}

/// `Queued` is the result of adding a request to a queue.
#[derive(Clone, Debug)]
pub struct Queued {
    /// The latest time at which the request may start; `HomeQueue::expire` removes it after that.
    pub latest_start: Time,
    /// The waiting request that had to leave the queue for this one.
    pub dropped: Option<Dropped>,
}

/// `Dropped` is a request that left a full queue in favor of one that is served before it.
#[derive(Clone, Debug)]
pub struct Dropped {
    /// The request as it was queued.
    pub request: QueuedRequest,
    /// The urgency it was queued with.
    pub urgency: Urgency,
    /// The refusal for its caller, with the verdict "not run" and a retry-after time.
    pub refusal: Refusal,
}

#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    request: QueuedRequest,
    urgency: Urgency,
    rank: Rank,
    serial: u64,
    queued_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    level: Level,
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
            levels: Default::default(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            counts: HashMap::new(),
            drop_order: DropOrder::default(),
            serial: 0,
            deadlines: BinaryHeap::new(),
            targets: BinaryHeap::new(),
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

    /// Adds a request of the highest level without a target time to the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run" if the queue is full or the request cannot be
    /// answered by its deadline.
    pub fn push(&mut self, now: Time, request: QueuedRequest) -> Result<Queued, Refusal> {
        self.push_urgent(now, request, Urgency::default())
    }

    /// Adds a request to the queue. If the queue is full, the latest request of the last rank is
    /// dropped, provided that this one ranks before it.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run" if the queue is full or the request cannot be
    /// answered by its deadline.
    pub fn push_urgent(
        &mut self,
        now: Time,
        request: QueuedRequest,
        urgency: Urgency,
    ) -> Result<Queued, Refusal> {
        let request =
            QueuedRequest { weight: request.weight.max(1), cost: request.cost.max(1), ..request };
        let urgency = Urgency { level: urgency.level.min(Level::LAST), ..urgency };
        self.prune();
        self.demote(now);
        let rank = self.rank(now, &request, urgency);
        let wait = self.expected_wait(&request, rank);
        let dropped = self.check_capacity(&request, rank, wait)?;
        self.check_deadline(now, &request, rank, wait)?;
        let dropped = dropped.and_then(|ticket| self.drop_waiting(ticket));
        self.serial += 1;
        *self.counts.entry(request.workspace).or_default() += 1;
        let latest = self.latest_start(&request, rank.level, request.deadline).max(now);
        self.deadlines.push(Reverse((latest, request.ticket)));
        if let (Some(target), Standing::InTime) = (urgency.target, rank.standing)
            && target < request.deadline
        {
            let latest = self.latest_start(&request, rank.level, target);
            self.targets.push(Reverse((latest, request.ticket)));
        }
        self.enqueue(QueueEntry { request, urgency, rank, serial: self.serial, queued_at: now });
        Ok(Queued { latest_start: latest, dropped })
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
        self.demote(now);
        let transaction =
            Rank::all().find_map(|rank| self.pop_class(now, rank, Class::Transaction, &mut place));
        if transaction.is_some() {
            return transaction;
        }
        (0..=Level::LAST.0).map(Level).find_map(|level| {
            let order = self.levels[level.index()].next_turn();
            [Standing::InTime, Standing::Late].into_iter().find_map(|standing| {
                let rank = Rank { level, standing };
                order.into_iter().find_map(|class| self.pop_class(now, rank, class, &mut place))
            })
        })
    }

    /// Frees the slot of a request that has ended.
    ///
    /// `service` is the time since its start. `connection` tells whether its connection is released
    /// too; it is kept for statements of a transaction and for a request that opened one.
    pub fn finish(&mut self, ticket: Ticket, service: Span, connection: Connection) {
        let Some(running) = self.running.remove(&ticket) else { return };
        self.levels[running.level.index()].record(running.class, running.cost, service);
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

    /// Returns the estimated time a new request of the rank would wait before it starts.
    ///
    /// Only requests that are served before it count.
    pub fn expected_wait(&self, request: &QueuedRequest, rank: Rank) -> Span {
        let class = request.class;
        let level = &self.levels[rank.level.index()];
        let flows = level.flows(rank.standing, class);
        let ahead = flows.cost_ahead(request.workspace, request.weight);
        let own = level.estimate(class).drain_time(ahead, self.slots_for(class));
        // With several instances, the other classes may run on another one.
        let shares_slots = self.slots.total_slots() <= self.slots.max_slots();
        let is_ahead = |other_rank: Rank, other: Class| {
            if other == class {
                return other_rank < rank;
            }
            shares_slots
                && match (other, class) {
                    (_, Class::Transaction) => false,
                    (Class::Transaction, _) => true,
                    (Class::Write, Class::Read) => other_rank <= rank,
                    _ => other_rank < rank,
                }
        };
        let mut wait = own;
        for other_rank in Rank::all() {
            let level = &self.levels[other_rank.level.index()];
            if level.waiting == 0 {
                continue;
            }
            for other in [Class::Transaction, Class::Write, Class::Read] {
                let cost = level.flows(other_rank.standing, other).cost();
                if 0 < cost && is_ahead(other_rank, other) {
                    wait = wait + level.estimate(other).drain_time(cost, self.slots_for(other));
                }
            }
        }
        wait
    }

    /// Returns the time after which a request of the rank that was refused may be tried again.
    pub fn retry_after(&self, request: &QueuedRequest, rank: Rank) -> Span {
        self.expected_wait(request, rank).max(MIN_RETRY)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of waiting requests of a level.
    pub fn waiting_at(&self, level: Level) -> usize {
        self.levels[level.index()].waiting
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn pop_class(
        &mut self,
        now: Time,
        rank: Rank,
        class: Class,
        place: &mut impl FnMut(&QueuedRequest, &Slots) -> Option<u8>,
    ) -> Option<StartedRequest> {
        let level = &mut self.levels[rank.level.index()];
        if level.waiting == 0 {
            return None;
        }
        let slots = &mut self.slots;
        let waiting = &self.waiting;
        let (ticket, ordinal) = level.flows_mut(rank.standing, class).pop(|ticket| {
            let request = &waiting.get(&ticket)?.request;
            let ordinal = place(request, slots)?;
            take_slot(slots, now, class, ordinal).then_some(ordinal)
        })?;
        let entry = self.waiting.remove(&ticket)?;
        self.uncount(&entry);
        let QueueEntry { request, urgency, queued_at, .. } = entry;
        let running = Running { level: rank.level, class, cost: request.cost, ordinal };
        self.running.insert(ticket, running);
        Some(StartedRequest { request, urgency, ordinal, queued: now.since(queued_at) })
    }

    fn enqueue(&mut self, entry: QueueEntry) {
        let QueueEntry { request, rank, .. } = entry;
        let level = &mut self.levels[rank.level.index()];
        level.waiting += 1;
        let item = Item { ticket: request.ticket, cost: request.cost };
        level.flows_mut(rank.standing, request.class).push(request.workspace, request.weight, item);
        if request.class != Class::Transaction {
            self.drop_order.insert(request.workspace, entry.drop_key());
        }
        self.waiting.insert(request.ticket, entry);
    }

    /// Removes a waiting request. Returns `None` if it does not wait.
    fn remove(&mut self, ticket: Ticket) -> Option<QueueEntry> {
        let entry = self.waiting.remove(&ticket)?;
        let QueueEntry { request, rank, .. } = entry;
        let level = &mut self.levels[rank.level.index()];
        level.flows_mut(rank.standing, request.class).remove(request.workspace, ticket);
        self.uncount(&entry);
        Some(entry)
    }

    /// Removes a request in favor of another one and returns it with its refusal.
    fn drop_waiting(&mut self, ticket: Ticket) -> Option<Dropped> {
        let QueueEntry { request, urgency, rank, .. } = self.remove(ticket)?;
        let retry_after = self.retry_after(&request, rank);
        let detail = "home: the queue is full and serves a more urgent request first";
        let refusal =
            Refusal::not_run(RefusalCode::QueueFull, detail).with_retry_after(retry_after);
        Some(Dropped { request, urgency, refusal })
    }

    /// Moves the requests whose target time can no longer be met behind the others of their level.
    fn demote(&mut self, now: Time) {
        while let Some(Reverse((latest, ticket))) = self.targets.peek().copied() {
            if now <= latest {
                break;
            }
            self.targets.pop();
            let Some(entry) = self.remove(ticket) else { continue };
            *self.counts.entry(entry.request.workspace).or_default() += 1;
            let rank = Rank { standing: Standing::Late, ..entry.rank };
            self.enqueue(QueueEntry { rank, ..entry });
        }
    }

    /// Drops the times of requests that no longer wait, as far as they come first. Otherwise they
    /// would remain until their time has passed, or forever if the caller never calls `expire`.
    fn prune(&mut self) {
        for times in [&mut self.deadlines, &mut self.targets] {
            while let Some(Reverse((_, ticket))) = times.peek() {
                if self.waiting.contains_key(ticket) {
                    break;
                }
                times.pop();
            }
        }
    }

    /// Removes a request that no longer waits from the counts.
    fn uncount(&mut self, entry: &QueueEntry) {
        let workspace = entry.request.workspace;
        self.levels[entry.rank.level.index()].waiting -= 1;
        if entry.request.class != Class::Transaction {
            self.drop_order.remove(workspace, entry.drop_key());
        }
        let Some(count) = self.counts.get_mut(&workspace) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&workspace);
        }
    }

    /// Returns the rank at which a new request waits: behind the others of its level if it would
    /// miss its target time.
    fn rank(&self, now: Time, request: &QueuedRequest, urgency: Urgency) -> Rank {
        let rank = Rank { level: urgency.level, standing: Standing::InTime };
        let Some(target) = urgency.target.filter(|target| *target < request.deadline) else {
            return rank;
        };
        let latest = self.latest_start(request, rank.level, target);
        let wait = self.expected_wait(request, rank);
        if now < latest && wait.times(WAIT_MARGIN) <= latest.since(now) {
            return rank;
        }
        Rank { standing: Standing::Late, ..rank }
    }

    /// Returns the waiting request to drop so that the queue has room, or `None` if it has.
    fn check_capacity(
        &self,
        request: &QueuedRequest,
        rank: Rank,
        wait: Span,
    ) -> Result<Option<Ticket>, Refusal> {
        let own = self.counts.get(&request.workspace).copied().unwrap_or(0);
        let last = if self.options.workspace <= own {
            self.drop_order.last_of(request.workspace)
        } else if self.options.total <= self.waiting.len() {
            self.drop_order.last()
        } else {
            return Ok(None);
        };
        if let Some(last) = last.filter(|last| rank < last.rank) {
            return Ok(Some(last.ticket));
        }
        Err(Refusal::not_run(RefusalCode::QueueFull, "home: the queue is full")
            .with_retry_after(wait.max(MIN_RETRY)))
    }

    fn check_deadline(
        &self,
        now: Time,
        request: &QueuedRequest,
        rank: Rank,
        wait: Span,
    ) -> Result<(), Refusal> {
        let latest = self.latest_start(request, rank.level, request.deadline);
        if now < latest && wait.times(WAIT_MARGIN) <= latest.since(now) {
            return Ok(());
        }
        // Estimates are updated only by completed requests. If nothing of its level or a higher one
        // waits, one request is tried, so that an estimate that is too long is corrected.
        let is_first = self.levels[..=rank.level.index()].iter().all(|level| level.waiting == 0);
        if is_first && now < request.deadline {
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

    /// Returns the time after which the answer would probably come later than `until` even if the
    /// request started.
    fn latest_start(&self, request: &QueuedRequest, level: Level, until: Time) -> Time {
        let estimate = self.levels[level.index()].estimate(request.class);
        let service = estimate.service_time(u64::from(request.cost));
        Time(until.0.saturating_sub(service.0))
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

impl QueueEntry {
    fn drop_key(&self) -> DropKey {
        DropKey { rank: self.rank, serial: self.serial, ticket: self.request.ticket }
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
