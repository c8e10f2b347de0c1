//! Failure detection and promotion for the databases that this VM is a home of.
//!
//! A home is a VM that owns one of the two home shares of a database. It runs one monitor for each
//! such database, which does the I/O for the state machine `oleander_failover::supervisor`.
//! Nothing here depends on the store, so promotions continue while it is down. If the two homes of
//! a database disagree, the higher term wins.

mod monitor;
pub mod monitors;
mod reports;

use std::sync::Arc;

use oleander_config::model::Database;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_failover::messages::FailoverReply;
use oleander_failover::messages::FailoverRequest;
use oleander_failover::messages::Input;
use oleander_failover::messages::Rank;
use oleander_routing::homes;
use oleander_upstream::group::Admin;
use oleander_upstream::pool::PoolOptions;

use crate::failover::monitors::Monitor;
use crate::lock::lock;
use crate::shared::Shared;

/// The longest time between two checks of which databases this VM is a home of.
const RECONCILE_INTERVAL: Span = Span::from_millis(500);

/// Keeps one monitor running for each database that this VM is a home of.
pub async fn run(shared: Arc<Shared>) {
    let mut changes = shared.changes.subscribe();
    loop {
        changes.mark_unchanged();
        reconcile(&shared);
        tokio::select! {
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = shared.timers.sleep(RECONCILE_INTERVAL) => {}
        }
    }
}

/// Answers a failover request from a peer.
pub async fn answer(shared: &Arc<Shared>, request: FailoverRequest) -> FailoverReply {
    match request {
        FailoverRequest::Opinion { instance } => form_opinion(shared, instance).await,
        FailoverRequest::Promoted { instance, term } => {
            let running = lock(&shared.monitors.running);
            if let Some(monitor) = running.get(&instance.database) {
                // Sending fails only if the monitor has ended; it needs no notification then.
                let _ = monitor.inputs.send(Input::PrimaryAnnounced(instance.ordinal, term));
            }
            FailoverReply::Noted
        }
    }
}

/// Returns the owners of the home shares of a database, first home first; `None` for a share
/// without an owner. The result is empty before this VM has registered.
fn home_owners(shared: &Shared, database: DatabaseId) -> Vec<Option<VmId>> {
    let owners = shared.with_node(|node, _| {
        let map = node.shares();
        let shares = homes::home_shares(database, map.owners.len() as u16);
        shares.map(|share| map.owner(share).map(|owner| owner.vm)).to_vec()
    });
    owners.unwrap_or_default()
}

/// Starts, restarts and stops monitors so that they match the configuration and the share record.
fn reconcile(shared: &Arc<Shared>) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    let mut running = lock(&shared.monitors.running);
    running.retain(|id, _| snapshot.database(*id).is_some() && rank(shared, *id).is_some());
    for (_, database) in snapshot.databases.iter() {
        let id = DatabaseId::from_name(&database.name);
        let Some(rank) = rank(shared, id) else { continue };
        let is_unchanged = running.get(&id).is_some_and(|monitor| monitor.database == *database);
        if !is_unchanged {
            running.insert(id, start_monitor(shared, database.clone(), rank));
        }
        if let Some(monitor) = running.get_mut(&id)
            && monitor.rank != rank
        {
            monitor.rank = rank;
            // Sending fails only if the monitor has ended.
            let _ = monitor.inputs.send(Input::RankChanged(rank));
        }
    }
    shared.monitors.reports.retain(|instance| running.contains_key(&instance.database));
}

/// Returns the rank of this VM among the homes of a database; `None` if it is not a home.
fn rank(shared: &Shared, database: DatabaseId) -> Option<Rank> {
    let own = VmId::from_name(&shared.settings.name);
    let index = home_owners(shared, database).iter().position(|vm| *vm == Some(own))?;
    Some(if index == 0 { Rank::First } else { Rank::Second })
}

/// Starts the task that monitors a database.
fn start_monitor(shared: &Arc<Shared>, database: Database, rank: Rank) -> Monitor {
    let (inputs, received) = tokio::sync::mpsc::unbounded_channel();
    let task = monitor::run(Arc::clone(shared), database.clone(), rank, inputs.clone(), received);
    Monitor { database, rank, inputs, task: tokio::spawn(task) }
}

/// Pings an instance once on behalf of a peer.
async fn form_opinion(shared: &Shared, instance: InstanceId) -> FailoverReply {
    let Some(address) =
        shared.snapshot.load().as_deref().and_then(|snapshot| instance_address(snapshot, instance))
    else {
        return FailoverReply::Unknown;
    };
    let Ok(admin) = Admin::new(&address, &PoolOptions::default()) else {
        return FailoverReply::Unknown;
    };
    match admin.status(shared.settings.times.ping_limit.duration()).await {
        Ok(status) => FailoverReply::Reachable(status),
        Err(_) => FailoverReply::Unreachable,
    }
}

fn instance_address(snapshot: &Snapshot, instance: InstanceId) -> Option<String> {
    let database = snapshot.database(instance.database)?;
    let found = database.instances.get(usize::from(instance.ordinal))?;
    Some(found.address.clone())
}
