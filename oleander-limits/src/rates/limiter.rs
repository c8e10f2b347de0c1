//! The rate limiter of one proxy: all workspaces, calls to other VMs and timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::hash_map::Entry;

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::LimitReply;
use crate::messages::LimitRequest;
use crate::rates::account::Account;
use crate::rates::actions::Action;
use crate::rates::actions::CallId;
use crate::rates::actions::Decision;
use crate::rates::actions::Ticket;
use crate::rates::context::Context;
use crate::rates::context::Shared;
use crate::rates::owner::LOAN_EXPIRY_WAIT;
use crate::rates::ownership::Ownership;
use crate::rates::tokens::FRACTIONS;
use crate::rates::tokens::Limit;
use crate::rates::tokens::Tokens;

/// The time after which a call without an answer is forgotten.
const CALL_LIFE: Span = Span::from_secs(5);

/// `RateLimiter` decides for one proxy which requests are within their workspace's rate.
#[derive(Debug)]
pub struct RateLimiter {
    shared: Shared,
    limits: HashMap<WorkspaceId, Configured>,
    accounts: HashMap<WorkspaceId, Account>,
    wakes: BinaryHeap<Reverse<(Time, WorkspaceId)>>,
    pruned: Time,
    /// `true` once limits were set.
    limited: bool,
}

#[derive(Clone, Copy, Debug)]
struct Configured {
    limit: Limit,
    since: Time,
}

impl RateLimiter {
    /// Makes a limiter without limits and shares.
    ///
    /// `life` must differ from that of every other process that has run on
    /// this VM within the last seconds, such as a start time in nanoseconds.
    pub fn new(vm: VmId, life: u64) -> Self {
        Self::with_groups(vm, life, FRACTIONS)
    }

    /// Makes a limiter as `new` does, with the fractions of each workspace on `groups` shares.
    ///
    /// Few groups suit low rates, of which a fraction would hold less than a token or two; many
    /// lose less with one VM. All VMs must agree on the number.
    pub fn with_groups(vm: VmId, life: u64, groups: u32) -> Self {
        let ownership = Ownership::new(vm, groups);
        Self {
            shared: Shared::new(ownership, life),
            limits: HashMap::new(),
            accounts: HashMap::new(),
            wakes: BinaryHeap::new(),
            pruned: Time(0),
            limited: false,
        }
    }

    /// Decides on a request of `cost` tokens that is wanted by `deadline`.
    ///
    /// A workspace without a limit is admitted.
    pub fn acquire(
        &mut self,
        now: Time,
        ticket: Ticket,
        workspace: WorkspaceId,
        cost: u32,
        deadline: Time,
        out: &mut Vec<Action>,
    ) -> Decision {
        let decision = self.with_account(now, workspace, out, |account, ctx| {
            account.ask(ctx, ticket, Tokens::whole(cost), deadline)
        });
        decision.unwrap_or(Decision::Admit)
    }

    /// Forgets a waiting request whose caller has gone. Returns `true` if it was waiting.
    pub fn cancel(&mut self, workspace: WorkspaceId, ticket: Ticket) -> bool {
        self.accounts.get_mut(&workspace).is_some_and(|account| account.cancel(ticket))
    }

    /// Answers a request of another VM.
    pub fn handle_request(
        &mut self,
        now: Time,
        from: VmId,
        request: LimitRequest,
        out: &mut Vec<Action>,
    ) -> LimitReply {
        let reply = self.with_account(now, request.workspace, out, |account, ctx| {
            account.handle(ctx, from, request.ask)
        });
        reply.unwrap_or(LimitReply::NotOwner)
    }

    /// Takes in the answer to `Action::Send`; `None` if it failed or timed out.
    ///
    /// Each call counts once; a second answer to it is ignored.
    pub fn handle_reply(
        &mut self,
        now: Time,
        call: CallId,
        reply: Option<LimitReply>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.shared.calls.remove(&call) else { return };
        self.with_account(now, call.workspace, out, |account, ctx| {
            account.handle_reply(ctx, &call, reply);
        });
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.forget_calls(now);
        while let Some(Reverse((due, workspace))) = self.wakes.peek().copied()
            && due <= now
        {
            self.wakes.pop();
            if self.accounts.get(&workspace).is_none_or(|account| account.wake != Some(due)) {
                continue;
            }
            let idle = self.with_account(now, workspace, out, |account, ctx| account.tick(ctx));
            if idle == Some(true) {
                self.accounts.remove(&workspace);
            }
        }
    }

    /// Gets the time at which `tick` is needed next.
    pub fn next_due(&self) -> Option<Time> {
        self.wakes.peek().map(|Reverse((due, _))| *due)
    }

    /// Takes in the limits of a configuration; workspaces that are not named have none.
    pub fn set_limits(
        &mut self,
        now: Time,
        limits: impl IntoIterator<Item = (WorkspaceId, Limit)>,
        out: &mut Vec<Action>,
    ) {
        let is_first = !self.limited;
        let former = std::mem::take(&mut self.limits);
        for (workspace, limit) in limits {
            let known = former.get(&workspace).map(|configured| configured.since);
            // Loans of an earlier time in which the workspace had a limit may still be in use. At
            // the start of the process the wait of the shares covers them.
            let since = known.unwrap_or(if is_first { now } else { now + LOAN_EXPIRY_WAIT });
            self.limits.insert(workspace, Configured { limit, since });
            if let Some(account) = self.accounts.get_mut(&workspace) {
                account.set_limit(now, limit);
            }
        }
        self.limited |= !self.limits.is_empty();
        let gone: Vec<WorkspaceId> =
            former.into_keys().filter(|workspace| !self.limits.contains_key(workspace)).collect();
        for workspace in gone {
            let Some(mut account) = self.accounts.remove(&workspace) else { continue };
            account.refuse_all(&mut self.shared.context(now, out));
        }
    }

    /// Takes in who owns each share, and until when this VM may use its own.
    pub fn set_shares(&mut self, now: Time, owners: &[Option<VmId>], until: Time) {
        self.set_shares_with_wait(now, owners, until, LOAN_EXPIRY_WAIT);
    }

    /// Takes in the shares as `set_shares` does; all loans of earlier owners end within `wait`.
    pub fn set_shares_with_wait(
        &mut self,
        now: Time,
        owners: &[Option<VmId>],
        until: Time,
        wait: Span,
    ) {
        if self.shared.ownership.set(now, owners, until, wait) {
            self.reset_owners(now);
        }
    }

    /// Takes in the shares as `set_shares` does, but without a wait: to be called where no loan of
    /// an earlier owner can be in use.
    pub fn activate_shares(&mut self, now: Time, owners: &[Option<VmId>], until: Time) {
        if self.shared.ownership.start(now, owners, until) {
            self.reset_owners(now);
        }
    }

    /// Takes in the owners of shares where other VMs may take this one's over: they are no longer
    /// used here, and start anew once `set_shares` gives them back.
    pub fn suspend_shares(&mut self, now: Time, owners: &[Option<VmId>]) {
        self.shared.ownership.end(now);
        self.set_shares(now, owners, now);
    }

    /// Ends the use of own shares, returns all loans and refuses what waits, as before a planned
    /// stop. Open sessions go on with what other VMs grant.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        self.shared.ownership.end(now);
        for account in self.accounts.values_mut() {
            let mut ctx = self.shared.context(now, out);
            account.return_loans(&mut ctx);
            account.refuse_all(&mut ctx);
        }
    }

    /// Gets the tokens that this VM could spend for a workspace at once, without asking others.
    ///
    /// Returns `None` for a workspace without a limit.
    pub fn available(&mut self, now: Time, workspace: WorkspaceId) -> Option<Tokens> {
        self.with_account(now, workspace, &mut Vec::new(), Account::spendable)
    }

    /// Gets the time for which this VM may still use what it borrowed of the owners that `counts`
    /// names.
    pub fn held(&self, now: Time, counts: impl Fn(VmId) -> bool + Copy) -> Span {
        let until = self.accounts.values().map(|account| account.held_until(counts)).max();
        until.unwrap_or_default().since(now)
    }

    /// Gets the time for which other VMs may use what this one, or an earlier owner of its shares,
    /// has lent.
    pub fn lent(&self, now: Time) -> Span {
        let until = self.accounts.values().filter_map(Account::lent_until).max();
        until.unwrap_or_default().max(self.shared.ownership.usable_from()).since(now)
    }

    /// Gets the time at which the oldest call was sent that has no answer yet.
    pub fn oldest_call(&self) -> Option<Time> {
        self.shared.calls.values().map(|call| call.sent).min()
    }

    /// Gets the number of workspaces of which this VM holds a state.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Runs `event` on the account of a workspace and schedules its next wake.
    fn with_account<R>(
        &mut self,
        now: Time,
        workspace: WorkspaceId,
        out: &mut Vec<Action>,
        event: impl FnOnce(&mut Account, &mut Context<'_>) -> R,
    ) -> Option<R> {
        // A workspace with an account has a limit, so most requests need one look-up only.
        let account = match self.accounts.entry(workspace) {
            Entry::Occupied(account) => account.into_mut(),
            Entry::Vacant(vacant) => {
                let Configured { limit, since } = *self.limits.get(&workspace)?;
                let ownership = &self.shared.ownership;
                vacant.insert(Account::new(now, workspace, limit, since, ownership))
            }
        };
        let result = event(account, &mut self.shared.context(now, out));
        let due = account.next_due(now);
        if account.wake.is_none_or(|wake| wake <= now || due < wake) {
            account.wake = Some(due);
            self.wakes.push(Reverse((due, workspace)));
        }
        Some(result)
    }

    fn reset_owners(&mut self, now: Time) {
        for account in self.accounts.values_mut() {
            account.reset_owner(now);
        }
    }

    fn forget_calls(&mut self, now: Time) {
        if now < self.pruned + CALL_LIFE {
            return;
        }
        self.pruned = now;
        self.shared.calls.retain(|_, call| now.since(call.sent) < CALL_LIFE);
    }
}
