//! Tracks refill that a bucket could not hold because granted tokens occupied part of its capacity.

use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::rates::tokens::Tokens;

/// The maximum number of loss intervals recorded; the refill lost in older ones is never credited.
const MAX_INTERVALS: usize = 16;

/// `Overflow` records when refill was lost while outstanding grants reduced the bucket's capacity.
///
/// When a borrower reports that it used a grant some time ago, the capacity was free again from
/// that time on. Refill lost since then is credited, each token at most once.
#[derive(Clone, Debug, Default)]
pub struct Overflow {
    intervals: SmallVec<[LossInterval; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct LossInterval {
    from: Time,
    until: Time,
    lost: Tokens,
}

impl Overflow {
    /// Records that `lost` tokens were lost at a constant rate between `from` and `until`.
    pub fn record(&mut self, from: Time, until: Time, lost: Tokens) {
        if self.intervals.len() == MAX_INTERVALS {
            self.intervals.remove(0);
        }
        self.intervals.push(LossInterval { from, until, lost });
    }

    /// Returns up to `max_amount` tokens lost since `since` and removes them from the record.
    pub fn credit(&mut self, since: Time, max_amount: Tokens) -> Tokens {
        let mut credit = Tokens::ZERO;
        for interval in &mut self.intervals {
            let credited = interval.lost_since(since).min(max_amount.saturating_sub(credit));
            interval.lost = interval.lost.saturating_sub(credited);
            credit += credited;
        }
        self.intervals.retain(|interval| interval.lost != Tokens::ZERO);
        credit
    }

    /// Drops all records, for use when no grant is outstanding.
    pub fn clear(&mut self) {
        self.intervals.clear();
    }
}

impl LossInterval {
    /// Returns the tokens of the interval that were lost at `since` or later.
    fn lost_since(&self, since: Time) -> Tokens {
        if since <= self.from {
            return self.lost;
        }
        // An interval that began before `since` counts in proportion, rounded down.
        let (counted, length) = (self.until.since(since), self.until.since(self.from));
        let Span(length) = length.max(Span(1));
        Tokens((u128::from(self.lost.0) * u128::from(counted.0) / u128::from(length)) as u64)
    }
}
