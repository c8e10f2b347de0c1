//! Tells the other VMs that a database's primary is withdrawn, and checks that they answer.

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

/// The time within which a VM must answer to count as reachable: a few round trips between regions.
const REACH_TIMEOUT: Span = Span::from_millis(300);

/// The time within which a VM must answer one attempt to notify it.
const ANSWER_TIMEOUT: Span = Span::from_millis(1_000);

/// Tells all VMs that the keeper record written at `revision` names no primary, and waits until
/// none of them confirms writes by an older record. Returns the number of VMs that did not answer.
///
/// Each VM is told directly, since it may have lost the store. One that does not answer stops
/// confirming writes by itself once its lease has ended or it has not heard from the store for
/// `NodeSettings::currency_ttl`.
pub async fn primary_withdrawn(
    fleet: &Arc<Fleet>,
    peers: &PeerClient,
    database: DatabaseId,
    revision: StoreRevision,
) -> usize {
    fleet.withdraw_primary(database, revision);
    let limit = fleet.now() + fleet.settings.currency_ttl();
    let mut changes = fleet.changes();
    // From this revision on the roster names all VMs that may have read the earlier record.
    let viewed = changes.wait_for(|at| revision <= *at);
    let _ = fleet.timers.within(fleet.settings.currency_ttl(), viewed).await;
    let mut calls = JoinSet::new();
    for member in fleet.view().roster.others(fleet.vm) {
        let (fleet, peers) = (fleet.clone(), peers.clone());
        let request = Request::Withdrawn { database, revision: revision.0 };
        calls.spawn(notify_vm(fleet, peers, member.vm(), member.peers, request, limit));
    }
    let notified = calls.join_all().await;
    notified.into_iter().filter(|notified| !notified).count()
}

/// Returns `true` if all other VMs with a running lease answer.
pub async fn all_reachable(fleet: &Fleet, peers: &PeerClient) -> bool {
    let mut calls = JoinSet::new();
    for member in fleet.view().roster.others(fleet.vm) {
        let (peers, addr) = (peers.clone(), member.peers);
        calls.spawn(async move { peers.call(addr, &Request::Ready, REACH_TIMEOUT).await.is_ok() });
    }
    while let Some(answered) = calls.join_next().await {
        if !answered.unwrap_or(false) {
            return false;
        }
    }
    true
}

/// Notifies a VM until it answers or its lease has ended. Returns `false` if neither happens before
/// `limit`.
async fn notify_vm(
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
            // By now the VM has stopped confirming writes by itself.
            return false;
        }
        if !fleet.view().roster.is_present(vm) {
            // Without a lease the VM confirms no writes.
            return true;
        }
        if let Ok(Reply::Accepted) = peers.call(address, &request, ANSWER_TIMEOUT.min(left)).await {
            return true;
        }
        fleet.timers.sleep(backoff.next_pause().min(left)).await;
    }
}
