//! Budgets of bytes that several holders share.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// `ByteBudget` bounds the bytes that its holders have together.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// `Holding` is what one holder has of a budget; it is returned when this is dropped.
#[derive(Debug)]
pub struct Holding {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl Holding {
    /// Creates an empty holding.
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Raises the holding to `bytes`. Returns `false` and changes nothing if the budget has not enough
    /// left.
    pub fn raise(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let is_taken = missing == 0 || self.budget.take(missing);
        if is_taken {
            self.bytes += missing;
        }
        is_taken
    }

    /// Returns `true` if nothing is held.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Returns all bytes to the budget.
    pub fn clear(&mut self) {
        self.budget.used.fetch_sub(std::mem::take(&mut self.bytes), Ordering::Relaxed);
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.clear();
    }
}

/// `HeldBytes` accompanies data that counts against a budget until its last clone is dropped. It is no
/// part of the data: all values are equal, and none is sent with a message.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes(Option<Arc<Holding>>);

impl HeldBytes {
    /// Returns the number of bytes that are held.
    pub fn bytes(&self) -> usize {
        self.0.as_ref().map_or(0, |holding| holding.bytes)
    }
}

impl From<Holding> for HeldBytes {
    fn from(holding: Holding) -> Self {
        Self((0 < holding.bytes).then(|| Arc::new(holding)))
    }
}

impl PartialEq for HeldBytes {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for HeldBytes {}
