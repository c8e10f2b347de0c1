//! Runs the rate limiter of `oleander_limits`: holds the waiting requests, makes the calls to other
//! VMs and wakes the limiter when something is due.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::places::Distance;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::messages::LimitReply;
use oleander_limits::messages::LimitRequest;
use oleander_limits::rates::actions::Action;
use oleander_limits::rates::actions::CallId;
use oleander_limits::rates::actions::Decision;
use oleander_limits::rates::actions::Ticket;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_limits::rates::limiter::RateRequest;
use oleander_limits::rates::tokens::Limit;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::EarlierUse;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_runtime::timer::TimerService;
use tokio::sync::Notify;
use tokio::sync::oneshot;

/// The time within which another VM must answer a call of the limiter.
const CALL_TIMEOUT: Span = Span::from_millis(500);

/// The longest time between two ticks of the limiter, also when nothing is due.
const IDLE_TICK: Span = Span::from_secs(1);

/// The interval at which pending calls are checked: a fraction of a round trip between regions.
const CALLS_POLL_INTERVAL: Span = Span::from_millis(10);

/// `AddressLookup` returns the peer address of a VM; `None` for a VM that is not in the fleet now.
pub type AddressLookup = Box<dyn Fn(VmId) -> Option<SocketAddr> + Send + Sync>;

/// `Rates` is the rate limiter of a VM with its waiting requests. Clones share one limiter.
#[derive(Clone)]
pub struct Rates {
    inner: Arc<Inner>,
}

struct Inner {
    vm: VmId,
    timers: TimerService,
    peers: PeerClient,
    address_of: AddressLookup,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    limiter: RateLimiter,
    /// Wakes the caller of each waiting request with the decision.
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
    last_ticket: u64,
}

impl Rates {
    /// Creates the runner of a limiter; timers take effect only while `run` is polled.
    pub fn new(
        vm: VmId,
        limiter: RateLimiter,
        timers: TimerService,
        peers: PeerClient,
        address_of: AddressLookup,
    ) -> Self {
        let state = State { limiter, waiting: HashMap::new(), last_ticket: 0 };
        let changed = Notify::new();
        let inner = Inner { vm, timers, peers, address_of, state: Mutex::new(state), changed };
        Self { inner: Arc::new(inner) }
    }

    /// Waits until a request of `cost` tokens is admitted.
    ///
    /// # Errors
    /// Fails with `RateLimited` and verdict `NotRun` if the workspace is over its rate.
    pub async fn admit(
        &self,
        workspace: WorkspaceId,
        level: Level,
        cost: u32,
        deadline: Time,
    ) -> Result<(), Refusal> {
        let (ticket, waiting) = match self.ask(workspace, level, cost, deadline) {
            AskOutcome::Decided(outcome) => return outcome,
            AskOutcome::Waiting(ticket, waiting) => (ticket, waiting),
        };
        let _guard = WaitGuard { rates: self, workspace, ticket };
        waiting.await.unwrap_or_else(|_| Err(over_rate(IDLE_TICK)))
    }

    /// Waits as `admit` does, but refuses a party whose limit the limiter has not been given.
    ///
    /// # Errors
    /// Fails with `RateLimited` and verdict `NotRun`.
    pub async fn admit_limited(&self, party: WorkspaceId, deadline: Time) -> Result<(), Refusal> {
        let now = self.inner.timers.now();
        if self.lock().limiter.available(now, party).is_none() {
            return Err(over_rate(IDLE_TICK));
        }
        self.admit(party, Level::FIRST, 1, deadline).await
    }

    /// Answers a request of another VM; a VM without a running lease gets nothing.
    pub fn answer(&self, from: VmId, request: LimitRequest) -> LimitReply {
        if (self.inner.address_of)(from).is_none() {
            // The loan could last longer than the store knows of the borrower.
            return LimitReply::NotOwner;
        }
        let now = self.inner.timers.now();
        self.with_limiter(|limiter, out| limiter.handle_request(now, from, request, out))
    }

    /// Sets the owner of each share. This VM may use its own shares until `until`; those that it
    /// newly owns are usable after `wait`, when all loans of their earlier owners have ended.
    pub fn set_shares(&self, owners: &[Option<VmId>], until: Time, wait: Span) {
        let now = self.inner.timers.now();
        self.with_limiter(|limiter, _| limiter.set_shares_with_wait(now, owners, until, wait));
    }

    /// Sets the owner of each share as `set_shares` does, but without a wait and with the tokens
    /// gained since `from`: nothing of the own shares may have been in use since then.
    pub fn activate_shares(&self, owners: &[Option<VmId>], until: Time, from: Time) {
        let now = self.inner.timers.now();
        self.with_limiter(|limiter, _| limiter.activate_shares(now, owners, until, from));
    }

    /// Sets the owner of each share and ends the use of own shares, which other VMs may take over.
    pub fn suspend_shares(&self, owners: &[Option<VmId>]) {
        let now = self.inner.timers.now();
        self.with_limiter(|limiter, _| limiter.suspend_shares(now, owners));
    }

    /// Sets the distances to the other VMs, of which the nearest are asked for tokens first.
    pub fn set_distances(&self, distances: impl IntoIterator<Item = (VmId, Distance)>) {
        self.lock().limiter.set_distances(distances);
    }

    /// Replaces the limits of all workspaces; a workspace that is not named has none.
    pub fn set_limits(&self, limits: impl IntoIterator<Item = (WorkspaceId, Limit)>) {
        let now = self.inner.timers.now();
        self.with_limiter(|limiter, out| limiter.set_limits(now, limits, out));
    }

    /// Waits until the calls that are pending now have ended, then returns how this VM has used
    /// loans and grants of the owners for which `counts` returns `true`.
    pub async fn borrowed_use(&self, counts: impl Fn(VmId) -> bool + Copy) -> EarlierUse {
        let asked = self.inner.timers.now();
        loop {
            let oldest = self.lock().limiter.oldest_call();
            if oldest.is_none_or(|sent| asked < sent) {
                let now = self.inner.timers.now();
                let limiter = &self.lock().limiter;
                return EarlierUse {
                    remaining: limiter.held(now, counts),
                    unused: now.since(limiter.free_since(now, counts)),
                };
            }
            self.inner.timers.sleep(CALLS_POLL_INTERVAL).await;
        }
    }

    /// Returns the time for which other VMs may still use loans of this VM or of an earlier owner
    /// of its shares.
    pub fn lent_remaining(&self) -> Span {
        self.lock().limiter.lent(self.inner.timers.now())
    }

    /// Returns `true` if this VM spends tokens of shares that it owns.
    pub fn uses_shares(&self) -> bool {
        self.lock().limiter.uses_shares(self.inner.timers.now())
    }

    /// Ends the use of own shares, returns all loans and refuses the waiting requests, as before a
    /// planned stop.
    pub fn stop(&self) {
        let now = self.inner.timers.now();
        self.with_limiter(|limiter, out| limiter.stop(now, out));
    }

    /// Ticks the limiter whenever something is due, until dropped.
    pub async fn run(&self) {
        loop {
            let due = self.tick();
            tokio::select! {
                () = self.inner.timers.sleep_until(due) => {}
                () = self.inner.changed.notified() => {}
            }
        }
    }

    fn ask(&self, workspace: WorkspaceId, level: Level, cost: u32, deadline: Time) -> AskOutcome {
        let now = self.inner.timers.now();
        let mut out = Vec::new();
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = Ticket(state.last_ticket);
        let former = state.limiter.next_due();
        let request = RateRequest { ticket, workspace, level, cost, deadline };
        let asked = match state.limiter.acquire_at_level(now, request, &mut out) {
            Decision::Admit => AskOutcome::Decided(Ok(())),
            Decision::Refuse { retry_after } => AskOutcome::Decided(Err(over_rate(retry_after))),
            Decision::Wait => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                AskOutcome::Waiting(ticket, receiver)
            }
        };
        let due = state.limiter.next_due();
        drop(state);
        self.run_actions(out);
        self.wake_if_earlier(former, due);
        asked
    }

    /// Runs `event` on the limiter and executes the resulting actions.
    fn with_limiter<T>(&self, event: impl FnOnce(&mut RateLimiter, &mut Vec<Action>) -> T) -> T {
        let mut out = Vec::new();
        let mut state = self.lock();
        let former = state.limiter.next_due();
        let result = event(&mut state.limiter, &mut out);
        let due = state.limiter.next_due();
        drop(state);
        self.run_actions(out);
        self.wake_if_earlier(former, due);
        result
    }

    /// Wakes the task of `run` if something is due earlier than before.
    fn wake_if_earlier(&self, former: Option<Time>, due: Option<Time>) {
        if due.is_some_and(|due| former.is_none_or(|former| due < former)) {
            self.inner.changed.notify_one();
        }
    }

    /// Executes what is due and returns the time of the next tick.
    fn tick(&self) -> Time {
        let now = self.inner.timers.now();
        let mut out = Vec::new();
        let mut state = self.lock();
        state.limiter.tick(now, &mut out);
        let due = state.limiter.next_due();
        drop(state);
        self.run_actions(out);
        due.unwrap_or(now + IDLE_TICK).min(now + IDLE_TICK)
    }

    fn run_actions(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, call, request } => self.send(to, call, request),
                Action::Admit(ticket) => self.resolve(ticket, Ok(())),
                Action::Refuse { ticket, retry_after } => {
                    self.resolve(ticket, Err(over_rate(retry_after)));
                }
            }
        }
    }

    fn resolve(&self, ticket: Ticket, outcome: Result<(), Refusal>) {
        if let Some(sender) = self.lock().waiting.remove(&ticket) {
            let _ = sender.send(outcome);
        }
    }

    fn send(&self, to: VmId, call: CallId, request: LimitRequest) {
        let rates = self.clone();
        tokio::spawn(async move {
            let reply = rates.call(to, request).await;
            let now = rates.inner.timers.now();
            rates.with_limiter(|limiter, out| limiter.handle_reply(now, call, reply, out));
        });
    }

    async fn call(&self, to: VmId, request: LimitRequest) -> Option<LimitReply> {
        if to == self.inner.vm {
            return Some(self.answer(to, request));
        }
        let address = (self.inner.address_of)(to)?;
        let request = Request::Limit { from: self.inner.vm, request };
        match self.inner.peers.call(address, &request, CALL_TIMEOUT).await {
            Ok(Reply::Limit(reply)) => Some(reply),
            _ => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `AskOutcome` is the answer of the limiter to a request.
enum AskOutcome {
    /// The request is admitted or refused.
    Decided(Result<(), Refusal>),
    /// The request waits for tokens; the receiver gets the decision.
    Waiting(Ticket, oneshot::Receiver<Result<(), Refusal>>),
}

/// `WaitGuard` cancels a waiting request if it is dropped before the decision: its caller is gone.
struct WaitGuard<'a> {
    rates: &'a Rates,
    workspace: WorkspaceId,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.rates.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.limiter.cancel(self.workspace, self.ticket);
        }
    }
}

fn over_rate(retry_after: Span) -> Refusal {
    Refusal::not_run(RefusalCode::RateLimited, "the workspace is over its rate")
        .with_retry_after(retry_after)
}
