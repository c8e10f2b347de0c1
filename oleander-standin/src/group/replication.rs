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

/// `GroupError` is the reason why an instance refused a write or a change of role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GroupError {
    /// The instance is not primary at the term of the write.
    NotPrimary,
    /// The term or the instance's role does not allow the change of role.
    WrongTerm,
}

/// `FollowOutcome` is the effect of following a primary on the instance's own log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowOutcome {
    /// All entries were kept.
    Kept,
    /// Entries that the primary lacks were discarded.
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
    /// Returns a group of `count` instances: a primary at term 1, which is the first, and replicas.
    pub fn new(count: u8, lag: Duration, service: Duration, now: Instant) -> Self {
        let start = Entry { term: Term(1), change: None, written: now };
        let new_instance = |ordinal| {
            let role = if ordinal == 0 { Role::Primary } else { Role::Replica };
            let mut instance = Instance::new(role, lag, service);
            instance.log.push(start.clone());
            instance
        };
        Self { instances: (0..count).map(new_instance).collect(), transactions: 0 }
    }

    /// Returns a new transaction number.
    pub fn next_transaction(&mut self) -> u64 {
        self.transactions += 1;
        self.transactions
    }

    /// Replicates to each replica the entries of its primary that are older than its lag at `now`.
    pub fn catch_up(&mut self, now: Instant) {
        for ordinal in 0..self.instances.len() {
            let Some(primary) = self.replication_source(ordinal) else { continue };
            let lag = self.instances[ordinal].lag;
            let applied = self.instances[ordinal].log.entries().len();
            let new_entries: Vec<Entry> = self.instances[primary].log.entries()[applied..]
                .iter()
                .take_while(|entry| entry.written + lag <= now)
                .cloned()
                .collect();
            for entry in new_entries {
                self.instances[ordinal].log.push(entry);
            }
        }
    }

    /// Returns the status of an instance at `now`.
    pub fn status(&mut self, ordinal: usize, now: Instant) -> InstanceStatus {
        self.catch_up(now);
        self.instances[ordinal].status()
    }

    /// Connects an instance to the rest of the group or disconnects it.
    pub fn set_link(&mut self, ordinal: usize, link: LinkState, now: Instant) {
        self.catch_up(now);
        self.instances[ordinal].link = link;
    }

    /// Sets the replication lag of an instance; entries that were due at `now` are applied first.
    pub fn set_lag(&mut self, ordinal: usize, lag: Duration, now: Instant) {
        self.catch_up(now);
        self.instances[ordinal].lag = lag;
    }

    /// Appends changes to the log of an instance.
    ///
    /// # Errors
    /// Returns `GroupError::NotPrimary` if the instance is not primary at `term`.
    pub fn write(
        &mut self,
        ordinal: usize,
        term: Term,
        changes: &[Change],
        now: Instant,
    ) -> Result<(), GroupError> {
        let instance = &mut self.instances[ordinal];
        if instance.role != Role::Primary || instance.term != term {
            return Err(GroupError::NotPrimary);
        }
        for change in changes {
            instance.log.push(Entry { term, change: Some(change.clone()), written: now });
        }
        Ok(())
    }

    /// Fences an instance at `term`: it stops writing and replicating.
    ///
    /// # Errors
    /// Returns `GroupError::WrongTerm` unless `term` is higher than the instance's fence.
    pub fn fence(&mut self, ordinal: usize, term: Term, now: Instant) -> Result<(), GroupError> {
        self.catch_up(now);
        let instance = &mut self.instances[ordinal];
        if term <= instance.fence {
            return Err(GroupError::WrongTerm);
        }
        instance.fence = term;
        instance.role = Role::Fenced;
        Ok(())
    }

    /// Promotes an instance to primary at `term` and appends the entry that starts the term.
    ///
    /// # Errors
    /// Returns `GroupError::WrongTerm` unless the instance is fenced at `term`.
    pub fn promote(&mut self, ordinal: usize, term: Term, now: Instant) -> Result<(), GroupError> {
        let instance = &mut self.instances[ordinal];
        if instance.role != Role::Fenced || instance.fence != term {
            return Err(GroupError::WrongTerm);
        }
        instance.role = Role::Primary;
        instance.term = term;
        instance.log.push(Entry { term, change: None, written: now });
        Ok(())
    }

    /// Makes an instance a replica of the primary of `term` and discards the entries that the
    /// primary lacks.
    ///
    /// # Errors
    /// Returns `GroupError::WrongTerm` if `term` is below the instance's fence, or if no other
    /// instance that is connected to the group is primary at `term`.
    pub fn follow(
        &mut self,
        ordinal: usize,
        term: Term,
        now: Instant,
    ) -> Result<FollowOutcome, GroupError> {
        self.catch_up(now);
        let instance = &self.instances[ordinal];
        if term < instance.fence {
            return Err(GroupError::WrongTerm);
        }
        let primary = self.primary_at(term).filter(|primary| *primary != ordinal);
        let primary = primary.ok_or(GroupError::WrongTerm)?;
        let common = instance.log.common_prefix_len(&self.instances[primary].log);
        let instance = &mut self.instances[ordinal];
        let dropped = common < instance.log.entries().len();
        if dropped {
            instance.log.truncate(common);
        }
        instance.fence = term;
        instance.term = term;
        instance.role = Role::Replica;
        Ok(if dropped { FollowOutcome::Dropped } else { FollowOutcome::Kept })
    }

    /// Returns the primary that an instance replicates from; `None` if the instance is no replica,
    /// is fenced at a later term, or is disconnected from the primary.
    fn replication_source(&self, ordinal: usize) -> Option<usize> {
        let instance = &self.instances[ordinal];
        if instance.role != Role::Replica || instance.link == LinkState::Down {
            return None;
        }
        self.primary_at(instance.term).filter(|_| instance.fence == instance.term)
    }

    /// Returns the instance that is connected to the group and primary at `term`.
    fn primary_at(&self, term: Term) -> Option<usize> {
        self.instances.iter().position(|instance| {
            instance.role == Role::Primary
                && instance.term == term
                && instance.link == LinkState::Up
        })
    }
}
