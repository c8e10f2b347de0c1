//! Waiting until no VM goes by a record of a duty that still names a primary.

use std::net::SocketAddr;
use std::sync::Arc;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_ports::store::StoreRevision;
use tokio::task::JoinSet;

use crate::control::Backoff;
use crate::fleet::Fleet;

/// The time within which a VM must show that it answers: a few round trips between regions.
const REACH_LIMIT: Span = Span::from_millis(300);

/// The time within which another VM must answer.
const ANSWER_LIMIT: Span = Span::from_millis(1_000);

/// Returns once no VM goes by the record from before `revision`, which was written just before and
/// names no primary.
///
/// A VM is told directly, since it may have lost the store. One that does not answer stops
/// confirming writes by itself once it has not heard from the store for the time of currency, or
/// its lease has ended.
///
/// Gets the number of VMs that did not answer.
pub async fn all(
    fleet: &Arc<Fleet>,
    peers: &PeerClient,
    database: DatabaseId,
    revision: StoreRevision,
) -> usize {
    fleet.withdraw_primary(database, revision);
    let limit = fleet.now() + fleet.settings.currency();
    let mut changes = fleet.changes();
    // Only then does the roster name all VMs that may have read what stood there before.
    let viewed = changes.wait_for(|at| revision <= *at);
    let _ = fleet.timers.within(fleet.settings.currency(), viewed).await;
    let mut calls = JoinSet::new();
    for member in fleet.view().roster.others(fleet.vm) {
        let (fleet, peers) = (fleet.clone(), peers.clone());
        let request = Request::Withdrawn { database, revision: revision.0 };
        calls.spawn(tell(fleet, peers, member.vm(), member.peers, request, limit));
    }
    let told = calls.join_all().await;
    told.into_iter().filter(|told| !told).count()
}

/// Returns `true` if all other VMs whose leases run answer.
pub async fn reach(fleet: &Fleet, peers: &PeerClient) -> bool {
    let mut calls = JoinSet::new();
    for member in fleet.view().roster.others(fleet.vm) {
        let (peers, address) = (peers.clone(), member.peers);
        calls.spawn(async move { peers.call(address, &Request::Ready, REACH_LIMIT).await.is_ok() });
    }
    while let Some(answered) = calls.join_next().await {
        if !answered.unwrap_or(false) {
            return false;
        }
    }
    true
}

/// Tells a VM until it answers. Returns `false` if it does not by the limit.
async fn tell(
    fleet: Arc<Fleet>,
    peers: PeerClient,
    vm: VmId,
    address: SocketAddr,
    request: Request,
    limit: Time,
) -> bool {
    let mut backoff = Backoff::default();
    loop {
        let left = limit.since(fleet.now());
        if left == Span::ZERO {
            // What is not known by then holds by time alone.
            return false;
        }
        if !fleet.view().roster.is_present(vm) {
            // Without a lease it confirms nothing.
            return true;
        }
        if let Ok(Reply::Accepted) = peers.call(address, &request, ANSWER_LIMIT.min(left)).await {
            return true;
        }
        fleet.timers.sleep(backoff.pause().min(left)).await;
    }
}
