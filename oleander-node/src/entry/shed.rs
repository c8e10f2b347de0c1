//! Ends idle sessions on a VM that has lost contact with the store.
//!
//! Such a VM depends on others for its view of the store and, without them, refuses all requests
//! with a key. The load balancer sends it no new callers, but callers that are already connected
//! stay until their session ends. Their sessions are ended while idle if another VM can serve them.

use std::sync::Arc;

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_membership::leased::LeasedMember;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use tokio::sync::watch;

use crate::fleet::Fleet;

/// The interval at which this VM's contact with the store is checked.
const CHECK_INTERVAL: Span = Span::from_millis(500);

/// The maximum number of VMs asked whether they are ready; one ready VM suffices.
const MAX_PROBES: usize = 3;

/// The time within which a VM must answer that it is ready.
const PROBE_TIMEOUT: Span = Span::from_millis(400);

/// Sets `shed` to `true` while the store has not answered this VM for long and another VM is ready,
/// so that idle sessions end. Runs until dropped.
pub async fn run(fleet: Arc<Fleet>, peers: PeerClient, shed: watch::Sender<bool>) {
    let mut ticks = fleet.timers.interval(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let limit = fleet.settings.currency_ttl();
        let is_lost = fleet.contact_age().is_some_and(|age| limit <= age);
        let is_shedding = is_lost && is_other_ready(&fleet, &peers).await;
        if *shed.borrow() != is_shedding {
            shed.send_replace(is_shedding);
        }
    }
}

/// Asks up to `MAX_PROBES` VMs, starting at a random one, and returns `true` once one is ready.
async fn is_other_ready(fleet: &Fleet, peers: &PeerClient) -> bool {
    let others: Vec<VmId> = fleet.view().roster.others(fleet.vm).map(LeasedMember::vm).collect();
    let start = rand::random_range(0..others.len().max(1));
    for vm in others.iter().cycle().skip(start).take(MAX_PROBES.min(others.len())) {
        let Some(address) = fleet.address(*vm) else { continue };
        if let Ok(Reply::Ready(true)) = peers.call(address, &Request::Ready, PROBE_TIMEOUT).await {
            return true;
        }
    }
    false
}
