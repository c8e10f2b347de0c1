//! A model of a database group that keeps the complete log of each instance.
//!
//! Promotions follow the rules that `oleander_session::proof` relies on.

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Time;

/// The database of the group.
pub(crate) const DATABASE: DatabaseId = DatabaseId(1);

/// `Entry` is a unique log entry and the term in which it was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) term: u64,
    pub(crate) serial: u32,
}

/// `Instance` is one instance with its complete log.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) role: Role,
    /// The term in which the instance is primary or replica.
    pub(crate) term: u64,
    pub(crate) fence: u64,
    pub(crate) log: Vec<Entry>,
}

/// `Group` is a database group; the test advances `now`.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) now: Time,
    pub(crate) instances: Vec<Instance>,
    /// The index of the instance that was promoted last. Its log is the history of the group.
    promoted: usize,
    /// The number of entries written so far.
    entries: u32,
}

impl Group {
    pub(crate) fn new(size: usize) -> Self {
        let log = vec![Entry { term: 1, serial: 0 }];
        let replica = Instance { role: Role::Replica, term: 1, fence: 1, log };
        let mut instances = vec![replica; size];
        instances[0].role = Role::Primary;
        Self { now: Time(0), instances, promoted: 0, entries: 0 }
    }

    /// Returns the log of the instance that was promoted last.
    pub(crate) fn history(&self) -> &[Entry] {
        &self.instances[self.promoted].log
    }

    pub(crate) fn id(index: usize) -> InstanceId {
        InstanceId { database: DATABASE, ordinal: index as u8 }
    }

    pub(crate) fn status(&self, index: usize) -> InstanceStatus {
        let instance = &self.instances[index];
        let term = instance.last_term();
        let before = instance.log.iter().take_while(|entry| entry.term != term).count();
        InstanceStatus {
            role: instance.role,
            point: LogPoint { term: Term(term), position: Position(instance.log.len() as u64) },
            fence: Term(instance.fence),
            start: Position(before as u64),
        }
    }

    /// Returns the indices of the instances whose bit is set in `mask`.
    pub(crate) fn chosen(&self, mask: u8) -> Vec<usize> {
        (0..self.instances.len()).filter(|index| mask & (1 << index) != 0).collect()
    }

    pub(crate) fn primary(&self, term: u64) -> Option<usize> {
        let is_primary =
            |instance: &Instance| instance.role == Role::Primary && instance.term == term;
        self.instances.iter().position(is_primary)
    }

    /// Appends an entry if the instance believes that it is the primary.
    pub(crate) fn write(&mut self, index: usize) {
        self.entries += 1;
        let instance = &mut self.instances[index];
        if instance.role == Role::Primary {
            instance.log.push(Entry { term: instance.term, serial: self.entries });
        }
    }

    /// Copies up to `count` entries to a replica from the primary of its term.
    pub(crate) fn copy(&mut self, to: usize, count: usize) {
        let instance = &self.instances[to];
        let Some(from) = self.primary(instance.term).filter(|_| instance.role == Role::Replica)
        else {
            return;
        };
        let more: Vec<Entry> = self.instances[from].log[instance.log.len()..].to_vec();
        self.instances[to].log.extend(more.into_iter().take(count));
    }

    /// Makes an instance a replica of the newest primary and drops the entries that the primary
    /// lacks.
    pub(crate) fn follow(&mut self, index: usize) {
        let newest = self.instances.iter().map(|instance| instance.term).max().unwrap_or(0);
        let Some(primary) = self.primary(newest).map(|primary| self.instances[primary].clone())
        else {
            return;
        };
        let instance = &mut self.instances[index];
        if newest <= instance.term || newest < instance.fence {
            return;
        }
        let shared = instance.log.iter().zip(&primary.log).take_while(|(a, b)| a == b).count();
        instance.log.truncate(shared);
        instance.role = Role::Replica;
        instance.term = newest;
        instance.fence = newest;
    }

    /// Fences these instances at a term above all their promises. Returns `None` without a
    /// majority.
    pub(crate) fn fence(&mut self, chosen: &[usize]) -> Option<u64> {
        let term = 1 + chosen.iter().map(|index| self.instances[*index].fence).max()?;
        for index in chosen {
            self.instances[*index].fence = term;
            self.instances[*index].role = Role::Fenced;
        }
        (self.instances.len() / 2 < chosen.len()).then_some(term)
    }

    /// Fences these instances and, if they are a majority, promotes the one with the most recent
    /// log.
    pub(crate) fn promote(&mut self, chosen: &[usize]) {
        let Some(term) = self.fence(chosen) else { return };
        let key =
            |index: &usize| (self.instances[*index].last_term(), self.instances[*index].log.len());
        let Some(best) = chosen.iter().copied().max_by_key(key) else { return };
        // The log does not end in the preceding term: skip a term, which then never has a primary.
        let follows_on = self.instances[best].last_term() + 1 == term;
        let Some(term) = (if follows_on { Some(term) } else { self.fence(chosen) }) else { return };
        self.instances[best].role = Role::Primary;
        self.instances[best].term = term;
        self.promoted = best;
        // The first entry of a term marks its start.
        self.write(best);
    }
}

impl Instance {
    pub(crate) fn last_term(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.term)
    }
}
