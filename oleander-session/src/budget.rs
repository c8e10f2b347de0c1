//! Bounds what sessions keep, in bytes: each session for itself, and all sessions of a VM together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

/// The maximum size of the values and prepared statements of one session: a quarter of the longest
/// message.
pub const MAX_SESSION_BYTES: usize = 256 << 10;

/// The size up to which a session may grow although all sessions together hold more than they may, so
/// that a few large ones do not take it from the many small ones.
pub const RESERVED_SESSION_BYTES: usize = 2 << 10;

/// The size of all sessions of a VM from which on only small ones may grow.
pub const MAX_TOTAL_BYTES: usize = 16 << 20;

/// What an entry of a session takes beside its texts.
pub const ENTRY_BYTES: usize = 128;

/// The `retry_after` of a refusal because all sessions together hold too much: some of them end within
/// a second or two.
const SHARED_RETRY_AFTER: Span = Span::from_millis(1_000);

/// `SessionBudget` counts the bytes that all sessions of a VM hold.
#[derive(Debug)]
pub struct SessionBudget {
    limit: usize,
    used: AtomicUsize,
}

impl SessionBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// Returns the number of bytes that the sessions hold.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// `Holding` is what one session holds of a budget; it is returned when this is dropped.
#[derive(Debug)]
pub struct Holding {
    budget: Arc<SessionBudget>,
    bytes: usize,
}

impl Holding {
    /// Creates an empty holding.
    pub fn new(budget: Arc<SessionBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Replaces `removed` of the held bytes by `added`.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` and changes nothing if the session, or all of them, would hold more
    /// than they may.
    pub fn exchange(&mut self, removed: usize, added: usize) -> Result<(), Refusal> {
        let bytes = self.bytes.saturating_sub(removed) + added;
        if self.bytes < bytes {
            if MAX_SESSION_BYTES < bytes {
                let detail = format!("the session would hold more than {MAX_SESSION_BYTES} bytes");
                return Err(Refusal::not_run(RefusalCode::BadRequest, detail));
            }
            let total = self.budget.used() + (bytes - self.bytes);
            if self.budget.limit < total && RESERVED_SESSION_BYTES < bytes {
                let detail = "the sessions of this VM hold as much as they may";
                let refusal = Refusal::not_run(RefusalCode::QueueFull, detail);
                return Err(refusal.with_retry_after(SHARED_RETRY_AFTER));
            }
        }
        self.set(bytes);
        Ok(())
    }

    fn set(&mut self, bytes: usize) {
        self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Default for Holding {
    fn default() -> Self {
        Self::new(SessionBudget::new(MAX_TOTAL_BYTES))
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.set(0);
    }
}
