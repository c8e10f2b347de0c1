//! Lends, renews and recalls tokens and fractions of a workspace's rate.

use oleander_core::ids::VmId;
use oleander_core::time::Span;

use crate::messages::Ask;
use crate::messages::LimitReply;
use crate::messages::LoanId;
use crate::rates::account::Account;
use crate::rates::context::Context;
use crate::rates::owner::BorrowRequest;
use crate::rates::tokens::Tokens;

/// The time after which a borrower should ask again while the owner recalls a loan.
const RECALL_WAIT: Span = Span::from_millis(5);

impl Account {
    /// Answers a request of a borrower with a loan, a grant or both. Recalls loans of other VMs if
    /// the tokens do not cover the borrower's need, and probes them otherwise.
    pub(super) fn lend(&mut self, ctx: &mut Context<'_>, request: BorrowRequest) -> LimitReply {
        if !ctx.ownership.is_valid(ctx.now) || !self.owner.has_fractions() {
            return LimitReply::NotOwner;
        }
        let request = BorrowRequest { own_demand: self.meter.per_second(ctx.now), ..request };
        let BorrowRequest { from, demand, .. } = request;
        let loan = self.owner.lend(ctx.now, self.limit, request, ctx.next_loan());
        let loan_level = loan.map_or(Tokens::ZERO, |loan| loan.level);
        let rest = request.tokens.saturating_sub(loan_level);
        let stock = request.stock.saturating_sub(loan_level.saturating_sub(request.tokens));
        let stock = stock.min(self.owner.surplus(ctx.now, self.limit, rest));
        let urgent = request.urgent.saturating_sub(loan_level);
        let need = self.owner.grantable(ctx.now, self.limit, rest, urgent);
        let grant = self.owner.grant(ctx.now, self.limit, need + stock, ctx.next_loan());
        let granted = grant.map_or(Tokens::ZERO, |grant| grant.amount);
        if granted < rest {
            self.owner.note_scarcity(ctx.now);
        }
        let lent = self.owner.lent_to_others(from);
        let needs_recall = granted < rest && 0 < lent;
        if needs_recall {
            self.recall(ctx, from);
        } else {
            self.probe(ctx, from, demand);
        }
        let left = self.owner.available(ctx.now, self.limit);
        LimitReply::Lent { grant, loan, left, lent, again: needs_recall.then_some(RECALL_WAIT) }
    }

    /// Answers a borrower's request to extend a loan.
    pub(super) fn renew(
        &mut self,
        ctx: &Context<'_>,
        from: VmId,
        loan: LoanId,
        demand: Tokens,
    ) -> LimitReply {
        let valid = ctx.ownership.is_valid(ctx.now);
        if valid && self.owner.renew(ctx.now, self.limit, from, loan, demand) {
            LimitReply::Renewed
        } else {
            LimitReply::Ended
        }
    }

    /// Recalls the loans of VMs other than `from`, which needs their tokens.
    pub(super) fn recall(&mut self, ctx: &mut Context<'_>, from: VmId) {
        for recall in self.owner.due_recalls(ctx.now, from) {
            ctx.send(recall.to, self.workspace, Ask::Recall { loan: recall.loan });
        }
    }

    /// Asks VMs other than `from` to return their loans if their demand is not above `demand`.
    fn probe(&mut self, ctx: &mut Context<'_>, from: VmId, demand: Tokens) {
        for probe in self.owner.due_probes(ctx.now, from) {
            ctx.send(probe.to, self.workspace, Ask::Probe { loan: probe.loan, demand });
        }
    }
}
