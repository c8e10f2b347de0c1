//! A simulation of one home with three instances, in virtual time.

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::timers::TimerQueue;
use oleander_limits::home::queue::Connection;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::queue::QueueOptions;
use oleander_limits::home::request::Class;
use oleander_limits::home::request::QueuedRequest;
use oleander_limits::home::request::Ticket;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::slots::Slots;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use strum::Display;

use crate::experiments::fairness::fifo::Fifo;

/// The number of instances; instance 0 is the primary.
const INSTANCES: u8 = 3;
/// The home's quota on each instance.
const QUOTA: Quota = Quota { slots: 2, connections: 8 };
/// The mean service time of one cost unit, in microseconds.
const SERVICE_MICROS: f64 = 4_000.0;
/// The mean cost of a request: `COSTLY_PERCENT` cost three units, the others one.
const MEAN_COST: f64 = 1.2;
/// The percentage of requests that write.
const WRITE_PERCENT: u32 = 20;
/// The percentage of requests that cost three units.
const COSTLY_PERCENT: u32 = 10;
/// The deadline of a request after its arrival; an answer within it is timely.
const DEADLINE: Span = Span::from_millis(250);
/// The simulated duration of a run.
const LENGTH: Span = Span::from_secs(120);
/// The interval at which requests past their deadline are dropped.
const EXPIRY_INTERVAL: Span = Span::from_millis(5);

/// The number of workspaces that share the home.
pub(super) const WORKSPACES: usize = 8;
/// The workspace that exceeds its rate in the runs with excess load.
pub(super) const NOISY: usize = 0;

/// `Policy` is the order in which requests start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The production home queue, which shares slots by weight.
    Fair,
    /// The order of arrival.
    Fifo,
}

/// `Load` is the load that the workspaces offer.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The load of all workspaces at their rates, as a proportion of the home's capacity.
    pub utilization: f64,
    /// The load of the noisy workspace, as a multiple of its rate.
    pub excess: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self { utilization: 0.5, excess: 1.0 }
    }
}

/// `Outcome` is the outcome of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The outcome of each workspace.
    pub workspaces: Vec<WorkspaceOutcome>,
    /// The highest number of slots in use at a time on one instance.
    pub peak_slots: u32,
    /// The home's quota of slots on each instance.
    pub slots: u32,
    /// The highest number of connections in use at a time on one instance.
    pub peak_connections: u32,
    /// The home's quota of connections on each instance.
    pub connections: u32,
}

/// `WorkspaceOutcome` counts the answers and refusals of one workspace's requests.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceOutcome {
    /// The latencies of the timely answers, in ascending order once the run has ended.
    pub latencies: Vec<Span>,
    /// The number of requests that were refused or expired without having run.
    pub refused: u64,
    /// The number of answers after the deadline.
    pub late: u64,
}

impl WorkspaceOutcome {
    /// Returns the number of timely answers per second.
    pub fn timely_rate(&self) -> f64 {
        self.latencies.len() as f64 / LENGTH.as_secs_f64()
    }

    /// Returns the 99th percentile of the latencies of timely answers; zero if there are none.
    pub fn p99(&self) -> Span {
        let at = self.latencies.len() * 99 / 100;
        self.latencies.get(at).copied().unwrap_or_default()
    }

    /// Returns the proportion of the requests that were refused.
    pub fn refused_share(&self) -> f64 {
        let all = self.latencies.len() as u64 + self.refused + self.late;
        self.refused as f64 / all.max(1) as f64
    }
}

#[derive(Clone, Copy)]
enum Event {
    Arrival(usize),
    End { request: QueuedRequest, ordinal: u8, service: Span },
    Expiry,
}

#[derive(Clone, Copy)]
struct ArrivedRequest {
    at: Time,
    workspace: usize,
    service: Span,
}

struct Home {
    policy: Policy,
    queue: HomeQueue,
    fifo: Fifo,
    slots: Slots,
    events: TimerQueue<Event>,
    /// One generator per workspace, so that the others send the same requests whatever the noisy
    /// workspace sends.
    rngs: Vec<ChaCha8Rng>,
    load: Load,
    arrived: Vec<ArrivedRequest>,
    outcome: Outcome,
}

/// Runs one load under one policy.
pub fn run(policy: Policy, seed: u64, load: &Load) -> Outcome {
    let mut slots = Slots::default();
    slots.set_quotas([QUOTA; INSTANCES as usize], Time(0));
    let outcome = Outcome {
        workspaces: vec![WorkspaceOutcome::default(); WORKSPACES],
        slots: QUOTA.slots,
        connections: QUOTA.connections,
        ..Outcome::default()
    };
    let mut home = Home {
        policy,
        queue: HomeQueue::new(QueueOptions::default(), slots.clone()),
        fifo: Fifo::default(),
        slots,
        events: TimerQueue::new(),
        rngs: (0..WORKSPACES as u64)
            .map(|workspace| ChaCha8Rng::seed_from_u64(seed * 1_000 + workspace))
            .collect(),
        load: *load,
        arrived: Vec::new(),
        outcome,
    };
    for workspace in 0..WORKSPACES {
        home.schedule_arrival(Time(0), workspace);
    }
    home.events.schedule(Time(0), Event::Expiry);
    while let Some(now) = home.events.next_due().filter(|due| due.0 < LENGTH.0) {
        if let Some(event) = home.events.pop_due(now) {
            home.handle(now, event);
        }
    }
    for outcome in &mut home.outcome.workspaces {
        outcome.latencies.sort_unstable();
    }
    home.outcome
}

impl Home {
    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrival(workspace) => {
                self.schedule_arrival(now, workspace);
                self.push(now, workspace);
            }
            Event::End { request, ordinal, service } => self.finish(now, request, ordinal, service),
            Event::Expiry => {
                self.expire(now);
                self.events.schedule(now + EXPIRY_INTERVAL, Event::Expiry);
            }
        }
        self.start_all(now);
    }

    /// Schedules the next arrival of a workspace. The first two workspaces send four times as much
    /// as the others.
    fn schedule_arrival(&mut self, now: Time, workspace: usize) {
        let size = |workspace: usize| if workspace < 2 { 4.0 } else { 1.0 };
        let all: f64 = (0..WORKSPACES).map(size).sum();
        let servers = f64::from(QUOTA.slots) * f64::from(INSTANCES);
        let total = servers / (SERVICE_MICROS * MEAN_COST) * self.load.utilization;
        let excess = if workspace == NOISY { self.load.excess } else { 1.0 };
        let rate = total * size(workspace) / all * excess;
        let gap = -(1.0 - self.rngs[workspace].random::<f64>()).ln() / rate;
        self.events.schedule(now + Span(gap as u64 + 1), Event::Arrival(workspace));
    }

    fn push(&mut self, now: Time, workspace: usize) {
        let rng = &mut self.rngs[workspace];
        let writes = rng.random_ratio(WRITE_PERCENT, 100);
        let cost = if rng.random_ratio(COSTLY_PERCENT, 100) { 3 } else { 1 };
        let mean = SERVICE_MICROS * f64::from(cost);
        let service = Span((mean * rng.random_range(0.5..1.5)) as u64);
        let request = QueuedRequest {
            ticket: Ticket(self.arrived.len() as u64),
            workspace: WorkspaceId(workspace as u64),
            weight: if workspace < 2 { 4 } else { 1 },
            cost,
            deadline: now + DEADLINE,
            class: if writes { Class::Write } else { Class::Read },
        };
        self.arrived.push(ArrivedRequest { at: now, workspace, service });
        let is_queued = match self.policy {
            Policy::Fair => self.queue.push(now, request).is_ok(),
            Policy::Fifo => self.fifo.push(request),
        };
        if !is_queued {
            self.outcome.workspaces[workspace].refused += 1;
        }
    }

    fn expire(&mut self, now: Time) {
        let expired: Vec<Ticket> = match self.policy {
            Policy::Fair => self.queue.expire(now),
            Policy::Fifo => self.fifo.expire(now),
        };
        for ticket in expired {
            let workspace = self.arrived[ticket.0 as usize].workspace;
            self.outcome.workspaces[workspace].refused += 1;
        }
    }

    fn start_all(&mut self, now: Time) {
        loop {
            let start = match self.policy {
                Policy::Fair => self
                    .queue
                    .pop(now, |request, slots| place(now, request, slots))
                    .map(|start| (start.request, start.ordinal)),
                Policy::Fifo => self.start_fifo(now),
            };
            let Some((request, ordinal)) = start else { return };
            let service = self.arrived[request.ticket.0 as usize].service;
            self.events.schedule(now + service, Event::End { request, ordinal, service });
            self.record_usage(ordinal);
        }
    }

    fn start_fifo(&mut self, now: Time) -> Option<(QueuedRequest, u8)> {
        let slots = &self.slots;
        let (request, ordinal) = self.fifo.pop(|request| place(now, request, slots))?;
        self.slots.start(now, ordinal).then_some((request, ordinal))
    }

    fn finish(&mut self, now: Time, request: QueuedRequest, ordinal: u8, service: Span) {
        match self.policy {
            Policy::Fair => self.queue.finish(request.ticket, service, Connection::Free),
            Policy::Fifo => {
                self.slots.finish(ordinal);
                self.slots.release_connection(ordinal);
            }
        }
        let outcome = &mut self.outcome.workspaces[request.workspace.0 as usize];
        if request.deadline < now {
            outcome.late += 1;
        } else {
            outcome.latencies.push(now.since(self.arrived[request.ticket.0 as usize].at));
        }
    }

    fn record_usage(&mut self, ordinal: u8) {
        let slots = match self.policy {
            Policy::Fair => self.queue.slots(),
            Policy::Fifo => &self.slots,
        };
        self.outcome.peak_slots = self.outcome.peak_slots.max(slots.running(ordinal));
        self.outcome.peak_connections =
            self.outcome.peak_connections.max(slots.connections(ordinal));
    }
}

/// Chooses the primary for a write, and for a read the free instance with the fewest running
/// requests, replicas first. Returns `None` if no such instance is free.
fn place(now: Time, request: &QueuedRequest, slots: &Slots) -> Option<u8> {
    if request.class != Class::Read {
        return slots.is_free(now, 0).then_some(0);
    }
    let free = (0..INSTANCES).rev().filter(|ordinal| slots.is_free(now, *ordinal));
    free.min_by_key(|ordinal| (*ordinal == 0, slots.running(*ordinal)))
}
