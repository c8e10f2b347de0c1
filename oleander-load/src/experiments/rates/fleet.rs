//! The production rate limiters of a small fleet, over a simulated network with a fixed delay.

use oleander_core::hash;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::timers::TimerQueue;
use oleander_limits::messages::LimitReply;
use oleander_limits::messages::LimitRequest;
use oleander_limits::rates::actions::Action;
use oleander_limits::rates::actions::CallId;
use oleander_limits::rates::actions::Decision;
use oleander_limits::rates::actions::Ticket;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_limits::rates::tokens::FRACTIONS;

use crate::experiments::rates::scenarios::Arrival;
use crate::experiments::rates::scenarios::Scenario;
use crate::experiments::rates::scenarios::WARM_UP;
use crate::experiments::rates::setup::LATENCY;
use crate::experiments::rates::setup::Outcome;
use crate::experiments::rates::setup::VMS;

/// The number of shares of the fleet; share `i` belongs to VM `i % VMS`.
const SHARES: usize = 64;
/// The time from its arrival within which a request must be answered.
const DEADLINE: Span = Span::from_secs(2);
/// The time after the last arrival in which waiting requests are still decided.
const DRAIN_TIME: Span = Span::from_secs(1);

struct Fleet<'a> {
    scenario: &'a Scenario,
    limiters: Vec<RateLimiter>,
    events: TimerQueue<Event>,
    arrivals: &'a [Arrival],
    outcome: Outcome,
    now: Time,
}

enum Event {
    Request { from: usize, to: usize, call: CallId, request: LimitRequest },
    Reply { to: usize, call: CallId, reply: LimitReply },
}

/// Runs the arrivals of a scenario through the fleet.
pub fn run(scenario: &Scenario, workspace: u64, arrivals: &[Arrival]) -> Outcome {
    let owners: Vec<Option<VmId>> = (0..SHARES).map(|share| Some(vm_id(share % VMS))).collect();
    let workspace = workspace_id(workspace);
    let limiters = (0..VMS).map(|vm| {
        let mut limiter = RateLimiter::new(vm_id(vm), vm as u64);
        limiter.set_limits(Time(0), [(workspace, scenario.limit)], &mut Vec::new());
        limiter.set_shares(Time(0), &owners, Time(u64::MAX));
        limiter
    });
    let outcome = Outcome {
        admitted: vec![false; arrivals.len()],
        waits: vec![Span::ZERO; arrivals.len()],
        ..Outcome::default()
    };
    let mut fleet = Fleet {
        scenario,
        limiters: limiters.collect(),
        events: TimerQueue::new(),
        arrivals,
        outcome,
        now: Time(0),
    };
    for (index, arrival) in arrivals.iter().enumerate() {
        fleet.advance(arrival.at);
        fleet.submit(workspace, index);
    }
    fleet.advance(fleet.now + DRAIN_TIME);
    fleet.outcome
}

/// Returns the number of the workspace's fractions whose owners stay alive.
pub fn reachable_fractions(scenario: &Scenario, workspace: u64) -> u32 {
    let key = workspace_id(workspace).0;
    let share = |fraction: u32| hash::combine(key, u64::from(fraction)) as usize % SHARES;
    let alive = (0..FRACTIONS).filter(|fraction| scenario.is_alive(share(*fraction) % VMS));
    alive.count() as u32
}

impl Fleet<'_> {
    /// Submits the request with this index in `arrivals` to the limiter of its VM.
    fn submit(&mut self, workspace: WorkspaceId, index: usize) {
        let Arrival { at: now, vm } = self.arrivals[index];
        let mut out = Vec::new();
        let ticket = Ticket(index as u64);
        let limiter = &mut self.limiters[vm];
        let decision = limiter.acquire(now, ticket, workspace, 1, now + DEADLINE, &mut out);
        self.outcome.admitted[index] = decision == Decision::Admit;
        self.execute(vm, out);
    }

    /// Handles the timers and messages that are due at or before `end`.
    fn advance(&mut self, end: Time) {
        while let Some(due) = self.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            for vm in 0..VMS {
                let mut out = Vec::new();
                if self.limiters[vm].next_due().is_some_and(|due| due <= self.now) {
                    self.limiters[vm].tick(self.now, &mut out);
                }
                self.execute(vm, out);
            }
            if let Some(event) = self.events.pop_due(self.now) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn next_due(&mut self) -> Option<Time> {
        let ticks = self.limiters.iter().filter_map(RateLimiter::next_due);
        ticks.chain(self.events.next_due()).min()
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        match event {
            Event::Request { from, to, call, request } => {
                if !self.is_up(to) {
                    return;
                }
                let reply =
                    self.limiters[to].handle_request(self.now, vm_id(from), request, &mut out);
                self.outcome.messages += 1;
                self.events.schedule(self.now + LATENCY, Event::Reply { to: from, call, reply });
                self.execute(to, out);
            }
            Event::Reply { to, call, reply } => {
                self.limiters[to].handle_reply(self.now, call, Some(reply), &mut out);
                self.execute(to, out);
            }
        }
    }

    fn execute(&mut self, vm: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Admit(Ticket(index)) => {
                    let index = index as usize;
                    self.outcome.admitted[index] = true;
                    self.outcome.waits[index] = self.now.since(self.arrivals[index].at);
                }
                Action::Refuse { .. } => {}
                Action::Send { to, call, request } => {
                    let to = to.0 as usize;
                    self.outcome.messages += 1;
                    let event = Event::Request { from: vm, to, call, request };
                    self.events.schedule(self.now + LATENCY, event);
                }
            }
        }
    }

    fn is_up(&self, vm: usize) -> bool {
        self.now < Time(0) + WARM_UP || self.scenario.is_alive(vm)
    }
}

fn vm_id(vm: usize) -> VmId {
    VmId(vm as u64)
}

fn workspace_id(workspace: u64) -> WorkspaceId {
    WorkspaceId::from_name(&format!("workspace-{workspace}"))
}
