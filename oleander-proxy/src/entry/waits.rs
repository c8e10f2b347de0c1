//! The queue waits that homes last reported.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// `QueueWaits` holds the last reported queue wait of each home.
#[derive(Debug, Default)]
pub struct QueueWaits {
    by_home: Mutex<HashMap<HomeKey, QueueWait>>,
}

/// `QueueWait` is a queue wait and the time of its report.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueWait {
    /// The time that a request spent in the home's queue.
    pub wait: Span,
    /// The time at which the answer with this wait arrived.
    pub reported_at: Time,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct HomeKey {
    database: DatabaseId,
    vm: VmId,
}

impl QueueWaits {
    /// Records the queue wait of a home, replacing the previous one.
    pub fn record(&self, database: DatabaseId, vm: VmId, queue_wait: QueueWait) {
        let mut map = self.by_home.lock().unwrap_or_else(PoisonError::into_inner);
        map.insert(HomeKey { database, vm }, queue_wait);
    }

    /// Returns the last recorded queue wait of a home; zero if there is none.
    pub fn last(&self, database: DatabaseId, vm: VmId) -> QueueWait {
        let map = self.by_home.lock().unwrap_or_else(PoisonError::into_inner);
        map.get(&HomeKey { database, vm }).copied().unwrap_or_default()
    }
}
