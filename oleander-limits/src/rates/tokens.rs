//! Tokens, limits and token buckets.

use oleander_core::time::Span;
use oleander_core::time::Time;
use serde::Deserialize;
use serde::Serialize;

/// The number of fractions into which each workspace's rate and burst are divided.
pub const FRACTIONS: u32 = 16;

/// The number of `Tokens` units in one token. At a rate of 1 token per second one fraction refills
/// by exactly one unit per microsecond, so integer arithmetic is exact.
const UNITS: u64 = 1_000_000 * FRACTIONS as u64;

/// `Tokens` is an amount of tokens in units of 1/16,000,000 token.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Zero tokens.
    pub const ZERO: Tokens = Tokens(0);

    /// Converts a number of whole tokens.
    pub const fn whole(count: u32) -> Self {
        Self(count as u64 * UNITS)
    }

    /// Converts a number of tokens from floating point; negative numbers become zero.
    pub fn from_f64(count: f64) -> Self {
        Self((count.max(0.0) * UNITS as f64) as u64)
    }

    /// Returns the number of tokens as floating point.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / UNITS as f64
    }

    /// Subtracts `other`, saturating at zero.
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

/// `Limit` is the rate and burst of a workspace across all VMs together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// The refill rate in tokens per second.
    pub rate: u32,
    /// The bucket capacity in tokens.
    pub burst: u32,
}

impl Limit {
    /// Returns the bucket capacity of `fractions` fractions.
    pub const fn capacity(self, fractions: u32) -> Tokens {
        Tokens(self.burst as u64 * fractions as u64 * (UNITS / FRACTIONS as u64))
    }

    /// Returns the refill of `fractions` fractions over `span`.
    pub const fn refill(self, fractions: u32, span: Span) -> Tokens {
        Tokens((self.rate as u64 * fractions as u64).saturating_mul(span.0))
    }

    /// Returns the time in which `fractions` fractions refill by `amount`, or `Span::MAX` if they
    /// never do.
    pub fn time_for(self, fractions: u32, amount: Tokens) -> Span {
        let speed = u64::from(self.rate) * u64::from(fractions);
        if speed == 0 { Span::MAX } else { Span(amount.0.div_ceil(speed)) }
    }
}

/// `Bucket` is a token bucket. The caller passes rate and capacity on each use, as both depend on
/// the number of fractions held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// The tokens at time `at`.
    pub level: Tokens,
    /// The time up to which refill has been added.
    pub at: Time,
}

impl Bucket {
    /// Creates a bucket that holds `level` tokens at time `at`.
    pub fn new(level: Tokens, at: Time) -> Self {
        Self { level, at }
    }

    /// Adds the refill up to `now`, limiting the level to `capacity`.
    pub fn refill(&mut self, now: Time, limit: Limit, fractions: u32, capacity: Tokens) {
        let gained = limit.refill(fractions, now.since(self.at));
        self.level = (self.level + gained).min(capacity);
        self.at = self.at.max(now);
    }

    /// Removes up to `amount` tokens and returns the amount removed.
    pub fn take(&mut self, amount: Tokens) -> Tokens {
        let taken = amount.min(self.level);
        self.level = self.level.saturating_sub(taken);
        taken
    }
}
