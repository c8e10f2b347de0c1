//! The run of one duty: decisions in, calls out.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::time::Time;
use oleander_failover::keeper::Keeper;
use oleander_failover::keeper::messages::Action;
use oleander_failover::keeper::messages::Input;
use oleander_failover::keeper::messages::KeeperOptions;
use oleander_failover::keeper::messages::ListedInstance;
use oleander_failover::keeper::messages::OrderOutcome;
use oleander_failover::keeper::messages::ProbeResult;
use oleander_failover::keeper::messages::RecordState;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::PrimaryReport;
use oleander_ports::promotion::PromotionOrder;
use oleander_ports::promotion::PromotionOutcome;
use oleander_ports::promotion::Promotions;
use oleander_ports::sources::Sources;
use oleander_ports::store::Commit;
use oleander_ports::store::CommitOutcome;
use oleander_ports::store::Expectation;
use oleander_ports::store::KeyValue;
use oleander_ports::store::StoreError;
use oleander_ports::store::StoreRevision;
use oleander_ports::store::Write;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use tokio::sync::mpsc;

use super::inform;
use super::links::Links;
use crate::control::apply;
use crate::fleet::Fleet;
use crate::fleet::KeeperRecord;

/// The inputs of a keeper that may wait; each action has one answer, so there are few.
const INPUT_QUEUE: usize = 64;

/// The attempts at one write of the record.
const WRITE_ATTEMPTS: u32 = 3;

/// `Watcher` is one duty of this VM.
pub struct Watcher {
    /// What the VM believes.
    pub fleet: Arc<Fleet>,
    /// The store, which gives the fencing tokens.
    pub store: Arc<dyn KeyValue>,
    /// Where the record of the duty stands.
    pub sources: Sources,
    /// The platform, which promotes.
    pub promotions: Arc<dyn Promotions>,
    /// Calls to other VMs.
    pub peers: PeerClient,
    /// The connections to the instances.
    pub links: Links,
    /// Records what is decided.
    pub journal: Journal,
    /// The name of the database.
    pub database: String,
    /// The number of this term of duty.
    pub duty: u64,
    /// The record, as last written; locked while it is being written.
    pub record: tokio::sync::Mutex<Written>,
    /// What is known of the primary.
    pub known: Mutex<Option<Seen>>,
}

/// `Written` is the record of the duty, as this VM last wrote it.
#[derive(Debug)]
pub struct Written {
    revision: StoreRevision,
    record: Option<KeeperRecord>,
    /// `true` once the duty was handed over, after which nothing more may be written.
    released: bool,
}

impl Written {
    /// Makes the record that another VM wrote at a revision, or that is absent at revision 0.
    pub fn at(revision: StoreRevision) -> Self {
        Self { revision, record: None, released: false }
    }
}

/// `Seen` is the last answer of the primary.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    point: LogPoint,
    asked: Time,
}

impl Watcher {
    /// Gets what is known of the primary.
    pub fn report(&self) -> Option<PrimaryReport> {
        let seen = *self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let Seen { point, asked } = seen?;
        let age = self.fleet.now().since(asked);
        Some(PrimaryReport { point, age })
    }

    /// Takes the duty by writing what the record said under this VM's name. Gets the revision.
    ///
    /// Gets `None` if another VM has the duty or the store does not answer.
    pub async fn take(&self, former: Option<&KeeperRecord>) -> Option<StoreRevision> {
        let mut written = self.record.lock().await;
        let primary = former.and_then(|former| former.primary.clone());
        let ordered = former.and_then(|former| former.ordered.clone());
        self.write(&mut written, self.own(primary, ordered)).await
    }

    /// Gets a new fencing token by writing a record without a primary.
    async fn claim(&self, ordered: Option<InstanceKey>) -> Option<u64> {
        let ordered = match ordered {
            // What the directory no longer names cannot be promoted.
            Some(key) => Some(self.name_of(key)?),
            None => None,
        };
        let mut written = self.record.lock().await;
        let revision = self.write(&mut written, self.own(None, ordered)).await?;
        Some(revision.0)
    }

    /// Gives the duty up, so that another VM can take it at once.
    pub async fn release(&self) {
        let mut written = self.record.lock().await;
        if let Some(record) = written.record.clone() {
            // If this fails, others take the duty over when the lease has ended.
            self.write(&mut written, KeeperRecord { holder: None, ..record }).await;
        }
        written.released = true;
    }

    fn own(&self, primary: Option<String>, ordered: Option<String>) -> KeeperRecord {
        let holder = Some(self.fleet.settings.name.clone());
        KeeperRecord { holder, duty: self.duty, primary, ordered }
    }

    async fn write(&self, written: &mut Written, record: KeeperRecord) -> Option<StoreRevision> {
        let former = written.record.take();
        let mut lost = false;
        let revision = self.attempt(written, &record, &mut lost).await;
        written.record = match revision {
            Some(_) => Some(record),
            // What stands in the store is not known until the next write.
            None if lost => None,
            None => former,
        };
        revision
    }

    async fn attempt(
        &self,
        written: &mut Written,
        record: &KeeperRecord,
        lost: &mut bool,
    ) -> Option<StoreRevision> {
        let key = apply::keeper_key(&self.sources, &self.database);
        let value = serde_json::to_vec(record).ok()?;
        for _ in 0..WRITE_ATTEMPTS {
            if written.released || !self.holds() {
                return None;
            }
            let commit = Commit {
                expected: vec![Expectation { key: key.clone(), revision: written.revision }],
                writes: vec![Write::Put { key: key.clone(), value: value.clone() }],
            };
            let outcome = self.store.commit(&commit, None).await;
            *lost |= outcome == Err(StoreError::Lost);
            let revision = match outcome {
                Ok(CommitOutcome::Committed(revision)) => Some(revision),
                // An earlier attempt may have taken effect after its answer was lost.
                Ok(CommitOutcome::Conflict) | Err(StoreError::Lost) => {
                    self.look_again(written, &key, &value).await?
                }
                Err(error) => {
                    self.note_failure(error);
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

    /// Looks for an earlier write of this duty; gets the revision if it is the one of `value`.
    ///
    /// Gets `None` at once if the record is another's.
    async fn look_again(
        &self,
        written: &mut Written,
        key: &str,
        value: &[u8],
    ) -> Option<Option<StoreRevision>> {
        let reading = match self.store.read(key).await {
            Ok(reading) => reading,
            Err(error) => {
                self.note_failure(error);
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

    /// Watches the primary until dropped.
    pub async fn run(self: Arc<Self>, standing: RecordState) {
        let database = DatabaseId::from_name(&self.database);
        let (answers, mut inputs) = mpsc::channel(INPUT_QUEUE);
        let mut keeper = Keeper::new(KeeperOptions::default(), standing, self.fleet.now());
        let mut changes = self.fleet.changes();
        let mut input = self.instances(database);
        loop {
            let mut actions = Vec::new();
            keeper.handle(self.fleet.now(), input, &mut actions);
            for action in actions {
                self.perform(action, &answers);
            }
            if !keeper.is_promoting() {
                self.publish(keeper.primary());
            }
            input = tokio::select! {
                Some(input) = inputs.recv() => input,
                changed = changes.changed() => match changed {
                    Ok(()) => self.instances(database),
                    Err(_) => return,
                },
                () = self.fleet.timers.sleep_until(keeper.next_due()) => Input::Tick,
            };
        }
    }

    /// Writes the primary into the record, so that all VMs know it, unless it stands there.
    fn publish(self: &Arc<Self>, primary: Option<InstanceKey>) {
        let Ok(written) = self.record.try_lock() else { return };
        let Some(primary) = primary.and_then(|key| self.name_of(key)) else { return };
        let record = self.own(Some(primary), None);
        if written.record.as_ref() == Some(&record) {
            return;
        }
        let seen = written.revision;
        drop(written);
        let watcher = self.clone();
        tokio::spawn(async move {
            let mut written = watcher.record.lock().await;
            // A claim that came first has withdrawn the primary.
            if written.revision == seen {
                // A failed attempt is followed by another after the next beat.
                watcher.write(&mut written, record).await;
            }
        });
    }

    fn perform(self: &Arc<Self>, action: Action, answers: &mpsc::Sender<Input>) {
        if let Action::LogEvent { event, instance, term, reason } = action {
            let name = instance.and_then(|key| self.name_of(key)).unwrap_or_default();
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
            if let Some(input) = watcher.answer(action).await {
                // The duty may have ended meanwhile.
                let _ = answers.send(input).await;
            }
        });
    }

    async fn answer(&self, action: Action) -> Option<Input> {
        match action {
            Action::Probe(key) => {
                let (asked, beat) = self.links.beat(key).await;
                if let ProbeResult::Primary(point) = beat {
                    self.note_leader(point, asked);
                }
                Some(Input::Probed(key, beat))
            }
            // After a pause another VM may have the duty, whose orders these would undo.
            Action::StopReplication(key, _) if !self.holds() => {
                Some(Input::ReplicationStopped(key, None))
            }
            Action::ResumeReplication(key) if !self.holds() => {
                Some(Input::ReplicationResumed(key, false))
            }
            Action::StopReplication(key, term) => {
                Some(Input::ReplicationStopped(key, self.links.stop(key, term).await))
            }
            Action::ResumeReplication(key) => {
                Some(Input::ReplicationResumed(key, self.links.resume(key).await))
            }
            Action::AcquireToken { ordered } => {
                Some(Input::TokenAcquired(self.claim(ordered).await))
            }
            Action::CheckVms => {
                Some(Input::VmsChecked(inform::reach(&self.fleet, &self.peers).await))
            }
            Action::InformVms(token) => {
                let database = DatabaseId::from_name(&self.database);
                let asked = self.fleet.now();
                let revision = StoreRevision(token);
                let silent = inform::all(&self.fleet, &self.peers, database, revision).await;
                let fields = [
                    Field::text("database", &self.database),
                    Field::number("at", token),
                    Field::number("silent", silent as u64),
                    Field::millis("waited", self.fleet.now().since(asked)),
                ];
                self.journal.record(Event::VmsInformed, &fields);
                Some(Input::VmsInformed(token))
            }
            Action::OrderPromotion { instance, token } => {
                Some(Input::PromotionOrdered(self.order(instance, token).await))
            }
            Action::LogEvent { .. } => None,
        }
    }

    async fn order(&self, key: InstanceKey, token: u64) -> OrderOutcome {
        let Some(instance) = self.name_of(key) else { return OrderOutcome::Rejected };
        if !self.holds() {
            return OrderOutcome::Rejected;
        }
        let order = PromotionOrder {
            database: self.database.clone(),
            instance,
            holder: self.fleet.settings.name.clone(),
            token,
        };
        match self.promotions.promote(&order).await {
            PromotionOutcome::Accepted => OrderOutcome::Accepted,
            PromotionOutcome::Rejected => OrderOutcome::Rejected,
            PromotionOutcome::NotRun => OrderOutcome::NotRun,
            PromotionOutcome::Unknown => OrderOutcome::Unknown,
        }
    }

    /// Returns `true` while no other VM can have the duty.
    fn holds(&self) -> bool {
        self.fleet.now() < self.fleet.leased_until()
    }

    fn note_failure(&self, error: StoreError) {
        let fields = [Field::text("database", &self.database), Field::text("reason", error)];
        self.journal.record(Event::StoreUnreachable, &fields);
    }

    fn note_leader(&self, point: LogPoint, asked: Time) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let is_newer = known.is_none_or(|seen| seen.point.term <= point.term);
        if is_newer {
            *known = Some(Seen { point, asked });
        }
    }

    fn instances(&self, database: DatabaseId) -> Input {
        let view = self.fleet.view();
        let known = view.instances_of(database).map(|instance| ListedInstance {
            key: instance.key,
            leaving: instance.entry.leaving,
            primary: instance.entry.primary,
        });
        Input::Instances(known.collect())
    }

    fn name_of(&self, key: InstanceKey) -> Option<String> {
        self.fleet.view().instances.get(&key).map(|instance| instance.entry.instance.clone())
    }
}
