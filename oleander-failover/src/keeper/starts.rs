//! Whether the answers of members are those of the starts that the directory lists.
//!
//! An instance that starts again under its identifier has lost its log. While it does not reach the
//! store, the directory lists the former start, and no answer of an instance names its start.

use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;

use super::Keeper;
use super::phase::StoppingReplicas;

/// The longest time between two answers of the store during which entries expire as usual.
const MAX_GAP: Span = Span::from_secs(3);

/// `ListingSpan` is the time for which this VM has followed the directory without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListingSpan {
    from: Time,
    until: Time,
}

impl ListingSpan {
    /// Adds a time at which the list of instances was complete.
    pub(super) fn extend(&mut self, synced_at: Time) {
        if self.until < synced_at {
            if MAX_GAP < synced_at.since(self.until) {
                self.from = synced_at;
            }
            self.until = synced_at;
        }
    }

    /// Returns `true` if a start that is still listed has reported itself after `at`.
    fn outlasts(self, at: Time, entry_ttl: Span) -> bool {
        at.max(self.from) + entry_ttl <= self.until
    }
}

impl Keeper {
    /// Returns `true` if the members' greatest point is that of the starts that the directory lists.
    ///
    /// A member that has started again has less than the primary was known to have, or has received
    /// since what the former start had.
    pub(super) fn is_of_listed(&self, point: LogPoint, stopping: &StoppingReplicas) -> bool {
        stopping.mark.is_none_or(|mark| mark <= point)
            || self.replicas().all(|key| self.is_shown(key, stopping))
    }

    /// Returns `true` if the answer of a replica is that of the start that the directory lists.
    fn is_shown(&self, key: InstanceKey, stopping: &StoppingReplicas) -> bool {
        let ttl = self.options.entry_ttl;
        let answer = stopping.answer_of(key).filter(|_| self.listed(key).is_some());
        answer.is_some_and(|answer| self.listing.outlasts(answer.at, ttl))
    }

    /// Returns the time at which a promotion without a proof is abandoned. While it is only not shown
    /// yet whose answers the members' are, the replicas stay stopped for longer.
    pub(super) fn stop_until(&self, now: Time, stopping: &StoppingReplicas) -> Time {
        let until = stopping.since + self.options.stop_limit;
        let is_awaited = !stopping.planned
            && self.members_point(now, stopping).is_some_and(|point| {
                !self.is_of_listed(point, stopping)
                    && self.replicas().all(|key| self.listed(key).is_some())
            });
        if is_awaited { until + self.options.entry_ttl } else { until }
    }
}
