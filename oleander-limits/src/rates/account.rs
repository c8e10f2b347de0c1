//! The state of one workspace's rate at one VM.

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::Ask;
use crate::messages::LimitReply;
use crate::messages::LoanId;
use crate::messages::Returned;
use crate::rates::actions::Call;
use crate::rates::actions::Decision;
use crate::rates::actions::Ticket;
use crate::rates::borrower::RateBorrower;
use crate::rates::context::Context;
use crate::rates::demand::DemandMeter;
use crate::rates::owner::BorrowRequest;
use crate::rates::owner::RateOwner;
use crate::rates::ownership::Ownership;
use crate::rates::peers;
use crate::rates::peers::Peer;
use crate::rates::tokens::FRACTIONS;
use crate::rates::tokens::Limit;
use crate::rates::tokens::Tokens;
use crate::rates::waiting::WaitQueue;
use crate::rates::waiting::WaitingRequest;

/// The maximum time a request waits for tokens.
const MAX_WAIT: Span = Span::from_millis(150);
/// The interval at which a waiting request checks for owners that may be called again.
const REPLAN_INTERVAL: Span = Span::from_millis(20);
/// The number of expected but missing requests after which all loans are returned.
const RETURN_SILENCE: f64 = 6.0;
/// The number of expected but missing requests after which a probed loan is returned.
const PROBED_SILENCE: f64 = 1.5;
/// The silence after which an account may be dropped, and the interval of that check.
const IDLE_CHECK: Span = Span::from_secs(5);

/// `Account` combines the owner and the borrower side of one workspace at one VM.
#[derive(Clone, Debug)]
pub struct Account {
    pub(super) workspace: WorkspaceId,
    pub(super) limit: Limit,
    /// The time before which this VM does not use its own fractions of the workspace.
    since: Time,
    /// The `Ownership::version` that the fractions and peers were last updated to.
    ownership_version: u64,
    /// The time at which another own fraction becomes usable, or `None` if none is waiting.
    next_sync: Option<Time>,
    pub(super) owner: RateOwner,
    pub(super) borrower: RateBorrower,
    pub(super) meter: DemandMeter,
    pub(super) peers: Vec<Peer>,
    pub(super) queue: WaitQueue,
    /// The time before which no tokens are requested for stock alone.
    pub(super) next_restock: Time,
    /// The time of the earliest scheduled call to `tick`.
    pub wake: Option<Time>,
}

impl Account {
    /// Creates the account of a workspace whose limit applies since `since`.
    pub fn new(
        now: Time,
        workspace: WorkspaceId,
        limit: Limit,
        since: Time,
        ownership: &Ownership,
    ) -> Self {
        let usable = ownership.usable(now, workspace, limit, since);
        let mut account = Self {
            workspace,
            limit,
            since,
            ownership_version: ownership.version(),
            next_sync: usable.next,
            owner: RateOwner::new(now, usable.fractions, usable.level),
            borrower: RateBorrower::default(),
            meter: DemandMeter::default(),
            peers: Vec::new(),
            queue: WaitQueue::default(),
            next_restock: now,
            wake: None,
        };
        account.update_peers(now, ownership);
        account
    }

    /// Decides on a request, or queues it if its tokens are expected in time.
    pub fn acquire(
        &mut self,
        ctx: &mut Context<'_>,
        ticket: Ticket,
        level: Level,
        cost: Tokens,
        deadline: Time,
    ) -> Decision {
        self.sync(ctx);
        self.meter.record(ctx.now, cost);
        let ahead = self.queue.cost_ahead(level);
        if ahead == Tokens::ZERO && cost <= self.available_at(ctx, level) {
            self.take(ctx, cost);
            self.request_tokens(ctx);
            return Decision::Admit;
        }
        let until = deadline.min(ctx.now + MAX_WAIT);
        if self.limit.capacity(FRACTIONS) < cost
            || self.expected_tokens(ctx, level, until) < ahead + cost
        {
            self.owner.note_scarcity(ctx.now);
            return Decision::Refuse { retry_after: self.retry_after(ctx, level, cost) };
        }
        self.queue.push(WaitingRequest { ticket, level, cost, until });
        self.request_tokens(ctx);
        Decision::Wait
    }

    /// Removes a waiting request. Returns `true` if it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Handles a request from another VM.
    pub fn handle_request(&mut self, ctx: &mut Context<'_>, from: VmId, ask: Ask) -> LimitReply {
        self.sync(ctx);
        match ask {
            Ask::Borrow { need, urgent, stock, demand, settled } => {
                self.owner.end_grants(ctx.now, self.limit, &settled);
                let own_demand = Tokens::ZERO;
                let request =
                    BorrowRequest { from, tokens: need, urgent, stock, demand, own_demand };
                self.lend(ctx, request)
            }
            Ask::Settle { settled } => {
                self.owner.end_grants(ctx.now, self.limit, &settled);
                self.serve(ctx);
                LimitReply::Accepted
            }
            Ask::Renew { loan, demand } => self.renew(ctx, from, loan, demand),
            Ask::Return(returned) => {
                self.owner.take_back(ctx.now, self.limit, returned);
                self.serve(ctx);
                LimitReply::Accepted
            }
            Ask::Recall { loan } => LimitReply::Recalled(self.end_loan(ctx.now, loan)),
            Ask::Probe { loan, demand } => {
                let own = self.meter.per_second(ctx.now);
                let needed = !self.meter.is_silent(ctx.now, PROBED_SILENCE) && demand < own;
                let returned = if needed { None } else { self.end_loan(ctx.now, loan) };
                LimitReply::Recalled(returned)
            }
        }
    }

    /// Handles the reply to a call; `None` means that the call failed or timed out.
    pub fn handle_reply(&mut self, ctx: &mut Context<'_>, call: &Call, reply: Option<LimitReply>) {
        self.sync(ctx);
        let peer = self.peers.iter().position(|peer| peer.vm == call.to);
        if let Some(index) = peer
            && let Ask::Borrow { need, urgent, .. } = call.ask
            && self.peers[index].close_call(call.id)
        {
            self.update_peer(ctx.now, index, need, urgent, reply.as_ref());
        }
        self.apply_reply(ctx.now, call, reply);
        self.serve(ctx);
    }

    /// Performs the work due at `now`: drops calls that have timed out, renews loans, admits or
    /// refuses waiting requests and returns surplus tokens. Returns `true` if the account may be
    /// dropped.
    pub fn tick(&mut self, ctx: &mut Context<'_>) -> bool {
        self.sync(ctx);
        for index in 0..self.peers.len() {
            self.peers[index].expire_calls(ctx.now);
        }
        self.renew_loans(ctx);
        self.serve(ctx);
        self.return_surplus(ctx);
        self.is_idle(ctx.now)
    }

    /// Returns the time at which `tick` has to be called next.
    pub fn next_due(&self, now: Time) -> Time {
        let mut due = now + IDLE_CHECK;
        // Granted tokens are not returned as surplus while a request waits.
        due = if self.queue.is_empty() {
            self.borrower.next_surplus().map_or(due, |surplus| due.min(surplus))
        } else {
            due.min(now + REPLAN_INTERVAL)
        };
        let silence_end =
            (0 < self.borrower.fractions()).then(|| self.meter.silent_at(RETURN_SILENCE));
        let others = [
            self.queue.next_timeout(),
            self.borrower.next_renewal_due(),
            self.next_sync,
            silence_end,
        ];
        others.into_iter().flatten().fold(due, Time::min).max(now + Span(1))
    }

    /// Returns the tokens that can be spent at once without calling other VMs.
    pub fn spendable(&mut self, ctx: &mut Context<'_>) -> Tokens {
        self.sync(ctx);
        self.available(ctx)
    }

    /// Returns the time until which loans or grants from owners that match `filter` may be used,
    /// or `Time(0)` if there are none.
    pub fn held_until(&self, filter: impl Fn(VmId) -> bool) -> Time {
        self.borrower.held_until(filter)
    }

    /// Returns the time until which other VMs may use loans or grants from this VM, or `None` if
    /// there are none.
    pub fn lent_until(&self) -> Option<Time> {
        self.owner.lent_until()
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, now: Time, limit: Limit) {
        self.owner.set_limit(now, self.limit, limit);
        self.borrower.set_limit(now, self.limit, limit);
        self.limit = limit;
    }

    /// Replaces the owner state by that of the shares that are usable now.
    pub fn reset_owner(&mut self, now: Time, ownership: &Ownership) {
        let usable = ownership.usable(now, self.workspace, self.limit, self.since);
        self.owner = RateOwner::new(now, usable.fractions, usable.level);
        self.next_sync = usable.next;
    }

    /// Returns all loans to their owners, for use before a planned stop.
    pub fn return_loans(&mut self, ctx: &mut Context<'_>) {
        for due in self.borrower.all_loans() {
            self.return_loan(ctx, due.owner, due.loan);
        }
    }

    /// Refuses all waiting requests, because the workspace has lost its limit or the VM stops.
    pub fn refuse_all(&mut self, ctx: &mut Context<'_>) {
        let retry_after = self.retry_after(ctx, Level::LAST, Tokens::ZERO);
        while let Some(request) = self.queue.pop_unless(|_, _| false) {
            ctx.refuse(request.ticket, retry_after);
        }
    }

    /// Updates the usable own fractions and the peers if the owners have changed or a fraction has
    /// become usable.
    fn sync(&mut self, ctx: &Context<'_>) {
        let changed = self.ownership_version != ctx.ownership.version();
        if !changed && self.next_sync.is_none_or(|next_sync| ctx.now < next_sync) {
            return;
        }
        let usable = ctx.ownership.usable(ctx.now, self.workspace, self.limit, self.since);
        self.owner.set_total(ctx.now, self.limit, usable.fractions);
        self.next_sync = usable.next;
        if changed {
            self.ownership_version = ctx.ownership.version();
            self.update_peers(ctx.now, ctx.ownership);
        }
    }

    fn update_peers(&mut self, now: Time, ownership: &Ownership) {
        let owners = ownership.owners(self.workspace);
        let others = owners.into_iter().filter(|owner| owner.vm != ownership.vm());
        peers::update(&mut self.peers, now, self.limit, others);
    }

    /// Applies the effect of a reply on loans and grants.
    fn apply_reply(&mut self, now: Time, call: &Call, reply: Option<LimitReply>) {
        match (reply, &call.ask) {
            (Some(LimitReply::Lent { grant, loan, .. }), Ask::Borrow { .. }) => {
                if let Some(loan) = loan {
                    self.borrower.add_loan(now, self.limit, call.to, loan, call.sent);
                }
                if let Some(grant) = grant {
                    self.borrower.add_grant(now, call.to, grant, call.sent);
                }
            }
            (Some(LimitReply::Renewed), Ask::Renew { loan, .. }) => {
                self.borrower.extend(*loan, call.sent);
            }
            (Some(LimitReply::Ended), Ask::Renew { loan, .. }) => {
                self.borrower.end_loan(now, self.limit, *loan, Tokens::ZERO);
            }
            (Some(LimitReply::Recalled(Some(returned))), Ask::Recall { .. }) => {
                self.owner.take_back(now, self.limit, returned);
            }
            _ => {}
        }
    }

    /// Renews the loans that are due, or returns all loans if the callers have gone.
    fn renew_loans(&mut self, ctx: &mut Context<'_>) {
        if self.meter.is_silent(ctx.now, RETURN_SILENCE) {
            self.return_loans(ctx);
            return;
        }
        let demand = self.meter.per_second(ctx.now);
        for due in self.borrower.due_renewals(ctx.now) {
            ctx.send(due.owner, self.workspace, Ask::Renew { loan: due.loan, demand });
        }
    }

    /// Returns granted tokens that no request waits for shortly before the grants expire.
    fn return_surplus(&mut self, ctx: &mut Context<'_>) {
        if !self.queue.is_empty() {
            return;
        }
        for owner in self.borrower.end_surplus_grants(ctx.now) {
            let settled = self.borrower.take_settled(ctx.now, owner);
            ctx.send(owner, self.workspace, Ask::Settle { settled });
        }
    }

    fn return_loan(&mut self, ctx: &mut Context<'_>, owner: VmId, loan: LoanId) {
        if let Some(returned) = self.end_loan(ctx.now, loan) {
            ctx.send(owner, self.workspace, Ask::Return(returned));
        }
    }

    /// Stops using a borrowed loan. Returns what its owner may take back, or `None` if the loan is
    /// unknown or has expired.
    fn end_loan(&mut self, now: Time, loan: LoanId) -> Option<Returned> {
        let demand = self.meter.per_second(now);
        self.borrower.end_loan(now, self.limit, loan, demand)
    }

    /// Admits the requests that the local tokens cover, refuses those that cannot be served in
    /// time, and requests tokens for the rest.
    fn serve(&mut self, ctx: &mut Context<'_>) {
        if self.queue.is_empty() {
            return;
        }
        let reserve = self.urgent_reserve(ctx);
        let mut local = self.available(ctx);
        let allowed = |local: Tokens, level| match level {
            Level::FIRST => local,
            _ => local.saturating_sub(reserve),
        };
        while let Some(request) = self.queue.pop_within(|level| allowed(local, level)) {
            self.take(ctx, request.cost);
            ctx.admit(request.ticket);
            local = local.saturating_sub(request.cost);
        }
        let remote = self.expected_remote(ctx, Level::LAST);
        let urgent_remote = self.expected_remote(ctx, Level::FIRST);
        let (limit, fractions, now) = (self.limit, self.local_fractions(ctx), ctx.now);
        let keep = |request: &WaitingRequest, ahead: Tokens| {
            let refill = limit.refill(fractions, request.until.since(now));
            let remote = if request.level == Level::FIRST { urgent_remote } else { remote };
            now < request.until && ahead <= allowed(local, request.level) + remote + refill
        };
        while let Some(request) = self.queue.pop_unless(keep) {
            self.owner.note_scarcity(ctx.now);
            let retry_after = self.retry_after(ctx, request.level, request.cost);
            ctx.refuse(request.ticket, retry_after);
        }
        self.request_tokens(ctx);
    }

    /// Returns the tokens that can be spent at once: borrowed ones and, while this VM may use its
    /// shares, those of its own bucket.
    pub(super) fn available(&mut self, ctx: &Context<'_>) -> Tokens {
        let borrowed = self.borrower.available(ctx.now, self.limit);
        if !ctx.ownership.is_valid(ctx.now) {
            return borrowed;
        }
        borrowed + self.owner.available(ctx.now, self.limit)
    }

    /// Returns the tokens that a request of `level` may spend at once.
    pub(super) fn available_at(&mut self, ctx: &Context<'_>, level: Level) -> Tokens {
        let available = self.available(ctx);
        match level {
            Level::FIRST => available,
            _ => available.saturating_sub(self.urgent_reserve(ctx)),
        }
    }

    /// Returns the local tokens that requests below the most urgent level have to leave.
    fn urgent_reserve(&self, ctx: &Context<'_>) -> Tokens {
        self.owner.urgent_reserve(ctx.now, self.limit, self.local_fractions(ctx))
    }

    /// Spends tokens counted by `available`: granted tokens first, then those of the bucket with
    /// the highest fill ratio.
    fn take(&mut self, ctx: &Context<'_>, cost: Tokens) {
        let mut rest = cost.saturating_sub(self.borrower.take_granted(ctx.now, cost));
        let valid = ctx.ownership.is_valid(ctx.now);
        while rest != Tokens::ZERO {
            let fill = if valid { self.owner.fill_ratio(self.limit) } else { 0.0 };
            let taken = match self.borrower.take_fullest(self.limit, fill, rest) {
                Some(taken) => taken,
                None if valid => self.owner.take(rest),
                None => return,
            };
            if taken == Tokens::ZERO {
                return;
            }
            rest = rest.saturating_sub(taken);
        }
    }

    /// Returns the number of fractions that refill at this VM: its own that are not lent, and those
    /// that it has borrowed.
    pub(super) fn local_fractions(&self, ctx: &Context<'_>) -> u32 {
        let own = if ctx.ownership.is_valid(ctx.now) { self.owner.unlent() } else { 0 };
        own + self.borrower.fractions()
    }

    fn is_idle(&mut self, now: Time) -> bool {
        self.queue.is_empty()
            && self.next_sync.is_none()
            && IDLE_CHECK <= self.meter.silence(now)
            && self.borrower.is_idle(now, self.limit)
            && self.owner.is_idle(now, self.limit)
    }
}
