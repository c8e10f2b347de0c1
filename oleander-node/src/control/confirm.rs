//! Decides when a process that has started after the store was restored from a copy may go by the
//! configuration that it has read: the copy may lack a version with which a key was withdrawn.
//!
//! The process asks the other VMs which version they go by. It goes by its own once none of them
//! knows a later one, and either operators have written it since, one of the VMs has followed the
//! restored store for so long that every other VM must have registered there again, or a record in the
//! store says that it was confirmed since the restore. Otherwise it waits for operators for as long as
//! the time for a recovery allows.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use oleander_core::events::Event;
use oleander_core::hash;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_ports::sources::Sources;
use oleander_ports::store::Commit;
use oleander_ports::store::KeyValueStore;
use oleander_ports::store::StoreError;
use oleander_ports::store::Write;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use serde::Deserialize;
use tokio::task::JoinSet;

use super::apply;
use super::apply::EraRecord;
use crate::fleet::Fleet;

/// The time within which a VM must tell its version: a few round trips between regions.
const ANSWER_LIMIT: Span = Span::from_millis(500);

/// The pause between two looks at the roster and the configuration.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// The time between two attempts to write the record of the confirmed era.
const RECORD_INTERVAL: Span = Span::from_millis(1_000);

/// The key of the rendezvous hash that chooses the VM which writes this record.
const RECORD_KEY: u64 = 0x0065_7261;

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
    /// Receives the record of the confirmed era.
    pub store: Arc<dyn KeyValueStore>,
    /// Gives the key of this record.
    pub sources: Sources,
    /// The era in which this process has confirmed the configuration; 0 for none.
    pub confirmed: AtomicU64,
    /// Logs the wait.
    pub journal: Journal,
}

impl Confirmation {
    /// Confirms the configuration if it is held back, and records that an era was confirmed, so that
    /// later processes need not wait. Runs until dropped.
    pub async fn run(self) {
        tokio::join!(self.confirm(), self.record());
    }

    /// Writes the record of the confirmed era, at the first VM in its rendezvous order, once operators
    /// have written again or this process has confirmed the configuration.
    async fn record(&self) {
        loop {
            let fleet = &self.fleet;
            let view = fleet.view();
            let era = view.revision.era();
            let is_confirmed = !*fleet.held().borrow()
                && (self.confirmed.load(Ordering::Acquire) == era || fleet.operators_wrote());
            let is_first =
                || view.roster.candidates(hash::mix(RECORD_KEY)).first() == Some(&fleet.vm);
            if view.confirmed_era < era
                && is_confirmed
                && is_first()
                && let Err(error) = self.write_record(era).await
            {
                self.journal.record(Event::StoreUnreachable, &[Field::text("reason", error)]);
            }
            fleet.timers.sleep(RECORD_INTERVAL).await;
        }
    }

    async fn write_record(&self, era: u64) -> Result<(), StoreError> {
        let value = serde_json::to_vec(&EraRecord { era }).map_err(|_| StoreError::Refused)?;
        let write = Write::Put { key: apply::era_key(&self.sources), value };
        let commit = Commit { expected: Vec::new(), writes: vec![write] };
        self.store.commit(&commit, None).await.map(drop)
    }

    /// Waits until the configuration is held back, then until it is confirmed.
    async fn confirm(&self) {
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
            let is_confirmed = is_settled
                || self.fleet.operators_wrote()
                || view.confirmed_era == view.revision.era();
            let is_over = self.fleet.settings.operator_wait() <= waited;
            if newest <= read && (is_confirmed || is_over) {
                self.log(Event::ConfigurationConfirmed, read, newest, waited);
                self.confirmed.store(view.revision.era(), Ordering::Release);
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
