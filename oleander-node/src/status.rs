//! The state of a VM for operators, as JSON and as text.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use oleander_core::time::Span;
use oleander_peer::traffic::Count;
use oleander_peer::traffic::Traffic;
use oleander_runtime::metrics::with_labels;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::home::registry::Homes;
use crate::rates::Rates;

/// `NodeStatus` is the state of a VM at one moment; its field names are the JSON keys.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// The name of the VM from its settings.
    pub name: String,
    /// The revision of the configuration in force.
    pub configuration: u64,
    /// The revision of the store that the view reflects.
    pub store: u64,
    /// The time since the view was last known to be complete, in milliseconds; `None` before the
    /// first view.
    pub age_ms: Option<u64>,
    /// `true` if requests with a key may start.
    pub current: bool,
    /// `true` unless the VM has started after a restore of the store and does not go by the
    /// configuration yet.
    pub confirmed: bool,
    /// `true` if the configuration in force is that of the store, which the VM has followed for long
    /// enough since it was restored.
    pub settled: bool,
    /// `true` if the VM uses shares of the rates that it owns; `false` while loans of earlier owners
    /// may still be in use.
    pub shares: bool,
    /// `true` once the VM is draining.
    pub draining: bool,
    /// The number of VMs whose leases run, this one included.
    pub vms: usize,
    /// The number of instances in the directory.
    pub instances: usize,
    /// The number of open transactions at this VM's homes that wait for their next statement.
    pub transactions: usize,
    /// The primary of each database, by name; a database whose primary is unknown or being replaced
    /// is left out.
    pub primaries: BTreeMap<String, String>,
    /// The names of the instances that this VM takes to be warming up.
    pub cold: Vec<String>,
    /// The names of the instances that the directory lists for databases which the configuration does
    /// not name.
    pub unused: Vec<String>,
    /// The entries of the directory that name no instance, by identifier, each with the reason; not all
    /// if there are many.
    pub rejected: BTreeMap<String, String>,
    /// The availability zones under evacuation, by name.
    pub evacuated: BTreeSet<String>,
    /// The number of statements of this VM's callers refused because of evacuations.
    pub evacuation_refused_at_entry: u64,
    /// The number of statements refused by this VM's homes because of evacuations; the entry VM may
    /// have tried other instances.
    pub evacuation_refused_at_home: u64,
}

/// Returns the current state.
pub fn collect(fleet: &Fleet, homes: &Homes, rates: &Rates) -> NodeStatus {
    let view = fleet.view();
    let counts = &fleet.evacuation_counts;
    NodeStatus {
        name: fleet.settings.name.clone(),
        configuration: view.snapshot.revision.0,
        store: view.revision.0,
        age_ms: fleet.view_age().map(Span::as_millis),
        current: fleet.is_current(),
        confirmed: !*fleet.held().borrow(),
        settled: fleet.is_settled(),
        shares: rates.uses_shares(),
        draining: fleet.is_draining(),
        vms: view.roster.present().count(),
        instances: view.instances.len(),
        transactions: homes.resting_transactions(),
        primaries: fleet.primaries().into_iter().collect(),
        cold: fleet.cold_instances(),
        unused: fleet.unused_instances(),
        rejected: view.rejected.as_ref().clone(),
        evacuated: view.evacuated.keys().cloned().collect(),
        evacuation_refused_at_entry: counts.at_entry.load(Ordering::Relaxed),
        evacuation_refused_at_home: counts.at_home.load(Ordering::Relaxed),
    }
}

/// Returns a function that returns the current state as JSON.
pub fn json(
    fleet: Arc<Fleet>,
    homes: Arc<Homes>,
    rates: Rates,
) -> impl Fn() -> String + Send + Sync {
    move || serde_json::to_string(&collect(&fleet, &homes, &rates)).unwrap_or_default()
}

/// Returns the state as metrics text: one line with name, labels and value each.
pub fn text(fleet: &Fleet, homes: &Homes, rates: &Rates) -> String {
    let status = collect(fleet, homes, rates);
    let NodeStatus { configuration, store, age_ms, vms, instances, transactions, .. } = status;
    let gauges = [
        ("configuration_version", configuration),
        ("store_revision", store),
        ("current", u64::from(status.current)),
        ("configuration_confirmed", u64::from(status.confirmed)),
        ("shares_in_use", u64::from(status.shares)),
        ("draining", u64::from(status.draining)),
        ("vms", vms as u64),
        ("instances", instances as u64),
        ("cold_instances", status.cold.len() as u64),
        ("unused_instances", status.unused.len() as u64),
        ("rejected_entries", status.rejected.len() as u64),
        ("resting_transactions", transactions as u64),
        ("evacuation_refused_at_entry", status.evacuation_refused_at_entry),
        ("evacuation_refused_at_home", status.evacuation_refused_at_home),
    ];
    let lines = gauges.map(|(name, value)| format!("{name} {value}\n"));
    let line = |name: &str, labels: &[(&str, &str)]| format!("{} 1\n", with_labels(name, labels));
    let primaries = status.primaries.iter().map(|(database, primary)| {
        line("primary", &[("database", database.as_str()), ("instance", primary.as_str())])
    });
    let zones = status.evacuated.iter().map(|zone| line("evacuated", &[("zone", zone.as_str())]));
    let age = age_ms.map(|age| format!("store_age_ms {age}\n"));
    lines.into_iter().chain(age).chain(primaries).chain(zones).collect()
}

/// Returns the counts of messages between VMs and of calls to the store as metrics text.
pub fn traffic_text(traffic: &Traffic, store_calls: &BTreeMap<&str, u64>) -> String {
    let messages = traffic.counts().into_iter().map(|(kind, side, count)| {
        let labels = format!("{{kind=\"{kind}\",side=\"{side}\"}}");
        let Count { calls, requested, replied } = count;
        format!(
            "peer_calls{labels} {calls}\npeer_request_bytes{labels} {requested}\n\
             peer_reply_bytes{labels} {replied}\n"
        )
    });
    let calls = store_calls.iter().map(|(kind, n)| format!("store_calls{{kind=\"{kind}\"}} {n}\n"));
    messages.chain(calls).collect()
}
