//! The retry budget of a proxy: retries stay a small part of the requests.

use oleander_core::time::Span;
use oleander_core::time::Time;

/// `RetryOptions` are the settings of a retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryOptions {
    /// The retries that a request earns, in thousandths.
    pub deposit: u64,
    /// The retries that can be saved up.
    pub capacity: u64,
    /// The time in which one retry is earned without any request.
    pub refill: Span,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self { deposit: 100, capacity: 20, refill: Span::from_secs(1) }
    }
}

/// `RetryBudget` is a token bucket that requests fill and retries empty.
///
/// When all that a proxy sends fails, retries would otherwise multiply the load
/// on what is already failing.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    level: u64,
    refilled: Time,
}

/// The thousandths that one retry costs.
const RETRY_COST: u64 = 1_000;

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(options: RetryOptions, now: Time) -> Self {
        Self { options, level: options.capacity.saturating_mul(RETRY_COST), refilled: now }
    }

    /// Records a request that a caller sent.
    pub fn deposit(&mut self) {
        self.add(self.options.deposit);
    }

    /// Takes one retry. Returns `false` if the budget is used up.
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
