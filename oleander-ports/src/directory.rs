//! The directory of instances, as the instances themselves report.

use std::net::SocketAddr;

/// `DirectoryEntry` is one instance that may be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryEntry {
    /// The unique identifier of the instance.
    pub instance: String,
    /// The number of this life of the instance; a restart under the same identifier has another.
    pub life: u64,
    /// The name of the database that the instance serves.
    pub database: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The name of the availability zone.
    pub zone: String,
    /// The statements that it runs at a time.
    pub slots: u32,
    /// `true` while it leaves.
    pub leaving: bool,
    /// `true` if it holds itself for the primary.
    pub primary: bool,
}
