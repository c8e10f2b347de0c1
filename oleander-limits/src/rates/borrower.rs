//! The borrower's side: lent fractions and granted tokens in use, and the requests that wait for more.

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

/// The time before the end of a loan at which it is renewed or returned.
const RENEW_AHEAD: Span = Span::from_millis(500);
/// The time after which a renewal that was not answered is sent again.
const RENEW_RETRY_INTERVAL: Span = Span::from_millis(150);
/// The time before the end of a grant at which it is returned if nobody waits for it.
const SURPLUS_AHEAD: Span = Span::from_millis(60);
/// The ended grants that are remembered for their owners.
const MAX_SETTLED: usize = 16;

/// `RateBorrower` is what this VM has borrowed of one workspace.
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
    since: Time,
    until: Time,
    headroom: Tokens,
    next_renewal: Time,
}

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    id: LoanId,
    owner: VmId,
    amount: Tokens,
    until: Time,
}

#[derive(Clone, Copy, Debug)]
struct EndedGrant {
    owner: VmId,
    id: LoanId,
    unused: Tokens,
    at: Time,
}

/// `DueLoan` is a loan to be renewed, or returned if the demand has gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DueLoan {
    /// The owner.
    pub owner: VmId,
    /// The loan.
    pub loan: LoanId,
}

impl HeldGrant {
    /// Gets the time at which a grant that nobody waits for goes back to its owner.
    fn surplus_at(&self) -> Time {
        Time(self.until.0.saturating_sub(SURPLUS_AHEAD.0))
    }
}

impl HeldLoan {
    fn refill(&mut self, now: Time, limit: Limit) {
        let capacity = limit.capacity(self.fractions);
        self.bucket.refill(now, limit, self.fractions, capacity);
        self.headroom = self.headroom.min(capacity.saturating_sub(self.bucket.level));
    }

    /// Gets the time at which the loan is to be renewed or returned.
    fn renewal(&self) -> Time {
        Time(self.until.0.saturating_sub(RENEW_AHEAD.0)).max(self.next_renewal)
    }

    /// Gets the part of the capacity that is filled.
    fn fill_ratio(&self, limit: Limit) -> f64 {
        self.bucket.level.0 as f64 / limit.capacity(self.fractions).0.max(1) as f64
    }
}

impl RateBorrower {
    /// Gets the time until which something borrowed of the owners that `counts` names may be used;
    /// `Time(0)` for nothing.
    pub fn held_until(&self, counts: impl Fn(VmId) -> bool) -> Time {
        let loans = self.loans.iter().map(|loan| (loan.owner, loan.until));
        let grants = self.grants.iter().map(|grant| (grant.owner, grant.until));
        let held = loans.chain(grants).filter(|(owner, _)| counts(*owner));
        held.map(|(_, until)| until).max().unwrap_or_default()
    }

    /// Takes in a loan that was asked for at `sent`.
    pub fn add_loan(&mut self, now: Time, limit: Limit, owner: VmId, loan: Loan, sent: Time) {
        let until = sent + LOAN_HOLD;
        if until <= now {
            return;
        }
        let capacity = limit.capacity(loan.fractions);
        let bucket = Bucket::new(loan.level.min(capacity), now);
        let headroom = capacity.saturating_sub(bucket.level);
        let Loan { id, fractions, .. } = loan;
        let held = HeldLoan {
            id,
            owner,
            fractions,
            bucket,
            since: now,
            until,
            headroom,
            next_renewal: now,
        };
        self.loans.push(held);
    }

    /// Takes in granted tokens that were asked for at `sent`.
    pub fn add_grant(&mut self, now: Time, owner: VmId, grant: Grant, sent: Time) {
        let until = sent + GRANT_HOLD;
        if now < until {
            self.grants.push(HeldGrant { id: grant.id, owner, amount: grant.amount, until });
        }
    }

    /// Gets the tokens that may be used at `now`.
    pub fn available(&mut self, now: Time, limit: Limit) -> Tokens {
        self.advance(now, limit);
        let loans: Tokens = self.loans.iter().map(|loan| loan.bucket.level).sum();
        loans + self.grants.iter().map(|grant| grant.amount).sum()
    }

    /// Gets the number of fractions in use.
    pub fn fractions(&self) -> u32 {
        self.loans.iter().map(|loan| loan.fractions).sum()
    }

    /// Gets the number of fractions in use that belong to `owner`.
    pub fn fractions_of(&self, owner: VmId) -> u32 {
        let own = self.loans.iter().filter(|loan| loan.owner == owner);
        own.map(|loan| loan.fractions).sum()
    }

    /// Takes up to `amount` of granted tokens, which end soonest. Returns what was taken.
    pub fn take_granted(&mut self, now: Time, amount: Tokens) -> Tokens {
        let mut taken = Tokens::ZERO;
        for grant in &mut self.grants {
            let part = grant.amount.min(amount.saturating_sub(taken));
            grant.amount = grant.amount.saturating_sub(part);
            taken += part;
        }
        self.end_empty_grants(now);
        taken
    }

    /// Takes up to `amount` of the fullest loan that is fuller than `min_ratio`. Returns what was taken.
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

    /// Stops using the grants that end soon. Returns the owners to be told of them.
    pub fn end_surplus_grants(&mut self, now: Time) -> SmallVec<[VmId; 4]> {
        let mut owners: SmallVec<[VmId; 4]> = SmallVec::new();
        for grant in self.grants.iter().filter(|grant| grant.surplus_at() <= now) {
            let HeldGrant { id, owner, amount, .. } = *grant;
            self.settled.push(EndedGrant { owner, id, unused: amount, at: now });
            if !owners.contains(&grant.owner) {
                owners.push(grant.owner);
            }
        }
        self.grants.retain(|grant| now < grant.surplus_at());
        owners
    }

    /// Gets the time at which `end_surplus_grants` has something to do if nothing is used before.
    pub fn next_surplus(&self) -> Option<Time> {
        self.grants.iter().map(HeldGrant::surplus_at).min()
    }

    /// Takes the grants of `owner` that are no longer used, to tell it so.
    pub fn take_settled(&mut self, now: Time, owner: VmId) -> SmallVec<[Settled; 4]> {
        let ended = self.settled.iter().filter(|ended| ended.owner == owner);
        let settled = ended
            .map(|ended| Settled {
                grant: ended.id,
                unused: ended.unused,
                age: now.since(ended.at),
            })
            .collect();
        self.settled.retain(|ended| ended.owner != owner);
        settled
    }

    /// Gets the loans that are due for renewal at `now`; each comes again after an interval.
    pub fn due_renewals(&mut self, now: Time) -> SmallVec<[DueLoan; 4]> {
        let due_renewals = self.loans.iter_mut().filter(|loan| loan.renewal() <= now);
        due_renewals
            .map(|loan| {
                loan.next_renewal = now + RENEW_RETRY_INTERVAL;
                DueLoan { owner: loan.owner, loan: loan.id }
            })
            .collect()
    }

    /// Gets all loans.
    pub fn all_loans(&self) -> SmallVec<[DueLoan; 4]> {
        self.loans.iter().map(|loan| DueLoan { owner: loan.owner, loan: loan.id }).collect()
    }

    /// Gets the time at which the next loan is due for renewal.
    pub fn next_renewal_due(&self) -> Option<Time> {
        self.loans.iter().map(HeldLoan::renewal).min()
    }

    /// Takes in that the owner extended the loan in answer to a request sent at `sent`.
    pub fn extend(&mut self, loan: LoanId, sent: Time) {
        let Some(held) = self.loans.iter_mut().find(|held| held.id == loan) else { return };
        held.until = held.until.max(sent + LOAN_HOLD);
    }

    /// Stops using a loan. Returns what its owner may take back, if the loan had not ended.
    pub fn end_loan(
        &mut self,
        now: Time,
        limit: Limit,
        loan: LoanId,
        demand: Tokens,
    ) -> Option<Returned> {
        self.advance(now, limit);
        let at = self.loans.iter().position(|held| held.id == loan)?;
        let held = self.loans.remove(at);
        Some(Returned {
            loan,
            level: held.bucket.level,
            held: now.since(held.since),
            headroom: held.headroom,
            demand,
        })
    }

    /// Takes in a new limit. Levels are clipped to the new capacity.
    pub fn set_limit(&mut self, now: Time, old: Limit, new: Limit) {
        self.advance(now, old);
        for loan in &mut self.loans {
            loan.bucket.level = loan.bucket.level.min(new.capacity(loan.fractions));
            // What was lost by clipping must not be credited.
            loan.headroom = Tokens::ZERO;
        }
    }

    /// Returns `true` if nothing is borrowed.
    pub fn is_idle(&mut self, now: Time, limit: Limit) -> bool {
        self.advance(now, limit);
        self.loans.is_empty() && self.grants.is_empty()
    }

    /// Drops what has ended and refills the loans up to `now`.
    fn advance(&mut self, now: Time, limit: Limit) {
        self.loans.retain(|loan| now < loan.until);
        for loan in &mut self.loans {
            loan.refill(now, limit);
        }
        self.grants.retain(|grant| now < grant.until);
    }

    fn end_empty_grants(&mut self, now: Time) {
        for grant in self.grants.iter().filter(|grant| grant.amount == Tokens::ZERO) {
            let HeldGrant { id, owner, amount, .. } = *grant;
            self.settled.push(EndedGrant { owner, id, unused: amount, at: now });
        }
        self.grants.retain(|grant| grant.amount != Tokens::ZERO);
        let excess = self.settled.len().saturating_sub(MAX_SETTLED);
        self.settled.drain(..excess);
    }
}
