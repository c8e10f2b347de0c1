//! The state of one instance, independent of the network.

use std::time::Duration;

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use serde::Serialize;

use crate::group::log::Log;

/// `Instance` is the state of one server of a group.
#[derive(Debug)]
pub struct Instance {
    /// The replication role.
    pub role: Role,
    /// The term in which the instance is primary or follows one.
    pub term: Term,
    /// The highest term that the instance has accepted; it refuses lower ones.
    pub fence: Term,
    /// The replicated log and its data.
    pub log: Log,
    /// The time after which a replica applies an entry that the primary has written.
    pub lag: Duration,
    /// The execution time of a data statement.
    pub service: Duration,
    /// Whether replication to and from this instance works.
    pub link: LinkState,
    /// The connection and statement counters.
    pub counters: Counters,
}

/// `LinkState` is the state of the network between an instance and the rest of its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Replication works.
    Up,
    /// The instance is partitioned or stopped.
    Down,
}

/// `Counters` counts the connections and data statements of an instance. Statements beyond the
/// slots are counted as overruns, not refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Connections that are open now.
    pub connections: u32,
    /// The maximum of `connections` so far.
    pub peak_connections: u32,
    /// Connections that were refused because the limit was reached.
    pub refused: u64,
    /// Data statements that run now.
    pub running: u32,
    /// The maximum of `running` so far.
    pub peak_running: u32,
    /// Data statements that started while all slots were taken.
    pub overruns: u64,
    /// Data statements that were started.
    pub statements: u64,
}

impl Instance {
    /// Returns an instance at term 1 with an empty log.
    pub fn new(role: Role, lag: Duration, service: Duration) -> Self {
        Self {
            role,
            term: Term(1),
            fence: Term(1),
            log: Log::default(),
            lag,
            service,
            link: LinkState::Up,
            counters: Counters::default(),
        }
    }

    /// Returns the answer to a status statement.
    pub fn status(&self) -> InstanceStatus {
        InstanceStatus {
            role: self.role,
            point: self.log.point(),
            fence: self.fence,
            start: self.log.start(),
        }
    }

    /// Returns the position of the last entry; zero if there is none.
    pub fn position(&self) -> Position {
        self.log.position()
    }
}
