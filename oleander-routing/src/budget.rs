//! The retry budget, which limits retries to a small fraction of the requests.

use oleander_core::time::Span;
use oleander_core::time::Time;

/// `RetryOptions` are the settings of a retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryOptions {
    /// The credit that each request adds, in thousandths of a retry.
    pub deposit: u64,
    /// The maximum balance, in retries.
    pub capacity: u64,
    /// The period after which one retry is added even without requests.
    pub refill: Span,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self { deposit: 100, capacity: 20, refill: Span::from_secs(1) }
    }
}

/// `RetryBudget` is a token bucket that requests and the passing of time fill, and retries drain.
///
/// It prevents retry storms: while every request fails, unlimited retries would multiply the load
/// on an upstream or home that is already failing.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    /// The balance, in thousandths of a retry.
    level: u64,
    /// The time up to which `RetryOptions::refill` has been credited.
    refilled: Time,
}

/// The cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;

impl RetryBudget {
    /// Creates a budget with the maximum balance at `now`.
    pub fn new(options: RetryOptions, now: Time) -> Self {
        Self { options, level: options.capacity.saturating_mul(RETRY_COST), refilled: now }
    }

    /// Adds the credit for one request from a caller; retries must not add any.
    pub fn deposit(&mut self) {
        self.add(self.options.deposit);
    }

    /// Withdraws one retry. Returns `false`, and withdraws nothing, if the balance is too low.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        let Some(level) = self.level.checked_sub(RETRY_COST) else { return false };
        self.level = level;
        true
    }

    fn refill(&mut self, now: Time) {
        let period = self.options.refill.0.max(1);
        let count = now.since(self.refilled).0 / period;
        self.refilled = self.refilled + Span(count.saturating_mul(period));
        self.add(count.saturating_mul(RETRY_COST));
    }

    fn add(&mut self, thousandths: u64) {
        let capacity = self.options.capacity.saturating_mul(RETRY_COST);
        self.level = self.level.saturating_add(thousandths).min(capacity);
    }
}
