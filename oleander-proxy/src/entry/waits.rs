//! The queue waits last heard from the homes of databases.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// `QueueWaits` remembers the last queue wait that each home answered with.
#[derive(Debug, Default)]
pub struct QueueWaits {
    by_home: Mutex<HashMap<HomeKey, QueueWait>>,
}

/// `QueueWait` is a queue wait and when it was heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueWait {
    /// The wait.
    pub wait: Span,
    /// The time of the answer.
    pub reported_at: Time,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct HomeKey {
    database: DatabaseId,
    vm: VmId,
}

impl QueueWaits {
    /// Takes in the wait of an answer.
    pub fn record(&self, database: DatabaseId, vm: VmId, queue_wait: QueueWait) {
        let mut map = self.by_home.lock().unwrap_or_else(PoisonError::into_inner);
        map.insert(HomeKey { database, vm }, queue_wait);
    }

    /// Gets the last wait heard; zero if none.
    pub fn last(&self, database: DatabaseId, vm: VmId) -> QueueWait {
        let map = self.by_home.lock().unwrap_or_else(PoisonError::into_inner);
        map.get(&HomeKey { database, vm }).copied().unwrap_or_default()
    }
}
