//! A small fleet of rate limiters over a network that loses, doubles and delays messages.

use std::collections::VecDeque;

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
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_limits::rates::tokens::FRACTIONS;
use oleander_limits::rates::tokens::Limit;
use oleander_limits::rates::tokens::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The workspace of all requests.
pub const WORKSPACE: WorkspaceId = WorkspaceId(7);
/// The number of shares of the fleet.
const SHARES: usize = 32;
/// The time for which a VM may use its shares after it was last in touch.
const SHARES_FOR: Span = Span::from_millis(1_500);
/// The interval in which a VM that is in touch hears who owns what.
const VIEW_INTERVAL: Span = Span::from_millis(400);
/// The time by which the clocks of two VMs differ.
const CLOCK_STEP: Span = Span::from_secs(1_000);
/// The time after which a VM that comes back asks again.
const RETURN_PAUSE: Span = Span::from_millis(10);
/// The time after which a caller no longer waits.
const DEADLINE: Span = Span::from_secs(2);

/// `Network` says how messages fare; probabilities are in percent.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The shortest delay of a message.
    pub delay: Span,
    /// The longest delay of a message.
    pub max_delay: Span,
    /// The messages that are lost.
    pub lost: u32,
    /// The messages that come twice.
    pub doubled: u32,
}

/// `Fault` is a mistake planted in the fleet to show that the check finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No mistake.
    None,
    /// A restarted VM uses its shares, and full, without waiting for earlier loans to end.
    NoWait,
    /// A VM that lost a share is not told and goes on using it.
    TwoOwners,
    /// Nobody waits for what a VM that leaves, or others before it comes back, have lent.
    NoLent,
}

struct Vm {
    limiter: RateLimiter,
    paused: Time,
    cut: Time,
    /// `true` while others have the VM's shares: it has stopped, or is coming back.
    left: bool,
    /// The time at which the VM last heard who owns what.
    viewed: Time,
    /// The time at which the VM's process started.
    born: Time,
    /// The number of that process.
    life: u64,
    /// The owners that the VM is told of for good; `None` for the true ones.
    stale: Option<Vec<Option<VmId>>>,
}

enum Event {
    Request {
        from: usize,
        life: u64,
        to: usize,
        call: CallId,
        request: LimitRequest,
    },
    /// An answer to a process; it is lost if a new one has taken its place.
    Reply {
        to: usize,
        life: u64,
        call: CallId,
        reply: LimitReply,
    },
    Views,
    Return {
        vm: usize,
        life: u64,
        since: Time,
    },
    Start {
        vm: usize,
        life: u64,
    },
}

/// `Fleet` drives the limiters in virtual time and checks every admission.
pub struct Fleet {
    /// The limit of the workspace.
    pub limit: Limit,
    /// The admitted tokens.
    pub admitted: u64,
    /// The refused requests.
    pub refused: u64,
    /// The first time at which more was admitted, or could have been, than burst + rate × window.
    pub breach: Option<Time>,
    /// The present time.
    pub now: Time,
    network: Network,
    fault: Fault,
    vms: Vec<Vm>,
    owners: Vec<usize>,
    events: TimerQueue<Event>,
    costs: Vec<u32>,
    rng: ChaCha8Rng,
    level: u64,
    filled: Time,
    lives: u64,
}

impl Fleet {
    /// Makes a fleet in which all loans of the time before have ended.
    pub fn new(count: usize, limit: Limit, network: Network, fault: Fault, seed: u64) -> Self {
        let vms = (0..count).map(|at| Vm {
            limiter: RateLimiter::new(id(at), at as u64),
            paused: Time(0),
            cut: Time(0),
            left: false,
            viewed: Time(0),
            born: Time(0),
            life: at as u64,
            stale: None,
        });
        let mut fleet = Self {
            limit,
            admitted: 0,
            refused: 0,
            breach: None,
            now: Time(1_000_000),
            network,
            fault,
            vms: vms.collect(),
            owners: (0..SHARES).map(|share| share % count).collect(),
            events: TimerQueue::new(),
            costs: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            level: u64::from(limit.burst) * 1_000_000,
            filled: Time(0),
            lives: count as u64,
        };
        for at in 0..count {
            fleet.start(at);
        }
        fleet.events.schedule(fleet.now, Event::Views);
        fleet.advance(LOAN_EXPIRY_WAIT);
        fleet
    }

    /// Lets a caller of a VM ask for tokens; nothing comes of it while the VM is paused.
    pub fn ask(&mut self, at: usize, cost: u32) {
        if self.now < self.vms[at].paused {
            return;
        }
        let (now, mut out) = (self.clock(at), Vec::new());
        self.costs.push(cost);
        let ticket = Ticket(self.costs.len() as u64 - 1);
        let limiter = &mut self.vms[at].limiter;
        match limiter.acquire(now, ticket, WORKSPACE, cost, now + DEADLINE, &mut out) {
            Decision::Admit => self.admit(cost),
            Decision::Refuse { .. } => self.refused += 1,
            Decision::Wait => {}
        }
        self.perform(at, out);
    }

    /// Moves on by `span` and lets everything happen that is due in it.
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

    /// Stops a VM for a while; what is sent to it waits.
    pub fn pause(&mut self, at: usize, span: Span) {
        self.vms[at].paused = self.now + span;
    }

    /// Cuts a VM off from all others for a while.
    pub fn cut(&mut self, at: usize, span: Span) {
        self.vms[at].cut = self.now + span;
    }

    /// Replaces a VM's process by a new one that remembers nothing.
    pub fn restart(&mut self, at: usize) {
        self.lives += 1;
        self.vms[at].limiter = RateLimiter::new(id(at), self.lives);
        self.vms[at].paused = self.now;
        self.vms[at].left = false;
        self.vms[at].born = self.now;
        self.vms[at].life = self.lives;
        self.start(at);
    }

    /// Lets a VM stop as planned: the next one gets its shares, its open sessions go on.
    pub fn leave(&mut self, at: usize) {
        if self.is_away(at) || self.vms[at].left {
            return;
        }
        let Some(heir) = (0..self.vms.len()).find(|vm| *vm != at && !self.vms[*vm].left) else {
            return;
        };
        let (now, mut out) = (self.clock(at), Vec::new());
        let limiter = &mut self.vms[at].limiter;
        limiter.stop(now, &mut out);
        let lent = if self.fault == Fault::NoLent { Span::ZERO } else { limiter.lent(now) };
        self.vms[at].left = true;
        self.perform(at, out);
        for owner in self.owners.iter_mut().filter(|owner| **owner == at) {
            *owner = heir;
        }
        self.views_of_present(lent);
    }

    /// Starts a stopped VM, which gets its shares back and uses them once all know of it and what
    /// they lent has ended.
    pub fn come_back(&mut self, at: usize) {
        if !self.vms[at].left || self.is_away(at) {
            return;
        }
        self.lives += 1;
        let count = self.vms.len();
        for (_, owner) in
            self.owners.iter_mut().enumerate().filter(|(share, _)| share % count == at)
        {
            *owner = at;
        }
        let (now, limit, owners) = (self.clock(at), self.limit, self.owner_ids());
        let mut limiter = RateLimiter::new(id(at), self.lives);
        limiter.set_limits(now, [(WORKSPACE, limit)], &mut Vec::new());
        limiter.suspend_shares(now, &owners);
        let vm = &mut self.vms[at];
        (vm.limiter, vm.born, vm.life) = (limiter, self.now, self.lives);
        self.views_of_present(LOAN_EXPIRY_WAIT);
        let event = Event::Return { vm: at, life: self.lives, since: self.now };
        self.events.schedule(self.now, event);
    }

    /// Asks all VMs what is lent of the shares of one that comes back, until all have told.
    fn ask_lent(&mut self, vm: usize, life: u64, since: Time) {
        if self.vms[vm].life != life {
            return;
        }
        let mut lent = Span::ZERO;
        for at in (0..self.vms.len()).filter(|at| *at != vm) {
            let now = self.clock(at);
            let other = &self.vms[at];
            let heard = other.left || since <= other.viewed;
            let asked = Time(now.0 - self.now.since(since).0);
            let settled = other.limiter.oldest_call().is_none_or(|sent| asked < sent);
            if self.is_away(at) || !heard || !settled {
                if self.now < since + SHARES_FOR {
                    let again = self.now + RETURN_PAUSE;
                    self.events.schedule(again, Event::Return { vm, life, since });
                    return;
                }
                lent = LOAN_EXPIRY_WAIT;
            }
            let unseen = (other.born + LOAN_EXPIRY_WAIT).since(self.now);
            lent = lent
                .max(other.limiter.held(now, |_| true))
                .max(other.limiter.lent(now))
                .max(unseen);
        }
        let lent =
            if self.fault == Fault::NoLent { Span::ZERO } else { lent.min(LOAN_EXPIRY_WAIT) };
        self.events.schedule(self.now + lent, Event::Start { vm, life });
    }

    fn start_again(&mut self, at: usize, life: u64) {
        if self.vms[at].life != life || self.is_away(at) {
            return;
        }
        let (now, owners) = (self.clock(at), self.owner_ids());
        self.vms[at].left = false;
        self.vms[at].limiter.activate_shares(now, &owners, now + SHARES_FOR);
    }

    /// Hands a share over once its owner has stopped using it.
    pub fn hand_over(&mut self, share: usize, to: usize) {
        if self.vms[to].left {
            return;
        }
        let from = self.owners[share];
        if self.fault == Fault::TwoOwners && self.vms[from].stale.is_none() {
            self.vms[from].stale = Some(self.owner_ids());
        }
        if self.is_away(from) {
            // The owner cannot be told: its time for its shares ends before another VM takes them.
            let away = self.vms[from].paused.max(self.vms[from].cut);
            self.vms[from].cut = away.max(self.now + SHARES_FOR + SHARES_FOR);
            self.advance(SHARES_FOR);
        }
        self.owners[share] = to;
        for at in [from, to] {
            if !self.is_away(at) && !self.vms[at].left {
                self.view(at, LOAN_EXPIRY_WAIT);
            }
        }
    }

    /// Gets the number of VMs.
    pub fn count(&self) -> usize {
        self.vms.len()
    }

    fn start(&mut self, at: usize) {
        let now = self.clock(at);
        let began = match self.fault {
            Fault::NoWait => Time(now.0.saturating_sub(LOAN_EXPIRY_WAIT.times(10).0)),
            _ => now,
        };
        let (limit, mut out) = (self.limit, Vec::new());
        self.vms[at].limiter.set_limits(began, [(WORKSPACE, limit)], &mut out);
        let owners = self.owner_ids();
        self.vms[at].limiter.set_shares(began, &owners, now + SHARES_FOR);
    }

    fn view(&mut self, at: usize, wait: Span) {
        let now = self.clock(at);
        let owners = self.vms[at].stale.clone().unwrap_or_else(|| self.owner_ids());
        self.vms[at].limiter.set_shares_with_wait(now, &owners, now + SHARES_FOR, wait);
        self.vms[at].viewed = self.now;
    }

    fn owner_ids(&self) -> Vec<Option<VmId>> {
        self.owners.iter().map(|owner| Some(id(*owner))).collect()
    }

    fn clock(&self, at: usize) -> Time {
        self.now + CLOCK_STEP.times(at as u64 + 1)
    }

    fn is_away(&self, at: usize) -> bool {
        self.now < self.vms[at].paused.max(self.vms[at].cut)
    }

    fn next_due(&mut self) -> Option<Time> {
        let ticks = self.vms.iter().enumerate().filter_map(|(at, vm)| {
            let due = vm.limiter.next_due()?;
            Some(Time(due.0 - CLOCK_STEP.times(at as u64 + 1).0).max(vm.paused))
        });
        ticks.chain(self.events.next_due()).min()
    }

    fn tick(&mut self) {
        for at in 0..self.vms.len() {
            let (now, mut out) = (self.clock(at), Vec::new());
            if self.vms[at].paused <= self.now {
                self.vms[at].limiter.tick(now, &mut out);
                self.perform(at, out);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Views => self.views(),
            Event::Return { vm, life, since } => self.ask_lent(vm, life, since),
            Event::Start { vm, life } => self.start_again(vm, life),
            Event::Request { from, life, to, call, request } => {
                if self.now < self.vms[to].paused {
                    let paused = self.vms[to].paused;
                    let event = Event::Request { from, life, to, call, request };
                    self.events.schedule(paused, event);
                    return;
                }
                let (now, mut out) = (self.clock(to), Vec::new());
                let reply = self.vms[to].limiter.handle_request(now, id(from), request, &mut out);
                for delay in self.fates(from, to) {
                    let reply = reply.clone();
                    let event = Event::Reply { to: from, life, call, reply };
                    self.events.schedule(self.now + delay, event);
                }
                self.perform(to, out);
            }
            Event::Reply { to, life, .. } if self.vms[to].life != life => {}
            Event::Reply { to, life, call, reply } => {
                if self.now < self.vms[to].paused {
                    let paused = self.vms[to].paused;
                    self.events.schedule(paused, Event::Reply { to, life, call, reply });
                    return;
                }
                let (now, mut out) = (self.clock(to), Vec::new());
                self.vms[to].limiter.handle_reply(now, call, Some(reply), &mut out);
                self.perform(to, out);
            }
        }
    }

    fn views_of_present(&mut self, wait: Span) {
        for at in 0..self.vms.len() {
            if !self.is_away(at) && !self.vms[at].left {
                self.view(at, wait);
            }
        }
    }

    fn views(&mut self) {
        self.views_of_present(LOAN_EXPIRY_WAIT);
        self.events.schedule(self.now + VIEW_INTERVAL, Event::Views);
    }

    fn perform(&mut self, at: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Admit(ticket) => self.admit(self.costs[ticket.0 as usize]),
                Action::Refuse { .. } => self.refused += 1,
                Action::Send { to, call, request } => self.send(at, to, call, &request),
            }
        }
    }

    fn send(&mut self, from: usize, to: VmId, call: CallId, request: &LimitRequest) {
        let to = to.0 as usize;
        for delay in self.fates(from, to) {
            let life = self.vms[from].life;
            let event = Event::Request { from, life, to, call, request: request.clone() };
            self.events.schedule(self.now + delay, event);
        }
    }

    /// Gets the delays of the copies of a message that arrive.
    fn fates(&mut self, from: usize, to: usize) -> VecDeque<Span> {
        let is_cut = self.now < self.vms[from].cut.max(self.vms[to].cut);
        if is_cut || self.rng.random_ratio(self.network.lost, 100) {
            return VecDeque::new();
        }
        let copies = 1 + usize::from(self.rng.random_ratio(self.network.doubled, 100));
        (0..copies)
            .map(|_| Span(self.rng.random_range(self.network.delay.0..=self.network.max_delay.0)))
            .collect()
    }

    /// Checks what would be admitted if callers of all VMs came at this moment.
    fn check_spendable(&mut self) {
        let mut spendable = Tokens::ZERO;
        for at in 0..self.vms.len() {
            let (now, is_paused) = (self.clock(at), self.now < self.vms[at].paused);
            if !is_paused {
                spendable += self.vms[at].limiter.available(now, WORKSPACE).unwrap_or_default();
            }
        }
        self.refill();
        if self.level * u64::from(FRACTIONS) < spendable.0 {
            self.breach = self.breach.or(Some(self.now));
        }
    }

    fn refill(&mut self) {
        let full = u64::from(self.limit.burst) * 1_000_000;
        let gained = u64::from(self.limit.rate) * self.now.since(self.filled).0;
        self.level = self.level.saturating_add(gained).min(full);
        self.filled = self.now;
    }

    /// Counts an admission against one ideal bucket, which is what "in any window" comes to.
    fn admit(&mut self, cost: u32) {
        self.refill();
        let cost = u64::from(cost) * 1_000_000;
        if self.level < cost {
            self.breach = self.breach.or(Some(self.now));
        }
        self.level = self.level.saturating_sub(cost);
        self.admitted += cost / 1_000_000;
    }
}

fn id(at: usize) -> VmId {
    VmId(at as u64)
}
