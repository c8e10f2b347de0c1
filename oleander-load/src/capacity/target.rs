//! The size that the system has to carry, and the limits that bound it.

/// `Target` is the size of the whole system.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The VMs.
    pub vms: f64,
    /// The databases.
    pub databases: f64,
    /// The instances of a database.
    pub instances: f64,
    /// The workspaces, in the proportion to databases of today's users: 8 for 3.
    pub workspaces: f64,
    /// The client connections of all VMs.
    pub connections: f64,
    /// The statements a second of all VMs.
    pub statements: f64,
    /// The changes of primary a day.
    pub failovers: f64,
    /// The time within which a change of primary is over, in seconds.
    pub failover_gap: f64,
    /// The availability zones.
    pub zones: f64,
    /// The changes of configuration a day.
    pub edits: f64,
    /// The time within which a change is in force everywhere, in seconds.
    pub edit_gap: f64,
    /// The VMs that fail a day.
    pub failures: f64,
    /// The VMs that are restarted or replaced a day.
    pub replacements: f64,
    /// The part of a core that a VM may spend on control.
    pub control_core: f64,
    /// The bytes of memory that a VM may spend on control.
    pub control_memory: f64,
    /// The bytes a second that a VM may send for control.
    pub control_bytes: f64,
    /// The store's writes a second.
    pub store_writes: f64,
    /// The store's reads a second; a waiting watch counts as one.
    pub store_reads: f64,
    /// The greatest value of the store, in bytes.
    pub store_value: f64,
}

/// The seconds of a day.
pub const DAY: f64 = 86_400.0;

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
    /// Gets the size of the target on an axis that counts VMs or databases.
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
