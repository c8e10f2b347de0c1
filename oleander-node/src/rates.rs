//! The shell around the rate limiter: waiting requests, calls to other VMs and timers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
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
use oleander_limits::rates::tokens::Limit;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_runtime::timer::TimerService;
use tokio::sync::Notify;
use tokio::sync::oneshot;

/// The time within which another VM must answer about rates.
const CALL_LIMIT: Span = Span::from_millis(500);

/// The time between two ticks when the limiter has nothing due.
const IDLE_TICK: Span = Span::from_secs(1);

/// The time between two looks at calls under way: a fraction of a round trip between regions.
const SETTLE_POLL: Span = Span::from_millis(10);

/// Gets the address at which a VM with a running lease answers about rates.
pub type AddressOf = Box<dyn Fn(VmId) -> Option<SocketAddr> + Send + Sync>;

/// `Rates` is the rate limiter of a VM with its waiting requests; clones share it.
#[derive(Clone)]
pub struct Rates {
    inner: Arc<Inner>,
}

struct Inner {
    vm: VmId,
    timers: TimerService,
    peers: PeerClient,
    address_of: AddressOf,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    limiter: RateLimiter,
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
    serial: u64,
}

impl Rates {
    /// Makes a shell around a limiter.
    pub fn new(
        vm: VmId,
        limiter: RateLimiter,
        timers: TimerService,
        peers: PeerClient,
        address_of: AddressOf,
    ) -> Self {
        let state = State { limiter, waiting: HashMap::new(), serial: 0 };
        let changed = Notify::new();
        let inner = Inner { vm, timers, peers, address_of, state: Mutex::new(state), changed };
        Self { inner: Arc::new(inner) }
    }

    /// Waits until a request of `cost` tokens is admitted.
    ///
    /// Fails "not run" if the workspace is over its rate.
    pub async fn admit(
        &self,
        workspace: WorkspaceId,
        cost: u32,
        deadline: Time,
    ) -> Result<(), Refusal> {
        let (ticket, waiting) = match self.ask(workspace, cost, deadline) {
            Asked::Decided(outcome) => return outcome,
            Asked::Waiting(ticket, waiting) => (ticket, waiting),
        };
        let _guard = WaitGuard { rates: self, workspace, ticket };
        waiting.await.unwrap_or_else(|_| Err(over_rate(IDLE_TICK)))
    }

    /// Answers a request of another VM.
    pub fn answer(&self, from: VmId, request: LimitRequest) -> LimitReply {
        if (self.inner.address_of)(from).is_none() {
            // What it borrowed could outlive what the store knows of it.
            return LimitReply::NotOwner;
        }
        let now = self.inner.timers.now();
        self.with(|limiter, out| limiter.handle_request(now, from, request, out))
    }

    /// Takes in the owners of shares, until when this VM may use its own, and the time within which
    /// all loans of earlier owners of new ones end.
    pub fn set_shares(&self, owners: &[Option<VmId>], until: Time, wait: Span) {
        let now = self.inner.timers.now();
        self.with(|limiter, _| limiter.set_shares_with_wait(now, owners, until, wait));
    }

    /// Takes in the shares where no loan of an earlier owner can be in use.
    pub fn activate_shares(&self, owners: &[Option<VmId>], until: Time) {
        let now = self.inner.timers.now();
        self.with(|limiter, _| limiter.activate_shares(now, owners, until));
    }

    /// Takes in the owners of shares where other VMs may take this one's over.
    pub fn suspend_shares(&self, owners: &[Option<VmId>]) {
        let now = self.inner.timers.now();
        self.with(|limiter, _| limiter.suspend_shares(now, owners));
    }

    /// Takes in the limits of a configuration; workspaces that are not named have none.
    pub fn set_limits(&self, limits: impl IntoIterator<Item = (WorkspaceId, Limit)>) {
        let now = self.inner.timers.now();
        self.with(|limiter, out| limiter.set_limits(now, limits, out));
    }

    /// Waits until the calls under way are answered, then gets the time for which this VM may still
    /// use what it borrowed of the owners that `counts` names.
    pub async fn settle(&self, counts: impl Fn(VmId) -> bool + Copy) -> Span {
        let asked = self.inner.timers.now();
        loop {
            let oldest = self.lock().limiter.oldest_call();
            if oldest.is_none_or(|sent| asked < sent) {
                return self.lock().limiter.held(self.inner.timers.now(), counts);
            }
            self.inner.timers.sleep(SETTLE_POLL).await;
        }
    }

    /// Gets the time for which other VMs may use what this one, or an earlier owner of its shares,
    /// has lent.
    pub fn lent(&self) -> Span {
        self.lock().limiter.lent(self.inner.timers.now())
    }

    /// Ends the use of own shares and returns what was borrowed, as before a planned stop.
    pub fn stop(&self) {
        let now = self.inner.timers.now();
        self.with(|limiter, out| limiter.stop(now, out));
    }

    /// Does what the limiter has due, until dropped.
    pub async fn run(&self) {
        loop {
            let due = self.tick();
            tokio::select! {
                () = self.inner.timers.sleep_until(due) => {}
                () = self.inner.changed.notified() => {}
            }
        }
    }

    fn ask(&self, workspace: WorkspaceId, cost: u32, deadline: Time) -> Asked {
        let now = self.inner.timers.now();
        let mut out = Vec::new();
        let mut state = self.lock();
        state.serial += 1;
        let ticket = Ticket(state.serial);
        let former = state.limiter.next_due();
        let asked = match state.limiter.acquire(now, ticket, workspace, cost, deadline, &mut out) {
            Decision::Admit => Asked::Decided(Ok(())),
            Decision::Refuse { retry_after } => Asked::Decided(Err(over_rate(retry_after))),
            Decision::Wait => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                Asked::Waiting(ticket, receiver)
            }
        };
        let due = state.limiter.next_due();
        drop(state);
        self.perform(out);
        self.wake(former, due);
        asked
    }

    /// Runs `event` on the limiter and does what it asks for.
    fn with<T>(&self, event: impl FnOnce(&mut RateLimiter, &mut Vec<Action>) -> T) -> T {
        let mut out = Vec::new();
        let mut state = self.lock();
        let former = state.limiter.next_due();
        let result = event(&mut state.limiter, &mut out);
        let due = state.limiter.next_due();
        drop(state);
        self.perform(out);
        self.wake(former, due);
        result
    }

    /// Wakes the timer task if something has become due earlier.
    fn wake(&self, former: Option<Time>, due: Option<Time>) {
        if due.is_some_and(|due| former.is_none_or(|former| due < former)) {
            self.inner.changed.notify_one();
        }
    }

    /// Does what is due and returns when to look again.
    fn tick(&self) -> Time {
        let now = self.inner.timers.now();
        let mut out = Vec::new();
        let mut state = self.lock();
        state.limiter.tick(now, &mut out);
        let due = state.limiter.next_due();
        drop(state);
        self.perform(out);
        due.unwrap_or(now + IDLE_TICK).min(now + IDLE_TICK)
    }

    fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, call, request } => self.send(to, call, request),
                Action::Admit(ticket) => self.decide(ticket, Ok(())),
                Action::Refuse { ticket, retry_after } => {
                    self.decide(ticket, Err(over_rate(retry_after)));
                }
            }
        }
    }

    fn decide(&self, ticket: Ticket, outcome: Result<(), Refusal>) {
        if let Some(sender) = self.lock().waiting.remove(&ticket) {
            let _ = sender.send(outcome);
        }
    }

    fn send(&self, to: VmId, call: CallId, request: LimitRequest) {
        let rates = self.clone();
        tokio::spawn(async move {
            let reply = rates.call(to, request).await;
            let now = rates.inner.timers.now();
            rates.with(|limiter, out| limiter.handle_reply(now, call, reply, out));
        });
    }

    async fn call(&self, to: VmId, request: LimitRequest) -> Option<LimitReply> {
        if to == self.inner.vm {
            return Some(self.answer(to, request));
        }
        let address = (self.inner.address_of)(to)?;
        let request = Request::Limit { from: self.inner.vm, request };
        match self.inner.peers.call(address, &request, CALL_LIMIT).await {
            Ok(Reply::Limit(reply)) => Some(reply),
            _ => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Asked {
    Decided(Result<(), Refusal>),
    Waiting(Ticket, oneshot::Receiver<Result<(), Refusal>>),
}

/// `WaitGuard` tells the limiter when a waiting request's caller has gone.
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
