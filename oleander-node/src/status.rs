//! The state of a VM as operators see it.

use std::collections::BTreeMap;
use std::sync::Arc;

use oleander_core::time::Span;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::home::registry::Homes;

/// `NodeStatus` is the state of a VM for operators.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// The name of the VM.
    pub name: String,
    /// The revision of the configuration in force.
    pub configuration: u64,
    /// The revision of the store that the VM has applied.
    pub store: u64,
    /// The time since the view was last known to be complete, in milliseconds; `None` before the
    /// first view.
    pub age_ms: Option<u64>,
    /// `true` if requests with a key may start.
    pub current: bool,
    /// `true` if the VM uses its own shares.
    pub shares: bool,
    /// `true` once the VM is stopping.
    pub draining: bool,
    /// The VMs whose leases run.
    pub vms: usize,
    /// The instances that the directory names.
    pub instances: usize,
    /// The open transactions that rest at this VM's homes.
    pub transactions: usize,
    /// The instance that leads each database, by name; a database whose primary is unknown or being
    /// replaced is left out.
    pub primaries: BTreeMap<String, String>,
}

/// Gets the state.
pub fn of(fleet: &Fleet, homes: &Homes) -> NodeStatus {
    let view = fleet.view();
    let now = fleet.now();
    NodeStatus {
        name: fleet.settings.name.clone(),
        configuration: view.snapshot.revision.0,
        store: view.revision.0,
        age_ms: fleet.view_age().map(Span::as_millis),
        current: fleet.is_current(),
        shares: now < fleet.shares_until(),
        draining: fleet.is_draining(),
        vms: view.roster.present().count(),
        instances: view.instances.len(),
        transactions: homes.resting(),
        primaries: fleet.primaries().into_iter().collect(),
    }
}

/// Makes a function that gets the state as JSON.
pub fn json(fleet: Arc<Fleet>, homes: Arc<Homes>) -> impl Fn() -> String + Send + Sync {
    move || serde_json::to_string(&of(&fleet, &homes)).unwrap_or_default()
}

/// Gets the state as text, a line each: name, labels and value.
pub fn text(fleet: &Fleet, homes: &Homes) -> String {
    let status = of(fleet, homes);
    let NodeStatus { configuration, store, age_ms, vms, instances, transactions, .. } = status;
    let beliefs = [
        ("configuration_version", configuration),
        ("store_revision", store),
        ("current", u64::from(status.current)),
        ("shares_in_use", u64::from(status.shares)),
        ("draining", u64::from(status.draining)),
        ("vms", vms as u64),
        ("instances", instances as u64),
        ("resting_transactions", transactions as u64),
    ];
    let lines = beliefs.map(|(name, value)| format!("{name} {value}\n"));
    let primaries = status.primaries.into_iter().map(|(database, primary)| {
        format!("primary{{database=\"{database}\",instance=\"{primary}\"}} 1\n")
    });
    let age = age_ms.map(|age| format!("store_age_ms {age}\n"));
    lines.into_iter().chain(age).chain(primaries).collect()
}
