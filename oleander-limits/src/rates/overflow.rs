//! Refill that a bucket could not hold because of tokens that were granted.

use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::rates::tokens::Tokens;

/// The stretches that are remembered; older ones count as lost for good.
const MAX_INTERVALS: usize = 16;

/// `Overflow` remembers when refill was lost while grants took room in the bucket.
///
/// Once a grant turns out to have been used some time ago, the room was free
/// since then, and what was lost since then is credited, each token once.
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
    /// Takes in that `lost` tokens were lost, evenly from `from` until `until`.
    pub fn record(&mut self, from: Time, until: Time, lost: Tokens) {
        if self.intervals.len() == MAX_INTERVALS {
            self.intervals.remove(0);
        }
        self.intervals.push(LossInterval { from, until, lost });
    }

    /// Takes up to `most` tokens that were lost since `since`.
    pub fn credit(&mut self, since: Time, most: Tokens) -> Tokens {
        let mut credit = Tokens::ZERO;
        for interval in &mut self.intervals {
            let part = interval.lost_since(since).min(most.saturating_sub(credit));
            interval.lost = interval.lost.saturating_sub(part);
            credit += part;
        }
        self.intervals.retain(|interval| interval.lost != Tokens::ZERO);
        credit
    }

    /// Forgets what was lost, as when no grant is open any more.
    pub fn clear(&mut self) {
        self.intervals.clear();
    }
}

impl LossInterval {
    fn lost_since(&self, since: Time) -> Tokens {
        if since <= self.from {
            return self.lost;
        }
        // A stretch that began earlier counts in proportion, rounded down.
        let (part, whole) = (self.until.since(since), self.until.since(self.from));
        let Span(whole) = whole.max(Span(1));
        Tokens((u128::from(self.lost.0) * u128::from(part.0) / u128::from(whole)) as u64)
    }
}
