//! A model of a database group that keeps each instance's real log.
//!
//! Promotions follow the rules that the proofs rest on.

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

/// `Entry` is a unique entry of a log and the term in which it was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) term: u64,
    pub(crate) serial: u32,
}

/// `Instance` is one instance with its real log.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) role: Role,
    /// The term that the instance leads or follows.
    pub(crate) term: u64,
    pub(crate) fence: u64,
    pub(crate) log: Vec<Entry>,
}

/// `Group` is a group at a time that its user moves on.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) now: Time,
    pub(crate) instances: Vec<Instance>,
    /// The instance that was promoted last: its log is the history.
    leader: usize,
    entries: u32,
}

impl Group {
    pub(crate) fn new(size: usize) -> Self {
        let log = vec![Entry { term: 1, serial: 0 }];
        let replica = Instance { role: Role::Replica, term: 1, fence: 1, log };
        let mut instances = vec![replica; size];
        instances[0].role = Role::Primary;
        Self { now: Time(0), instances, leader: 0, entries: 0 }
    }

    /// Returns the log of the instance that was promoted last.
    pub(crate) fn history(&self) -> &[Entry] {
        &self.instances[self.leader].log
    }

    pub(crate) fn id(at: usize) -> InstanceId {
        InstanceId { database: DATABASE, ordinal: at as u8 }
    }

    pub(crate) fn status(&self, at: usize) -> InstanceStatus {
        let one = &self.instances[at];
        let term = one.last_term();
        let before = one.log.iter().take_while(|entry| entry.term != term).count();
        InstanceStatus {
            role: one.role,
            point: LogPoint { term: Term(term), position: Position(one.log.len() as u64) },
            fence: Term(one.fence),
            start: Position(before as u64),
        }
    }

    pub(crate) fn chosen(&self, mask: u8) -> Vec<usize> {
        (0..self.instances.len()).filter(|at| mask & (1 << at) != 0).collect()
    }

    pub(crate) fn primary(&self, term: u64) -> Option<usize> {
        let is_primary = |one: &Instance| one.role == Role::Primary && one.term == term;
        self.instances.iter().position(is_primary)
    }

    pub(crate) fn write(&mut self, at: usize) {
        self.entries += 1;
        let one = &mut self.instances[at];
        if one.role == Role::Primary {
            one.log.push(Entry { term: one.term, serial: self.entries });
        }
    }

    pub(crate) fn copy(&mut self, to: usize, count: usize) {
        let one = &self.instances[to];
        let Some(from) = self.primary(one.term).filter(|_| one.role == Role::Replica) else {
            return;
        };
        let more: Vec<Entry> = self.instances[from].log[one.log.len()..].to_vec();
        self.instances[to].log.extend(more.into_iter().take(count));
    }

    pub(crate) fn follow(&mut self, at: usize) {
        let newest = self.instances.iter().map(|one| one.term).max().unwrap_or(0);
        let Some(primary) = self.primary(newest).map(|primary| self.instances[primary].clone())
        else {
            return;
        };
        let one = &mut self.instances[at];
        if newest <= one.term || newest < one.fence {
            return;
        }
        let shared = one.log.iter().zip(&primary.log).take_while(|(a, b)| a == b).count();
        one.log.truncate(shared);
        one.role = Role::Replica;
        one.term = newest;
        one.fence = newest;
    }

    /// Fences at a term above all promises that the promoter saw. Returns `None` without a majority.
    pub(crate) fn fence(&mut self, chosen: &[usize]) -> Option<u64> {
        let term = 1 + chosen.iter().map(|at| self.instances[*at].fence).max()?;
        for at in chosen {
            self.instances[*at].fence = term;
            self.instances[*at].role = Role::Fenced;
        }
        (self.instances.len() / 2 < chosen.len()).then_some(term)
    }

    pub(crate) fn promote(&mut self, chosen: &[usize]) {
        let Some(term) = self.fence(chosen) else { return };
        let key = |at: &usize| (self.instances[*at].last_term(), self.instances[*at].log.len());
        let Some(best) = chosen.iter().copied().max_by_key(key) else { return };
        // The log does not end in the term before: leave out one term that never had a primary.
        let follows_on = self.instances[best].last_term() + 1 == term;
        let Some(term) = (if follows_on { Some(term) } else { self.fence(chosen) }) else { return };
        self.instances[best].role = Role::Primary;
        self.instances[best].term = term;
        self.leader = best;
        // The first entry of a term marks its start.
        self.write(best);
    }
}

impl Instance {
    pub(crate) fn last_term(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.term)
    }
}
