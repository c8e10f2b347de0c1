//! Backoff from replicas that are too far behind the primary.
//!
//! Every read sent to a replica that lags by more than the read's maximum age is refused there, and
//! costs a round trip before it is sent to the primary.

use std::collections::HashMap;

use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// The backoff after a replica was first found behind: a few round trips between regions.
const INITIAL_BACKOFF: Span = Span::from_millis(100);

/// The maximum backoff. It is well below the maximum ages that reads accept.
const MAX_BACKOFF: Span = Span::from_millis(800);

/// The time for which a replica is kept after its backoff ended: longer than the time between reads
/// of a replica that still exists.
const RETENTION: Span = Span::from_secs(10);

/// `LagBackoff` tracks the replicas that were recently found behind, with exponential backoff.
#[derive(Clone, Debug, Default)]
pub struct LagBackoff {
    replicas: HashMap<InstanceKey, LaggingReplica>,
}

#[derive(Clone, Copy, Debug)]
struct LaggingReplica {
    /// The greatest maximum age of the reads that the replica could not serve.
    age: Span,
    /// The duration of the backoff.
    backoff: Span,
    /// The end of the backoff.
    until: Time,
}

impl LagBackoff {
    /// Records that a replica was behind for a read with maximum age `age`.
    pub fn record_behind(&mut self, now: Time, key: InstanceKey, age: Span) {
        // A removed replica is not read again, so nothing else would drop its entry.
        self.replicas.retain(|_, replica| now < replica.until + RETENTION);
        let previous = self.replicas.get(&key).copied();
        if previous.is_some_and(|previous| now < previous.until && age <= previous.age) {
            // The read was already in flight when the backoff began.
            return;
        }
        let backoff =
            previous.map_or(INITIAL_BACKOFF, |previous| previous.backoff.times(2).min(MAX_BACKOFF));
        let age = previous.map_or(age, |previous| previous.age.max(age));
        self.replicas.insert(key, LaggingReplica { age, backoff, until: now + backoff });
    }

    /// Records that a replica served a read with maximum age `age`, which ends its backoff.
    pub fn record_served(&mut self, key: InstanceKey, age: Span) {
        if self.replicas.get(&key).is_some_and(|replica| age <= replica.age) {
            self.replicas.remove(&key);
        }
    }

    /// Returns the number of tracked replicas, including those whose backoff has ended.
    pub fn count(&self) -> usize {
        self.replicas.len()
    }

    /// Returns `true` if the replica is probably behind for a read with maximum age `age`.
    pub fn is_behind(&self, now: Time, key: InstanceKey, age: Span) -> bool {
        self.replicas.get(&key).is_some_and(|replica| age <= replica.age && now < replica.until)
    }
}
