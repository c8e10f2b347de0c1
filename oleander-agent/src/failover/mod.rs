//! Failure detection and promotion for the databases that this VM is a home of.
//!
//! The decisions are those of `oleander_failover::supervisor`; a guard a
//! database does their I/O. Nothing here needs the store: promotions go on while
//! it is down, and two homes that disagree are settled by terms.

mod guard;
pub mod guards;
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

use crate::failover::guards::Guard;
use crate::lock::lock;
use crate::shared::Shared;

/// The longest time between two looks at which databases this VM is a home of.
const REVIEW: Span = Span::from_millis(500);

/// Keeps a guard running for each database that this VM is a home of.
pub async fn run(shared: Arc<Shared>) {
    let mut changes = shared.changes.subscribe();
    loop {
        changes.mark_unchanged();
        review(&shared);
        tokio::select! {
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = shared.timers.sleep(REVIEW) => {}
        }
    }
}

/// Answers a peer's question about an instance.
pub async fn answer(shared: &Arc<Shared>, request: FailoverRequest) -> FailoverReply {
    match request {
        FailoverRequest::Opinion { instance } => opinion(shared, instance).await,
        FailoverRequest::Promoted { instance, term } => {
            let running = lock(&shared.guards.running);
            if let Some(guard) = running.get(&instance.database) {
                // A guard that has ended needs no news.
                let _ = guard.inputs.send(Input::PrimaryAnnounced(instance.ordinal, term));
            }
            FailoverReply::Noted
        }
    }
}

/// Gets the VMs that own the home shares of a database, the first home first.
fn home_owners(shared: &Shared, database: DatabaseId) -> Vec<Option<VmId>> {
    let owners = shared.with_node(|node, _| {
        let map = node.shares();
        let shares = homes::home_shares(database, map.owners.len() as u16);
        shares.map(|share| map.owner(share).map(|owner| owner.vm)).to_vec()
    });
    owners.unwrap_or_default()
}

fn review(shared: &Arc<Shared>) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    let mut running = lock(&shared.guards.running);
    running.retain(|id, _| snapshot.database(*id).is_some() && rank(shared, *id).is_some());
    for (_, database) in snapshot.databases.iter() {
        let id = DatabaseId::from_name(&database.name);
        let Some(rank) = rank(shared, id) else { continue };
        let same = running.get(&id).is_some_and(|guard| guard.database == *database);
        if !same {
            running.insert(id, start(shared, database.clone(), rank));
        }
        if let Some(guard) = running.get_mut(&id)
            && guard.rank != rank
        {
            guard.rank = rank;
            // A guard that has ended is replaced at the next review.
            let _ = guard.inputs.send(Input::RankChanged(rank));
        }
    }
    shared.guards.reports.retain(|instance| running.contains_key(&instance.database));
}

/// Gets the rank of this VM among the homes of a database; `None` if it is no home.
fn rank(shared: &Shared, database: DatabaseId) -> Option<Rank> {
    let own = VmId::from_name(&shared.settings.name);
    let place = home_owners(shared, database).iter().position(|vm| *vm == Some(own))?;
    Some(if place == 0 { Rank::First } else { Rank::Second })
}

fn start(shared: &Arc<Shared>, database: Database, rank: Rank) -> Guard {
    let (inputs, received) = tokio::sync::mpsc::unbounded_channel();
    let watch = guard::watch(Arc::clone(shared), database.clone(), rank, inputs.clone(), received);
    Guard { database, rank, inputs, task: tokio::spawn(watch) }
}

async fn opinion(shared: &Shared, instance: InstanceId) -> FailoverReply {
    let Some(address) =
        shared.snapshot.load().as_deref().and_then(|known| address(known, instance))
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

fn address(snapshot: &Snapshot, instance: InstanceId) -> Option<String> {
    let database = snapshot.database(instance.database)?;
    let known = database.instances.get(usize::from(instance.ordinal))?;
    Some(known.address.clone())
}
