//! Tokens, limits and token buckets.

use oleander_core::time::Span;
use oleander_core::time::Time;
use serde::Deserialize;
use serde::Serialize;

/// The number of fractions of a workspace's rate and burst.
pub const FRACTIONS: u32 = 16;

/// The units of `Tokens` in one token; so a fraction's refill is a whole number each microsecond.
const UNITS: u64 = 1_000_000 * FRACTIONS as u64;

/// `Tokens` is an amount of tokens in units of 1 / 16 000 000 token.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Tokens = Tokens(0);

    /// Makes an amount of whole tokens.
    pub const fn whole(count: u32) -> Self {
        Self(count as u64 * UNITS)
    }

    /// Makes an amount from a floating number of tokens; negative numbers give none.
    pub fn from_f64(count: f64) -> Self {
        Self((count.max(0.0) * UNITS as f64) as u64)
    }

    /// Gets the amount as a floating number of tokens.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / UNITS as f64
    }

    /// Subtracts `other`, with none as the least result.
    pub const fn saturating_sub(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }
}

impl std::ops::Add for Tokens {
    type Output = Tokens;

    fn add(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }
}

impl std::ops::AddAssign for Tokens {
    fn add_assign(&mut self, other: Tokens) {
        *self = *self + other;
    }
}

impl std::iter::Sum for Tokens {
    fn sum<I: Iterator<Item = Tokens>>(iter: I) -> Tokens {
        iter.fold(Tokens::ZERO, |sum, amount| sum + amount)
    }
}

/// `Limit` is the rate and burst of a workspace over all VMs together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// The tokens a second.
    pub rate: u32,
    /// The tokens that may be used at once.
    pub burst: u32,
}

impl Limit {
    /// Gets the capacity of a number of fractions.
    pub const fn capacity(self, fractions: u32) -> Tokens {
        Tokens(self.burst as u64 * fractions as u64 * (UNITS / FRACTIONS as u64))
    }

    /// Gets what a number of fractions is refilled by in `span`.
    pub const fn refill(self, fractions: u32, span: Span) -> Tokens {
        Tokens((self.rate as u64 * fractions as u64).saturating_mul(span.0))
    }

    /// Gets the time in which a number of fractions is refilled by `amount`; longest if never.
    pub fn time_for(self, fractions: u32, amount: Tokens) -> Span {
        let speed = u64::from(self.rate) * u64::from(fractions);
        if speed == 0 { Span::MAX } else { Span(amount.0.div_ceil(speed)) }
    }
}

/// `Bucket` is a token bucket whose size is passed in at each use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// The tokens at `at`.
    pub level: Tokens,
    /// The time up to which the bucket is refilled.
    pub at: Time,
}

impl Bucket {
    /// Makes a bucket with this level.
    pub fn new(level: Tokens, at: Time) -> Self {
        Self { level, at }
    }

    /// Refills the bucket up to `now`, at most to `capacity`.
    pub fn refill(&mut self, now: Time, limit: Limit, fractions: u32, capacity: Tokens) {
        let gained = limit.refill(fractions, now.since(self.at));
        self.level = (self.level + gained).min(capacity);
        self.at = self.at.max(now);
    }

    /// Takes up to `amount`. Returns what was taken.
    pub fn take(&mut self, amount: Tokens) -> Tokens {
        let taken = amount.min(self.level);
        self.level = self.level.saturating_sub(taken);
        taken
    }
}
