//! Decides for which databases this VM is the keeper: a duty without a present holder falls to the
//! first VM in the rendezvous order of the database.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use oleander_core::ids::DatabaseId;
use oleander_core::line::Name;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_failover::keeper::RULES_VERSION;
use oleander_failover::keeper::messages::RecordState;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::PrimaryReport;
use oleander_ports::promotion::Promotions;
use oleander_ports::sources::Sources;
use oleander_ports::store::KeyValueStore;
use oleander_ports::store::StoreRevision;
use oleander_ports::upstream::Upstreams;
use oleander_runtime::logs::Journal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::links::Links;
use super::members::Members;
use super::watcher::Watcher;
use super::watcher::WrittenRecord;
use crate::control::apply;
use crate::control::lease::HeldLease;
use crate::fleet::Fleet;
use crate::fleet::KeeperEntry;
use crate::fleet::View;

/// The interval at which duties are reconciled while neither the view nor the lease changes.
const RECONCILE_INTERVAL: Span = Span::from_secs(1);

/// `Duties` takes, runs and releases the keeper duties of this VM.
pub struct Duties {
    /// The view of the store, which names the databases and their keepers.
    pub fleet: Arc<Fleet>,
    /// The store that holds the keeper records.
    pub store: Arc<dyn KeyValueStore>,
    /// Gives the keys of the keeper records.
    pub sources: Sources,
    /// Tells other VMs that a primary is withdrawn.
    pub peers: PeerClient,
    /// Opens connections to instances.
    pub upstreams: Arc<dyn Upstreams>,
    /// Sends promotion orders to the platform.
    pub promotions: Arc<dyn Promotions>,
    /// The current lease of this VM; duties are held only under it.
    pub held_lease: watch::Receiver<Option<HeldLease>>,
    /// Logs the decisions of the keepers.
    pub journal: Journal,
    /// The numbers of all duties that this process has taken, by which it knows its records.
    pub own: Mutex<HashSet<u64>>,
    /// The duties that this VM has, by database.
    pub running: Mutex<HashMap<DatabaseId, RunningDuty>>,
}

/// `RunningDuty` is a duty of this VM with its task, which ends when this is dropped.
pub struct RunningDuty {
    watcher: Arc<Watcher>,
    lease: HeldLease,
    /// The revision at which the keeper record was written to take the duty.
    taken: StoreRevision,
    task: JoinHandle<()>,
}

impl Drop for RunningDuty {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Duties {
    /// Takes and releases duties as the view, the lease and the drain change, until dropped.
    pub async fn run(&self) {
        let mut changes = self.fleet.changes();
        let mut lease = self.held_lease.clone();
        let mut draining = self.fleet.draining();
        loop {
            self.reconcile().await;
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                changed = lease.changed() => if changed.is_err() { return },
                changed = draining.changed() => if changed.is_err() { return },
                () = self.fleet.timers.sleep(RECONCILE_INTERVAL) => {}
            }
        }
    }

    /// Returns the last known log point of the primary of a database; `None` if this VM is not its
    /// keeper or the primary has not answered yet.
    pub fn report(&self, database: DatabaseId) -> Option<PrimaryReport> {
        self.lock().get(&database)?.watcher.report()
    }

    /// Stops all duties and leaves their records as they are.
    pub fn stop(&self) {
        self.lock().clear();
    }

    /// Stops all duties and writes into their records that other VMs may take them at once.
    fn hand_over(&self) {
        let running: Vec<RunningDuty> = self.lock().drain().map(|(_, running)| running).collect();
        for duty in running {
            let watcher = duty.watcher.clone();
            // The task must end before the record lets another VM take the duty.
            drop(duty);
            tokio::spawn(async move { watcher.release().await });
        }
    }

    async fn reconcile(&self) {
        let view = self.fleet.view();
        let held = *self.held_lease.borrow();
        if self.fleet.is_draining() {
            return self.hand_over();
        }
        let Some(lease) = held else {
            return self.stop();
        };
        let databases = apply::served_databases(&view);
        // Once the lease has ended under which a duty was taken, another VM may have taken it over.
        self.lock().retain(|database, running| {
            databases.contains_key(database)
                && running.lease == lease
                && self.still_holds(&view, *database, running.taken)
        });
        for (database, name) in databases {
            if !self.lock().contains_key(&database) && self.should_take(&view, database) {
                self.take(&view, database, name, lease).await;
            }
        }
    }

    /// Returns `true` unless the view, if it is as new as the record written at `taken`, shows that
    /// this VM no longer has the duty.
    fn still_holds(&self, view: &View, database: DatabaseId, taken: StoreRevision) -> bool {
        match view.keepers.get(&database) {
            Some(keeper) if taken <= keeper.revision => keeper.holder == Some(self.fleet.vm),
            _ => view.revision < taken,
        }
    }

    fn should_take(&self, view: &View, database: DatabaseId) -> bool {
        let keeper = view.keepers.get(&database);
        let is_first = || view.roster.keepers(database.0).first() == Some(&self.fleet.vm);
        match keeper.and_then(|keeper| keeper.holder) {
            // The record is left from an earlier process or lease of this VM.
            Some(vm) if vm == self.fleet.vm => true,
            Some(vm) if view.roster.is_present(vm) => {
                // An earlier build promotes by the directory alone. Its next write of the record
                // fails, and it sends no order without one. An order that it may have sent is left
                // to it.
                let rules = view.roster.member(vm).map_or(0, |member| member.promotion);
                rules < RULES_VERSION
                    && keeper.is_some_and(|keeper| keeper.ordered.is_none())
                    && is_first()
            }
            _ => is_first(),
        }
    }

    async fn take(&self, view: &View, database: DatabaseId, name: Name, lease: HeldLease) {
        let keeper = view.keepers.get(&database);
        let revision = keeper.map_or(StoreRevision(0), |keeper| keeper.revision);
        // What this process has written itself is not outdated, whatever the store has lost.
        let is_own = keeper.is_some_and(|keeper| self.is_own(keeper.record.duty));
        let restored = keeper.is_some_and(|keeper| keeper.restored && !is_own);
        let record_state = keeper.map_or(RecordState::Unsettled, |keeper| {
            KeeperEntry { restored, ..keeper.clone() }.record_state()
        });
        let duty = rand::random();
        let watcher = Arc::new(Watcher {
            fleet: self.fleet.clone(),
            store: self.store.clone(),
            sources: self.sources,
            promotions: self.promotions.clone(),
            peers: self.peers.clone(),
            links: Links::new(self.fleet.clone(), self.upstreams.clone(), name.clone()),
            journal: self.journal.clone(),
            database: name,
            duty,
            restored,
            record: tokio::sync::Mutex::new(WrittenRecord::at(revision)),
            primary_sample: Mutex::default(),
            term: AtomicU64::new(keeper.map_or(0, |keeper| keeper.record.term)),
            members: Mutex::new(Members::new(keeper.map(|keeper| keeper.record.as_ref()))),
            order_backoff: Mutex::default(),
        });
        if let (Some(keeper), RecordState::Settled(primary)) = (keeper, record_state)
            && keeper.record.term != 0
        {
            watcher.links.note_term(primary, Term(keeper.record.term));
        }
        let former = keeper.map(|keeper| keeper.record.as_ref());
        let Some(taken) = watcher.take(former).await else { return };
        self.own.lock().unwrap_or_else(PoisonError::into_inner).insert(duty);
        let task = tokio::spawn(watcher.clone().run(record_state));
        self.lock().insert(database, RunningDuty { watcher, lease, taken, task });
    }

    fn is_own(&self, duty: u64) -> bool {
        self.own.lock().unwrap_or_else(PoisonError::into_inner).contains(&duty)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<DatabaseId, RunningDuty>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
