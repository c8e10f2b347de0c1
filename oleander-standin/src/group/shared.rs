//! The options of a group and the state that its connections share.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;

use crate::group::replication::GroupState;

/// `GroupOptions` is the configuration of a group.
#[derive(Clone, Copy, Debug)]
pub struct GroupOptions {
    /// The number of instances; the first starts as the primary.
    pub instances: u8,
    /// The number of data statements that an instance may run at a time; more are run but counted
    /// as overruns.
    pub slots: u32,
    /// The maximum number of open connections of an instance; more are refused.
    pub connections: u32,
    /// The initial replication lag of each instance.
    pub lag: Duration,
    /// The initial execution time of a data statement.
    pub service: Duration,
    /// The time that opening a connection takes.
    pub connect: Duration,
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self {
            instances: 3,
            slots: 2,
            connections: 16,
            lag: Duration::from_millis(5),
            service: Duration::ZERO,
            connect: Duration::ZERO,
        }
    }
}

/// `Shared` is the state that all connections of a group share.
#[derive(Debug)]
pub struct Shared {
    /// The state of all instances.
    pub state: Mutex<GroupState>,
    /// The configuration of the group.
    pub options: GroupOptions,
    /// The number of restarts of each instance by ordinal. A change closes its connections, except
    /// the one that caused the restart.
    pub restarts: Vec<watch::Sender<u64>>,
}
