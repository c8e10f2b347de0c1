//! What the VM believes of the fleet: one immutable view, replaced as a whole.

use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::keeper::messages::RecordState;
use oleander_membership::leased::LeasedRoster;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::store::StoreRevision;
use oleander_runtime::timer::TimerService;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::settings::NodeSettings;

/// The time for which a VM that did not answer is passed over.
const SUSPECT_TIME: Span = Span::from_millis(1_000);

/// The time for which a VM without proof of its configuration still counts as ready: well before it
/// has to refuse callers, who are then sent elsewhere.
const READY_AGE: Span = Span::from_millis(2_900);

/// `KeeperRecord` is the duty to watch a database, as the store has it.
///
/// It is bound to no lease: what it says of the primary outlasts its holder.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeeperRecord {
    /// The name of the VM that has the duty; `None` once that VM has handed it over.
    pub holder: Option<String>,
    /// The number of the holder's term of duty, by which it knows its own writes.
    pub duty: u64,
    /// The instance that leads; `None` while it is unknown or being replaced.
    pub primary: Option<String>,
    /// The instance whose promotion may have been ordered, until it is seen to lead.
    pub ordered: Option<String>,
}

/// `KeeperEntry` is a keeper's record with the revision at which it was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeeperEntry {
    /// The VM that has the duty; `None` once it has handed it over.
    pub holder: Option<VmId>,
    /// The instance that leads; `None` while it is unknown or being replaced.
    pub primary: Option<InstanceKey>,
    /// The instance whose promotion may have been ordered.
    pub ordered: Option<InstanceKey>,
    /// The record, with names that the directory may have dropped.
    pub record: Arc<KeeperRecord>,
    /// The revision of the record, which is also the holder's latest fencing token.
    pub revision: StoreRevision,
}

/// `View` is the state of the store as this VM knows it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The revision of the store that the view reflects.
    pub revision: StoreRevision,
    /// The configuration.
    pub snapshot: Arc<Snapshot>,
    /// The revision of the key that holds the configuration.
    pub configured: StoreRevision,
    /// The instances of all databases.
    pub instances: Arc<HashMap<InstanceKey, Instance>>,
    /// The VMs.
    pub roster: Arc<LeasedRoster>,
    /// The VMs that watch the databases' primaries.
    pub keepers: Arc<HashMap<DatabaseId, KeeperEntry>>,
}

/// `Instance` is an entry of the directory with what follows from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// The identifier.
    pub key: InstanceKey,
    /// The identifier of the database.
    pub database: DatabaseId,
    /// Where it stands.
    pub place: Place,
    /// The time at which it was first seen to leave.
    pub leaving_since: Option<Time>,
    /// The entry.
    pub entry: DirectoryEntry,
}

impl KeeperEntry {
    /// Gets what a new keeper builds on.
    pub fn standing(&self) -> RecordState {
        match (self.primary, self.ordered) {
            (Some(primary), _) => RecordState::Settled(primary),
            (None, Some(ordered)) => RecordState::Ordered(ordered),
            (None, None) => RecordState::Unsettled,
        }
    }
}

impl View {
    /// Gets the instances of a database.
    pub fn instances_of(&self, database: DatabaseId) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(move |instance| instance.database == database)
    }
}

/// `Fleet` holds the view and when it was last known to be current.
#[derive(Debug)]
pub struct Fleet {
    /// This VM.
    pub vm: VmId,
    /// The settings of this VM.
    pub settings: Arc<NodeSettings>,
    /// The clock and timers.
    pub timers: TimerService,
    started: Time,
    view: ArcSwap<View>,
    changed: watch::Sender<StoreRevision>,
    synced_at: AtomicU64,
    leased: AtomicU64,
    joined: AtomicU64,
    active: watch::Sender<Option<Time>>,
    draining: watch::Sender<bool>,
    suspects: Mutex<HashMap<VmId, Time>>,
    withdrawn: Mutex<HashMap<DatabaseId, StoreRevision>>,
}

impl Fleet {
    /// Makes an empty view.
    pub fn new(settings: Arc<NodeSettings>, timers: TimerService) -> Self {
        Self {
            vm: VmId::from_name(&settings.name),
            settings,
            started: timers.now(),
            timers,
            view: ArcSwap::default(),
            changed: watch::Sender::new(StoreRevision(0)),
            synced_at: AtomicU64::new(0),
            leased: AtomicU64::new(0),
            joined: AtomicU64::new(0),
            active: watch::Sender::new(None),
            draining: watch::Sender::new(false),
            suspects: Mutex::default(),
            withdrawn: Mutex::default(),
        }
    }

    /// Gets the time.
    pub fn now(&self) -> Time {
        self.timers.now()
    }

    /// Gets the time at which this VM started.
    pub fn started(&self) -> Time {
        self.started
    }

    /// Gets the view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view.
    pub fn set_view(&self, view: View) {
        let revision = view.revision;
        self.view.store(Arc::new(view));
        self.changed.send_replace(revision);
    }

    /// Gets a receiver that tells of each new view.
    pub fn changes(&self) -> watch::Receiver<StoreRevision> {
        self.changed.subscribe()
    }

    /// Notes that the view had all of the store's changes at `time`.
    pub fn mark_synced(&self, time: Time) {
        self.synced_at.fetch_max(time.0, Ordering::AcqRel);
    }

    /// Gets the time for which the view has not been known to be complete; `None` before the first
    /// view.
    pub fn view_age(&self) -> Option<Span> {
        let synced_at = self.synced_at();
        (synced_at != Time(0)).then(|| self.now().since(synced_at))
    }

    /// Gets the last time at which the view was known to be complete.
    pub fn synced_at(&self) -> Time {
        Time(self.synced_at.load(Ordering::Acquire))
    }

    /// Gets the time until which the configuration counts as current.
    pub fn current_until(&self) -> Time {
        match self.synced_at() {
            Time(0) => Time(0),
            synced_at => synced_at + self.settings.currency(),
        }
    }

    /// Returns `true` if requests with a key may start.
    pub fn is_current(&self) -> bool {
        self.now() < self.current_until()
    }

    /// Returns `true` if callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let synced_at = self.synced_at();
        let is_recent = synced_at.0 != 0 && self.now().since(synced_at) < READY_AGE;
        is_recent && !self.is_draining() && !self.view.load().snapshot.routes.is_empty()
    }

    /// Notes until when this VM's lease runs at least.
    pub fn set_leased_until(&self, until: Time) {
        self.leased.store(until.0, Ordering::Release);
    }

    /// Gets the time until which this VM's lease runs at least.
    pub fn leased_until(&self) -> Time {
        Time(self.leased.load(Ordering::Acquire))
    }

    /// Notes at which revision this VM's record was written; 0 once its lease has ended.
    pub fn set_join_revision(&self, revision: StoreRevision) {
        self.joined.store(revision.0, Ordering::Release);
    }

    /// Returns `true` if this VM may confirm writes: whoever replaces a primary sees it in the roster
    /// and waits for it.
    pub fn may_confirm(&self) -> bool {
        let joined = self.joined.load(Ordering::Acquire);
        let is_seen = joined != 0 && joined <= self.view.load().revision.0;
        is_seen && self.is_current() && self.now() < self.leased_until()
    }

    /// Notes that all VMs know that this one is here, and until when they may use what earlier
    /// owners of its shares lent to them.
    pub fn set_active(&self, lent: Time) {
        self.active.send_replace(Some(lent));
    }

    /// Notes that other VMs may take this one's shares over.
    pub fn set_inactive(&self) {
        self.active.send_replace(None);
    }

    /// Gets the time from which this VM may use its own shares; `None` if it may not.
    pub fn active_from(&self) -> Option<Time> {
        *self.active.borrow()
    }

    /// Gets a receiver that tells when this VM gets or loses the use of its shares.
    pub fn activity(&self) -> watch::Receiver<Option<Time>> {
        self.active.subscribe()
    }

    /// Gets the time until which this VM may use its own shares.
    pub fn shares_until(&self) -> Time {
        if self.active_from().is_some() && !self.is_draining() {
            self.leased_until().min(self.current_until())
        } else {
            Time(0)
        }
    }

    /// Gets the address of a VM whose lease runs.
    pub fn present_address(&self, vm: VmId) -> Option<SocketAddr> {
        let roster = &self.view.load().roster;
        roster.is_present(vm).then(|| roster.member(vm).map(|member| member.peers)).flatten()
    }

    /// Notes that this VM is stopping.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Returns `true` once this VM is stopping.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Gets a receiver that tells when this VM is stopping.
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Notes that the keeper's record of a database names no primary as of a revision, which this VM
    /// may not have read yet.
    pub fn withdraw_primary(&self, database: DatabaseId, revision: StoreRevision) {
        let mut withdrawn = self.withdrawn.lock().unwrap_or_else(PoisonError::into_inner);
        let known = withdrawn.entry(database).or_default();
        *known = revision.max(*known);
    }

    /// Gets the instance that the keeper's record names as primary of a database.
    pub fn primary(&self, database: DatabaseId) -> Option<InstanceKey> {
        let view = self.view.load();
        let kept = view.keepers.get(&database)?;
        let withdrawn = self.withdrawn.lock().unwrap_or_else(PoisonError::into_inner);
        let is_newest = withdrawn.get(&database).is_none_or(|at| *at <= kept.revision);
        kept.primary.filter(|_| is_newest)
    }

    /// Notes that a VM did not answer, so that others are tried before it. Returns `true` if this
    /// is news.
    pub fn suspect(&self, vm: VmId) -> bool {
        let now = self.now();
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        let until = suspects.insert(vm, now + SUSPECT_TIME);
        until.is_none_or(|until| until <= now)
    }

    /// Returns `true` unless the VM has just failed to answer.
    pub fn is_up(&self, vm: VmId) -> bool {
        let suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.get(&vm).is_none_or(|until| *until <= self.now())
    }

    /// Gets the databases with the instances that lead them, by name.
    pub fn primaries(&self) -> Vec<(String, String)> {
        let view = self.view.load();
        let leader = |database: &DatabaseId| view.instances.get(&self.primary(*database)?);
        let leaders = view.keepers.keys().filter_map(leader);
        leaders.map(|it| (it.entry.database.clone(), it.entry.instance.clone())).collect()
    }

    /// Gets the address of a VM.
    pub fn address(&self, vm: VmId) -> Option<SocketAddr> {
        self.view.load().roster.member(vm).map(|member| member.peers)
    }

    /// Orders the VMs that may be the home of an instance, the first one first.
    pub fn homes(&self, instance: &Instance) -> SmallVec<[VmId; 4]> {
        let roster = &self.view.load().roster;
        roster.homes(instance.key.0, &instance.place, |vm| self.is_up(vm))
    }

    /// Orders the VMs as `homes` does, for a write.
    pub fn write_homes(&self, instance: &Instance) -> SmallVec<[VmId; 4]> {
        let roster = &self.view.load().roster;
        roster.write_homes(instance.key.0, &instance.place, |vm| self.is_up(vm))
    }
}
