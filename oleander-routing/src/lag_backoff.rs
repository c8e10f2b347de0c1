//! Replicas that were found behind, which are left alone for a while.
//!
//! A replica that lags by more than reads accept answers each of them in vain,
//! and each costs a round trip before the primary is asked.

use std::collections::HashMap;

use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// The time for which a replica is left alone after it was found behind for the first time: a few
/// round trips between regions.
const FIRST_REST: Span = Span::from_millis(100);

/// The longest time for which a replica is left alone: well below the ages that reads accept.
const LONGEST_REST: Span = Span::from_millis(800);

/// The time after its rest for which a replica that is not asked again is remembered: longer than
/// any reader stays away from one that is there.
const MEMORY: Span = Span::from_secs(10);

/// `LagBackoff` holds the replicas that were found behind lately.
#[derive(Clone, Debug, Default)]
pub struct LagBackoff {
    known: HashMap<InstanceKey, LaggingReplica>,
}

#[derive(Clone, Copy, Debug)]
struct LaggingReplica {
    /// The greatest age that the replica could not serve.
    age: Span,
    rest: Span,
    until: Time,
}

impl LagBackoff {
    /// Takes in that a replica lacked data older than `age`.
    pub fn record_behind(&mut self, now: Time, key: InstanceKey, age: Span) {
        // A replica that is gone is asked no more.
        self.known.retain(|_, known| now < known.until + MEMORY);
        let former = self.known.get(&key).copied();
        if former.is_some_and(|former| now < former.until && age <= former.age) {
            // Another request that was on its way; it says nothing new.
            return;
        }
        let rest = former.map_or(FIRST_REST, |former| former.rest.times(2).min(LONGEST_REST));
        let age = former.map_or(age, |former| former.age.max(age));
        self.known.insert(key, LaggingReplica { age, rest, until: now + rest });
    }

    /// Takes in that a replica served a read that accepts data of `age`.
    pub fn record_served(&mut self, key: InstanceKey, age: Span) {
        if self.known.get(&key).is_some_and(|known| age <= known.age) {
            self.known.remove(&key);
        }
    }

    /// Gets the number of replicas that are remembered.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Returns `true` if a read that accepts data of `age` would probably find the replica behind.
    pub fn is_behind(&self, now: Time, key: InstanceKey, age: Span) -> bool {
        self.known.get(&key).is_some_and(|known| age <= known.age && now < known.until)
    }
}
