//! A simulated fleet of rate limiters on a network that loses, duplicates and delays messages.

#![allow(dead_code, reason = "each test file uses a part of the fleet")]

use std::collections::VecDeque;

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
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
use oleander_limits::rates::limiter::RateRequest;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_limits::rates::ownership::ShareLayout;
use oleander_limits::rates::tokens::FRACTIONS;
use oleander_limits::rates::tokens::Limit;
use oleander_limits::rates::tokens::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The workspace of all requests.
pub const WORKSPACE: WorkspaceId = WorkspaceId(7);
/// The number of shares in the fleet.
const SHARES: usize = 32;
/// The time for which a VM may use its shares after its last view of the owners.
const SHARE_VALIDITY: Span = Span::from_millis(1_500);
/// The interval at which reachable VMs receive the owners of all shares.
const VIEW_INTERVAL: Span = Span::from_millis(400);
/// The difference between the clocks of consecutive VMs.
const CLOCK_OFFSET: Span = Span::from_secs(1_000);
/// The interval at which a rejoining VM asks again about outstanding loans.
const REJOIN_POLL_INTERVAL: Span = Span::from_millis(10);
/// The time before its start from which on a VM with `Fault::IgnoreEarlierUse` counts tokens.
const EARLIER_USE: Span = Span::from_secs(10);
/// The time after which a caller no longer waits.
const DEADLINE: Span = Span::from_secs(2);

/// `Network` describes message delivery.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The minimum delay of a message.
    pub delay: Span,
    /// The maximum delay of a message.
    pub max_delay: Span,
    /// The percentage of messages that are lost.
    pub loss_percent: u32,
    /// The percentage of messages that are delivered twice.
    pub duplicate_percent: u32,
}

/// `Fault` is an error injected into the fleet to verify that the check detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No error.
    None,
    /// A restarted VM uses its shares with full buckets without waiting for earlier loans to
    /// expire.
    SkipShareWait,
    /// A VM that lost a share never learns of it and goes on using it.
    StaleOwner,
    /// A planned stop or a rejoin does not wait for outstanding loans to expire.
    IgnoreLoans,
    /// The shares of a VM that leaves before it uses them are used by others without regard to the
    /// owners before it.
    IgnoreEarlierOwners,
    /// A VM that starts again counts tokens gained before its start, when its former process may
    /// have used them.
    IgnoreEarlierUse,
}

struct Vm {
    limiter: RateLimiter,
    paused_until: Time,
    isolated_until: Time,
    /// Whether other VMs may use this VM's shares, because it has stopped or is about to rejoin.
    has_left: bool,
    /// The time at which the VM last received the owners of all shares.
    last_view: Time,
    /// The time at which the VM's process started.
    started_at: Time,
    /// `true` until the VM's process uses its shares, which it has kept since an earlier process.
    is_starting: bool,
    /// The time at which the VM last saw shares move to another VM.
    moved_at: Time,
    /// The time until which loans of shares that it saw move may be in use.
    lent_until: Time,
    /// The number of the VM's process, unique in the fleet.
    process: u64,
    /// Outdated owners that the VM receives from now on, or `None` if it receives the current ones.
    stale_owners: Option<Vec<Option<VmId>>>,
}

enum Event {
    Request {
        from: usize,
        process: u64,
        to: usize,
        call: CallId,
        request: LimitRequest,
    },
    /// A reply to one process of a VM; it is lost if that process has been replaced.
    Reply {
        to: usize,
        process: u64,
        call: CallId,
        reply: LimitReply,
    },
    RefreshViews,
    CheckLoans {
        vm: usize,
        process: u64,
        since: Time,
        /// `true` if the VM kept its shares while its process started again.
        kept: bool,
    },
    /// A VM starts to use its shares, which have not been in use for `unused`.
    ActivateShares {
        vm: usize,
        process: u64,
        unused: Span,
    },
}

/// `Fleet` runs the limiters in virtual time and checks every admission.
pub struct Fleet {
    /// The limit of the workspace.
    pub limit: Limit,
    /// The number of admitted tokens.
    pub admitted: u64,
    /// The number of admitted tokens of requests of the most urgent level.
    pub urgent: u64,
    /// The time of each admission.
    pub admissions: Vec<Time>,
    /// The number of refused requests.
    pub refused: u64,
    /// The number of requests that VMs have sent to one another.
    pub calls: u64,
    /// The first time at which more than burst + rate × window was or could have been admitted.
    pub violation: Option<Time>,
    /// The current virtual time.
    pub now: Time,
    network: Network,
    layout: ShareLayout,
    fault: Fault,
    vms: Vec<Vm>,
    owners: Vec<usize>,
    events: TimerQueue<Event>,
    requests: Vec<RateRequest>,
    rng: ChaCha8Rng,
    level: u64,
    last_refill: Time,
    process_count: u64,
}

impl Fleet {
    /// Creates a fleet in which all earlier loans have expired, with the fractions of the workspace
    /// spread over as many shares as there are fractions.
    pub fn new(count: usize, limit: Limit, network: Network, fault: Fault, seed: u64) -> Self {
        Self::with_layout(count, limit, network, fault, seed, ShareLayout::Hashed(FRACTIONS))
    }

    /// Creates a fleet like `new` with another layout of the shares.
    pub fn with_layout(
        count: usize,
        limit: Limit,
        network: Network,
        fault: Fault,
        seed: u64,
        layout: ShareLayout,
    ) -> Self {
        let vms = (0..count).map(|index| Vm {
            limiter: RateLimiter::with_layout(id(index), index as u64, layout),
            paused_until: Time(0),
            isolated_until: Time(0),
            has_left: false,
            last_view: Time(0),
            started_at: Time(0),
            is_starting: false,
            moved_at: Time(0),
            lent_until: Time(0),
            process: index as u64,
            stale_owners: None,
        });
        let mut fleet = Self {
            limit,
            admitted: 0,
            urgent: 0,
            admissions: Vec::new(),
            refused: 0,
            calls: 0,
            violation: None,
            now: Time(1_000_000),
            network,
            layout,
            fault,
            vms: vms.collect(),
            owners: (0..SHARES).map(|share| share % count).collect(),
            events: TimerQueue::new(),
            requests: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            level: u64::from(limit.burst) * 1_000_000,
            last_refill: Time(0),
            process_count: count as u64,
        };
        for index in 0..count {
            fleet.initialize(index);
        }
        fleet.events.schedule(fleet.now, Event::RefreshViews);
        fleet.advance(LOAN_EXPIRY_WAIT);
        fleet
    }

    /// Sends a caller's request of the most urgent level to a VM; it has no effect while the VM is
    /// paused.
    pub fn ask(&mut self, index: usize, cost: u32) {
        self.ask_at(index, Level::FIRST, cost);
    }

    /// Sends a caller's request for tokens to a VM; it has no effect while the VM is paused.
    pub fn ask_at(&mut self, index: usize, level: Level, cost: u32) {
        if self.now < self.vms[index].paused_until {
            return;
        }
        let (now, mut out) = (self.clock(index), Vec::new());
        let ticket = Ticket(self.requests.len() as u64);
        let deadline = now + DEADLINE;
        let request = RateRequest { ticket, workspace: WORKSPACE, level, cost, deadline };
        self.requests.push(request);
        let limiter = &mut self.vms[index].limiter;
        match limiter.acquire_at_level(now, request, &mut out) {
            Decision::Admit => self.admit(request),
            Decision::Refuse { .. } => self.refused += 1,
            Decision::Wait => {}
        }
        self.perform(index, out);
    }

    /// Advances the time by `span` and processes all events due by then.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(due) = self.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.tick();
            if let Some(event) = self.events.pop_due(self.now) {
                self.handle(event);
            }
            self.check_spendable();
        }
        self.now = end;
        self.check_spendable();
    }

    /// Pauses a VM for `span`; messages sent to it are delivered afterwards.
    pub fn pause(&mut self, index: usize, span: Span) {
        self.vms[index].paused_until = self.now + span;
    }

    /// Isolates a VM from all others for `span`.
    pub fn isolate(&mut self, index: usize, span: Span) {
        self.vms[index].isolated_until = self.now + span;
    }

    /// Replaces a VM's process by a new one without state.
    pub fn restart(&mut self, index: usize) {
        self.process_count += 1;
        self.vms[index].limiter =
            RateLimiter::with_layout(id(index), self.process_count, self.layout);
        self.vms[index].paused_until = self.now;
        self.vms[index].has_left = false;
        self.vms[index].started_at = self.now;
        self.vms[index].is_starting = false;
        self.vms[index].moved_at = self.now;
        self.vms[index].process = self.process_count;
        self.initialize(index);
    }

    /// Replaces a VM's process by one that uses its shares as soon as all VMs have told that nothing
    /// of them is in use, with the tokens gained since.
    pub fn restart_known(&mut self, index: usize) {
        if self.is_unreachable(index) || self.vms[index].has_left {
            return;
        }
        self.start_process(index);
        self.vms[index].is_starting = true;
        let process = self.process_count;
        let event = Event::CheckLoans { vm: index, process, since: self.now, kept: true };
        self.events.schedule(self.now, event);
    }

    /// Starts a process that knows the owners but uses no shares yet.
    fn start_process(&mut self, index: usize) {
        self.process_count += 1;
        let (now, limit, owners) = (self.clock(index), self.limit, self.owner_ids());
        let mut limiter = RateLimiter::with_layout(id(index), self.process_count, self.layout);
        let began = match self.fault {
            Fault::IgnoreEarlierUse => Time(now.0 - EARLIER_USE.0),
            _ => now,
        };
        limiter.set_limits(began, [(WORKSPACE, limit)], &mut Vec::new());
        limiter.suspend_shares(now, &owners);
        let vm = &mut self.vms[index];
        (vm.limiter, vm.started_at, vm.process) = (limiter, self.now, self.process_count);
        vm.is_starting = false;
        vm.moved_at = self.now;
    }

    /// Performs a planned stop of a VM: another VM takes its shares, and its open sessions
    /// continue.
    pub fn leave(&mut self, index: usize) {
        let vm = &self.vms[index];
        if self.is_unreachable(index) || vm.has_left || vm.is_starting {
            return;
        }
        let can_own = |vm: &Vm| !vm.has_left && !vm.is_starting;
        let Some(successor) =
            (0..self.vms.len()).find(|vm| *vm != index && can_own(&self.vms[*vm]))
        else {
            return;
        };
        let (now, mut out) = (self.clock(index), Vec::new());
        let limiter = &mut self.vms[index].limiter;
        limiter.stop(now, &mut out);
        let lent = if self.fault == Fault::IgnoreLoans { Span::ZERO } else { limiter.lent(now) };
        self.vms[index].has_left = true;
        self.perform(index, out);
        for owner in self.owners.iter_mut().filter(|owner| **owner == index) {
            *owner = successor;
        }
        self.record_move(lent);
        self.update_reachable_views(lent);
    }

    /// Starts a stopped VM. It owns its shares at once, but uses them only after all VMs have
    /// learned of that and the loans of the previous owners have expired.
    pub fn rejoin(&mut self, index: usize) {
        if !self.vms[index].has_left || self.is_unreachable(index) {
            return;
        }
        let count = self.vms.len();
        for (_, owner) in
            self.owners.iter_mut().enumerate().filter(|(share, _)| share % count == index)
        {
            *owner = index;
        }
        self.record_move(LOAN_EXPIRY_WAIT);
        self.start_process(index);
        self.update_reachable_views(LOAN_EXPIRY_WAIT);
        let process = self.process_count;
        let event = Event::CheckLoans { vm: index, process, since: self.now, kept: false };
        self.events.schedule(self.now, event);
    }

    /// Asks all VMs how the shares of a starting VM were used before, and schedules the use of the
    /// shares. Repeats until all have answered.
    fn check_loans(&mut self, vm: usize, process: u64, since: Time, kept: bool) {
        if self.vms[vm].process != process {
            return;
        }
        let mut lent = Span::ZERO;
        let mut unused = self.now.since(self.vms[vm].started_at);
        for index in (0..self.vms.len()).filter(|index| *index != vm) {
            let now = self.clock(index);
            let other = &self.vms[index];
            let heard = other.has_left || since <= other.last_view;
            let asked = Time(now.0 - self.now.since(since).0);
            let settled = other.limiter.oldest_call().is_none_or(|sent| asked < sent);
            if self.is_unreachable(index) || !heard || !settled {
                if self.now < since + SHARE_VALIDITY {
                    let again = self.now + REJOIN_POLL_INTERVAL;
                    self.events.schedule(again, Event::CheckLoans { vm, process, since, kept });
                    return;
                }
                lent = LOAN_EXPIRY_WAIT;
            }
            if kept {
                let counts = |owner: VmId| owner == id(vm) || self.vms[owner.0 as usize].has_left;
                lent =
                    lent.max(other.limiter.held(now, counts)).max(other.lent_until.since(self.now));
                unused = unused
                    .min(now.since(other.limiter.free_since(now, counts)))
                    .min(self.now.since(other.moved_at));
                continue;
            }
            let unseen = (other.started_at + LOAN_EXPIRY_WAIT).since(self.now);
            lent = lent
                .max(other.limiter.held(now, |_| true))
                .max(other.limiter.lent(now))
                .max(unseen);
        }
        unused = match (self.fault, kept) {
            (Fault::IgnoreEarlierUse, true) => EARLIER_USE,
            (_, true) if lent == Span::ZERO => unused,
            _ => Span::ZERO,
        };
        let lent =
            if self.fault == Fault::IgnoreLoans { Span::ZERO } else { lent.min(LOAN_EXPIRY_WAIT) };
        self.events.schedule(self.now + lent, Event::ActivateShares { vm, process, unused });
    }

    fn activate_shares(&mut self, index: usize, process: u64, unused: Span) {
        if self.vms[index].process != process || self.is_unreachable(index) {
            return;
        }
        let (now, owners) = (self.clock(index), self.owner_ids());
        let from = Time(now.0 - unused.0);
        self.vms[index].has_left = false;
        self.vms[index].is_starting = false;
        self.vms[index].limiter.activate_shares(now, &owners, now + SHARE_VALIDITY, from);
    }

    /// Records that shares have moved, and that loans of them may run for `lent`. A VM that cannot
    /// be reached does not answer a starting one, so that it makes no difference when it learns of
    /// this.
    fn record_move(&mut self, lent: Span) {
        let until = self.now + lent;
        for vm in &mut self.vms {
            vm.moved_at = self.now;
            vm.lent_until = vm.lent_until.max(until);
        }
    }

    /// Transfers a share to another VM after its owner has stopped using it.
    pub fn transfer_share(&mut self, share: usize, to: usize) {
        let from = self.owners[share];
        if self.vms[to].has_left || self.vms[to].is_starting || self.vms[from].is_starting {
            return;
        }
        if self.fault == Fault::StaleOwner && self.vms[from].stale_owners.is_none() {
            self.vms[from].stale_owners = Some(self.owner_ids());
        }
        if self.is_unreachable(from) {
            // The owner cannot be notified: its right to its shares lapses before another VM uses
            // them.
            let away = self.vms[from].paused_until.max(self.vms[from].isolated_until);
            self.vms[from].isolated_until = away.max(self.now + SHARE_VALIDITY + SHARE_VALIDITY);
            self.advance(SHARE_VALIDITY);
        }
        self.owners[share] = to;
        // An owner that has not used its shares yet does not know who has not heard of its join and
        // uses them still.
        let is_unused = self.vms[from].has_left && self.fault != Fault::IgnoreEarlierOwners;
        let wait = if is_unused { SHARE_VALIDITY + LOAN_EXPIRY_WAIT } else { LOAN_EXPIRY_WAIT };
        self.record_move(wait);
        for index in [from, to] {
            if !self.is_unreachable(index) && !self.vms[index].has_left {
                self.update_view(index, wait);
            }
        }
    }

    /// Returns the number of VMs.
    pub fn count(&self) -> usize {
        self.vms.len()
    }

    fn initialize(&mut self, index: usize) {
        let now = self.clock(index);
        let began = match self.fault {
            Fault::SkipShareWait => Time(now.0.saturating_sub(LOAN_EXPIRY_WAIT.times(10).0)),
            _ => now,
        };
        let (limit, mut out) = (self.limit, Vec::new());
        self.vms[index].limiter.set_limits(began, [(WORKSPACE, limit)], &mut out);
        let owners = self.owner_ids();
        self.vms[index].limiter.set_shares(began, &owners, now + SHARE_VALIDITY);
    }

    fn update_view(&mut self, index: usize, wait: Span) {
        let now = self.clock(index);
        let owners = self.vms[index].stale_owners.clone().unwrap_or_else(|| self.owner_ids());
        let vm = &mut self.vms[index];
        if vm.is_starting {
            vm.limiter.suspend_shares(now, &owners);
        } else {
            vm.limiter.set_shares_with_wait(now, &owners, now + SHARE_VALIDITY, wait);
        }
        self.vms[index].last_view = self.now;
    }

    fn owner_ids(&self) -> Vec<Option<VmId>> {
        self.owners.iter().map(|owner| Some(id(*owner))).collect()
    }

    fn clock(&self, index: usize) -> Time {
        self.now + CLOCK_OFFSET.times(index as u64 + 1)
    }

    /// Returns `true` while a VM is paused or isolated.
    pub fn is_unreachable(&self, index: usize) -> bool {
        self.now < self.vms[index].paused_until.max(self.vms[index].isolated_until)
    }

    fn next_due(&mut self) -> Option<Time> {
        let ticks = self.vms.iter().enumerate().filter_map(|(index, vm)| {
            let due = vm.limiter.next_due()?;
            Some(Time(due.0 - CLOCK_OFFSET.times(index as u64 + 1).0).max(vm.paused_until))
        });
        ticks.chain(self.events.next_due()).min()
    }

    fn tick(&mut self) {
        for index in 0..self.vms.len() {
            let (now, mut out) = (self.clock(index), Vec::new());
            if self.vms[index].paused_until <= self.now {
                self.vms[index].limiter.tick(now, &mut out);
                self.perform(index, out);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RefreshViews => self.refresh_views(),
            Event::CheckLoans { vm, process, since, kept } => {
                self.check_loans(vm, process, since, kept);
            }
            Event::ActivateShares { vm, process, unused } => {
                self.activate_shares(vm, process, unused);
            }
            Event::Request { from, process, to, call, request } => {
                if self.now < self.vms[to].paused_until {
                    let paused_until = self.vms[to].paused_until;
                    let event = Event::Request { from, process, to, call, request };
                    self.events.schedule(paused_until, event);
                    return;
                }
                let (now, mut out) = (self.clock(to), Vec::new());
                let reply = self.vms[to].limiter.handle_request(now, id(from), request, &mut out);
                for delay in self.delivery_delays(from, to) {
                    let reply = reply.clone();
                    let event = Event::Reply { to: from, process, call, reply };
                    self.events.schedule(self.now + delay, event);
                }
                self.perform(to, out);
            }
            Event::Reply { to, process, .. } if self.vms[to].process != process => {}
            Event::Reply { to, process, call, reply } => {
                if self.now < self.vms[to].paused_until {
                    let paused_until = self.vms[to].paused_until;
                    self.events.schedule(paused_until, Event::Reply { to, process, call, reply });
                    return;
                }
                let (now, mut out) = (self.clock(to), Vec::new());
                self.vms[to].limiter.handle_reply(now, call, Some(reply), &mut out);
                self.perform(to, out);
            }
        }
    }

    fn update_reachable_views(&mut self, wait: Span) {
        for index in 0..self.vms.len() {
            if !self.is_unreachable(index) && !self.vms[index].has_left {
                self.update_view(index, wait);
            }
        }
    }

    fn refresh_views(&mut self) {
        self.update_reachable_views(LOAN_EXPIRY_WAIT);
        self.events.schedule(self.now + VIEW_INTERVAL, Event::RefreshViews);
    }

    fn perform(&mut self, index: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Admit(ticket) => self.admit(self.requests[ticket.0 as usize]),
                Action::Refuse { .. } => self.refused += 1,
                Action::Send { to, call, request } => self.send(index, to, call, &request),
            }
        }
    }

    fn send(&mut self, from: usize, to: VmId, call: CallId, request: &LimitRequest) {
        let to = to.0 as usize;
        self.calls += 1;
        for delay in self.delivery_delays(from, to) {
            let process = self.vms[from].process;
            let event = Event::Request { from, process, to, call, request: request.clone() };
            self.events.schedule(self.now + delay, event);
        }
    }

    /// Returns the delays of the copies of a message that are delivered.
    fn delivery_delays(&mut self, from: usize, to: usize) -> VecDeque<Span> {
        let is_isolated = self.now < self.vms[from].isolated_until.max(self.vms[to].isolated_until);
        if is_isolated || self.rng.random_ratio(self.network.loss_percent, 100) {
            return VecDeque::new();
        }
        let copies = 1 + usize::from(self.rng.random_ratio(self.network.duplicate_percent, 100));
        (0..copies)
            .map(|_| Span(self.rng.random_range(self.network.delay.0..=self.network.max_delay.0)))
            .collect()
    }

    /// Checks that the tokens spendable at all VMs together do not exceed the level of one token
    /// bucket for the whole fleet.
    fn check_spendable(&mut self) {
        let mut spendable = Tokens::ZERO;
        for index in 0..self.vms.len() {
            let (now, is_paused) = (self.clock(index), self.now < self.vms[index].paused_until);
            if !is_paused {
                spendable += self.vms[index].limiter.available(now, WORKSPACE).unwrap_or_default();
            }
        }
        self.refill();
        if self.level * u64::from(FRACTIONS) < spendable.0 {
            self.violation = self.violation.or(Some(self.now));
        }
    }

    fn refill(&mut self) {
        let capacity = u64::from(self.limit.burst) * 1_000_000;
        let gained = u64::from(self.limit.rate) * self.now.since(self.last_refill).0;
        self.level = self.level.saturating_add(gained).min(capacity);
        self.last_refill = self.now;
    }

    /// Charges an admission to one token bucket for the whole fleet; its bound holds for any
    /// window.
    fn admit(&mut self, request: RateRequest) {
        self.refill();
        let cost = u64::from(request.cost) * 1_000_000;
        if self.level < cost {
            self.violation = self.violation.or(Some(self.now));
        }
        self.level = self.level.saturating_sub(cost);
        self.admitted += u64::from(request.cost);
        if request.level == Level::FIRST {
            self.urgent += u64::from(request.cost);
        }
        self.admissions.push(self.now);
    }
}

fn id(index: usize) -> VmId {
    VmId(index as u64)
}
