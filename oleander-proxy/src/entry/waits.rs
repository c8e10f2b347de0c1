//! The queue waits last heard from the homes of databases.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// `Waits` remembers the last queue wait that each home answered with.
#[derive(Debug, Default)]
pub struct Waits {
    heard: Mutex<HashMap<HomeOf, Heard>>,
}

/// `Heard` is a queue wait and when it was heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heard {
    /// The wait.
    pub wait: Span,
    /// The time of the answer.
    pub at: Time,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct HomeOf {
    database: DatabaseId,
    vm: VmId,
}

impl Waits {
    /// Takes in the wait of an answer.
    pub fn record(&self, database: DatabaseId, vm: VmId, heard: Heard) {
        let mut map = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        map.insert(HomeOf { database, vm }, heard);
    }

    /// Gets the last wait heard; zero if none.
    pub fn last(&self, database: DatabaseId, vm: VmId) -> Heard {
        let map = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        map.get(&HomeOf { database, vm }).copied().unwrap_or_default()
    }
}
