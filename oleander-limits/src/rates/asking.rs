//! What one VM asks the owners of a workspace's rate for, and what it may expect of them.

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

/// The time for whose demand a VM keeps tokens in stock: less than the hold of a grant.
const STOCK_TIME: Span = Span::from_millis(300);
/// The time for whose demand the stock must last, or it is filled up: several round trips.
const LOW_STOCK_TIME: Span = Span::from_millis(150);
/// The least time between two questions for tokens that nobody waits for.
const STOCK_INTERVAL: Span = Span::from_millis(100);
/// The least amount that is worth a message when nobody waits.
const MIN_STOCK: Tokens = Tokens::whole(1);
/// The least time after which a refused caller is asked to come back.
const MIN_RETRY: Span = Span::from_millis(1);

impl Account {
    pub(super) fn update_peer(
        &mut self,
        now: Time,
        at: usize,
        asked: Tokens,
        reply: Option<&LimitReply>,
    ) {
        let limit = self.limit;
        let unborrowed = self.unborrowed(at);
        let peer = &mut self.peers[at];
        match reply {
            Some(LimitReply::Lent { again: Some(again), .. }) => {
                peer.record_recall(now, limit, unborrowed, *again);
            }
            Some(LimitReply::Lent { grant, loan: None, .. })
                if grant.map_or(Tokens::ZERO, |grant| grant.amount).0 < asked.0 / 2 =>
            {
                peer.record_empty(now);
            }
            Some(LimitReply::Lent { left, lent, .. }) => {
                // What a recall would bring is not known; half is a fair guess.
                let recalled = Tokens(limit.capacity(*lent).0 / 2);
                peer.record_grant(now, *left + recalled);
            }
            // The owner has started lately or knows of a newer owner: either passes within moments.
            Some(LimitReply::NotOwner) => peer.record_empty(now),
            _ => peer.record_failure(now),
        }
    }

    /// Asks the owners that probably have the most for what the waiting requests need, and for
    /// what is probably asked for next.
    pub(super) fn request_tokens(&mut self, ctx: &mut Context<'_>) {
        let pending: Tokens = self.peers.iter().map(Peer::pending_tokens).sum();
        let covered = self.available(ctx) + pending;
        let demand = self.meter.per_second(ctx.now);
        let need = self.queue.cost().saturating_sub(covered);
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
        let mut rest = need;
        for Allocation { at, amount } in plan::divide(self.offers(ctx), wanted) {
            let to = self.peers[at].vm;
            let settled = self.borrower.take_settled(ctx.now, to);
            let need = amount.min(rest);
            rest = rest.saturating_sub(need);
            let ask = Ask::Borrow { need, stock: amount.saturating_sub(need), demand, settled };
            let call = ctx.send(to, self.workspace, ask);
            self.peers[at].record_call(ctx.now, call, amount);
        }
    }

    /// Gets what the peers that may be asked now are expected to have.
    fn offers(&mut self, ctx: &Context<'_>) -> SmallVec<[Offer; 8]> {
        let mut offers = SmallVec::new();
        for at in 0..self.peers.len() {
            let unborrowed = self.unborrowed(at);
            if self.peers[at].is_ready(ctx.now) && 0 < unborrowed {
                let left = self.peers[at].expected(ctx.now, self.limit, unborrowed);
                offers.push(Offer::new(at, left, self.limit.capacity(unborrowed)));
            }
        }
        offers
    }

    /// Gets the tokens that a request may hope for until `until`.
    pub(super) fn expected_tokens(&mut self, ctx: &Context<'_>, until: Time) -> Tokens {
        let refill = self.limit.refill(self.local_fractions(ctx), until.since(ctx.now));
        self.available(ctx) + refill + self.expected_remote(ctx)
    }

    /// Gets the tokens that owners are expected to give, and those of own loans to be recalled.
    pub(super) fn expected_remote(&mut self, ctx: &Context<'_>) -> Tokens {
        let mut expected = self.limit.capacity(self.owner.lent());
        for at in 0..self.peers.len() {
            let unborrowed = self.unborrowed(at);
            let peer = &mut self.peers[at];
            expected += peer.pending_tokens();
            if peer.is_soon_ready(ctx.now) {
                expected += peer.expected(ctx.now, self.limit, unborrowed);
            }
        }
        expected
    }

    pub(super) fn retry_after(&mut self, ctx: &Context<'_>, cost: Tokens) -> Span {
        let missing = (self.queue.cost() + cost).saturating_sub(self.available(ctx));
        self.limit.time_for(FRACTIONS, missing).max(MIN_RETRY)
    }

    /// Gets the fractions of a peer that are not held here.
    pub(super) fn unborrowed(&self, at: usize) -> u32 {
        let peer = &self.peers[at];
        peer.fractions.saturating_sub(self.borrower.fractions_of(peer.vm))
    }
}

/// Gets the tokens of `demand`, which is a second's, in `span`.
fn demand_over(demand: Tokens, span: Span) -> Tokens {
    Tokens::from_f64(demand.as_f64() * span.as_secs_f64())
}
