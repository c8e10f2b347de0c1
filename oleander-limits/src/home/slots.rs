//! A home's quotas of the slots and connections of each instance.

use oleander_core::time::Time;
use smallvec::SmallVec;

/// The number of instances stored inline without heap allocation.
const INLINE_INSTANCES: usize = 4;

/// Returns the quota of `total` that the home `index` of `homes` has on the instance `ordinal`.
///
/// The quotas of all homes add up to `total`. The home that receives the remainder differs between
/// ordinals, so that no home is left without any.
pub fn split(total: u32, homes: u32, index: u32, ordinal: u8) -> u32 {
    if homes == 0 {
        return 0;
    }
    let rank = (index + u32::from(ordinal)) % homes;
    total / homes + u32::from(rank < total % homes)
}

/// `Quota` is the part of an instance's capacity that this home may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    /// The maximum number of concurrent statements.
    pub slots: u32,
    /// The maximum number of open connections.
    pub connections: u32,
}

/// `Slots` counts the slots and connections in use and limits them to the home's quotas.
///
/// A statement takes a slot and a connection. An open transaction keeps its connection, and each of
/// its statements takes a slot while it runs.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    instances: SmallVec<[InstanceSlots; INLINE_INSTANCES]>,
    usable_from: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceSlots {
    quota: Quota,
    running: u32,
    connections: u32,
}

impl InstanceSlots {
    fn has_slot(&self) -> bool {
        self.running < self.quota.slots
    }

    fn has_connection(&self) -> bool {
        self.connections < self.quota.connections
    }
}

impl Slots {
    /// Sets the quota of each instance, in the order of ordinals.
    ///
    /// The quotas may be used from `usable_from` on. A VM that has just become a home passes a time
    /// at which all work of the previous home has ended. Statements beyond a reduced quota run to
    /// their end; no other starts before their number is below the quota.
    pub fn set_quotas(&mut self, quotas: impl IntoIterator<Item = Quota>, usable_from: Time) {
        self.usable_from = usable_from;
        let mut count = 0;
        for quota in quotas {
            if self.instances.len() == count {
                self.instances.push(InstanceSlots::default());
            }
            self.instances[count].quota = quota;
            count += 1;
        }
        // Instances no longer listed keep their counts until their statements have ended.
        for removed in self.instances.iter_mut().skip(count) {
            removed.quota = Quota::default();
        }
    }

    /// Returns `true` if a statement outside a transaction can start on the instance.
    pub fn is_free(&self, now: Time, ordinal: u8) -> bool {
        let Some(instance) = self.usable_instance(now, ordinal) else { return false };
        instance.has_slot() && instance.has_connection()
    }

    /// Returns `true` if a statement of an open transaction can start on the instance.
    pub fn has_slot(&self, now: Time, ordinal: u8) -> bool {
        self.usable_instance(now, ordinal).is_some_and(InstanceSlots::has_slot)
    }

    /// Returns `true` if at least one instance has a free slot.
    pub fn has_free_slot(&self, now: Time) -> bool {
        self.usable_from <= now && self.instances.iter().any(InstanceSlots::has_slot)
    }

    /// Returns the number of statements running on the instance.
    pub fn running(&self, ordinal: u8) -> u32 {
        self.instances.get(usize::from(ordinal)).map_or(0, |instance| instance.running)
    }

    /// Returns the number of connections in use on the instance.
    pub fn connections(&self, ordinal: u8) -> u32 {
        self.instances.get(usize::from(ordinal)).map_or(0, |instance| instance.connections)
    }

    /// Returns the home's quota of the instance, zero if the instance is unknown.
    pub fn quota(&self, ordinal: u8) -> Quota {
        self.instances.get(usize::from(ordinal)).map_or(Quota::default(), |instance| instance.quota)
    }

    /// Returns the total slots in the quotas of all instances.
    pub fn total_slots(&self) -> u32 {
        self.instances.iter().map(|instance| instance.quota.slots).sum()
    }

    /// Returns the slots in the largest quota.
    pub fn max_slots(&self) -> u32 {
        self.instances.iter().map(|instance| instance.quota.slots).max().unwrap_or(0)
    }

    /// Takes a slot and a connection. Returns `false` and takes nothing if either is unavailable.
    pub fn start(&mut self, now: Time, ordinal: u8) -> bool {
        if !self.is_free(now, ordinal) {
            return false;
        }
        let instance = &mut self.instances[usize::from(ordinal)];
        instance.running += 1;
        instance.connections += 1;
        true
    }

    /// Takes a slot for a statement of an open transaction. Returns `false` if none is free.
    pub fn start_in_transaction(&mut self, now: Time, ordinal: u8) -> bool {
        if !self.has_slot(now, ordinal) {
            return false;
        }
        self.instances[usize::from(ordinal)].running += 1;
        true
    }

    /// Releases the slot of a statement.
    pub fn finish(&mut self, ordinal: u8) {
        let Some(instance) = self.instances.get_mut(usize::from(ordinal)) else { return };
        instance.running = instance.running.saturating_sub(1);
    }

    /// Releases a connection that no statement or transaction uses any more.
    pub fn release_connection(&mut self, ordinal: u8) {
        let Some(instance) = self.instances.get_mut(usize::from(ordinal)) else { return };
        instance.connections = instance.connections.saturating_sub(1);
    }

    /// Returns the counts of an instance, or `None` if it is unknown or its quota may not be used
    /// yet.
    fn usable_instance(&self, now: Time, ordinal: u8) -> Option<&InstanceSlots> {
        if now < self.usable_from {
            return None;
        }
        self.instances.get(usize::from(ordinal))
    }
}
