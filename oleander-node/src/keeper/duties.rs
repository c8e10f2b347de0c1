//! Which databases this VM watches: the first VM in line takes a duty that nobody has.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::DatabaseId;
use oleander_core::time::Span;
use oleander_failover::keeper::messages::RecordState;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::PrimaryReport;
use oleander_ports::promotion::Promotions;
use oleander_ports::sources::Sources;
use oleander_ports::store::KeyValue;
use oleander_ports::store::StoreRevision;
use oleander_ports::upstream::Upstreams;
use oleander_runtime::logs::Journal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::links::Links;
use super::watcher::Watcher;
use super::watcher::Written;
use crate::control::apply;
use crate::control::lease::Held;
use crate::fleet::Fleet;
use crate::fleet::KeeperEntry;
use crate::fleet::View;

/// The time between two looks at the duties when nothing has changed.
const REVIEW_INTERVAL: Span = Span::from_secs(1);

/// `Duties` holds the duties of this VM.
pub struct Duties {
    /// What the VM believes.
    pub fleet: Arc<Fleet>,
    /// The store.
    pub store: Arc<dyn KeyValue>,
    /// Where the records stand.
    pub sources: Sources,
    /// Calls to other VMs.
    pub peers: PeerClient,
    /// Connections to instances.
    pub upstreams: Arc<dyn Upstreams>,
    /// The platform, which promotes.
    pub promotions: Arc<dyn Promotions>,
    /// The lease of this VM.
    pub held: watch::Receiver<Option<Held>>,
    /// Records what is decided.
    pub journal: Journal,
    /// The duties that run.
    pub running: Mutex<HashMap<DatabaseId, Running>>,
}

/// `Running` is a duty that this VM has.
pub struct Running {
    watcher: Arc<Watcher>,
    lease: Held,
    /// The revision at which the duty was taken.
    taken: StoreRevision,
    task: JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Duties {
    /// Takes and gives up duties as the view and the lease change, until dropped.
    pub async fn run(&self) {
        let mut changes = self.fleet.changes();
        let mut held = self.held.clone();
        let mut draining = self.fleet.draining();
        loop {
            self.review().await;
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                changed = held.changed() => if changed.is_err() { return },
                changed = draining.changed() => if changed.is_err() { return },
                () = self.fleet.timers.sleep(REVIEW_INTERVAL) => {}
            }
        }
    }

    /// Gets what this VM knows of the primary of a database that it watches.
    pub fn report(&self, database: DatabaseId) -> Option<PrimaryReport> {
        self.lock().get(&database)?.watcher.report()
    }

    /// Gives all duties up.
    pub fn stop(&self) {
        self.lock().clear();
    }

    /// Gives all duties up for others to take at once.
    fn hand_over(&self) {
        let running: Vec<Running> = self.lock().drain().map(|(_, running)| running).collect();
        for duty in running {
            let watcher = duty.watcher.clone();
            // The task ends before the record says so.
            drop(duty);
            tokio::spawn(async move { watcher.release().await });
        }
    }

    async fn review(&self) {
        let view = self.fleet.view();
        let held = *self.held.borrow();
        if self.fleet.is_draining() {
            return self.hand_over();
        }
        let Some(lease) = held else {
            return self.stop();
        };
        let databases = apply::databases(&view);
        // Others may have taken a duty since the lease ended under which it was taken.
        self.lock().retain(|database, running| {
            databases.contains_key(database)
                && running.lease == lease
                && self.has(&view, *database, running.taken)
        });
        for (database, name) in databases {
            if !self.lock().contains_key(&database) && self.is_due(&view, database) {
                self.take(&view, database, name, lease).await;
            }
        }
    }

    /// Returns `true` unless a view says that this VM no longer has a duty that it took.
    fn has(&self, view: &View, database: DatabaseId, taken: StoreRevision) -> bool {
        match view.keepers.get(&database) {
            Some(kept) if taken <= kept.revision => kept.holder == Some(self.fleet.vm),
            _ => view.revision < taken,
        }
    }

    fn is_due(&self, view: &View, database: DatabaseId) -> bool {
        let holder = view.keepers.get(&database).and_then(|kept| kept.holder);
        match holder {
            // A record of this VM's own earlier life or lease.
            Some(vm) if vm == self.fleet.vm => true,
            Some(vm) if view.roster.is_present(vm) => false,
            _ => view.roster.candidates(database.0).first() == Some(&self.fleet.vm),
        }
    }

    async fn take(&self, view: &View, database: DatabaseId, name: String, lease: Held) {
        let kept = view.keepers.get(&database);
        let revision = kept.map_or(StoreRevision(0), |kept| kept.revision);
        let standing = kept.map_or(RecordState::Unsettled, KeeperEntry::standing);
        let watcher = Arc::new(Watcher {
            fleet: self.fleet.clone(),
            store: self.store.clone(),
            sources: self.sources,
            promotions: self.promotions.clone(),
            peers: self.peers.clone(),
            links: Links::new(self.fleet.clone(), self.upstreams.clone()),
            journal: self.journal.clone(),
            database: name,
            duty: rand::random(),
            record: tokio::sync::Mutex::new(Written::at(revision)),
            known: Mutex::default(),
        });
        let former = kept.map(|kept| kept.record.as_ref());
        let Some(taken) = watcher.take(former).await else { return };
        let task = tokio::spawn(watcher.clone().run(standing));
        self.lock().insert(database, Running { watcher, lease, taken, task });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<DatabaseId, Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
