//! The borrower side of a workspace's rate: borrowed fractions and granted tokens.

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::messages::Grant;
use crate::messages::Loan;
use crate::messages::LoanId;
use crate::messages::Returned;
use crate::messages::Settled;
use crate::rates::owner::GRANT_HOLD;
use crate::rates::owner::LOAN_HOLD;
use crate::rates::tokens::Bucket;
use crate::rates::tokens::Limit;
use crate::rates::tokens::Tokens;

/// The time before a loan expires at which it is renewed or returned.
const RENEW_AHEAD: Span = Span::from_millis(250);
/// The interval after which an unanswered renewal is sent again.
const RENEW_RETRY_INTERVAL: Span = Span::from_millis(80);
/// The time before a grant expires at which its tokens are returned if no request waits.
const SURPLUS_AHEAD: Span = Span::from_millis(60);
/// The maximum number of ended grants recorded until they are reported to their owners.
const MAX_SETTLED: usize = 16;

/// `RateBorrower` holds the loans and grants of one workspace that this VM has received.
#[derive(Clone, Debug, Default)]
pub struct RateBorrower {
    loans: SmallVec<[HeldLoan; 1]>,
    grants: SmallVec<[HeldGrant; 1]>,
    settled: SmallVec<[EndedGrant; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLoan {
    id: LoanId,
    owner: VmId,
    fractions: u32,
    bucket: Bucket,
    /// The time at which the loan arrived and its refill began.
    since: Time,
    /// The time at which the loan expires.
    until: Time,
    /// The smallest difference between capacity and level so far, see `Returned::headroom`.
    headroom: Tokens,
    /// The time before which no further renewal is sent.
    retry_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    id: LoanId,
    owner: VmId,
    /// The tokens not spent yet.
    amount: Tokens,
    /// The time at which the grant expires.
    until: Time,
}

#[derive(Clone, Copy, Debug)]
struct EndedGrant {
    owner: VmId,
    id: LoanId,
    unused: Tokens,
    ended_at: Time,
}

/// `DueLoan` is a loan to renew, or to return if the demand has ceased.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DueLoan {
    /// The owner that lent it.
    pub owner: VmId,
    /// The id of the loan.
    pub loan: LoanId,
}

impl HeldGrant {
    /// Returns the time at which the grant is returned to its owner if no request waits.
    fn surplus_at(&self) -> Time {
        Time(self.until.0.saturating_sub(SURPLUS_AHEAD.0))
    }
}

impl HeldLoan {
    /// Adds the refill up to `now` and updates the headroom.
    fn refill(&mut self, now: Time, limit: Limit) {
        let capacity = limit.capacity(self.fractions);
        self.bucket.refill(now, limit, self.fractions, capacity);
        self.headroom = self.headroom.min(capacity.saturating_sub(self.bucket.level));
    }

    /// Returns the time at which the loan is to be renewed or returned.
    fn renewal(&self) -> Time {
        Time(self.until.0.saturating_sub(RENEW_AHEAD.0)).max(self.retry_at)
    }

    /// Returns the ratio of the level to the capacity.
    fn fill_ratio(&self, limit: Limit) -> f64 {
        self.bucket.level.0 as f64 / limit.capacity(self.fractions).0.max(1) as f64
    }
}

impl RateBorrower {
    /// Returns the time until which loans or grants from owners that match `filter` may be used,
    /// or `Time(0)` if there are none.
    pub fn held_until(&self, filter: impl Fn(VmId) -> bool) -> Time {
        let loans = self.loans.iter().map(|loan| (loan.owner, loan.until));
        let grants = self.grants.iter().map(|grant| (grant.owner, grant.until));
        let held = loans.chain(grants).filter(|(owner, _)| filter(*owner));
        held.map(|(_, until)| until).max().unwrap_or_default()
    }

    /// Adds a loan requested at `sent`, unless it has already expired.
    pub fn add_loan(&mut self, now: Time, limit: Limit, owner: VmId, loan: Loan, sent: Time) {
        let until = sent + LOAN_HOLD;
        if until <= now {
            return;
        }
        let capacity = limit.capacity(loan.fractions);
        let bucket = Bucket::new(loan.level.min(capacity), now);
        let headroom = capacity.saturating_sub(bucket.level);
        let Loan { id, fractions, .. } = loan;
        let held =
            HeldLoan { id, owner, fractions, bucket, since: now, until, headroom, retry_at: now };
        self.loans.push(held);
    }

    /// Adds a grant requested at `sent`, unless it has already expired.
    pub fn add_grant(&mut self, now: Time, owner: VmId, grant: Grant, sent: Time) {
        let until = sent + GRANT_HOLD;
        if now < until {
            self.grants.push(HeldGrant { id: grant.id, owner, amount: grant.amount, until });
        }
    }

    /// Returns the tokens available at `now`.
    pub fn available(&mut self, now: Time, limit: Limit) -> Tokens {
        self.advance(now, limit);
        let loans: Tokens = self.loans.iter().map(|loan| loan.bucket.level).sum();
        loans + self.grants.iter().map(|grant| grant.amount).sum()
    }

    /// Returns the number of borrowed fractions.
    pub fn fractions(&self) -> u32 {
        self.loans.iter().map(|loan| loan.fractions).sum()
    }

    /// Returns the number of fractions borrowed from `owner`.
    pub fn fractions_of(&self, owner: VmId) -> u32 {
        let own = self.loans.iter().filter(|loan| loan.owner == owner);
        own.map(|loan| loan.fractions).sum()
    }

    /// Spends up to `amount` of the granted tokens, which expire sooner than loans. Returns the
    /// amount spent.
    pub fn take_granted(&mut self, now: Time, amount: Tokens) -> Tokens {
        let mut taken = Tokens::ZERO;
        for grant in &mut self.grants {
            let spent = grant.amount.min(amount.saturating_sub(taken));
            grant.amount = grant.amount.saturating_sub(spent);
            taken += spent;
        }
        self.end_empty_grants(now);
        taken
    }

    /// Spends up to `amount` tokens of the loan with the highest fill ratio. Returns the amount
    /// spent, or `None` if no loan's ratio exceeds `min_ratio`.
    pub fn take_fullest(&mut self, limit: Limit, min_ratio: f64, amount: Tokens) -> Option<Tokens> {
        let fullest = self
            .loans
            .iter_mut()
            .max_by(|left, right| left.fill_ratio(limit).total_cmp(&right.fill_ratio(limit)))?;
        if fullest.fill_ratio(limit) <= min_ratio {
            return None;
        }
        Some(fullest.bucket.take(amount))
    }

    /// Stops using grants that are about to expire. Returns the owners to notify.
    pub fn end_surplus_grants(&mut self, now: Time) -> SmallVec<[VmId; 4]> {
        let mut owners: SmallVec<[VmId; 4]> = SmallVec::new();
        for grant in self.grants.iter().filter(|grant| grant.surplus_at() <= now) {
            let HeldGrant { id, owner, amount, .. } = *grant;
            self.settled.push(EndedGrant { owner, id, unused: amount, ended_at: now });
            if !owners.contains(&grant.owner) {
                owners.push(grant.owner);
            }
        }
        self.grants.retain(|grant| now < grant.surplus_at());
        owners
    }

    /// Returns the time at which `end_surplus_grants` next ends a grant if none is used up before.
    pub fn next_surplus(&self) -> Option<Time> {
        self.grants.iter().map(HeldGrant::surplus_at).min()
    }

    /// Removes and returns the ended grants of `owner`, to be reported to it.
    pub fn take_settled(&mut self, now: Time, owner: VmId) -> SmallVec<[Settled; 4]> {
        let ended = self.settled.iter().filter(|ended| ended.owner == owner);
        let settled = ended
            .map(|ended| Settled {
                grant: ended.id,
                unused: ended.unused,
                age: now.since(ended.ended_at),
            })
            .collect();
        self.settled.retain(|ended| ended.owner != owner);
        settled
    }

    /// Returns the loans due for renewal at `now`. A loan that is not extended is due again after
    /// `RENEW_RETRY_INTERVAL`.
    pub fn due_renewals(&mut self, now: Time) -> SmallVec<[DueLoan; 4]> {
        let due = self.loans.iter_mut().filter(|loan| loan.renewal() <= now);
        due.map(|loan| {
            loan.retry_at = now + RENEW_RETRY_INTERVAL;
            DueLoan { owner: loan.owner, loan: loan.id }
        })
        .collect()
    }

    /// Returns all loans.
    pub fn all_loans(&self) -> SmallVec<[DueLoan; 4]> {
        self.loans.iter().map(|loan| DueLoan { owner: loan.owner, loan: loan.id }).collect()
    }

    /// Returns the earliest time at which a loan is due for renewal.
    pub fn next_renewal_due(&self) -> Option<Time> {
        self.loans.iter().map(HeldLoan::renewal).min()
    }

    /// Extends a loan that its owner renewed in reply to a request sent at `sent`.
    pub fn extend(&mut self, loan: LoanId, sent: Time) {
        let Some(held) = self.loans.iter_mut().find(|held| held.id == loan) else { return };
        held.until = held.until.max(sent + LOAN_HOLD);
    }

    /// Stops using a loan. Returns what its owner may take back, or `None` if the loan is unknown
    /// or has expired.
    pub fn end_loan(
        &mut self,
        now: Time,
        limit: Limit,
        loan: LoanId,
        demand: Tokens,
    ) -> Option<Returned> {
        self.advance(now, limit);
        let index = self.loans.iter().position(|held| held.id == loan)?;
        let held = self.loans.remove(index);
        Some(Returned {
            loan,
            level: held.bucket.level,
            held: now.since(held.since),
            headroom: held.headroom,
            demand,
        })
    }

    /// Replaces the limit and reduces the levels to the new capacity.
    pub fn set_limit(&mut self, now: Time, old: Limit, new: Limit) {
        self.advance(now, old);
        for loan in &mut self.loans {
            loan.bucket.level = loan.bucket.level.min(new.capacity(loan.fractions));
            // Tokens removed by the reduction must not be credited when the loan is returned.
            loan.headroom = Tokens::ZERO;
        }
    }

    /// Returns `true` if this VM holds no loans and no grants.
    pub fn is_idle(&mut self, now: Time, limit: Limit) -> bool {
        self.advance(now, limit);
        self.loans.is_empty() && self.grants.is_empty()
    }

    /// Drops expired loans and grants and adds refill up to `now`.
    fn advance(&mut self, now: Time, limit: Limit) {
        self.loans.retain(|loan| now < loan.until);
        for loan in &mut self.loans {
            loan.refill(now, limit);
        }
        self.grants.retain(|grant| now < grant.until);
    }

    /// Moves used-up grants to the ended ones. Of these only the latest `MAX_SETTLED` are kept; the
    /// owner counts a dropped one as outstanding until it expires.
    fn end_empty_grants(&mut self, now: Time) {
        for grant in self.grants.iter().filter(|grant| grant.amount == Tokens::ZERO) {
            let HeldGrant { id, owner, amount, .. } = *grant;
            self.settled.push(EndedGrant { owner, id, unused: amount, ended_at: now });
        }
        self.grants.retain(|grant| grant.amount != Tokens::ZERO);
        let excess = self.settled.len().saturating_sub(MAX_SETTLED);
        self.settled.drain(..excess);
    }
}
