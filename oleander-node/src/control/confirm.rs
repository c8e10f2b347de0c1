//! Decides when a process that has started after the store was restored from a copy may go by the
//! configuration that it has read: the copy may lack a version with which a key was withdrawn.
//!
//! The process asks the other VMs which version they go by. It goes by its own once none of them
//! knows a later one, and one of them has followed the restored store for so long that every other
//! VM must have registered there again. If none has, it waits until operators have written again.

use std::collections::HashMap;
use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use serde::Deserialize;
use tokio::task::JoinSet;

use super::follow::REWRITE_TIME;
use crate::fleet::Fleet;

/// The time within which a VM must tell its version: a few round trips between regions.
const ANSWER_LIMIT: Span = Span::from_millis(500);

/// The pause between two looks at the roster and the configuration.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// `KnownVersion` is the part of a VM's status that tells which configuration it goes by. A build that
/// does not know the second field is not settled.
#[derive(Clone, Copy, Debug, Deserialize)]
struct KnownVersion {
    configuration: u64,
    #[serde(default)]
    settled: bool,
}

/// `Confirmation` holds the configuration back until it is confirmed.
pub struct Confirmation {
    /// The view of the store, and whether the configuration is held back.
    pub fleet: Arc<Fleet>,
    /// Asks the other VMs.
    pub peers: PeerClient,
    /// Logs the wait.
    pub journal: Journal,
}

impl Confirmation {
    /// Waits until the configuration is held back, then until it is confirmed.
    pub async fn run(self) {
        let mut held = self.fleet.held();
        if held.wait_for(|held| *held).await.is_err() {
            return;
        }
        let since = self.fleet.now();
        let mut told: HashMap<VmId, KnownVersion> = HashMap::new();
        let mut reported = None;
        loop {
            self.ask(&mut told).await;
            let view = self.fleet.view();
            let read = view.snapshot.revision.0;
            // A version that nobody knows any more is not waited for.
            told.retain(|vm, _| view.roster.is_present(*vm));
            let newest = told.values().map(|known| known.configuration).max().unwrap_or(0);
            let waited = self.fleet.now().since(since);
            let is_settled =
                view.roster.others(self.fleet.vm).all(|vm| told.contains_key(&vm.vm()))
                    && told.values().any(|known| known.settled);
            if newest <= read && (is_settled || REWRITE_TIME <= waited) {
                self.log(Event::ConfigurationConfirmed, read, newest, waited);
                return self.fleet.release_configuration();
            }
            if reported != Some(newest) {
                reported = Some(newest);
                self.log(Event::ConfigurationHeld, read, newest, waited);
            }
            self.fleet.timers.sleep(CHECK_INTERVAL).await;
        }
    }

    /// Asks the VMs that have not told their version yet.
    async fn ask(&self, told: &mut HashMap<VmId, KnownVersion>) {
        let mut calls = JoinSet::new();
        for member in self.fleet.view().roster.others(self.fleet.vm) {
            let (vm, address, peers) = (member.vm(), member.peers, self.peers.clone());
            if !told.contains_key(&vm) {
                calls.spawn(async move {
                    let reply = peers.call(address, &Request::Status, ANSWER_LIMIT).await;
                    let Ok(Reply::Status(text)) = reply else { return None };
                    Some((vm, serde_json::from_str(&text).ok()?))
                });
            }
        }
        told.extend(calls.join_all().await.into_iter().flatten());
    }

    fn log(&self, event: Event, read: u64, newest: u64, waited: Span) {
        let fields = [
            Field::number("revision", read),
            Field::number("known", newest),
            Field::millis("waited", waited),
        ];
        self.journal.record(event, &fields);
    }
}
