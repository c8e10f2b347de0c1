//! The state of a whole group: replication, terms and promotion.

use std::time::Duration;
use std::time::Instant;

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use oleander_core::terms::Term;

use crate::group::instance::Instance;
use crate::group::instance::LinkState;
use crate::group::log::Change;
use crate::group::log::Entry;

/// `Refused` says why an instance did not do what it was asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// The instance takes no writes.
    NotPrimary,
    /// The term is not allowed here.
    WrongTerm,
}

/// `Followed` says what following a primary did to the history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Followed {
    /// All history was kept.
    Kept,
    /// History that the primary lacks was dropped.
    Dropped,
}

/// `GroupState` is the state of all instances of a group.
#[derive(Debug)]
pub struct GroupState {
    /// The instances by ordinal.
    pub instances: Vec<Instance>,
    transactions: u64,
}

impl GroupState {
    /// Makes a group of `count` instances, the first one primary at term 1.
    pub fn new(count: u8, lag: Duration, service: Duration, now: Instant) -> Self {
        let start = Entry { term: Term(1), change: None, written: now };
        let make = |ordinal| {
            let role = if ordinal == 0 { Role::Primary } else { Role::Replica };
            let mut instance = Instance::new(role, lag, service);
            instance.log.push(start.clone());
            instance
        };
        Self { instances: (0..count).map(make).collect(), transactions: 0 }
    }

    /// Gets the number for a new transaction.
    pub fn next_transaction(&mut self) -> u64 {
        self.transactions += 1;
        self.transactions
    }

    /// Brings all replicas to where their lag allows at `now`.
    pub fn catch_up(&mut self, now: Instant) {
        for ordinal in 0..self.instances.len() {
            let Some(primary) = self.source_of(ordinal) else { continue };
            let lag = self.instances[ordinal].lag;
            let known = self.instances[ordinal].log.entries().len();
            let fresh: Vec<Entry> = self.instances[primary].log.entries()[known..]
                .iter()
                .take_while(|entry| entry.written + lag <= now)
                .cloned()
                .collect();
            for entry in fresh {
                self.instances[ordinal].log.push(entry);
            }
        }
    }

    /// Gets the status of an instance at `now`.
    pub fn status(&mut self, ordinal: usize, now: Instant) -> InstanceStatus {
        self.catch_up(now);
        self.instances[ordinal].status()
    }

    /// Sets whether the group reaches an instance.
    pub fn set_link(&mut self, ordinal: usize, link: LinkState, now: Instant) {
        self.catch_up(now);
        self.instances[ordinal].link = link;
    }

    /// Sets by how much a replica lags.
    pub fn set_lag(&mut self, ordinal: usize, lag: Duration, now: Instant) {
        self.catch_up(now);
        self.instances[ordinal].lag = lag;
    }

    /// Writes changes at once if the instance is primary at `term`.
    pub fn write(
        &mut self,
        ordinal: usize,
        term: Term,
        changes: &[Change],
        now: Instant,
    ) -> Result<(), Refused> {
        let instance = &mut self.instances[ordinal];
        if instance.role != Role::Primary || instance.term != term {
            return Err(Refused::NotPrimary);
        }
        for change in changes {
            instance.log.push(Entry { term, change: Some(change.clone()), written: now });
        }
        Ok(())
    }

    /// Fences an instance at `term`.
    pub fn fence(&mut self, ordinal: usize, term: Term, now: Instant) -> Result<(), Refused> {
        self.catch_up(now);
        let instance = &mut self.instances[ordinal];
        if term <= instance.fence {
            return Err(Refused::WrongTerm);
        }
        instance.fence = term;
        instance.role = Role::Fenced;
        Ok(())
    }

    /// Makes a fenced instance primary at `term`.
    pub fn promote(&mut self, ordinal: usize, term: Term, now: Instant) -> Result<(), Refused> {
        let instance = &mut self.instances[ordinal];
        if instance.role != Role::Fenced || instance.fence != term {
            return Err(Refused::WrongTerm);
        }
        instance.role = Role::Primary;
        instance.term = term;
        instance.log.push(Entry { term, change: None, written: now });
        Ok(())
    }

    /// Makes an instance follow the primary of `term`.
    pub fn follow(
        &mut self,
        ordinal: usize,
        term: Term,
        now: Instant,
    ) -> Result<Followed, Refused> {
        self.catch_up(now);
        let instance = &self.instances[ordinal];
        if term < instance.fence {
            return Err(Refused::WrongTerm);
        }
        let primary = self.primary_at(term).filter(|primary| *primary != ordinal);
        let primary = primary.ok_or(Refused::WrongTerm)?;
        let shared = instance.log.shared_with(&self.instances[primary].log);
        let instance = &mut self.instances[ordinal];
        let dropped = shared < instance.log.entries().len();
        if dropped {
            instance.log.truncate(shared);
        }
        instance.fence = term;
        instance.term = term;
        instance.role = Role::Replica;
        Ok(if dropped { Followed::Dropped } else { Followed::Kept })
    }

    fn source_of(&self, ordinal: usize) -> Option<usize> {
        let instance = &self.instances[ordinal];
        if instance.role != Role::Replica || instance.link == LinkState::Down {
            return None;
        }
        self.primary_at(instance.term).filter(|_| instance.fence == instance.term)
    }

    fn primary_at(&self, term: Term) -> Option<usize> {
        self.instances.iter().position(|instance| {
            instance.role == Role::Primary
                && instance.term == term
                && instance.link == LinkState::Up
        })
    }
}
