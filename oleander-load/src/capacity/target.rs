//! The target size of the system and the limits for it.

/// `Target` is the target size of the whole system, with its limits.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The number of VMs.
    pub vms: f64,
    /// The number of databases.
    pub databases: f64,
    /// The number of instances of a database.
    pub instances: f64,
    /// The number of workspaces; like that of today's users, 8 for 3 databases.
    pub workspaces: f64,
    /// The number of client connections of all VMs.
    pub connections: f64,
    /// The statements per second of all VMs.
    pub statements: f64,
    /// The number of failovers per day.
    pub failovers: f64,
    /// The maximum duration of a failover, in seconds.
    pub failover_gap: f64,
    /// The number of availability zones.
    pub zones: f64,
    /// The number of configuration edits per day.
    pub edits: f64,
    /// The maximum time until an edit is in force everywhere, in seconds.
    pub edit_gap: f64,
    /// The number of VMs that fail per day.
    pub failures: f64,
    /// The number of VMs that are restarted or replaced per day.
    pub replacements: f64,
    /// The maximum fraction of a core that a VM uses for control.
    pub control_core: f64,
    /// The maximum memory that a VM uses for control, in bytes.
    pub control_memory: f64,
    /// The maximum number of bytes per second that a VM sends for control.
    pub control_bytes: f64,
    /// The maximum number of writes per second of the store.
    pub store_writes: f64,
    /// The maximum number of reads per second of the store. A waiting watch counts as one.
    pub store_reads: f64,
    /// The maximum size of a value in the store, in bytes.
    pub store_value: f64,
}

/// The number of seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

impl Default for Target {
    fn default() -> Self {
        Self {
            vms: 420.0,
            databases: 670.0,
            instances: 3.0,
            workspaces: 670.0 * 8.0 / 3.0,
            connections: 3_100_000.0,
            statements: 1_000_000.0,
            failovers: 2.0,
            failover_gap: 10.0,
            zones: 8.0,
            edits: 2_200.0,
            edit_gap: 10.0,
            failures: 3.0,
            replacements: 71.0,
            control_core: 0.036,
            control_memory: 32e6,
            control_bytes: 4_000.0,
            store_writes: 300.0,
            store_reads: 2_000.0,
            store_value: 1e6,
        }
    }
}

impl Target {
    /// Returns the target size on an axis; `None` if the target does not determine it.
    pub fn size(&self, axis: crate::capacity::line::Axis) -> Option<f64> {
        use crate::capacity::line::Axis;
        match axis {
            Axis::Vms => Some(self.vms),
            Axis::Databases => Some(self.databases),
            Axis::Connections => Some(self.connections / self.vms),
            Axis::Peers => Some(self.vms - 1.0),
            Axis::Instances => Some(self.instances),
            Axis::Rate => Some(self.statements / self.workspaces),
            Axis::Waiting | Axis::Marks | Axis::Bytes => None,
        }
    }
}
