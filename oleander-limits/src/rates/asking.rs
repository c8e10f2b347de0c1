//! Requests for tokens to the owners of a workspace's rate, and estimates of what they will give.

use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::messages::Ask;
use crate::messages::LimitReply;
use crate::rates::account::Account;
use crate::rates::context::Context;
use crate::rates::peers::Peer;
use crate::rates::plan;
use crate::rates::plan::Allocation;
use crate::rates::plan::Offer;
use crate::rates::tokens::FRACTIONS;
use crate::rates::tokens::Tokens;

/// The period whose expected demand a VM requests as stock; shorter than `GRANT_HOLD`, so that it
/// is used before it expires.
const STOCK_TIME: Span = Span::from_millis(300);
/// A VM requests new stock once its tokens cover less than the expected demand of this period,
/// which spans several round trips.
const LOW_STOCK_TIME: Span = Span::from_millis(150);
/// The minimum interval between two requests for stock alone.
const STOCK_INTERVAL: Span = Span::from_millis(100);
/// The smallest amount of stock to request while no request waits; less does not justify a message.
const MIN_STOCK: Tokens = Tokens::whole(1);
/// The minimum time after which a refused client is told to retry.
const MIN_RETRY: Span = Span::from_millis(1);

impl Account {
    /// Updates the estimate and backoff of the peer at `index` after a call that asked it for
    /// `asked` tokens for waiting requests, of which `urgent` are for the most urgent level.
    /// `reply` is `None` if the call failed.
    pub(super) fn update_peer(
        &mut self,
        now: Time,
        index: usize,
        asked: Tokens,
        urgent: Tokens,
        reply: Option<&LimitReply>,
    ) {
        let limit = self.limit;
        let unborrowed = self.unborrowed(index);
        let peer = &mut self.peers[index];
        match reply {
            Some(LimitReply::Lent { again: Some(again), .. }) => {
                peer.record_recall(now, limit, unborrowed, *again);
            }
            Some(LimitReply::Lent { grant, loan: None, left, .. })
                if grant.map_or(Tokens::ZERO, |grant| grant.amount).0 < asked.0 / 2 =>
            {
                // What the peer holds back is for requests of the most urgent level.
                if urgent < asked && (*left != Tokens::ZERO || urgent == Tokens::ZERO) {
                    peer.record_reserved(now, *left);
                } else {
                    peer.record_empty(now);
                }
            }
            Some(LimitReply::Lent { left, lent, .. }) => {
                // The tokens that a recall will return are unknown; half of the capacity is
                // assumed.
                let recalled = Tokens(limit.capacity(*lent).0 / 2);
                peer.record_grant(now, *left + recalled);
            }
            // The peer cannot use its fractions yet, or no longer owns any. Both states are brief.
            Some(LimitReply::NotOwner) => peer.record_empty(now),
            _ => peer.record_failure(now),
        }
    }

    /// Requests tokens for the waiting requests and for expected demand from the owners with the
    /// highest estimates.
    pub(super) fn request_tokens(&mut self, ctx: &mut Context<'_>) {
        let pending: Tokens = self.peers.iter().map(Peer::pending_tokens).sum();
        let covered = self.available_at(ctx, Level::LAST) + pending;
        let demand = self.meter.per_second(ctx.now);
        let urgent_covered = self.available(ctx) + pending;
        let urgent_need = self.queue.cost_ahead(Level::FIRST).saturating_sub(urgent_covered);
        let need = self.queue.cost().saturating_sub(covered).max(urgent_need);
        let wanted = if need != Tokens::ZERO {
            self.recall(ctx, ctx.ownership.vm());
            need + demand_over(demand, STOCK_TIME)
        } else {
            let spare = covered.saturating_sub(self.queue.cost());
            if demand_over(demand, LOW_STOCK_TIME) <= spare || ctx.now < self.next_restock {
                return;
            }
            self.next_restock = ctx.now + STOCK_INTERVAL;
            demand_over(demand, STOCK_TIME).saturating_sub(spare).max(MIN_STOCK)
        };
        let level = if urgent_need == Tokens::ZERO { Level::LAST } else { Level::FIRST };
        let (mut rest, mut urgent_rest) = (need, urgent_need);
        for Allocation { index, amount } in plan::divide(self.offers(ctx, level), wanted) {
            let to = self.peers[index].vm;
            let settled = self.borrower.take_settled(ctx.now, to);
            let need = amount.min(rest);
            rest = rest.saturating_sub(need);
            let urgent = need.min(urgent_rest);
            urgent_rest = urgent_rest.saturating_sub(urgent);
            let stock = amount.saturating_sub(need);
            let ask = Ask::Borrow { need, urgent, stock, demand, settled };
            let call = ctx.send(to, self.workspace, ask);
            self.peers[index].record_call(ctx.now, call, amount);
        }
    }

    /// Returns the estimated tokens of the peers that may be called now for requests of `level`.
    fn offers(&mut self, ctx: &Context<'_>, level: Level) -> SmallVec<[Offer; 8]> {
        let mut offers = SmallVec::new();
        for index in 0..self.peers.len() {
            let unborrowed = self.unborrowed(index);
            if self.peers[index].is_ready(ctx.now, level) && 0 < unborrowed {
                let left = self.peers[index].expected(ctx.now, self.limit, unborrowed);
                let distance = ctx.ownership.distance(self.peers[index].vm);
                offers.push(Offer::new(index, left, self.limit.capacity(unborrowed), distance));
            }
        }
        offers
    }

    /// Returns the tokens that may become available by `until` to a request of `level`.
    pub(super) fn expected_tokens(
        &mut self,
        ctx: &Context<'_>,
        level: Level,
        until: Time,
    ) -> Tokens {
        let refill = self.limit.refill(self.local_fractions(ctx), until.since(ctx.now));
        self.available_at(ctx, level) + refill + self.expected_remote(ctx, level)
    }

    /// Returns the tokens expected for requests of `level` from other owners and from the recall of
    /// loans that this VM made. Each lent fraction counts as full.
    pub(super) fn expected_remote(&mut self, ctx: &Context<'_>, level: Level) -> Tokens {
        let mut expected = self.limit.capacity(self.owner.lent());
        for index in 0..self.peers.len() {
            let unborrowed = self.unborrowed(index);
            let peer = &mut self.peers[index];
            expected += peer.pending_tokens();
            if peer.is_soon_ready(ctx.now, level) {
                expected += peer.expected(ctx.now, self.limit, unborrowed);
            }
        }
        expected
    }

    /// Returns the time in which the whole rate yields the tokens that are missing for the requests
    /// that are served before another one of `cost` and `level`, and for that one; at least
    /// `MIN_RETRY`.
    pub(super) fn retry_after(&mut self, ctx: &Context<'_>, level: Level, cost: Tokens) -> Span {
        let wanted = self.queue.cost_ahead(level) + cost;
        let missing = wanted.saturating_sub(self.available_at(ctx, level));
        self.limit.time_for(FRACTIONS, missing).max(MIN_RETRY)
    }

    /// Returns the fractions of a peer that this VM has not borrowed.
    pub(super) fn unborrowed(&self, index: usize) -> u32 {
        let peer = &self.peers[index];
        peer.fractions.saturating_sub(self.borrower.fractions_of(peer.vm))
    }
}

/// Returns the tokens requested over `span` at `demand` tokens per second.
fn demand_over(demand: Tokens, span: Span) -> Tokens {
    Tokens::from_f64(demand.as_f64() * span.as_secs_f64())
}
