//! What the connections of a group share.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;

use crate::group::replication::GroupState;

/// `GroupOptions` says how a group is built.
#[derive(Clone, Copy, Debug)]
pub struct GroupOptions {
    /// The number of instances.
    pub instances: u8,
    /// The number of data statements that an instance runs at a time.
    pub slots: u32,
    /// The number of connections that an instance accepts.
    pub connections: u32,
    /// The time by which replicas lag.
    pub lag: Duration,
    /// The time that a data statement takes.
    pub service: Duration,
    /// The time that a new connection takes.
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

/// `Shared` is what the connections of a group have in common.
#[derive(Debug)]
pub struct Shared {
    /// The state of the instances.
    pub state: Mutex<GroupState>,
    /// How the group was built.
    pub options: GroupOptions,
    /// The number of restarts of each instance; a change closes its connections.
    pub restarts: Vec<watch::Sender<u64>>,
}
