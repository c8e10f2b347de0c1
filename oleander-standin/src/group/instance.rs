//! The state of one instance, without sockets.

use std::time::Duration;

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use serde::Serialize;

use crate::group::log::Log;

/// `Instance` is one server of a group.
#[derive(Debug)]
pub struct Instance {
    /// The role.
    pub role: Role,
    /// The term that the instance serves or follows.
    pub term: Term,
    /// The highest term that it has promised to.
    pub fence: Term,
    /// The history.
    pub log: Log,
    /// The time by which a replica's copy lags.
    pub lag: Duration,
    /// The time that a data statement takes.
    pub service: Duration,
    /// Whether the other instances reach this one.
    pub link: LinkState,
    /// What has been counted.
    pub counters: Counters,
}

/// `LinkState` says whether the rest of the group reaches an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Replication works.
    Up,
    /// The instance is cut off or stopped.
    Down,
}

/// `Counters` are what an instance has counted; overruns are reported, not prevented.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// The open connections.
    pub connections: u32,
    /// The greatest number of connections at a time.
    pub peak_connections: u32,
    /// The connections that were refused for want of room.
    pub refused: u64,
    /// The data statements that run now.
    pub running: u32,
    /// The greatest number of data statements at a time.
    pub peak_running: u32,
    /// The data statements that began while all slots were taken.
    pub overruns: u64,
    /// The data statements that were begun.
    pub statements: u64,
}

impl Instance {
    /// Makes an instance with an empty history.
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

    /// Gets the answer to a status question.
    pub fn status(&self) -> InstanceStatus {
        InstanceStatus {
            role: self.role,
            point: self.log.point(),
            fence: self.fence,
            start: self.log.start(),
        }
    }

    /// Gets the position of the last entry.
    pub fn position(&self) -> Position {
        self.log.position()
    }
}
