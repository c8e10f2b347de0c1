//! This VM's knowledge of the fleet: an immutable view of the store, replaced as a whole, and how
//! long the VM may act on it.

use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use oleander_config::model::Database;
use oleander_config::snapshot::Snapshot;
use oleander_core::budget::ByteBudget;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::keeper::messages::Liveness;
use oleander_failover::keeper::messages::RecordState;
use oleander_limits::rates::ownership::ShareLayout;
use oleander_membership::leased::LeasedRoster;
use oleander_peer::messages::Confirmations;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::store::StoreRevision;
use oleander_runtime::timer::TimerService;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::control::follow::REWRITE_TIME;
use crate::eligibility::EvacuationCounts;
use crate::settings::HomePlacement;
use crate::settings::NodeSettings;

/// The maximum size of the rows of all large answers on this VM. Up to four copies of a row exist while
/// it passes through.
const MAX_ANSWERS_BYTES: usize = 16 << 20;

/// The time after the start of a VM during which others may be starting as well: VMs that lost
/// power together are back within a second of each other.
pub const STARTUP_PERIOD: Span = Span::from_millis(1_500);

/// The number of shares over which a workspace's rate is spread: few, since rates are tens of
/// requests a second, but enough that the loss of one VM leaves most of a rate usable.
const RATE_GROUPS: u32 = 3;

/// The time for which a VM that did not answer is not chosen as a home.
const SUSPECT_TIME: Span = Span::from_millis(1_000);

/// The age of the view from which on a VM is no longer ready: well below the age at which it has to
/// refuse callers, so that they are sent to other VMs before that.
const READY_AGE: Span = Span::from_millis(2_900);

/// The point of a commit whose place in the log is not known: after all others.
const UNKNOWN_POINT: LogPoint = LogPoint { term: Term(u64::MAX), position: Position(u64::MAX) };

/// The maximum number of rejected entries of the directory that a view remembers.
pub const MAX_REJECTED: usize = 64;

/// `KeeperRecord` is the stored record of a database's keeper: the VM whose duty it is to watch the
/// database's primary and to replace it.
///
/// It is not bound to a lease, so that what it says of the primary outlasts its holder.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeeperRecord {
    /// The name of the VM that has the duty; `None` once that VM has handed it over.
    pub holder: Option<String>,
    /// A random number chosen when the duty was taken, by which the holder recognises its writes.
    pub duty: u64,
    /// The primary; `None` while it is unknown or being replaced.
    pub primary: Option<String>,
    /// The instance whose promotion may have been ordered, until no such order can take effect. It
    /// is the primary, too, once it has been seen to lead.
    pub ordered: Option<String>,
    /// The highest term seen; an instance that leads an earlier one has been replaced.
    #[serde(default)]
    pub term: u64,
    /// The era of the store in which the record was written. In a later era it comes from a copy.
    #[serde(default)]
    pub era: u64,
    /// `true` if the holder took the duty over from a record of an earlier era and has not found
    /// the primary yet.
    #[serde(default)]
    pub restored: bool,
    /// The instances that may have acknowledged commits; `None` if an earlier build wrote the record.
    #[serde(default)]
    pub members: Option<Vec<MemberRecord>>,
    /// The start of the instance that `ordered` names; `None` if it is not known.
    #[serde(default)]
    pub ordered_life: Option<u64>,
}

/// `MemberRecord` is one start of an instance that may have acknowledged commits.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The name of the instance.
    pub instance: String,
    /// The start of the instance.
    pub life: u64,
    /// The address at which it was listed last.
    pub address: SocketAddr,
    /// `true` if it was listed as primary last.
    pub primary: bool,
    /// `true` if it was listed as leaving last.
    pub leaving: bool,
    /// Whether it runs.
    pub liveness: Liveness,
    /// A point at or after all that it has acknowledged, once it has ended and such a point is known.
    pub cover: Option<LogPoint>,
}

/// `KeeperEntry` is a decoded keeper record with the revision at which it was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeeperEntry {
    /// The VM that has the duty; `None` once that VM has handed it over.
    pub holder: Option<VmId>,
    /// The primary; `None` while it is unknown or being replaced.
    pub primary: Option<InstanceKey>,
    /// The instance whose promotion may have been ordered.
    pub ordered: Option<InstanceKey>,
    /// The stored record. The directory may no longer have the instances that it names.
    pub record: Arc<KeeperRecord>,
    /// The revision of the record, which is also the holder's latest fencing token; 0 if the store
    /// was restored from a copy that lacks the record.
    pub revision: StoreRevision,
    /// The revision at which the content was written: an earlier one than `revision` if the store
    /// was restored from a copy that is older than the content.
    pub known: StoreRevision,
    /// `true` if the store was restored since the content was written, so that it may be outdated.
    pub restored: bool,
}

/// `View` is the decoded content of the store, as far as this VM has read it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The revision of the store that the view reflects; 0 before the first read.
    pub revision: StoreRevision,
    /// The configuration in force: the last one that could be decoded.
    pub snapshot: Arc<Snapshot>,
    /// The revision of the store at which this configuration was written.
    pub configuration_revision: StoreRevision,
    /// The instances that the directory names, of all databases.
    pub instances: Arc<HashMap<InstanceKey, Instance>>,
    /// The instances that the directory no longer names, each with the time at which it was dropped.
    pub departed: Arc<HashMap<InstanceKey, (Instance, Time)>>,
    /// The entries of the directory that name no instance, by identifier, each with the reason; at most
    /// `MAX_REJECTED`.
    pub rejected: Arc<BTreeMap<String, String>>,
    /// The VMs with a lease, and for a while those whose lease has ended.
    pub roster: Arc<LeasedRoster>,
    /// The keepers of the databases.
    pub keepers: Arc<HashMap<DatabaseId, KeeperEntry>>,
    /// The availability zones that an operator has asked to evacuate, by name, each with the time at
    /// which this VM learned of it; an earlier time if it may have learned late.
    pub evacuated: Arc<HashMap<String, Time>>,
    /// The latest era of the store of which a VM has recorded that its configuration may be gone by.
    pub confirmed_era: u64,
}

/// `Instance` is an entry of the directory with the values derived from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// The identifier, derived from the name in `entry`.
    pub key: InstanceKey,
    /// The identifier of the database that the instance serves.
    pub database: DatabaseId,
    /// The zone of the entry with its region; an unknown zone has an empty region.
    pub place: Place,
    /// The time since which the instance counts as leaving; `None` unless the entry says that it
    /// leaves.
    pub leaving_since: Option<Time>,
    /// The time until which the instance warms up; `None` if it is warm.
    pub cold_until: Option<Time>,
    /// The decoded entry.
    pub entry: DirectoryEntry,
}

impl KeeperEntry {
    /// Creates the entry of a record that was written at `revision`.
    ///
    /// A record of an earlier era comes from the copy from which the store was restored. Another
    /// instance may have been promoted since, so that the record does not show the primary.
    pub fn new(record: KeeperRecord, revision: StoreRevision) -> Self {
        let is_copied = record.era < revision.era();
        let primary = record.primary.as_deref().map(InstanceKey::from_name);
        Self {
            holder: record.holder.as_deref().map(VmId::from_name),
            primary: primary.filter(|_| !is_copied),
            ordered: record.ordered.as_deref().map(InstanceKey::from_name),
            restored: is_copied || record.restored,
            record: Arc::new(record),
            revision,
            known: revision,
        }
    }

    /// Returns this entry as it is after the store was restored: its content is newer than that of
    /// the store, in which the record has this revision.
    pub fn kept(&self, revision: StoreRevision) -> Self {
        Self { revision, restored: true, ..self.clone() }
    }

    /// Returns the state of the record, from which a new keeper of the database starts.
    pub fn record_state(&self) -> RecordState {
        match (self.primary, self.ordered) {
            _ if self.restored => RecordState::Restored,
            (Some(primary), None) => RecordState::Settled(primary),
            (Some(primary), Some(_)) => RecordState::SettledUnanswered(primary),
            (None, Some(ordered)) => RecordState::Ordered(ordered),
            (None, None) => RecordState::Unsettled,
        }
    }
}

impl View {
    /// Returns the instances of a database that the directory no longer names, in no order.
    pub fn departed_of(&self, database: DatabaseId) -> impl Iterator<Item = &Instance> {
        let departed = self.departed.values().map(|(instance, _)| instance);
        departed.filter(move |instance| instance.database == database)
    }

    /// Returns `true` if the configuration in force names the database.
    pub fn is_configured(&self, database: DatabaseId) -> bool {
        self.snapshot.database(database).is_some()
    }

    /// Returns the instances of a database, in no order.
    pub fn instances_of(&self, database: DatabaseId) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(move |instance| instance.database == database)
    }
}

/// `Fleet` holds the view, the time at which it was last known to be complete, and what limits this
/// VM's part in the fleet: its lease, its shares and its drain.
#[derive(Debug)]
pub struct Fleet {
    /// The identifier of this VM.
    pub vm: VmId,
    life: u64,
    has_predecessor: AtomicBool,
    /// The settings of this VM.
    pub settings: Arc<NodeSettings>,
    /// The clock and timers.
    pub timers: TimerService,
    /// The statements refused because of evacuations.
    pub evacuation_counts: EvacuationCounts,
    /// The regions among which homes and shares are divided; none if they are not.
    home_regions: Vec<String>,
    started: Time,
    view: ArcSwap<View>,
    changed: watch::Sender<StoreRevision>,
    synced_at: AtomicU64,
    /// The time since which this process has followed the present era of the store.
    era_since: AtomicU64,
    /// The revision of this process's first view of the present era.
    era_start: AtomicU64,
    /// `true` while the configuration must not be gone by, as it may come from a copy of the store.
    held: watch::Sender<bool>,
    /// The time of the last answer of the store to this VM itself.
    contact_at: AtomicU64,
    leased_until: AtomicU64,
    /// The revision at which this VM's record was written; 0 while it has no lease.
    join_revision: AtomicU64,
    shares_from: watch::Sender<Option<Time>>,
    draining: watch::Sender<bool>,
    /// The time until which statements may wait, as this VM then stops; `u64::MAX` if it does not.
    serving_until: AtomicU64,
    suspected_until: Mutex<HashMap<VmId, Time>>,
    /// The revision as of which the keeper record of a database is known to name no primary.
    withdrawn: Mutex<HashMap<DatabaseId, StoreRevision>>,
    /// A point at or after each commit of a database that this VM has confirmed.
    confirmed: Mutex<HashMap<DatabaseId, LogPoint>>,
    /// What the rows of large answers are held from, until their callers have them.
    answers: Arc<ByteBudget>,
}

impl Fleet {
    /// Creates a fleet with an empty view; this VM is named by `settings`.
    pub fn new(settings: Arc<NodeSettings>, timers: TimerService) -> Self {
        Self {
            vm: VmId::from_name(&settings.name),
            life: 0,
            has_predecessor: AtomicBool::new(false),
            home_regions: settings.home_regions(),
            settings,
            started: timers.now(),
            evacuation_counts: EvacuationCounts::default(),
            timers,
            view: ArcSwap::default(),
            changed: watch::Sender::new(StoreRevision(0)),
            synced_at: AtomicU64::new(0),
            era_since: AtomicU64::new(0),
            era_start: AtomicU64::new(0),
            held: watch::Sender::new(false),
            contact_at: AtomicU64::new(0),
            leased_until: AtomicU64::new(0),
            join_revision: AtomicU64::new(0),
            shares_from: watch::Sender::new(None),
            draining: watch::Sender::new(false),
            serving_until: AtomicU64::new(u64::MAX),
            suspected_until: Mutex::default(),
            withdrawn: Mutex::default(),
            confirmed: Mutex::default(),
            answers: ByteBudget::new(MAX_ANSWERS_BYTES),
        }
    }

    /// Sets the number that identifies this run of the process.
    pub fn with_life(self, life: u64) -> Self {
        Self { life, ..self }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.timers.now()
    }

    /// Returns the time at which this process started.
    pub fn started(&self) -> Time {
        self.started
    }

    /// Returns the budget of the rows of large answers.
    pub fn answers(&self) -> &Arc<ByteBudget> {
        &self.answers
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view and tells the receivers of `changes`.
    pub fn set_view(&self, view: View) {
        let revision = view.revision;
        if self.view.load().revision.era() != revision.era() {
            self.era_since.store(self.now().0, Ordering::Release);
            self.era_start.store(revision.0, Ordering::Release);
        }
        self.view.store(Arc::new(view));
        self.changed.send_replace(revision);
    }

    /// Returns a receiver of the revision of each new view.
    pub fn changes(&self) -> watch::Receiver<StoreRevision> {
        self.changed.subscribe()
    }

    /// Records that the view had all of the store's changes at `time`; an earlier time has no
    /// effect.
    pub fn mark_synced(&self, time: Time) {
        self.synced_at.fetch_max(time.0, Ordering::AcqRel);
    }

    /// Records that the store has answered this VM itself.
    pub fn mark_contact(&self, time: Time) {
        self.contact_at.fetch_max(time.0, Ordering::AcqRel);
    }

    /// Returns the time since the store last answered this VM itself; `None` before the first
    /// answer.
    pub fn contact_age(&self) -> Option<Span> {
        let contact_at = Time(self.contact_at.load(Ordering::Acquire));
        (contact_at != Time(0)).then(|| self.now().since(contact_at))
    }

    /// Returns the time since the view was last known to be complete; `None` before the first view.
    pub fn view_age(&self) -> Option<Span> {
        let synced_at = self.synced_at();
        (synced_at != Time(0)).then(|| self.now().since(synced_at))
    }

    /// Returns the last time at which the view was known to be complete; 0 before the first view, and
    /// while the configuration is held back.
    pub fn synced_at(&self) -> Time {
        if *self.held.borrow() {
            return Time(0);
        }
        Time(self.synced_at.load(Ordering::Acquire))
    }

    /// Holds the configuration back: requests that need it are refused, and no callers are taken.
    pub fn hold_configuration(&self) {
        self.held.send_replace(true);
    }

    /// Goes by the configuration again.
    pub fn release_configuration(&self) {
        self.held.send_replace(false);
    }

    /// Returns a receiver that is `true` while the configuration is held back.
    pub fn held(&self) -> watch::Receiver<bool> {
        self.held.subscribe()
    }

    /// Returns `true` if the configuration in force is that of the store, and this process has followed
    /// the store since it was restored, if ever, for so long that all VMs must have registered there
    /// again.
    pub fn is_settled(&self) -> bool {
        let view = self.view.load();
        let since = Time(self.era_since.load(Ordering::Acquire));
        !*self.held.borrow()
            && view.configuration_revision.era() == view.revision.era()
            && REWRITE_TIME <= self.now().since(since)
    }

    /// Returns `true` if operators have written the configuration in force since this process saw the
    /// present era of the store for the first time, so that it does not come from a copy.
    pub fn operators_wrote(&self) -> bool {
        let view = self.view.load();
        let written = view.configuration_revision;
        written.era() == view.revision.era() && self.era_start.load(Ordering::Acquire) < written.0
    }

    /// Returns the time until which the configuration counts as current; 0 before the first view.
    pub fn current_until(&self) -> Time {
        match self.synced_at() {
            Time(0) => Time(0),
            synced_at => synced_at + self.settings.currency_ttl(),
        }
    }

    /// Returns `true` if the configuration is current, so that requests with a key may start.
    pub fn is_current(&self) -> bool {
        self.now() < self.current_until()
    }

    /// Returns `true` if callers should be sent to this VM: it has routes, does not drain, its view
    /// is recent, and the store answers it. A VM that other VMs keep up to date serves the callers
    /// that it has, but those VMs are the better choice for new ones.
    pub fn is_ready(&self) -> bool {
        let is_below = |age: Option<Span>, limit| age.is_some_and(|age| age < limit);
        let is_recent = is_below(self.view_age(), READY_AGE)
            && is_below(self.contact_age(), self.settings.currency_ttl());
        is_recent && !self.is_draining() && !self.view.load().snapshot.routes.is_empty()
    }

    /// Sets the time until which this VM's lease runs at least.
    pub fn set_leased_until(&self, until: Time) {
        self.leased_until.store(until.0, Ordering::Release);
    }

    /// Returns the time until which this VM's lease runs at least.
    pub fn leased_until(&self) -> Time {
        Time(self.leased_until.load(Ordering::Acquire))
    }

    /// Sets the revision at which this VM's record was written; 0 once its lease has ended.
    pub fn set_join_revision(&self, revision: StoreRevision) {
        self.join_revision.store(revision.0, Ordering::Release);
    }

    /// Returns `true` if this VM may confirm writes.
    ///
    /// A keeper that replaces a primary waits for each VM that it sees in the roster, so that this
    /// VM must be in the roster, with a running lease and a current configuration.
    pub fn may_confirm(&self) -> bool {
        let join_revision = self.join_revision.load(Ordering::Acquire);
        let is_seen = join_revision != 0 && join_revision <= self.view.load().revision.0;
        is_seen && self.is_current() && self.now() < self.leased_until()
    }

    /// Returns `true` if this VM may rely on an instance as the primary, to confirm its commits and
    /// to read the latest data: the record names it, and a keeper that replaces it waits for this
    /// VM before it orders the promotion of another.
    pub fn confirms(&self, database: DatabaseId, instance: InstanceKey) -> bool {
        self.primary(database) == Some(instance) && self.may_confirm()
    }

    /// Confirms a commit that an instance has acknowledged, with the last point of its log, unless
    /// this VM may not rely on the instance as the primary. Returns `true` if it is confirmed.
    pub fn confirm(
        &self,
        database: DatabaseId,
        instance: InstanceKey,
        point: Option<LogPoint>,
    ) -> bool {
        // Held for the check as well, so that `confirmed` includes all commits that were confirmed
        // before the primary was withdrawn.
        let mut confirmed = self.confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        let is_confirmed = self.confirms(database, instance);
        if is_confirmed {
            let known = confirmed.entry(database).or_default();
            // Nothing is known to have a commit whose place in the log is not known.
            *known = point.unwrap_or(UNKNOWN_POINT).max(*known);
        }
        is_confirmed
    }

    /// Returns which commits of a database this process has confirmed.
    pub fn confirmations(&self, database: DatabaseId) -> Confirmations {
        let confirmed = self.confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        let point = confirmed.get(&database).copied();
        let first = !self.has_predecessor.load(Ordering::Acquire);
        Confirmations { life: self.life, first, point }
    }

    /// Records that an earlier process of this VM may have had a lease shortly before this one.
    pub fn note_predecessor(&self) {
        self.has_predecessor.store(true, Ordering::Release);
    }

    /// Allows the use of own shares from `from` on, once all VMs know that this one has joined:
    /// until then other VMs may use what earlier owners of the shares lent to them.
    pub fn enable_shares(&self, from: Time) {
        self.shares_from.send_replace(Some(from));
    }

    /// Ends the use of own shares, which other VMs may then take over.
    pub fn disable_shares(&self) {
        self.shares_from.send_replace(None);
    }

    /// Returns the time from which this VM may use its own shares; `None` if it may not.
    pub fn shares_from(&self) -> Option<Time> {
        *self.shares_from.borrow()
    }

    /// Returns a receiver of the changes to `shares_from`.
    pub fn share_changes(&self) -> watch::Receiver<Option<Time>> {
        self.shares_from.subscribe()
    }

    /// Returns the time until which this VM may use its own shares; 0 if it may not.
    pub fn shares_until(&self) -> Time {
        if self.shares_from().is_some() && !self.is_draining() {
            self.leased_until().min(self.current_until())
        } else {
            Time(0)
        }
    }

    /// Returns the peer address of a VM; `None` unless its lease runs.
    pub fn present_address(&self, vm: VmId) -> Option<SocketAddr> {
        let roster = &self.view.load().roster;
        roster.is_present(vm).then(|| roster.member(vm).map(|member| member.peers)).flatten()
    }

    /// Starts the drain of this VM.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Sets the time until which statements may wait, as this VM then stops.
    pub fn set_serving_until(&self, until: Time) {
        self.serving_until.store(until.0, Ordering::Release);
    }

    /// Returns the time for which statements may wait before this VM stops; `Span::MAX` unless it is
    /// about to.
    pub fn serving_left(&self) -> Span {
        match self.serving_until.load(Ordering::Acquire) {
            u64::MAX => Span::MAX,
            until => Time(until).since(self.now()),
        }
    }

    /// Returns `true` once this VM is draining.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns a receiver that turns `true` once this VM is draining.
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Records that the keeper's record of a database names no primary as of `revision`, which the
    /// view may not have reached yet. `primary` then ignores older records.
    pub fn withdraw_primary(&self, database: DatabaseId, revision: StoreRevision) {
        let mut withdrawn = self.withdrawn.lock().unwrap_or_else(PoisonError::into_inner);
        let known = withdrawn.entry(database).or_default();
        *known = revision.max(*known);
    }

    /// Puts a keeper record that this VM has written into the view, unless the view is newer.
    pub fn note_keeper(&self, database: DatabaseId, keeper: KeeperEntry) {
        let view = self.view();
        let is_newer = |known: &KeeperEntry| known.revision < keeper.revision;
        if view.keepers.get(&database).is_none_or(is_newer) {
            let mut noted = View::clone(&view);
            Arc::make_mut(&mut noted.keepers).insert(database, keeper);
            self.set_view(noted);
        }
    }

    /// Returns the primary that the keeper's record names; `None` while it is unknown, withdrawn or
    /// being replaced.
    pub fn primary(&self, database: DatabaseId) -> Option<InstanceKey> {
        let view = self.view.load();
        let keeper = view.keepers.get(&database)?;
        let withdrawn = self.withdrawn.lock().unwrap_or_else(PoisonError::into_inner);
        let is_newest = withdrawn.get(&database).is_none_or(|at| *at <= keeper.known);
        keeper.primary.filter(|_| is_newest)
    }

    /// Returns `true` if requests to the instance are limited now because it warms up.
    pub fn is_cold(&self, instance: &Instance) -> bool {
        let view = self.view.load();
        let is_limited = |database: &Database| database.warmup.is_some();
        view.snapshot.database(instance.database).is_some_and(is_limited)
            && instance.cold_until.is_some_and(|until| self.now() < until)
    }

    /// Returns the names of the instances to which requests are limited now because they warm up.
    pub fn cold_instances(&self) -> Vec<String> {
        let view = self.view.load();
        let cold = view.instances.values().filter(|instance| self.is_cold(instance));
        let mut names: Vec<String> = cold.map(|cold| cold.entry.instance.to_string()).collect();
        names.sort_unstable();
        names
    }

    /// Records that a VM did not answer, so that it is not chosen as a home for `SUSPECT_TIME`.
    /// Returns `true` unless it was suspected already.
    pub fn suspect(&self, vm: VmId) -> bool {
        let now = self.now();
        let mut suspected_until =
            self.suspected_until.lock().unwrap_or_else(PoisonError::into_inner);
        let until = suspected_until.insert(vm, now + SUSPECT_TIME);
        until.is_none_or(|until| until <= now)
    }

    /// Returns `true` unless the VM is suspected: it failed to answer less than `SUSPECT_TIME` ago.
    pub fn is_up(&self, vm: VmId) -> bool {
        let suspected_until = self.suspected_until.lock().unwrap_or_else(PoisonError::into_inner);
        suspected_until.get(&vm).is_none_or(|until| *until <= self.now())
    }

    /// Returns the names of the instances whose database the configuration does not name.
    pub fn unused_instances(&self) -> Vec<String> {
        let view = self.view.load();
        let unused =
            view.instances.values().filter(|instance| !view.is_configured(instance.database));
        let mut names: Vec<String> =
            unused.map(|unused| unused.entry.instance.to_string()).collect();
        names.sort_unstable();
        names
    }

    /// Returns the names of databases and of their primaries, without databases that have none or that
    /// the configuration does not name.
    pub fn primaries(&self) -> Vec<(String, String)> {
        let view = self.view.load();
        let primary = |database: &DatabaseId| view.instances.get(&self.primary(*database)?);
        let configured = view.keepers.keys().filter(|database| view.is_configured(**database));
        let primaries = configured.filter_map(primary);
        primaries
            .map(|instance| {
                (instance.entry.database.to_string(), instance.entry.instance.to_string())
            })
            .collect()
    }

    /// Returns the peer address of a VM that the roster names, even if its lease has ended; `None`
    /// for other VMs.
    pub fn address(&self, vm: VmId) -> Option<SocketAddr> {
        self.view.load().roster.member(vm).map(|member| member.peers)
    }

    /// Returns the VMs that may be the home of an instance, the preferred one first. Suspected VMs
    /// are left out.
    pub fn homes(&self, instance: &Instance) -> SmallVec<[VmId; 4]> {
        let roster = &self.view.load().roster;
        let is_up = |vm| self.is_up(vm);
        match self.settings.homes {
            HomePlacement::Instance => roster.homes(instance.key.0, &instance.place, is_up),
            HomePlacement::Region => {
                roster.regional_homes(instance.key.0, &instance.place.region, is_up)
            }
        }
    }

    /// Returns the VMs as `homes` does, but those with a running lease first, since the others
    /// cannot confirm a write.
    pub fn write_homes(&self, instance: &Instance) -> SmallVec<[VmId; 4]> {
        self.view.load().roster.present_first(self.homes(instance))
    }

    /// Returns the owner of each share of the rates.
    pub fn share_owners(&self, roster: &LeasedRoster) -> Vec<Option<VmId>> {
        if self.home_regions.is_empty() {
            roster.owners()
        } else {
            roster.regional_owners(&self.home_regions)
        }
    }

    /// Returns `true` if operations are charged to the rate of their workspace at the homes.
    pub fn charges_at_homes(&self) -> bool {
        !self.home_regions.is_empty()
    }

    /// Returns the layout of the shares of the rates.
    pub fn share_layout(&self) -> ShareLayout {
        match self.home_regions.len() {
            0 => ShareLayout::Hashed(RATE_GROUPS),
            count => ShareLayout::Regional(count as u32),
        }
    }
}
