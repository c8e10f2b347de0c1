//! The directory of database instances, to which each instance registers itself.

use std::net::SocketAddr;

use oleander_core::line::Name;
use oleander_core::time::Span;

/// `DirectoryEntry` is the registration of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryEntry {
    /// The unique identifier of the instance.
    pub instance: Name,
    /// Distinguishes restarts of an instance under the same identifier: every start has another
    /// value.
    pub life: u64,
    /// The name of the database that the instance serves. Instances with the same name serve
    /// one database.
    pub database: Name,
    /// The address at which the instance accepts connections.
    pub address: SocketAddr,
    /// The name of the availability zone.
    pub zone: String,
    /// The number of statements that the instance runs concurrently.
    pub slots: u32,
    /// `true` while the instance is draining before it shuts down.
    pub leaving: bool,
    /// `true` if the instance reports itself as the primary. The report may be out of date.
    pub primary: bool,
    /// The time for which the instance still warms up after its start, counted from this report.
    pub warmup: Span,
}
