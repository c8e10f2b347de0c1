//! The VM's dealings with the store: the view that it follows and the lease of its own record.

pub mod apply;
pub mod follow;
pub mod lease;
pub mod shares;

use oleander_core::time::Span;
use rand::RngExt as _;

/// The shortest pause after a call to the store that failed.
const MIN_PAUSE: Span = Span::from_millis(50);

/// The longest pause after a call to the store that failed; well below the bound on withdrawn keys.
const MAX_PAUSE: Span = Span::from_millis(800);

/// `Backoff` is an exponential pause with jitter between attempts at the store.
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
    /// Gets the pause before the next attempt and doubles the one after it.
    pub(crate) fn pause(&mut self) -> Span {
        let upper = self.next;
        self.next = Span(upper.0.saturating_mul(2).min(MAX_PAUSE.0));
        Span(rand::rng().random_range(upper.0 / 2..=upper.0))
    }
}
