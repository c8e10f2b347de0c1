//! The owner side of a workspace's rate: fractions kept by this VM, fractions lent to others, and
//! tokens granted from the owner's bucket.

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::messages::Grant;
use crate::messages::Loan;
use crate::messages::LoanId;
use crate::messages::Returned;
use crate::messages::Settled;
use crate::rates::demand::DemandTable;
use crate::rates::overflow::Overflow;
use crate::rates::tokens::Bucket;
use crate::rates::tokens::Limit;
use crate::rates::tokens::Tokens;

/// The time for which a borrower may use lent fractions, counted from sending its request: ten
/// round trips between distant regions, since fractions of a VM that is lost are out of use for as
/// long.
pub const LOAN_HOLD: Span = Span::from_millis(500);
/// The time for which a borrower may use granted tokens, counted from sending its request.
pub const GRANT_HOLD: Span = Span::from_millis(400);
/// The time for which an owner counts fractions as lent. It exceeds `LOAN_HOLD` by the possible
/// drift between two clocks.
const LOAN_RESERVATION: Span = Span::from_millis(505);
/// The time for which an owner counts tokens as granted. It exceeds `GRANT_HOLD` by the possible
/// drift between two clocks.
const GRANT_RESERVATION: Span = Span::from_millis(405);
/// The time for which a new owner or a restarted VM must not use its shares, so that every loan
/// made earlier has expired.
pub const LOAN_EXPIRY_WAIT: Span = Span::from_millis(510);
/// An owner grants no tokens for stock from the last part of its capacity, which is the capacity
/// divided by this.
const RESERVE_DIVISOR: u64 = 4;
/// While tokens are scarce, requests below the most urgent level leave the last part of the
/// capacity, which is the capacity divided by this, to that level. Its share of the demand is the
/// smaller one, so that a part that refills within a fraction of a second suffices.
const URGENT_RESERVE_DIVISOR: u64 = 8;
/// The time for which tokens count as scarce after a request did not get its tokens: several
/// round trips between regions, so that the reserve does not come and go between two requests.
const SCARCITY_TIME: Span = Span::from_millis(1_000);
/// The interval after which an unanswered recall is sent again.
const RECALL_INTERVAL: Span = Span::from_millis(100);
/// The interval after which a borrower is asked again whether it still needs a loan.
const PROBE_INTERVAL: Span = Span::from_millis(40);
/// The minimum demand in tokens per second at which whole fractions are lent.
const MIN_LEND_DEMAND: Tokens = Tokens::whole(8);

/// `RateOwner` holds the state of the fractions of one workspace that this VM owns.
#[derive(Clone, Debug, Default)]
pub struct RateOwner {
    /// The number of usable fractions, lent or not.
    total: u32,
    /// The tokens of the fractions that are not lent.
    bucket: Bucket,
    lent: SmallVec<[LentLoan; 1]>,
    granted: SmallVec<[OpenGrant; 2]>,
    overflow: Overflow,
    demand_table: DemandTable,
    /// The time until which tokens count as scarce.
    scarce_until: Time,
}

#[derive(Clone, Copy, Debug)]
struct LentLoan {
    id: LoanId,
    to: VmId,
    fractions: u32,
    /// The time of lending.
    from: Time,
    /// The time at which the fractions no longer count as lent.
    until: Time,
    /// The time of the last recall, or `None` if there was none.
    recalled_at: Option<Time>,
    /// The time of the last probe, or `None` if there was none.
    probed_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct OpenGrant {
    id: LoanId,
    amount: Tokens,
    /// The time of granting.
    from: Time,
    /// The time at which the tokens no longer count as granted.
    until: Time,
}

/// `BorrowRequest` is a borrower's request to an owner.
#[derive(Clone, Copy, Debug)]
pub struct BorrowRequest {
    /// The borrower.
    pub from: VmId,
    /// The tokens needed by requests waiting at the borrower.
    pub tokens: Tokens,
    /// The part of `tokens` for requests of the most urgent level.
    pub urgent: Tokens,
    /// The additional tokens the borrower wants for future requests.
    pub stock: Tokens,
    /// The demand of the borrower's callers in tokens per second.
    pub demand: Tokens,
    /// The demand of the owner's own callers in tokens per second.
    pub own_demand: Tokens,
}

/// `Recall` is a loan to recall or to probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Recall {
    /// The borrower that holds the loan.
    pub to: VmId,
    /// The loan.
    pub loan: LoanId,
}

impl RateOwner {
    /// Creates the state of `total` fractions that together hold `level` tokens.
    pub fn new(now: Time, total: u32, level: Tokens) -> Self {
        Self { total, bucket: Bucket::new(level, now), ..Self::default() }
    }

    /// Sets the number of usable fractions; added fractions are empty.
    pub fn set_total(&mut self, now: Time, limit: Limit, total: u32) {
        self.advance(now, limit);
        self.total = total;
        self.clip(limit);
    }

    /// Replaces the limit and reduces the level to the new capacity.
    pub fn set_limit(&mut self, now: Time, old: Limit, new: Limit) {
        self.advance(now, old);
        self.clip(new);
    }

    /// Returns `true` if this VM owns usable fractions, lent or not.
    pub fn has_fractions(&self) -> bool {
        0 < self.total
    }

    /// Returns the number of fractions that are lent out.
    pub fn lent(&self) -> u32 {
        self.lent.iter().map(|lent| lent.fractions).sum()
    }

    /// Returns the ratio of the level to the capacity of the fractions that are not lent.
    pub fn fill_ratio(&self, limit: Limit) -> f64 {
        self.bucket.level.0 as f64 / limit.capacity(self.unlent()).0.max(1) as f64
    }

    /// Returns the time until which lent fractions or granted tokens may be in use, or `None` if
    /// there are none.
    pub fn lent_until(&self) -> Option<Time> {
        let lent = self.lent.iter().map(|lent| lent.until);
        lent.chain(self.granted.iter().map(|granted| granted.until)).max()
    }

    /// Returns the number of fractions that are not lent out.
    pub fn unlent(&self) -> u32 {
        self.total.saturating_sub(self.lent())
    }

    /// Returns the tokens in the owner's bucket at `now`.
    pub fn available(&mut self, now: Time, limit: Limit) -> Tokens {
        self.advance(now, limit);
        self.bucket.level
    }

    /// Removes up to `amount` tokens from the owner's bucket and returns the amount removed.
    pub fn take(&mut self, amount: Tokens) -> Tokens {
        self.bucket.take(amount)
    }

    /// Closes grants that borrowers have finished with, and takes back their unused tokens.
    pub fn end_grants(&mut self, now: Time, limit: Limit, settled: &[Settled]) {
        self.advance(now, limit);
        for Settled { grant, unused, age } in settled {
            let Some(index) = self.granted.iter().position(|granted| granted.id == *grant) else {
                continue;
            };
            let granted = self.granted.remove(index);
            let unused = (*unused).min(granted.amount);
            let used = granted.amount.saturating_sub(unused);
            // Until now the used tokens have reduced the capacity, though it was free again once
            // they had been used. Refill lost since then is credited.
            let since = Time(now.0.saturating_sub(age.0)).max(granted.from);
            self.bucket.level += unused + self.overflow.credit(since, used);
        }
        self.clip(limit);
    }

    /// Lends whole fractions if the borrower has nearly all of a sustained demand. Returns `None`
    /// otherwise, or if all fractions are lent or needed for outstanding grants.
    pub fn lend(
        &mut self,
        now: Time,
        limit: Limit,
        request: BorrowRequest,
        id: LoanId,
    ) -> Option<Loan> {
        self.advance(now, limit);
        self.demand_table.record(now, request.from, request.demand);
        if request.demand < MIN_LEND_DEMAND
            || !self.demand_table.is_exclusive(now, request.from, request.own_demand)
        {
            return None;
        }
        // Outstanding grants must fit into the capacity of the fractions that are not lent.
        let mut fractions = self.unlent();
        while 0 < fractions && limit.capacity(self.unlent() - fractions) < self.outstanding() {
            fractions -= 1;
        }
        if fractions == 0 {
            return None;
        }
        let level = self.bucket.take(limit.capacity(fractions));
        let until = now + LOAN_RESERVATION;
        let to = request.from;
        let lent =
            LentLoan { id, to, fractions, from: now, until, recalled_at: None, probed_at: None };
        self.lent.push(lent);
        self.clip(limit);
        Some(Loan { id, fractions, level })
    }

    /// Returns the tokens that may be granted for stock in addition to `need`. A part of the
    /// capacity is held back, so that waiting requests of all VMs take precedence when tokens are
    /// scarce.
    pub fn surplus(&mut self, now: Time, limit: Limit, need: Tokens) -> Tokens {
        self.advance(now, limit);
        let kept = Tokens(limit.capacity(self.unlent()).0 / RESERVE_DIVISOR);
        self.bucket.level.saturating_sub(need + kept)
    }

    /// Records that a request did not get its tokens.
    pub fn note_scarcity(&mut self, now: Time) {
        self.scarce_until = now + SCARCITY_TIME;
    }

    /// Returns the tokens of `fractions` fractions that requests below the most urgent level have
    /// to leave; zero unless tokens are scarce.
    pub fn urgent_reserve(&self, now: Time, limit: Limit, fractions: u32) -> Tokens {
        if self.scarce_until <= now {
            return Tokens::ZERO;
        }
        Tokens(limit.capacity(fractions).0 / URGENT_RESERVE_DIVISOR)
    }

    /// Returns the part of `need` that may be granted, of which `urgent` is for requests of the
    /// most urgent level.
    pub fn grantable(&mut self, now: Time, limit: Limit, need: Tokens, urgent: Tokens) -> Tokens {
        let reserve = self.urgent_reserve(now, limit, self.unlent());
        let unreserved = self.available(now, limit).saturating_sub(reserve);
        need.min(urgent.max(unreserved))
    }

    /// Grants up to `amount` tokens, or returns `None` if the bucket is empty.
    pub fn grant(&mut self, now: Time, limit: Limit, amount: Tokens, id: LoanId) -> Option<Grant> {
        self.advance(now, limit);
        let amount = self.bucket.take(amount);
        if amount == Tokens::ZERO {
            return None;
        }
        self.granted.push(OpenGrant { id, amount, from: now, until: now + GRANT_RESERVATION });
        Some(Grant { id, amount })
    }

    /// Extends a loan. Returns `false` if the loan is unknown or this VM no longer owns the
    /// fractions.
    pub fn renew(
        &mut self,
        now: Time,
        limit: Limit,
        from: VmId,
        loan: LoanId,
        demand: Tokens,
    ) -> bool {
        self.advance(now, limit);
        self.demand_table.record(now, from, demand);
        if self.total < self.lent() {
            return false;
        }
        let Some(lent) = self.lent.iter_mut().find(|lent| lent.id == loan) else { return false };
        lent.until = now + LOAN_RESERVATION;
        true
    }

    /// Takes back a returned loan and its tokens.
    ///
    /// The refill that neither side counted while the loan was in transit is credited, as far as
    /// the loan's bucket had room for it throughout.
    pub fn take_back(&mut self, now: Time, limit: Limit, returned: Returned) {
        self.advance(now, limit);
        let Some(idx) = self.lent.iter().position(|lent| lent.id == returned.loan) else { return };
        let lent = self.lent.remove(idx);
        self.demand_table.record(now, lent.to, returned.demand);
        let uncounted = now.since(lent.from).saturating_sub(returned.held);
        let credit = limit.refill(lent.fractions, uncounted).min(returned.headroom);
        self.bucket.level += (returned.level + credit).min(limit.capacity(lent.fractions));
        self.clip(limit);
    }

    /// Returns the loans of other VMs to recall on behalf of `from`, each at most once per
    /// `RECALL_INTERVAL`.
    pub fn due_recalls(&mut self, now: Time, from: VmId) -> SmallVec<[Recall; 2]> {
        take_due(&mut self.lent, now, from, RECALL_INTERVAL, |lent| &mut lent.recalled_at)
    }

    /// Returns the loans of other VMs to probe on behalf of `from`, each at most once per
    /// `PROBE_INTERVAL`. A probed borrower returns the loan unless its own demand is higher.
    pub fn due_probes(&mut self, now: Time, from: VmId) -> SmallVec<[Recall; 2]> {
        take_due(&mut self.lent, now, from, PROBE_INTERVAL, |lent| &mut lent.probed_at)
    }

    /// Returns the number of fractions lent to VMs other than `from`.
    pub fn lent_to_others(&self, from: VmId) -> u32 {
        self.lent.iter().filter(|lent| lent.to != from).map(|lent| lent.fractions).sum()
    }

    /// Returns `true` if the state equals that of a newly created owner, so that it may be dropped.
    pub fn is_idle(&mut self, now: Time, limit: Limit) -> bool {
        self.advance(now, limit);
        self.lent.is_empty()
            && self.granted.is_empty()
            && self.demand_table.is_empty(now)
            && self.bucket.level == limit.capacity(self.total)
    }

    /// Advances the state to `now`: ends expired grants and loans, each at its own expiry, and adds
    /// refill.
    fn advance(&mut self, now: Time, limit: Limit) {
        while let Some(granted) = self.granted.first().copied()
            && granted.until <= now
        {
            self.refill(granted.until, limit);
            self.granted.remove(0);
        }
        self.refill(now, limit);
        // A fraction that was not returned counts as empty when its loan expires.
        let mut index = 0;
        while index < self.lent.len() {
            let lent = self.lent[index];
            if now < lent.until {
                index += 1;
                continue;
            }
            self.lent.remove(index);
            let gained = limit.refill(lent.fractions, now.since(lent.until));
            self.bucket.level += gained.min(limit.capacity(lent.fractions));
        }
        self.clip(limit);
    }

    /// Adds the refill up to `now` and records the part that outstanding grants left no room for.
    fn refill(&mut self, now: Time, limit: Limit) {
        let unlent = self.unlent();
        let outstanding = self.outstanding();
        let capacity = limit.capacity(unlent).saturating_sub(outstanding);
        let full = self.bucket.level + limit.refill(unlent, now.since(self.bucket.at));
        let lost = full.saturating_sub(capacity.max(self.bucket.level));
        let from = Time(now.0.saturating_sub(limit.time_for(unlent, lost).0)).max(self.bucket.at);
        self.bucket.refill(now, limit, unlent, capacity);
        if outstanding == Tokens::ZERO {
            self.overflow.clear();
        } else if lost != Tokens::ZERO {
            self.overflow.record(from, now, lost);
        }
    }

    /// Limits the level so that it and the outstanding grants together fit into the capacity.
    fn clip(&mut self, limit: Limit) {
        let capacity = limit.capacity(self.unlent()).saturating_sub(self.outstanding());
        self.bucket.level = self.bucket.level.min(capacity);
    }

    /// Returns the tokens of grants that have neither ended nor expired.
    fn outstanding(&self) -> Tokens {
        self.granted.iter().map(|granted| granted.amount).sum()
    }
}

/// Returns the loans of VMs other than `from` that were last requested at least `interval` ago, and
/// sets the time selected by `last_request` to `now`.
fn take_due(
    lent: &mut [LentLoan],
    now: Time,
    from: VmId,
    interval: Span,
    last_request: impl Fn(&mut LentLoan) -> &mut Option<Time>,
) -> SmallVec<[Recall; 2]> {
    let mut due = SmallVec::new();
    for lent in lent.iter_mut().filter(|lent| lent.to != from) {
        let asked_at = last_request(lent);
        if asked_at.is_some_and(|at| now < at + interval) {
            continue;
        }
        *asked_at = Some(now);
        due.push(Recall { to: lent.to, loan: lent.id });
    }
    due
}
