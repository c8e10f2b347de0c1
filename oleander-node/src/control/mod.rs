//! This VM's use of the store: the view that follows it, by itself or through another VM, the lease of the VM's own record, and the
//! rate shares that follow from both.

pub mod apply;
pub mod confirm;
pub mod delta;
pub mod feed;
pub mod follow;
pub mod lease;
pub mod relay;
pub mod shares;
pub mod store_copy;

use oleander_core::time::Span;
use oleander_core::time::Time;
use rand::RngExt as _;

/// The upper bound of the first pause after a failed call to the store.
const MIN_PAUSE: Span = Span::from_millis(50);

/// The longest pause after a failed call to the store; well below `NodeSettings::revocation`.
const MAX_PAUSE: Span = Span::from_millis(800);

/// `Backoff` computes pauses between attempts: they double up to a maximum and carry jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    next: Span,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: MIN_PAUSE }
    }
}

impl Backoff {
    /// Returns the pause before the next attempt, between half and all of the current bound, and
    /// doubles the bound.
    pub(crate) fn next_pause(&mut self) -> Span {
        let upper = self.next;
        self.next = Span(upper.0.saturating_mul(2).min(MAX_PAUSE.0));
        Span(rand::rng().random_range(upper.0 / 2..=upper.0))
    }
}

/// `Pace` spaces calls out once a burst of them has been sent.
#[derive(Debug)]
pub struct Pace {
    interval: Span,
    burst: Span,
    /// The time at which the burst is available in full again.
    full_at: Time,
}

impl Pace {
    /// Creates a pace of one call in each `interval` after `burst` calls.
    pub fn new(interval: Span, burst: u64) -> Self {
        Self { interval, burst: interval.times(burst), full_at: Time(0) }
    }

    /// Returns the time for the next call, which counts as sent.
    pub fn next(&mut self, now: Time) -> Time {
        self.full_at = self.full_at.max(now) + self.interval;
        now.max(Time(self.full_at.0.saturating_sub(self.burst.0)))
    }
}
