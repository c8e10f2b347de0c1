//! Runs one keeper duty: feeds events to the keeper's state machine and executes its actions.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::line::Name;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::keeper::Keeper;
use oleander_failover::keeper::messages::Action;
use oleander_failover::keeper::messages::Input;
use oleander_failover::keeper::messages::ListedInstance;
use oleander_failover::keeper::messages::OrderOutcome;
use oleander_failover::keeper::messages::ProbeResult;
use oleander_failover::keeper::messages::RecordState;
use oleander_membership::leased::LeasedRoster;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::PrimaryReport;
use oleander_ports::promotion::PromotionOrder;
use oleander_ports::promotion::PromotionOutcome;
use oleander_ports::promotion::Promotions;
use oleander_ports::sources::Sources;
use oleander_ports::store::Commit;
use oleander_ports::store::CommitOutcome;
use oleander_ports::store::Expectation;
use oleander_ports::store::KeyValueStore;
use oleander_ports::store::StoreError;
use oleander_ports::store::StoreRevision;
use oleander_ports::store::Write;
use oleander_routing::places;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use tokio::sync::mpsc;

use super::links::Links;
use super::links::ProbeAnswer;
use super::members::Members;
use super::notify;
use super::notify::Withdrawal;
use crate::control::Backoff;
use crate::control::apply;
use crate::fleet::Fleet;
use crate::fleet::KeeperEntry;
use crate::fleet::KeeperRecord;

/// The capacity of the input queue; each action has one answer, so that few inputs wait.
const INPUT_QUEUE: usize = 64;

/// The number of attempts at one write of the record.
const WRITE_ATTEMPTS: u32 = 3;

/// `Watcher` runs the duty of this VM for one database.
pub struct Watcher {
    /// The view of the store and this VM's lease.
    pub fleet: Arc<Fleet>,
    /// The store that holds the record; the revision of a write serves as fencing token.
    pub store: Arc<dyn KeyValueStore>,
    /// Gives the key of the keeper record.
    pub sources: Sources,
    /// Sends promotion orders to the platform.
    pub promotions: Arc<dyn Promotions>,
    /// Tells other VMs that the primary is withdrawn.
    pub peers: PeerClient,
    /// The connections to the instances.
    pub links: Links,
    /// Logs the decisions of the keeper.
    pub journal: Journal,
    /// The name of the database.
    pub database: Name,
    /// The random number in `KeeperRecord::duty` by which this VM recognises its own writes.
    pub duty: u64,
    /// `true` if the duty continues from a record that may be outdated, as the store was restored
    /// from a copy.
    pub restored: bool,
    /// The record as last written; locked while it is being written.
    pub record: tokio::sync::Mutex<WrittenRecord>,
    /// The newest answer of the primary; `None` before the first one.
    pub primary_sample: Mutex<Option<PrimarySample>>,
    /// The highest term that the keeper has seen, which is written into the record.
    pub term: AtomicU64,
    /// What the record says of the members.
    pub members: Mutex<Members>,
    /// The pauses between orders that the platform does not answer or take.
    pub(crate) order_backoff: Mutex<Backoff>,
}

/// `WrittenRecord` is the keeper record as this VM last wrote it, with its revision.
#[derive(Debug)]
pub struct WrittenRecord {
    revision: StoreRevision,
    record: Option<KeeperRecord>,
    /// `true` once the duty is released; nothing may be written after that.
    released: bool,
}

impl WrittenRecord {
    /// Creates the state of a record that was written by another VM at `revision`; 0 if there is
    /// none.
    pub fn at(revision: StoreRevision) -> Self {
        Self { revision, record: None, released: false }
    }
}

/// `PrimarySample` is a log point of the primary, and the time and the roster from before it was
/// asked for.
#[derive(Clone, Debug)]
pub struct PrimarySample {
    /// The last point of the primary's log.
    pub point: LogPoint,
    /// The time before it was asked for.
    pub asked: Time,
    /// The VMs that could confirm commits.
    pub roster: Arc<LeasedRoster>,
}

impl Watcher {
    /// Returns the newest log point of the primary and its age; `None` before the first answer.
    pub fn report(&self) -> Option<PrimaryReport> {
        let PrimarySample { point, asked, .. } = self.sample()?;
        let age = self.fleet.now().since(asked);
        Some(PrimaryReport { point, age })
    }

    /// Takes the duty by writing the content of the former record under this VM's name. Returns the
    /// revision of the write.
    ///
    /// Returns `None` if another VM has the duty or the store does not answer.
    pub async fn take(&self, former: Option<&KeeperRecord>) -> Option<StoreRevision> {
        let mut written = self.record.lock().await;
        // An outdated record does not show the primary.
        let former = former.filter(|_| !self.restored);
        let primary = former.and_then(|former| former.primary.clone());
        let ordered = former.and_then(|former| former.ordered.clone());
        let record = KeeperRecord { restored: self.restored, ..self.new_record(primary, ordered) };
        self.write(&mut written, record).await
    }

    /// Obtains a new fencing token by writing a record without a primary. Returns `None` if the
    /// write fails or the directory no longer names `ordered`.
    async fn acquire_token(&self, ordered: Option<InstanceKey>) -> Option<u64> {
        let ordered = match ordered {
            // An instance that the directory no longer names cannot be promoted.
            Some(key) => Some(self.instance_name(key)?),
            None => None,
        };
        let mut written = self.record.lock().await;
        let record = self.new_record(None, ordered);
        // Without an order of its own, the keeper may still have to reckon with lost ones.
        let restored = self.restored && record.ordered.is_none();
        let revision = self.write(&mut written, KeeperRecord { restored, ..record }).await?;
        Some(revision.0)
    }

    /// Releases the duty, so that another VM can take it at once.
    pub async fn release(&self) {
        let mut written = self.record.lock().await;
        if let Some(record) = written.record.clone() {
            // If this fails, another VM takes the duty over once the lease has ended.
            self.write(&mut written, KeeperRecord { holder: None, ..record }).await;
        }
        written.released = true;
    }

    fn new_record(&self, primary: Option<String>, ordered: Option<String>) -> KeeperRecord {
        let holder = Some(self.fleet.settings.name.clone());
        let term = self.term.load(Ordering::Acquire);
        let era = self.fleet.view().revision.era();
        let members = self.lock_members();
        let ordered_life = members.ordered_life.filter(|_| ordered.is_some());
        let members = members.records.clone();
        let duty = self.duty;
        let restored = false;
        KeeperRecord { holder, duty, primary, ordered, term, era, restored, members, ordered_life }
    }

    async fn write(
        &self,
        written: &mut WrittenRecord,
        record: KeeperRecord,
    ) -> Option<StoreRevision> {
        let former = written.record.take();
        let mut answer_lost = false;
        let revision = self.write_with_retries(written, &record, &mut answer_lost).await;
        if let Some(revision) = revision {
            let database = DatabaseId::from_name(&self.database);
            self.fleet.note_keeper(database, KeeperEntry::new(record.clone(), revision));
        }
        written.record = match revision {
            Some(_) => Some(record),
            // The answer was lost, so the content of the store is unknown until the next write.
            None if answer_lost => None,
            None => former,
        };
        revision
    }

    async fn write_with_retries(
        &self,
        written: &mut WrittenRecord,
        record: &KeeperRecord,
        answer_lost: &mut bool,
    ) -> Option<StoreRevision> {
        let key = apply::keeper_key(&self.sources, &self.database);
        let value = serde_json::to_vec(record).ok()?;
        for _ in 0..WRITE_ATTEMPTS {
            if written.released || !self.lease_is_valid() {
                return None;
            }
            let commit = Commit {
                expected: vec![Expectation { key: key.clone(), revision: written.revision }],
                writes: vec![Write::Put { key: key.clone(), value: value.clone() }],
            };
            let outcome = self.store.commit(&commit, None).await;
            *answer_lost |= outcome == Err(StoreError::Lost);
            let revision = match outcome {
                Ok(CommitOutcome::Committed(revision)) => Some(revision),
                // This or an earlier attempt may have taken effect although its answer was lost.
                Ok(CommitOutcome::Conflict) | Err(StoreError::Lost) => {
                    self.check_earlier_write(written, &key, &value).await?
                }
                Err(error) => {
                    self.log_store_error(error);
                    return None;
                }
            };
            if let Some(revision) = revision {
                written.revision = revision;
                return Some(revision);
            }
        }
        None
    }

    /// Reads the record again to find out whether an earlier attempt took effect.
    ///
    /// Returns `Some(Some(_))` with the revision if the stored record is `value`, and `Some(None)`
    /// if the write may be attempted again. Returns `None` if the record belongs to another duty,
    /// is gone or cannot be read.
    async fn check_earlier_write(
        &self,
        written: &mut WrittenRecord,
        key: &str,
        value: &[u8],
    ) -> Option<Option<StoreRevision>> {
        let reading = match self.store.read(key).await {
            Ok(reading) => reading,
            Err(error) => {
                self.log_store_error(error);
                return None;
            }
        };
        let found = reading.entries.first();
        let revision = found.map_or(StoreRevision(0), |entry| entry.revision);
        if revision == written.revision {
            return Some(None);
        }
        let entry = found?;
        let record: KeeperRecord = serde_json::from_slice(&entry.value).ok()?;
        if record.duty != self.duty {
            return None;
        }
        written.revision = revision;
        Some((entry.value == value).then_some(revision))
    }

    /// Runs the keeper, which starts from `record_state`, until dropped.
    pub async fn run(self: Arc<Self>, record_state: RecordState) {
        let database = DatabaseId::from_name(&self.database);
        let (answers, mut inputs) = mpsc::channel(INPUT_QUEUE);
        let options = self.fleet.settings.keeper_options();
        let term = Term(self.term.load(Ordering::Acquire));
        let now = self.fleet.now();
        let (states, recorded, ordered_life) = {
            let mut members = self.lock_members();
            let recorded = members.records.is_some();
            (members.states(&self.fleet.view(), database), recorded, members.ordered_life)
        };
        let mut keeper = Keeper::new(options, record_state, now)
            .with_term(term)
            .with_members(&states, now, recorded)
            .with_ordered_life(ordered_life);
        let mut changes = self.fleet.changes();
        let mut input = self.instances_input(database);
        loop {
            let mut actions = Vec::new();
            keeper.note_synced(self.fleet.synced_at());
            keeper.handle(self.fleet.now(), input, &mut actions);
            self.term.store(keeper.term().0, Ordering::Release);
            let unlisted = self.lock_members().update(&keeper, &self.fleet.view(), database);
            self.links.set_unlisted(unlisted);
            for action in actions {
                self.start_action(action, &answers);
            }
            if !keeper.is_promoting() {
                self.publish_primary(keeper.primary(), keeper.unanswered(self.fleet.now()));
            }
            input = tokio::select! {
                Some(input) = inputs.recv() => input,
                changed = changes.changed() => match changed {
                    Ok(()) => self.instances_input(database),
                    Err(_) => return,
                },
                () = self.fleet.timers.sleep_until(keeper.next_due(self.fleet.now())) => Input::Tick,
            };
        }
    }

    /// Writes the primary into the record, so that all VMs learn of it, unless the record names it.
    ///
    /// `unanswered` is the instance for which an order may still be executed; it is named as well.
    fn publish_primary(
        self: &Arc<Self>,
        primary: Option<InstanceKey>,
        unanswered: Option<InstanceKey>,
    ) {
        let Ok(written) = self.record.try_lock() else { return };
        let Some(primary) = primary.and_then(|key| self.instance_name(key)) else { return };
        let ordered = unanswered.and_then(|key| self.instance_name(key));
        let record = self.new_record(Some(primary), ordered);
        if written.record.as_ref() == Some(&record) {
            return;
        }
        let revision = written.revision;
        drop(written);
        let watcher = self.clone();
        tokio::spawn(async move {
            let mut written = watcher.record.lock().await;
            // If the revision differs, a record for a new token was written meanwhile, which has
            // withdrawn the primary.
            if written.revision == revision {
                // A failed write is attempted again after the next probe.
                watcher.write(&mut written, record).await;
            }
        });
    }

    fn start_action(self: &Arc<Self>, action: Action, answers: &mpsc::Sender<Input>) {
        if let Action::LogEvent { event, instance, term, reason } = action {
            let name = instance.and_then(|key| self.instance_name(key)).unwrap_or_default();
            let fields = [
                Field::text("database", &self.database),
                Field::text("instance", name),
                Field::number("term", term.0),
                Field::text("reason", reason),
            ];
            return self.journal.record(event, &fields);
        }
        let watcher = self.clone();
        let answers = answers.clone();
        tokio::spawn(async move {
            if let Action::Probe(key) = action {
                return watcher.probe(key, &answers).await;
            }
            if let Some(input) = watcher.run_action(action).await {
                // The receiver is gone if the duty has ended meanwhile.
                let _ = answers.send(input).await;
            }
        });
    }

    /// Probes an instance and passes its answer to the keeper, after the last point of a primary.
    async fn probe(&self, key: InstanceKey, answers: &mpsc::Sender<Input>) {
        let roster = self.fleet.view().roster.clone();
        let ProbeAnswer { asked, result, reached } = self.links.probe(key).await;
        if let (ProbeResult::Primary(_), Some(point)) = (result, reached) {
            // A primary that has been replaced may go on as one, and its position does not tell what
            // has been committed since. While this VM may confirm commits there, no other instance
            // leads.
            if self.fleet.confirms(DatabaseId::from_name(&self.database), key) {
                self.update_primary_sample(PrimarySample { point, asked, roster });
            }
            let _ = answers.send(Input::Reached(key, point, asked)).await;
        }
        let _ = answers.send(Input::Probed(key, result)).await;
    }

    async fn run_action(&self, action: Action) -> Option<Input> {
        match action {
            Action::CheckMember(key) => {
                Some(Input::MemberChecked(key, self.links.check_member(key).await))
            }
            // If this process was paused, another VM may have the duty, and these would undo its
            // orders.
            Action::StopReplication(key, _) if !self.lease_is_valid() => {
                Some(Input::ReplicationStopped(key, None))
            }
            Action::ResumeReplication(key) if !self.lease_is_valid() => {
                Some(Input::ReplicationResumed(key, false))
            }
            Action::StopReplication(key, term) => {
                Some(Input::ReplicationStopped(key, self.links.stop_replication(key, term).await))
            }
            Action::ResumeReplication(key) => {
                Some(Input::ReplicationResumed(key, self.links.resume_replication(key).await))
            }
            // A keeper that has lost its duty does no harm: the present primary has a later term.
            Action::StepDown(key, term) => {
                Some(Input::SteppedDown(key, self.links.step_down(key, term).await))
            }
            Action::AcquireToken { ordered } => {
                Some(Input::TokenAcquired(self.acquire_token(ordered).await))
            }
            Action::CheckVms => {
                Some(Input::VmsChecked(notify::all_reachable(&self.fleet, &self.peers).await))
            }
            Action::InformVms(token) => {
                let database = DatabaseId::from_name(&self.database);
                let asked = self.fleet.now();
                let revision = StoreRevision(token);
                let (fleet, peers, sample) = (&self.fleet, &self.peers, self.sample());
                let Withdrawal { silent, confirmed, mark } =
                    notify::primary_withdrawn(fleet, peers, database, revision, sample).await;
                let text = |point: Option<LogPoint>| {
                    point.map_or("unknown".to_owned(), |point| {
                        format!("{}.{}", point.term.0, point.position.0)
                    })
                };
                let fields = [
                    Field::text("database", &self.database),
                    Field::number("at", token),
                    Field::number("silent", silent as u64),
                    Field::text("confirmed", text(confirmed)),
                    Field::text("mark", text(mark)),
                    Field::millis("waited", self.fleet.now().since(asked)),
                ];
                self.journal.record(Event::VmsInformed, &fields);
                Some(Input::VmsInformed { token, confirmed, mark })
            }
            Action::OrderPromotion { instance, token } => {
                let outcome = self.order_promotion(instance, token).await;
                self.pause_after(outcome).await;
                Some(Input::PromotionOrdered(outcome))
            }
            // `start_action` handles these.
            Action::Probe(_) | Action::LogEvent { .. } => None,
        }
    }

    async fn order_promotion(&self, key: InstanceKey, token: u64) -> OrderOutcome {
        let Some(instance) = self.listed_name(key) else { return OrderOutcome::Rejected };
        if !self.lease_is_valid() {
            return OrderOutcome::Rejected;
        }
        let order = PromotionOrder {
            database: self.database.to_string(),
            instance,
            holder: self.fleet.settings.name.clone(),
            token,
        };
        self.links.forget_term(key);
        match self.promotions.promote(&order).await {
            PromotionOutcome::Accepted => OrderOutcome::Accepted,
            PromotionOutcome::Rejected => OrderOutcome::Rejected,
            PromotionOutcome::NotRun => OrderOutcome::NotRun,
            PromotionOutcome::Unknown => OrderOutcome::Unknown,
        }
    }

    /// Waits before an order that the platform did not answer or did not take is repeated. It takes a
    /// limited number of orders from all VMs together.
    async fn pause_after(&self, outcome: OrderOutcome) {
        let pause = {
            let mut backoff = self.order_backoff.lock().unwrap_or_else(PoisonError::into_inner);
            match outcome {
                OrderOutcome::Unknown | OrderOutcome::NotRun => backoff.next_pause(),
                OrderOutcome::Accepted | OrderOutcome::Rejected => {
                    *backoff = Backoff::default();
                    Span::ZERO
                }
            }
        };
        self.fleet.timers.sleep(pause).await;
    }

    /// Returns `true` while the lease runs: no other VM can take the duty before it has ended.
    fn lease_is_valid(&self) -> bool {
        self.fleet.now() < self.fleet.leased_until()
    }

    fn log_store_error(&self, error: StoreError) {
        let fields = [Field::text("database", &self.database), Field::text("reason", error)];
        self.journal.record(Event::StoreUnreachable, &fields);
    }

    fn update_primary_sample(&self, newest: PrimarySample) {
        let mut sample = self.primary_sample.lock().unwrap_or_else(PoisonError::into_inner);
        if sample.as_ref().is_none_or(|sample| sample.point.term <= newest.point.term) {
            *sample = Some(newest);
        }
    }

    fn sample(&self) -> Option<PrimarySample> {
        self.primary_sample.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn lock_members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn instances_input(&self, database: DatabaseId) -> Input {
        let view = self.fleet.view();
        let instances = view.instances_of(database).map(|instance| ListedInstance {
            key: instance.key,
            life: instance.entry.life,
            leaving: instance.entry.leaving,
            evacuated: view.evacuated.contains_key(&instance.entry.zone),
            primary: instance.entry.primary,
            allowing_routes: places::routes_allowing_primary(
                view.snapshot.routes.values(),
                &self.database,
                &instance.place.region,
            ),
        });
        Input::Instances(instances.collect())
    }

    /// Returns the name of an instance, also if the directory no longer names it.
    fn instance_name(&self, key: InstanceKey) -> Option<String> {
        self.listed_name(key).or_else(|| self.lock_members().name_of(key))
    }

    fn listed_name(&self, key: InstanceKey) -> Option<String> {
        self.fleet.view().instances.get(&key).map(|instance| instance.entry.instance.to_string())
    }
}
