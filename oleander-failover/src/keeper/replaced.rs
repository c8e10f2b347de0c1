//! Former primaries: each is told to step down until it confirms it or the directory drops it.

use oleander_core::ids::InstanceKey;
use oleander_core::time::Time;
use smallvec::SmallVec;

use super::Keeper;
use super::messages::Action;
use super::messages::INLINE_INSTANCES;

/// `ReplacedPrimary` is a former primary that may still act as one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReplacedPrimary {
    instance: InstanceKey,
    /// The time at which it is told to step down; `None` while an answer is awaited.
    send_at: Option<Time>,
}

impl Keeper {
    /// Records, when `primary` is first seen to lead, the other instances that may still act as
    /// primary: the former one and those that the directory lists as primary.
    pub(super) fn note_former_primaries(
        &mut self,
        now: Time,
        former: Option<InstanceKey>,
        primary: InstanceKey,
    ) {
        self.replaced.retain(|replaced| replaced.instance != primary);
        let others: SmallVec<[InstanceKey; INLINE_INSTANCES]> = self
            .instances
            .iter()
            .filter(|listed| listed.primary || former == Some(listed.key))
            .map(|listed| listed.key)
            .filter(|key| *key != primary)
            .collect();
        for instance in others {
            self.note_replaced(now, instance);
        }
    }

    /// Records an instance that may act as primary although it has been replaced.
    pub(super) fn note_replaced(&mut self, now: Time, instance: InstanceKey) {
        if self.replaced.iter().all(|replaced| replaced.instance != instance) {
            self.replaced.push(ReplacedPrimary { instance, send_at: Some(now) });
        }
    }

    /// Records the answer to an order to step down.
    pub(super) fn handle_stepped_down(&mut self, now: Time, instance: InstanceKey, done: bool) {
        if done {
            return self.replaced.retain(|replaced| replaced.instance != instance);
        }
        for replaced in self.replaced.iter_mut().filter(|found| found.instance == instance) {
            replaced.send_at = Some(now + self.options.repeat_interval);
        }
    }

    /// Tells the former primaries to step down. Not before a primary of a later term is known: the
    /// order would otherwise leave the database without one.
    pub(super) fn send_step_downs(&mut self, now: Time, out: &mut Vec<Action>) {
        let listed = &self.instances;
        self.replaced.retain(|found| listed.iter().any(|known| known.key == found.instance));
        if self.is_promoting() || self.primary.is_none() {
            return;
        }
        let (term, primary) = (self.term, self.primary);
        for replaced in &mut self.replaced {
            let is_due = replaced.send_at.is_some_and(|at| at <= now);
            if is_due && Some(replaced.instance) != primary {
                replaced.send_at = None;
                out.push(Action::StepDown(replaced.instance, term));
            }
        }
    }

    /// Returns the time at which the next order to step down is due.
    pub(super) fn next_step_down(&self) -> Time {
        if self.is_promoting() || self.primary.is_none() {
            return Time(u64::MAX);
        }
        let due = self.replaced.iter().filter_map(|replaced| replaced.send_at).min();
        due.unwrap_or(Time(u64::MAX))
    }
}
