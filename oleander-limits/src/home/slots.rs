//! The home's part of each instance's slots and connections.

use oleander_core::time::Time;
use smallvec::SmallVec;

/// The number of instances kept on the stack.
const INLINE_INSTANCES: usize = 4;

/// Gets the part of `total` that home `index` of `homes` has on the instance with this ordinal.
///
/// The parts of all homes add up to `total`. The remainder falls on another
/// home for each ordinal, so that no home is left without any.
pub fn split(total: u32, homes: u32, index: u32, ordinal: u8) -> u32 {
    if homes == 0 {
        return 0;
    }
    let turn = (index + u32::from(ordinal)) % homes;
    total / homes + u32::from(turn < total % homes)
}

/// `Quota` is what this home may use of one instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    /// The statements that may run at a time.
    pub slots: u32,
    /// The connections that may be open at a time.
    pub connections: u32,
}

/// `Slots` counts the slots and connections in use and never lets them exceed the home's part.
///
/// A statement takes a slot and a connection. An open transaction keeps its
/// connection, and its statements take a slot each while they run.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    instances: SmallVec<[InstanceSlots; INLINE_INSTANCES]>,
    from: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceSlots {
    part: Quota,
    running: u32,
    connections: u32,
}

impl InstanceSlots {
    fn has_slot(&self) -> bool {
        self.running < self.part.slots
    }

    fn has_connection(&self) -> bool {
        self.connections < self.part.connections
    }
}

impl Slots {
    /// Sets the part of each instance, in the order of ordinals.
    ///
    /// The parts may be used from `from` on. A VM that has newly become a home
    /// passes a time at which all work of the home before it has ended. What
    /// runs beyond a smaller part goes on, and nothing starts until it is below.
    pub fn set_quotas(&mut self, parts: impl IntoIterator<Item = Quota>, from: Time) {
        self.from = from;
        let mut count = 0;
        for part in parts {
            if self.instances.len() == count {
                self.instances.push(InstanceSlots::default());
            }
            self.instances[count].part = part;
            count += 1;
        }
        // Instances that left the list keep their counts until their work has ended.
        for gone in self.instances.iter_mut().skip(count) {
            gone.part = Quota::default();
        }
    }

    /// Returns `true` if a statement outside a transaction can start on the instance.
    pub fn is_free(&self, now: Time, ordinal: u8) -> bool {
        let Some(instance) = self.at(now, ordinal) else { return false };
        instance.has_slot() && instance.has_connection()
    }

    /// Returns `true` if a statement of an open transaction can start on the instance.
    pub fn has_slot(&self, now: Time, ordinal: u8) -> bool {
        self.at(now, ordinal).is_some_and(InstanceSlots::has_slot)
    }

    /// Returns `true` if some instance has a free slot.
    pub fn any_slot(&self, now: Time) -> bool {
        self.from <= now && self.instances.iter().any(InstanceSlots::has_slot)
    }

    /// Gets the number of statements that run on the instance.
    pub fn running(&self, ordinal: u8) -> u32 {
        self.instances.get(usize::from(ordinal)).map_or(0, |instance| instance.running)
    }

    /// Gets the number of connections in use on the instance.
    pub fn connections(&self, ordinal: u8) -> u32 {
        self.instances.get(usize::from(ordinal)).map_or(0, |instance| instance.connections)
    }

    /// Gets the home's part of the instance.
    pub fn quota(&self, ordinal: u8) -> Quota {
        self.instances.get(usize::from(ordinal)).map_or(Quota::default(), |instance| instance.part)
    }

    /// Gets the slots of all instances in the home's part.
    pub fn total(&self) -> u32 {
        self.instances.iter().map(|instance| instance.part.slots).sum()
    }

    /// Gets the slots of the largest instance in the home's part.
    pub fn largest(&self) -> u32 {
        self.instances.iter().map(|instance| instance.part.slots).max().unwrap_or(0)
    }

    /// Takes a slot and a connection. Returns `false` and takes nothing if either is not free.
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

    /// Gives a statement's slot back.
    pub fn finish(&mut self, ordinal: u8) {
        let Some(instance) = self.instances.get_mut(usize::from(ordinal)) else { return };
        instance.running = instance.running.saturating_sub(1);
    }

    /// Gives a connection back that no statement and no transaction uses any more.
    pub fn release_connection(&mut self, ordinal: u8) {
        let Some(instance) = self.instances.get_mut(usize::from(ordinal)) else { return };
        instance.connections = instance.connections.saturating_sub(1);
    }

    fn at(&self, now: Time, ordinal: u8) -> Option<&InstanceSlots> {
        if now < self.from {
            return None;
        }
        self.instances.get(usize::from(ordinal))
    }
}
