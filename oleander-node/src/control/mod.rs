//! This VM's use of the store: the view that follows it, the lease of the VM's own record, and the
//! rate shares that follow from both.

pub mod apply;
pub mod follow;
pub mod lease;
pub mod shares;

use oleander_core::time::Span;
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
