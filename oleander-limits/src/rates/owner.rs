//! The owner's side: own fractions at home, lent out, and granted as single tokens.

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

/// The time for which a borrower may use lent fractions, from the sending of its request.
pub const LOAN_HOLD: Span = Span::from_millis(1_000);
/// The time for which a borrower may use granted tokens, from the sending of its request.
pub const GRANT_HOLD: Span = Span::from_millis(400);
/// The time for which an owner counts fractions as lent; longer by what two clocks may drift.
const LENT_FOR: Span = Span::from_millis(1_010);
/// The time for which an owner counts tokens as granted; longer by what two clocks may drift.
const GRANTED_FOR: Span = Span::from_millis(405);
/// The time that a new owner or a restarted VM waits, so that every earlier loan has ended.
pub const LOAN_EXPIRY_WAIT: Span = Span::from_millis(1_020);
/// The part of its capacity, as a divisor, below which an owner gives no tokens into stock.
const KEPT_PART: u64 = 4;
/// The time after which a recall that was not answered may be sent again.
const RECALL_INTERVAL: Span = Span::from_millis(100);
/// The time after which a borrower is asked again whether it still needs a loan.
const PROBE_INTERVAL: Span = Span::from_millis(40);
/// The least tokens a second for which whole fractions are lent.
const MIN_LEND_DEMAND: Tokens = Tokens::whole(8);

/// `RateOwner` is the state of the fractions of one workspace that this VM owns.
#[derive(Clone, Debug, Default)]
pub struct RateOwner {
    total: u32,
    pool: Bucket,
    lent: SmallVec<[Lent; 1]>,
    granted: SmallVec<[Granted; 2]>,
    overflow: Overflow,
    demands: DemandTable,
}

#[derive(Clone, Copy, Debug)]
struct Lent {
    id: LoanId,
    to: VmId,
    fractions: u32,
    from: Time,
    until: Time,
    recalled: Option<Time>,
    probed: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Granted {
    id: LoanId,
    amount: Tokens,
    from: Time,
    until: Time,
}

/// `Need` is what a borrower asks an owner for.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The borrower.
    pub from: VmId,
    /// The tokens that its waiting requests need.
    pub tokens: Tokens,
    /// The tokens that it wants beside, for requests to come.
    pub stock: Tokens,
    /// The tokens a second that its callers ask for.
    pub demand: Tokens,
    /// The tokens a second that the owner's own callers ask for.
    pub own: Tokens,
}

/// `Recall` is a loan to be asked back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Recall {
    /// The borrower that has the loan.
    pub to: VmId,
    /// The loan.
    pub loan: LoanId,
}

impl RateOwner {
    /// Makes the state of `total` fractions with this level.
    pub fn new(now: Time, total: u32, level: Tokens) -> Self {
        Self { total, pool: Bucket::new(level, now), ..Self::default() }
    }

    /// Sets the number of usable fractions; new ones join empty.
    pub fn set_total(&mut self, now: Time, limit: Limit, total: u32) {
        self.settle(now, limit);
        self.total = total;
        self.clip(limit);
    }

    /// Takes in a new limit. The level is clipped to the new capacity.
    pub fn set_limit(&mut self, now: Time, old: Limit, new: Limit) {
        self.settle(now, old);
        self.clip(new);
    }

    /// Returns `true` if this VM has usable fractions, lent out or not.
    pub fn owns_any(&self) -> bool {
        0 < self.total
    }

    /// Gets the number of fractions that are lent out.
    pub fn lent(&self) -> u32 {
        self.lent.iter().map(|lent| lent.fractions).sum()
    }

    /// Gets the part of the capacity at home that is filled.
    pub fn fill(&self, limit: Limit) -> f64 {
        self.pool.level.0 as f64 / limit.capacity(self.home()).0.max(1) as f64
    }

    /// Gets the time until which what was lent or granted may be in use.
    pub fn lent_until(&self) -> Option<Time> {
        let lent = self.lent.iter().map(|lent| lent.until);
        lent.chain(self.granted.iter().map(|granted| granted.until)).max()
    }

    /// Gets the number of fractions that are not lent out.
    pub fn home(&self) -> u32 {
        self.total.saturating_sub(self.lent())
    }

    /// Gets the tokens at home at `now`.
    pub fn available(&mut self, now: Time, limit: Limit) -> Tokens {
        self.settle(now, limit);
        self.pool.level
    }

    /// Takes up to `amount` of the tokens at home. Returns what was taken.
    pub fn take(&mut self, amount: Tokens) -> Tokens {
        self.pool.take(amount)
    }

    /// Takes in that grants are no longer used.
    pub fn end_grants(&mut self, now: Time, limit: Limit, settled: &[Settled]) {
        self.settle(now, limit);
        for Settled { grant, unused, age } in settled {
            let Some(at) = self.granted.iter().position(|granted| granted.id == *grant) else {
                continue;
            };
            let granted = self.granted.remove(at);
            let unused = (*unused).min(granted.amount);
            let used = granted.amount.saturating_sub(unused);
            // The used part took room in the bucket until now, but needed none since its use.
            let since = Time(now.0.saturating_sub(age.0)).max(granted.from);
            self.pool.level += unused + self.overflow.credit(since, used);
        }
        self.clip(limit);
    }

    /// Lends whole fractions if the borrower has nearly all of a lasting demand.
    pub fn lend(&mut self, now: Time, limit: Limit, need: Need, id: LoanId) -> Option<Loan> {
        self.settle(now, limit);
        self.demands.record(now, need.from, need.demand);
        if need.demand < MIN_LEND_DEMAND || !self.demands.is_exclusive(now, need.from, need.own) {
            return None;
        }
        // What is granted as tokens needs room below the capacity of what stays at home.
        let mut fractions = self.home();
        while 0 < fractions && limit.capacity(self.home() - fractions) < self.outstanding() {
            fractions -= 1;
        }
        if fractions == 0 {
            return None;
        }
        let level = self.pool.take(limit.capacity(fractions));
        let until = now + LENT_FOR;
        let to = need.from;
        let lent = Lent { id, to, fractions, from: now, until, recalled: None, probed: None };
        self.lent.push(lent);
        self.clip(limit);
        Some(Loan { id, fractions, level })
    }

    /// Gets the tokens that may be given into stock once `need` is given: what is above a part of
    /// the capacity, so that waiting requests everywhere go first when tokens are scarce.
    pub fn plenty(&mut self, now: Time, limit: Limit, need: Tokens) -> Tokens {
        self.settle(now, limit);
        let kept = Tokens(limit.capacity(self.home()).0 / KEPT_PART);
        self.pool.level.saturating_sub(need + kept)
    }

    /// Grants single tokens, as many as there are up to `amount`.
    pub fn grant(&mut self, now: Time, limit: Limit, amount: Tokens, id: LoanId) -> Option<Grant> {
        self.settle(now, limit);
        let amount = self.pool.take(amount);
        if amount == Tokens::ZERO {
            return None;
        }
        self.granted.push(Granted { id, amount, from: now, until: now + GRANTED_FOR });
        Some(Grant { id, amount })
    }

    /// Extends a loan. Returns `false` if the loan is not known or the fractions are no longer owned.
    pub fn renew(
        &mut self,
        now: Time,
        limit: Limit,
        from: VmId,
        loan: LoanId,
        demand: Tokens,
    ) -> bool {
        self.settle(now, limit);
        self.demands.record(now, from, demand);
        if self.total < self.lent() {
            return false;
        }
        let Some(lent) = self.lent.iter_mut().find(|lent| lent.id == loan) else { return false };
        lent.until = now + LENT_FOR;
        true
    }

    /// Takes a loan back with its level.
    ///
    /// The refill that neither side counted while the loan was on its way is
    /// credited, as far as the bucket could have held it all the time.
    pub fn take_back(&mut self, now: Time, limit: Limit, returned: Returned) {
        self.settle(now, limit);
        let Some(at) = self.lent.iter().position(|lent| lent.id == returned.loan) else { return };
        let lent = self.lent.remove(at);
        self.demands.record(now, lent.to, returned.demand);
        let uncounted = now.since(lent.from).saturating_sub(returned.held);
        let credit = limit.refill(lent.fractions, uncounted).min(returned.headroom);
        self.pool.level += (returned.level + credit).min(limit.capacity(lent.fractions));
        self.clip(limit);
    }

    /// Gets the loans of other VMs to be recalled for `from`, each at most once in an interval.
    pub fn recalls(&mut self, now: Time, from: VmId) -> SmallVec<[Recall; 2]> {
        due(&mut self.lent, now, from, RECALL_INTERVAL, |lent| &mut lent.recalled)
    }

    /// Gets the loans whose borrowers are asked whether they still need them as much as `from`.
    pub fn probes(&mut self, now: Time, from: VmId) -> SmallVec<[Recall; 2]> {
        due(&mut self.lent, now, from, PROBE_INTERVAL, |lent| &mut lent.probed)
    }

    /// Gets the number of fractions that are lent to VMs other than `from`.
    pub fn lent_beside(&self, from: VmId) -> u32 {
        self.lent.iter().filter(|lent| lent.to != from).map(|lent| lent.fractions).sum()
    }

    /// Returns `true` if the state is what a new owner state would be.
    pub fn is_idle(&mut self, now: Time, limit: Limit) -> bool {
        self.settle(now, limit);
        self.lent.is_empty()
            && self.granted.is_empty()
            && self.demands.is_empty(now)
            && self.pool.level == limit.capacity(self.total)
    }

    /// Brings the state up to `now`: ends grants and loans, each at its time, and refills.
    fn settle(&mut self, now: Time, limit: Limit) {
        while let Some(granted) = self.granted.first().copied()
            && granted.until <= now
        {
            self.refill(granted.until, limit);
            self.granted.remove(0);
        }
        self.refill(now, limit);
        // A fraction that was not returned comes back empty at the end of its hold.
        let mut at = 0;
        while at < self.lent.len() {
            let lent = self.lent[at];
            if now < lent.until {
                at += 1;
                continue;
            }
            self.lent.remove(at);
            let gained = limit.refill(lent.fractions, now.since(lent.until));
            self.pool.level += gained.min(limit.capacity(lent.fractions));
        }
        self.clip(limit);
    }

    fn refill(&mut self, now: Time, limit: Limit) {
        let home = self.home();
        let outstanding = self.outstanding();
        let capacity = limit.capacity(home).saturating_sub(outstanding);
        let full = self.pool.level + limit.refill(home, now.since(self.pool.at));
        let lost = full.saturating_sub(capacity.max(self.pool.level));
        let from = Time(now.0.saturating_sub(limit.time_for(home, lost).0)).max(self.pool.at);
        self.pool.refill(now, limit, home, capacity);
        if outstanding == Tokens::ZERO {
            self.overflow.clear();
        } else if lost != Tokens::ZERO {
            self.overflow.record(from, now, lost);
        }
    }

    /// Keeps what is at home and what is granted from it within the capacity.
    fn clip(&mut self, limit: Limit) {
        let capacity = limit.capacity(self.home()).saturating_sub(self.outstanding());
        self.pool.level = self.pool.level.min(capacity);
    }

    fn outstanding(&self) -> Tokens {
        self.granted.iter().map(|granted| granted.amount).sum()
    }
}

/// Gets the loans of VMs other than `from` that were not asked for within `interval`, and marks them.
fn due(
    lent: &mut [Lent],
    now: Time,
    from: VmId,
    interval: Span,
    mark: impl Fn(&mut Lent) -> &mut Option<Time>,
) -> SmallVec<[Recall; 2]> {
    let mut due = SmallVec::new();
    for lent in lent.iter_mut().filter(|lent| lent.to != from) {
        let asked = mark(lent);
        if asked.is_some_and(|at| now < at + interval) {
            continue;
        }
        *asked = Some(now);
        due.push(Recall { to: lent.to, loan: lent.id });
    }
    due
}
