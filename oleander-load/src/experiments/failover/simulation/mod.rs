//! An event-driven simulation of two homes with their supervisors, a group of instances and a load
//! of writes.

pub mod setup;
mod writes;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Instant;

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::timers::TimerQueue;
use oleander_failover::acks::AckTracker;
use oleander_failover::acks::WriteId;
use oleander_failover::messages::Action;
use oleander_failover::messages::FailoverReply;
use oleander_failover::messages::Input;
use oleander_failover::messages::Rank;
use oleander_failover::messages::Step;
use oleander_failover::messages::StepResult;
use oleander_failover::supervisor::Supervisor;
use oleander_standin::group::instance::LinkState;
use oleander_standin::group::replication::GroupState;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::experiments::failover::network::INSTANCES;
use crate::experiments::failover::network::Link;
use crate::experiments::failover::network::Network;
use crate::experiments::failover::network::VMS;
use crate::experiments::failover::simulation::setup::Fault;
use crate::experiments::failover::simulation::setup::LoggedRecord;
use crate::experiments::failover::simulation::setup::SimulationOptions;
use crate::experiments::failover::simulation::setup::Write;

/// The time after which a step without an answer counts as failed.
const STEP_TIMEOUT: Span = Span::from_millis(300);

#[derive(Clone, Copy, Debug)]
enum Event {
    Tick(usize),
    Deliver(usize, Input),
    PingArrives { vm: usize, ordinal: usize, sent: Time },
    OpinionArrives { vm: usize, witness: usize, ordinal: usize },
    StepArrives { vm: usize, ordinal: usize, step: Step, term: Term },
    NextWrite,
    Attempt(WriteId),
    WriteArrives { vm: usize, ordinal: usize, id: WriteId },
    WriteAnswered { vm: usize, ordinal: usize, id: WriteId, point: LogPoint },
    WriteRefused(WriteId),
    Poll(usize),
    PollArrives { vm: usize, ordinal: usize },
    Polled { vm: usize, ordinal: usize, status: InstanceStatus },
    Fault(Fault),
}

/// `Simulation` is the state of one run.
pub struct Simulation {
    /// The records of all supervisors, in the order of time.
    pub log: Vec<LoggedRecord>,
    /// The writes by `WriteId`.
    pub writes: Vec<Write>,
    setup: SimulationOptions,
    now: Time,
    /// The instant that corresponds to `Time(0)`.
    start: Instant,
    queue: TimerQueue<Event>,
    random: ChaCha8Rng,
    group: GroupState,
    network: Network,
    supervisors: Vec<Supervisor>,
    trackers: Vec<AckTracker>,
    /// The home that tracks each write that waits for its acknowledgement.
    pending: HashMap<WriteId, usize>,
    acknowledged: HashSet<WriteId>,
}

impl Simulation {
    /// Creates a fleet at time zero. Writes begin at once.
    pub fn new(setup: SimulationOptions, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let lag = setup.lag.duration();
        let group = GroupState::new(INSTANCES as u8, lag, std::time::Duration::ZERO, start);
        let rank = |vm| if vm == 0 { Rank::First } else { Rank::Second };
        let make = |vm| {
            let phase = random.random_range(0..1_000_000);
            Supervisor::new(INSTANCES as u8, rank(vm), setup.options, Time::default(), phase)
        };
        let supervisors = (0..2).map(make).collect();
        let trackers = (0..2).map(|_| AckTracker::new(INSTANCES as u8)).collect();
        let mut simulation = Self {
            log: Vec::new(),
            writes: Vec::new(),
            setup,
            now: Time::default(),
            start,
            queue: TimerQueue::new(),
            random,
            group,
            network: Network::new(setup.loss),
            supervisors,
            trackers,
            pending: HashMap::new(),
            acknowledged: HashSet::new(),
        };
        simulation.queue.schedule(Time::default(), Event::Tick(0));
        simulation.queue.schedule(Time::default(), Event::Tick(1));
        simulation.queue.schedule(Time::default(), Event::NextWrite);
        simulation
    }

    /// Schedules a fault.
    pub fn schedule_fault(&mut self, at: Time, fault: Fault) {
        self.queue.schedule(at, Event::Fault(fault));
    }

    /// Returns the ordinal of the primary with the highest term; `None` if there is no primary.
    pub fn primary(&self) -> Option<usize> {
        let primaries = self.group.instances.iter().enumerate();
        let primaries = primaries.filter(|(_, instance)| instance.role == Role::Primary);
        primaries.max_by_key(|(_, instance)| instance.term).map(|(ordinal, _)| ordinal)
    }

    /// Handles the events up to and including `end`.
    pub fn run_until(&mut self, end: Time) {
        while let Some(due) = self.queue.next_due().filter(|due| *due <= end) {
            self.now = due;
            while let Some(event) = self.queue.pop_due(due) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Returns how often each write is in the history of the primary. Empty if there is no primary.
    pub fn history(&mut self) -> HashMap<u64, u32> {
        let mut counts = HashMap::new();
        let Some(primary) = self.primary() else { return counts };
        let entries = self.group.instances[primary].log.entries();
        for change in entries.iter().filter_map(|entry| entry.change.as_ref()) {
            *counts.entry(change.transaction).or_default() += 1;
        }
        counts
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(vm) => self.tick(vm),
            Event::Deliver(vm, input) => self.deliver(vm, input),
            Event::PingArrives { vm, ordinal, sent } => self.ping_arrives(vm, ordinal, sent),
            Event::OpinionArrives { vm, witness, ordinal } => {
                self.opinion_arrives(vm, witness, ordinal);
            }
            Event::StepArrives { vm, ordinal, step, term } => {
                self.step_arrives(vm, ordinal, step, term);
            }
            Event::NextWrite => self.next_write(),
            Event::Attempt(id) => self.attempt(id),
            Event::WriteArrives { vm, ordinal, id } => self.write_arrives(vm, ordinal, id),
            Event::WriteAnswered { vm, ordinal, id, point } => {
                self.write_answered(vm, ordinal, id, point);
            }
            Event::WriteRefused(id) => self.write_refused(id),
            Event::Poll(vm) => self.poll(vm),
            Event::PollArrives { vm, ordinal } => self.poll_arrives(vm, ordinal),
            Event::Polled { vm, ordinal, status } => {
                let settled = self.trackers[vm].observe(self.now, ordinal as u8, status);
                self.settle(&settled);
            }
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn tick(&mut self, vm: usize) {
        self.deliver(vm, Input::Tick);
        let due = self.supervisors[vm].next_due().max(self.now + Span::from_millis(1));
        // `next_due` covers pings and the steps of a promotion, but not the waits before a
        // promotion starts.
        let due = due.min(self.now + Span::from_millis(50));
        self.queue.schedule(due, Event::Tick(vm));
    }

    fn deliver(&mut self, vm: usize, input: Input) {
        if !self.network.is_running(vm) {
            return;
        }
        if let Input::Answered(ordinal, status) = input {
            let settled = self.trackers[vm].observe(self.now, ordinal, status);
            self.settle(&settled);
        }
        for action in self.supervisors[vm].handle(self.now, input) {
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, vm: usize, action: Action) {
        match action {
            Action::Ping(ordinal) => {
                let limit = self.setup.options.ping_limit;
                let sent = self.now;
                let ordinal = usize::from(ordinal);
                match self.network.instance_delay(vm, ordinal, &mut self.random) {
                    Some(delay) => self.defer(delay, Event::PingArrives { vm, ordinal, sent }),
                    None => self.defer(limit, Event::Deliver(vm, Input::Missed(ordinal as u8))),
                }
            }
            Action::AskOpinion(ordinal) => {
                for witness in (0..VMS).filter(|witness| *witness != vm) {
                    let ordinal = usize::from(ordinal);
                    let delay = self.network.vm_delay(vm, witness, &mut self.random);
                    if let Some(delay) = delay {
                        self.defer(delay, Event::OpinionArrives { vm, witness, ordinal });
                    }
                }
            }
            Action::Run { ordinal, step, term } => {
                let ordinal = usize::from(ordinal);
                match self.network.instance_delay(vm, ordinal, &mut self.random) {
                    Some(delay) => {
                        self.defer(delay, Event::StepArrives { vm, ordinal, step, term });
                    }
                    None => self.finish_step(vm, ordinal, (step, term), STEP_TIMEOUT, None),
                }
            }
            Action::Record(record) => self.log.push(LoggedRecord { at: self.now, vm, record }),
        }
    }

    fn ping_arrives(&mut self, vm: usize, ordinal: usize, sent: Time) {
        let status = self.group.status(ordinal, self.instant());
        match self.network.instance_delay(vm, ordinal, &mut self.random) {
            Some(delay) => {
                self.defer(delay, Event::Deliver(vm, Input::Answered(ordinal as u8, status)));
            }
            None => {
                let rest = self.setup.options.ping_limit.saturating_sub(self.now.since(sent));
                self.defer(rest, Event::Deliver(vm, Input::Missed(ordinal as u8)));
            }
        }
    }

    fn opinion_arrives(&mut self, vm: usize, witness: usize, ordinal: usize) {
        let there = self.network.instance_delay(witness, ordinal, &mut self.random);
        let back = self.network.vm_delay(witness, vm, &mut self.random);
        let Some(back) = back else { return };
        let (delay, reply) = match there {
            Some(delay) => {
                let status = self.group.status(ordinal, self.instant());
                (delay + delay, FailoverReply::Reachable(status))
            }
            None => (self.setup.options.ping_limit, FailoverReply::Unreachable),
        };
        self.defer(delay + back, Event::Deliver(vm, Input::Opinion(ordinal as u8, reply)));
    }

    fn step_arrives(&mut self, vm: usize, ordinal: usize, step: Step, term: Term) {
        let now = self.instant();
        let done = match step {
            Step::Fence => self.group.fence(ordinal, term, now),
            Step::Promote => self.group.promote(ordinal, term, now),
            Step::Follow => self.group.follow(ordinal, term, now).map(|_| ()),
        };
        let result = match done {
            Ok(()) => StepResult::Done(self.group.status(ordinal, now)),
            Err(_) => StepResult::Refused,
        };
        match self.network.instance_delay(vm, ordinal, &mut self.random) {
            Some(delay) => self.finish_step(vm, ordinal, (step, term), delay, Some(result)),
            None => self.finish_step(vm, ordinal, (step, term), STEP_TIMEOUT, None),
        }
    }

    fn finish_step(
        &mut self,
        vm: usize,
        ordinal: usize,
        (step, term): (Step, Term),
        delay: Span,
        result: Option<StepResult>,
    ) {
        let result = result.unwrap_or(StepResult::Failed);
        let input = Input::StepFinished { ordinal: ordinal as u8, step, term, result };
        self.defer(delay, Event::Deliver(vm, input));
    }

    fn apply_fault(&mut self, fault: Fault) {
        let now = self.instant();
        match fault {
            Fault::FailPrimary => {
                if let Some(primary) = self.primary() {
                    self.apply_fault(Fault::FailInstance(primary));
                }
            }
            Fault::FailInstance(ordinal) => {
                self.network.set_instance(ordinal, Link::Down);
                self.group.set_link(ordinal, LinkState::Down, now);
            }
            Fault::RestoreInstance(ordinal) => {
                self.network.set_instance(ordinal, Link::Up);
                self.group.set_link(ordinal, LinkState::Up, now);
            }
            Fault::FailVm(vm) => self.network.set_vm(vm, Link::Down),
            Fault::RestoreVm(vm) => self.network.set_vm(vm, Link::Up),
            Fault::FailLink(vm, ordinal) => self.network.set_link(vm, ordinal, Link::Down),
            Fault::RestoreLink(vm, ordinal) => self.network.set_link(vm, ordinal, Link::Up),
            Fault::Lag(ordinal, lag) => self.group.set_lag(ordinal, lag.duration(), now),
            Fault::RestoreAll => self.restore_all(),
        }
    }

    fn restore_all(&mut self) {
        for ordinal in 0..INSTANCES {
            self.apply_fault(Fault::RestoreInstance(ordinal));
            self.apply_fault(Fault::Lag(ordinal, self.setup.lag));
            for vm in 0..VMS {
                self.network.set_link(vm, ordinal, Link::Up);
                self.network.set_vm(vm, Link::Up);
            }
        }
    }

    fn defer(&mut self, delay: Span, event: Event) {
        self.queue.schedule(self.now + delay, event);
    }

    fn instant(&self) -> Instant {
        self.start + Span(self.now.0).duration()
    }
}
