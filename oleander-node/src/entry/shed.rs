//! Sending callers elsewhere who are connected to a VM that has lost the store.
//!
//! Such a VM has to refuse all keyed work. The balancer sends it no new callers,
//! but those that are connected stay until their session ends. Their sessions
//! are ended at rest if another VM can serve them.

use std::sync::Arc;

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_membership::leased::LeasedMember;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use tokio::sync::watch;

use crate::fleet::Fleet;

/// The time between two looks at whether this VM is current.
const INTERVAL: Span = Span::from_millis(500);

/// The VMs that are asked whether they take callers; one of them is enough.
const ASKED: usize = 3;

/// The time within which a VM must answer.
const ANSWER_LIMIT: Span = Span::from_millis(400);

/// Tells sessions at rest to end while this VM refuses keyed work and another one does not, until
/// dropped.
pub async fn run(fleet: Arc<Fleet>, peers: PeerClient, shed: watch::Sender<bool>) {
    let mut ticks = fleet.timers.interval(INTERVAL);
    loop {
        ticks.tick().await;
        let lost = !fleet.is_current() && fleet.synced_at().0 != 0;
        let sheds = lost && is_other_ready(&fleet, &peers).await;
        if *shed.borrow() != sheds {
            shed.send_replace(sheds);
        }
    }
}

async fn is_other_ready(fleet: &Fleet, peers: &PeerClient) -> bool {
    let others: Vec<VmId> = fleet.view().roster.others(fleet.vm).map(LeasedMember::vm).collect();
    let start = rand::random_range(0..others.len().max(1));
    for vm in others.iter().cycle().skip(start).take(ASKED.min(others.len())) {
        let Some(address) = fleet.address(*vm) else { continue };
        if let Ok(Reply::Ready(true)) = peers.call(address, &Request::Ready, ANSWER_LIMIT).await {
            return true;
        }
    }
    false
}
