//! The rate limiter of one proxy, with its calls to other VMs and its timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::hash_map::Entry;

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::places::Distance;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::LimitReply;
use crate::messages::LimitRequest;
use crate::rates::account::Account;
use crate::rates::actions::Action;
use crate::rates::actions::Call;
use crate::rates::actions::CallId;
use crate::rates::actions::Decision;
use crate::rates::actions::Ticket;
use crate::rates::context::Context;
use crate::rates::context::SharedState;
use crate::rates::owner::GRANT_HOLD;
use crate::rates::owner::LOAN_EXPIRY_WAIT;
use crate::rates::owner::LOAN_HOLD;
use crate::rates::ownership::Ownership;
use crate::rates::ownership::ShareLayout;
use crate::rates::tokens::FRACTIONS;
use crate::rates::tokens::Limit;
use crate::rates::tokens::Tokens;

/// The time after which an unanswered call is dropped.
const CALL_TTL: Span = Span::from_secs(5);

/// The time for which the end of a loan or grant is remembered.
pub const HOLD_MEMORY: Span = Span::from_secs(10);

/// `RateLimiter` decides for one proxy which requests are within their workspace's rate.
///
/// It does no I/O and has no clock: the caller passes the time, performs the returned actions,
/// delivers replies and calls `tick` when `next_due` says so.
#[derive(Debug)]
pub struct RateLimiter {
    shared: SharedState,
    limits: HashMap<WorkspaceId, ConfiguredLimit>,
    /// The state of workspaces in use; created by the first request and dropped when idle.
    accounts: HashMap<WorkspaceId, Account>,
    /// The scheduled calls to `Account::tick`. Only the entry that equals `Account::wake` counts.
    wakes: BinaryHeap<Reverse<(Time, WorkspaceId)>>,
    /// The time at which outdated calls were last dropped.
    last_prune: Time,
    /// The latest end of a loan or grant of each owner, as far as it is not older than
    /// `HOLD_MEMORY`.
    held_ends: HashMap<VmId, Time>,
    /// Whether a configuration with limits has been set since the process started.
    had_limits: bool,
}

/// `RateRequest` is a request that needs tokens of its workspace.
#[derive(Clone, Copy, Debug)]
pub struct RateRequest {
    /// The ticket under which the caller is answered.
    pub ticket: Ticket,
    /// The workspace charged with the cost.
    pub workspace: WorkspaceId,
    /// The priority level.
    pub level: Level,
    /// The tokens the request costs.
    pub cost: u32,
    /// The time by which the request has to be answered.
    pub deadline: Time,
}

#[derive(Clone, Copy, Debug)]
struct ConfiguredLimit {
    limit: Limit,
    /// The time before which this VM does not use its own fractions of the workspace.
    since: Time,
}

impl RateLimiter {
    /// Creates a limiter without limits and shares.
    ///
    /// `life` identifies this process and must differ from that of every process that ran on this
    /// VM within the last seconds, such as a start time in nanoseconds.
    pub fn new(vm: VmId, life: u64) -> Self {
        Self::with_layout(vm, life, ShareLayout::Hashed(FRACTIONS))
    }

    /// Creates a limiter like `new`, but spreads the fractions of each workspace over the shares of
    /// `layout`.
    ///
    /// Few shares suit low rates, at which a fraction would hold less than a token or two. With
    /// many shares less of the rate is lost with a single VM. All VMs must use the same layout.
    pub fn with_layout(vm: VmId, life: u64, layout: ShareLayout) -> Self {
        let ownership = Ownership::new(vm, layout);
        Self {
            shared: SharedState::new(ownership, life),
            limits: HashMap::new(),
            accounts: HashMap::new(),
            wakes: BinaryHeap::new(),
            last_prune: Time(0),
            held_ends: HashMap::new(),
            had_limits: false,
        }
    }

    /// Decides on a request of the highest level that costs `cost` tokens and has to be answered by
    /// `deadline`.
    ///
    /// A workspace without a limit is always admitted.
    pub fn acquire(
        &mut self,
        now: Time,
        ticket: Ticket,
        workspace: WorkspaceId,
        cost: u32,
        deadline: Time,
        out: &mut Vec<Action>,
    ) -> Decision {
        let request = RateRequest { ticket, workspace, level: Level::default(), cost, deadline };
        self.acquire_at_level(now, request, out)
    }

    /// Decides on a request. It waits for tokens before those of lower levels, and while tokens are
    /// scarce, a part of them is left to the most urgent level.
    ///
    /// A workspace without a limit is always admitted.
    pub fn acquire_at_level(
        &mut self,
        now: Time,
        request: RateRequest,
        out: &mut Vec<Action>,
    ) -> Decision {
        let RateRequest { ticket, workspace, level, cost, deadline } = request;
        let decision = self.with_account(now, workspace, out, |account, ctx| {
            account.acquire(ctx, ticket, level, Tokens::whole(cost), deadline)
        });
        decision.unwrap_or(Decision::Admit)
    }

    /// Removes a waiting request whose client has gone. Returns `true` if it was waiting.
    pub fn cancel(&mut self, workspace: WorkspaceId, ticket: Ticket) -> bool {
        self.accounts.get_mut(&workspace).is_some_and(|account| account.cancel(ticket))
    }

    /// Handles a request from another VM. Replies `NotOwner` for a workspace without a limit.
    pub fn handle_request(
        &mut self,
        now: Time,
        from: VmId,
        request: LimitRequest,
        out: &mut Vec<Action>,
    ) -> LimitReply {
        let reply = self.with_account(now, request.workspace, out, |account, ctx| {
            account.handle_request(ctx, from, request.ask)
        });
        reply.unwrap_or(LimitReply::NotOwner)
    }

    /// Handles the reply to an `Action::Send`; `None` means that the call failed or timed out.
    ///
    /// Only the first reply to a call counts; later ones are ignored.
    pub fn handle_reply(
        &mut self,
        now: Time,
        call: CallId,
        reply: Option<LimitReply>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.shared.calls.remove(&call) else { return };
        self.record_hold(&call, reply.as_ref());
        self.with_account(now, call.workspace, out, |account, ctx| {
            account.handle_reply(ctx, &call, reply);
        });
    }

    /// Performs the work due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.prune_calls(now);
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

    /// Returns the time at which `tick` has to be called next, or `None` if nothing is scheduled.
    pub fn next_due(&self) -> Option<Time> {
        self.wakes.peek().map(|Reverse((due, _))| *due)
    }

    /// Replaces the limits. Workspaces that are not listed become unlimited, and their waiting
    /// requests are refused.
    pub fn set_limits(
        &mut self,
        now: Time,
        limits: impl IntoIterator<Item = (WorkspaceId, Limit)>,
        out: &mut Vec<Action>,
    ) {
        let is_first = !self.had_limits;
        let previous = std::mem::take(&mut self.limits);
        for (workspace, limit) in limits {
            let known = previous.get(&workspace).map(|configured| configured.since);
            // Loans made under an earlier limit of the workspace may still be in use. At the start
            // of the process, the wait for its shares already covers them.
            let since = known.unwrap_or(if is_first { now } else { now + LOAN_EXPIRY_WAIT });
            self.limits.insert(workspace, ConfiguredLimit { limit, since });
            if let Some(account) = self.accounts.get_mut(&workspace) {
                account.set_limit(now, limit);
            }
        }
        self.had_limits |= !self.limits.is_empty();
        let removed: Vec<WorkspaceId> =
            previous.into_keys().filter(|workspace| !self.limits.contains_key(workspace)).collect();
        for workspace in removed {
            let Some(mut account) = self.accounts.remove(&workspace) else { continue };
            account.refuse_all(&mut self.shared.context(now, out));
        }
    }

    /// Replaces the distances to other VMs: of several owners that have enough tokens, the nearest
    /// is asked.
    pub fn set_distances(&mut self, distances: impl IntoIterator<Item = (VmId, Distance)>) {
        self.shared.ownership.set_distances(distances);
    }

    /// Replaces the owner of each share; this VM may use its own shares until `until`.
    pub fn set_shares(&mut self, now: Time, owners: &[Option<VmId>], until: Time) {
        self.set_shares_with_wait(now, owners, until, LOAN_EXPIRY_WAIT);
    }

    /// Replaces the shares like `set_shares`, but newly owned shares become usable after `wait`,
    /// within which all loans of earlier owners must expire.
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

    /// Replaces the shares like `set_shares`, but makes own shares usable at once, with the tokens
    /// that they have gained since `from`. Must be called only if nothing of these shares has been
    /// in use since `from`, neither by an earlier owner nor as a loan or grant.
    pub fn activate_shares(&mut self, now: Time, owners: &[Option<VmId>], until: Time, from: Time) {
        if self.shared.ownership.start(now, owners, until, from) {
            self.reset_owners(now);
        }
    }

    /// Replaces the owners and stops using this VM's own shares, because other VMs may take them
    /// over. A later `set_shares` puts them back into use after a wait.
    pub fn suspend_shares(&mut self, now: Time, owners: &[Option<VmId>]) {
        self.shared.ownership.end(now);
        self.set_shares(now, owners, now);
    }

    /// Stops using own shares, returns all loans and refuses the waiting requests, for use before a
    /// planned stop. Open sessions continue with tokens granted by other VMs.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        self.shared.ownership.end(now);
        for account in self.accounts.values_mut() {
            let mut ctx = self.shared.context(now, out);
            account.return_loans(&mut ctx);
            account.refuse_all(&mut ctx);
        }
    }

    /// Returns the tokens that this VM can spend for a workspace at once without calling other VMs,
    /// or `None` if the workspace has no limit.
    pub fn available(&mut self, now: Time, workspace: WorkspaceId) -> Option<Tokens> {
        self.with_account(now, workspace, &mut Vec::new(), Account::spendable)
    }

    /// Returns the remaining time for which this VM may use loans and grants from owners that match
    /// `filter`.
    pub fn held(&self, now: Time, filter: impl Fn(VmId) -> bool + Copy) -> Span {
        let until = self.accounts.values().map(|account| account.held_until(filter)).max();
        until.unwrap_or_default().since(now)
    }

    /// Returns the time since which this VM has had no loan or grant from owners that match
    /// `filter`: at most `HOLD_MEMORY` ago, or later than `now` if it has one.
    pub fn free_since(&self, now: Time, filter: impl Fn(VmId) -> bool) -> Time {
        let ends = self.held_ends.iter().filter(|(owner, _)| filter(**owner));
        let latest = ends.map(|(_, end)| *end).max().unwrap_or_default();
        latest.max(Time(now.0.saturating_sub(HOLD_MEMORY.0)))
    }

    /// Returns the remaining time for which other VMs may use loans and grants from this VM or from
    /// an earlier owner of its shares.
    pub fn lent(&self, now: Time) -> Span {
        let until = self.accounts.values().filter_map(Account::lent_until).max();
        until.unwrap_or_default().max(self.shared.ownership.latest_usable()).since(now)
    }

    /// Returns `true` if this VM spends tokens of shares that it owns.
    pub fn uses_shares(&self, now: Time) -> bool {
        self.shared.ownership.has_usable(now)
    }

    /// Returns the time at which the oldest unanswered call was sent.
    pub fn oldest_call(&self) -> Option<Time> {
        self.shared.calls.values().map(|call| call.sent).min()
    }

    /// Returns the number of workspaces for which this VM holds state.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Records until when the loan or grant in a reply may be used.
    fn record_hold(&mut self, call: &Call, reply: Option<&LimitReply>) {
        let hold = match reply {
            Some(LimitReply::Lent { loan: Some(_), .. } | LimitReply::Renewed) => LOAN_HOLD,
            Some(LimitReply::Lent { grant: Some(_), .. }) => GRANT_HOLD,
            _ => return,
        };
        let end = self.held_ends.entry(call.to).or_default();
        *end = (*end).max(call.sent + hold);
    }

    /// Runs `event` on the account of a workspace and schedules its next `tick`. Returns `None` if
    /// the workspace has no limit.
    fn with_account<R>(
        &mut self,
        now: Time,
        workspace: WorkspaceId,
        out: &mut Vec<Action>,
        event: impl FnOnce(&mut Account, &mut Context<'_>) -> R,
    ) -> Option<R> {
        // A workspace with an account has a limit, so most requests need a single map lookup.
        let account = match self.accounts.entry(workspace) {
            Entry::Occupied(account) => account.into_mut(),
            Entry::Vacant(vacant) => {
                let ConfiguredLimit { limit, since } = *self.limits.get(&workspace)?;
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

    /// Drops the owner state of all accounts, after this VM's right to use its shares has lapsed or
    /// the number of shares has changed.
    fn reset_owners(&mut self, now: Time) {
        for account in self.accounts.values_mut() {
            account.reset_owner(now, &self.shared.ownership);
        }
    }

    /// Drops calls older than `CALL_TTL`, at most once per `CALL_TTL`.
    fn prune_calls(&mut self, now: Time) {
        if now < self.last_prune + CALL_TTL {
            return;
        }
        self.last_prune = now;
        self.shared.calls.retain(|_, call| now.since(call.sent) < CALL_TTL);
        self.held_ends.retain(|_, end| now.since(*end) < HOLD_MEMORY);
    }
}
