//! The homes of a VM by instance, and the statements they are sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::TransactionId;
use oleander_core::level::Horizon;
use oleander_core::places::Regions;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_routing::places;
use oleander_runtime::logs::Field;
use oleander_session::report::InstanceReport;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use oleander_session::work::Work;
use tokio::task::JoinSet;

use super::caller;
use super::caller::Caller;
use super::caller::StartCondition;
use super::instance::HomeContext;
use super::instance::InstanceHome;
use super::instance::TransactionResult;
use super::measure::Meters;
use super::open::OpenTransaction;
use super::slots;
use super::transactions::Transactions;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::View;

/// The interval at which transactions that were idle for too long are ended.
const EXPIRY_CHECK_INTERVAL: Span = Span::from_millis(500);

/// The time after the start of this VM in which its new homes open their horizons level by level:
/// VMs that lost power together are back within a second of each other, and their callers too.
const STARTUP_PERIOD: Span = Span::from_secs(2);

/// The time for which an instance that was away is remembered.
const AWAY_MEMORY: Span = Span::from_secs(60);

/// The part of a statement's limit left for its way to the home and the answer's way back: 20 ms
/// each between regions and 3 ms each between entry VM and caller.
const TRANSIT_MARGIN: Span = Span::from_millis(46);

/// `Homes` holds the homes of this VM and runs the statements that entry VMs forward to them.
pub struct Homes {
    fleet: Arc<Fleet>,
    context: Arc<HomeContext>,
    transactions: Transactions,
    table: Mutex<HashMap<InstanceKey, HomeEntry>>,
    /// `true` once this VM stops and runs no further statements.
    stopping: AtomicBool,
    /// The instances that had a home here and left the directory or restarted, each with the time at
    /// which this VM noticed it.
    away: Mutex<HashMap<InstanceKey, Time>>,
    /// Measures the instances; `None` unless outliers are to be detected.
    meters: Option<Meters>,
}

struct HomeEntry {
    home: Arc<InstanceHome>,
    /// The `DirectoryEntry::life` of the instance that the home was created for.
    life: u64,
    address: SocketAddr,
}

impl Homes {
    /// Creates an empty table.
    pub fn new(fleet: Arc<Fleet>, context: HomeContext, transactions: Transactions) -> Self {
        let meters = fleet.settings.outliers.then(|| Meters::new(fleet.timers.clone()));
        let context = Arc::new(context);
        let (table, away) = (Mutex::default(), Mutex::default());
        let stopping = AtomicBool::new(false);
        Self { fleet, context, transactions, table, stopping, away, meters }
    }

    /// Runs a statement at the home of the instance that it names.
    ///
    /// If the future is dropped, a statement that waits leaves the queue. One that runs is left to
    /// end, since breaking it off would close its connection and could leave a write in doubt; its
    /// transaction is then rolled back.
    ///
    /// # Errors
    /// Fails with a refusal that says whether the statement may have run.
    pub async fn run(self: &Arc<Self>, request: HomeRequest) -> Result<HomeAnswer, Refusal> {
        let (_guard, caller) = caller::channel();
        let homes = self.clone();
        let running = tokio::spawn(async move {
            let outcome = homes.run_for(&request, caller).await;
            homes.complete(&request, outcome)
        });
        let lost = |_| Err(Refusal::may_have_run(RefusalCode::Internal, "the task failed"));
        running.await.unwrap_or_else(lost)
    }

    /// Returns the report on the reads of an instance; `None` unless outliers are to be detected.
    pub fn report(&self, instance: &str) -> Option<InstanceReport> {
        let meters = self.meters.as_ref()?;
        Some(meters.report(InstanceKey::from_name(instance)))
    }

    async fn run_for(&self, request: &HomeRequest, caller: Caller) -> Result<HomeAnswer, Refusal> {
        let deadline = self.fleet.now() + self.max_wait(request);
        let start = StartCondition { deadline, caller: Some(caller.clone()) };
        if let Scope::Within(id) = request.scope {
            let Some((home, transaction)) = self.transactions.take(id) else {
                return Err(Refusal::not_run(
                    RefusalCode::TransactionGone,
                    "the transaction has ended",
                ));
            };
            if let Err(refusal) = self.check_region(request) {
                transaction.roll_back().await;
                return Err(refusal);
            }
            if self.stopping.load(Ordering::Acquire) && request.work != Work::Rollback {
                transaction.roll_back().await;
                return Err(slots::stopping_refusal());
            }
            let ran = home.run_next(transaction, request, start).await?;
            return Ok(self.store_open(&home, ran, &caller, || id).await);
        }
        if self.stopping.load(Ordering::Acquire) {
            return Err(slots::stopping_refusal());
        }
        self.check_region(request)?;
        let home = self.home(request)?;
        let running = async {
            match request.scope {
                Scope::First { read_only } => {
                    let ran = home.run_first(request, read_only, start).await?;
                    Ok(self.store_open(&home, ran, &caller, || self.transactions.new_id()).await)
                }
                _ => home.run_single(request, start).await,
            }
        };
        match self.fleet.timers.within(request.limit, running).await {
            Some(outcome) => outcome,
            None if request.scope == Scope::Single || request.work == Work::Commit => {
                Err(Refusal::may_have_run(RefusalCode::Timeout, "no answer in time"))
            }
            // The connection was closed before a commit was sent, which rolls back the transaction.
            None => Err(Refusal::not_run(RefusalCode::Timeout, "no answer in time")),
        }
    }

    /// Completes the outcome of a statement, if `NodeSettings::overload` is set: an answer gets the
    /// horizon of the home, and a refusal for want of capacity a time from the calendar.
    ///
    /// # Errors
    /// Fails if the statement failed.
    fn complete(
        &self,
        request: &HomeRequest,
        outcome: Result<HomeAnswer, Refusal>,
    ) -> Result<HomeAnswer, Refusal> {
        if !self.fleet.settings.overload {
            return outcome;
        }
        match outcome {
            Ok(answer) => Ok(HomeAnswer { horizon: self.horizon(&request.instance), ..answer }),
            Err(refusal)
                if refusal.code == RefusalCode::QueueFull
                    && refusal.verdict == Verdict::NotRun
                    && refusal.retry_after.is_none() =>
            {
                match self.known_home(&request.instance) {
                    Some(home) => Err(home.book_return(request, refusal)),
                    None => Err(refusal),
                }
            }
            Err(refusal) => Err(refusal),
        }
    }

    /// Returns the levels that the home of an instance admits now: all, if this VM has no home of it
    /// or `NodeSettings::overload` is not set.
    pub fn horizon(&self, instance: &str) -> Horizon {
        if !self.fleet.settings.overload {
            return Horizon::OPEN;
        }
        self.known_home(instance).map_or(Horizon::OPEN, |home| home.horizon())
    }

    fn known_home(&self, instance: &str) -> Option<Arc<InstanceHome>> {
        let key = InstanceKey::from_name(instance);
        self.lock().get(&key).map(|entry| entry.home.clone())
    }

    /// Returns the time within which a statement must start. With levels, `patience` is only the
    /// time after which the answer is late.
    fn max_wait(&self, request: &HomeRequest) -> Span {
        if self.fleet.settings.overload {
            request.limit.saturating_sub(TRANSIT_MARGIN)
        } else {
            request.patience
        }
    }

    /// Checks that the request may run in the region of its instance, which the entry VM has checked
    /// by its own view.
    fn check_region(&self, request: &HomeRequest) -> Result<(), Refusal> {
        if request.regions == Regions::All {
            return Ok(());
        }
        let view = self.fleet.view();
        let instance = view.instances.get(&InstanceKey::from_name(&request.instance));
        let place = instance.map(|instance| instance.place.clone()).unwrap_or_default();
        if places::allows_instance(&request.regions, &place) {
            return Ok(());
        }
        let fields = [
            Field::text("statement", &request.statement),
            Field::text("workspace", &request.workspace),
            Field::text("instance", &request.instance),
            Field::text("region", &place.region),
        ];
        self.context.links.journal.record(Event::RegionRefused, &fields);
        let detail = "home: the instance is not in an allowed region";
        Err(Refusal::not_run(RefusalCode::UpstreamUnavailable, detail))
    }

    /// Stores the transaction under its identifier until its next statement, unless it has ended.
    /// Without a caller there is no next statement, and it is rolled back.
    async fn store_open(
        &self,
        home: &Arc<InstanceHome>,
        ran: TransactionResult,
        caller: &Caller,
        new_id: impl FnOnce() -> TransactionId,
    ) -> HomeAnswer {
        let TransactionResult { mut answer, open } = ran;
        if let Some(transaction) = open {
            if caller.has_left() {
                transaction.roll_back().await;
                return answer;
            }
            let id = new_id();
            self.transactions.insert(id, home.clone(), transaction, self.fleet.now());
            answer.transaction = Some(id);
        }
        answer
    }

    /// Applies each new view of the fleet to the homes and ends transactions that were idle for too
    /// long or whose instance is evacuated. Runs until dropped.
    pub async fn watch(&self) {
        let mut changes = self.fleet.changes();
        let mut ticks = self.fleet.timers.interval(EXPIRY_CHECK_INTERVAL);
        loop {
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.apply_view();
                }
                _ = ticks.tick() => self.end_expired(),
            }
        }
    }

    /// Returns the databases with an instance that has a home on this VM.
    pub fn databases(&self) -> Vec<DatabaseId> {
        let view = self.fleet.view();
        let table = self.lock();
        let mut databases: Vec<DatabaseId> = table
            .keys()
            .filter_map(|key| view.instances.get(key))
            .map(|instance| instance.database)
            .collect();
        databases.sort_unstable();
        databases.dedup();
        databases
    }

    /// Returns the number of resting transactions: open ones that are between two statements.
    pub fn resting_transactions(&self) -> usize {
        self.transactions.len()
    }

    /// Refuses the statements that wait for a slot, and all further ones, as this VM stops.
    pub fn refuse_waiting(&self) {
        self.stopping.store(true, Ordering::Release);
        for entry in self.lock().values() {
            entry.home.refuse_waiting();
        }
    }

    /// Rolls back all resting transactions and closes all connections, for the end of the process.
    pub async fn close(&self) {
        let mut rollbacks = JoinSet::new();
        for transaction in self.transactions.take_all() {
            rollbacks.spawn(transaction.roll_back());
        }
        while rollbacks.join_next().await.is_some() {}
        for entry in self.lock().values() {
            entry.home.close();
        }
    }

    /// Returns the home of the instance that the request names. It is created if this VM has none
    /// or if the instance has restarted.
    fn home(&self, request: &HomeRequest) -> Result<Arc<InstanceHome>, Refusal> {
        let view = self.fleet.view();
        let key = InstanceKey::from_name(&request.instance);
        let Some(instance) = view.instances.get(&key) else {
            let detail = "home: the directory does not name the instance";
            return Err(Refusal::not_run(RefusalCode::UpstreamUnavailable, detail));
        };
        let mut table = self.lock();
        let entry = table.entry(key).or_insert_with(|| self.create_home(&view, instance));
        if !matches_instance(entry, instance) {
            entry.home.close();
            self.mark_away(key);
            *entry = self.create_home(&view, instance);
        }
        Ok(entry.home.clone())
    }

    fn create_home(&self, view: &View, instance: &Instance) -> HomeEntry {
        let connections = max_connections(view, instance);
        let create = if self.fleet.settings.overload {
            InstanceHome::with_levels
        } else {
            InstanceHome::new
        };
        let distance = instance.place.distance(&self.fleet.settings.place);
        let meter = self.meters.as_ref().map(|meters| meters.instance(instance.key, distance));
        let home = create(self.context.clone(), instance, connections).with_meter(meter);
        if self.reopens(instance.key) {
            home.reopen();
        }
        HomeEntry {
            home: Arc::new(home),
            life: instance.entry.life,
            address: instance.entry.address,
        }
    }

    /// Closes the homes of instances that were removed, restarted or moved, and the idle
    /// connections of those whose home is now another VM.
    fn apply_view(&self) {
        let view = self.fleet.view();
        let mut table = self.lock();
        table.retain(|key, entry| {
            let Some(instance) =
                view.instances.get(key).filter(|listed| matches_instance(entry, listed))
            else {
                entry.home.close();
                self.mark_away(*key);
                self.meters.iter().for_each(|meters| meters.forget(*key));
                return false;
            };
            entry.home.set_limits(instance.entry.slots, max_connections(&view, instance));
            let is_home = self.fleet.homes(instance).first() == Some(&self.fleet.vm);
            if !is_home || self.fleet.is_draining() {
                entry.home.close_idle();
            }
            true
        });
    }

    fn mark_away(&self, key: InstanceKey) {
        let now = self.fleet.now();
        let mut away = self.away.lock().unwrap_or_else(PoisonError::into_inner);
        away.retain(|_, at| now.since(*at) < AWAY_MEMORY);
        away.insert(key, now);
    }

    /// Returns `true` if a new home of the instance opens its horizon level by level: this VM has
    /// just started, or the instance was away.
    fn reopens(&self, key: InstanceKey) -> bool {
        let mut away = self.away.lock().unwrap_or_else(PoisonError::into_inner);
        away.remove(&key).is_some() || self.fleet.now().since(self.fleet.started()) < STARTUP_PERIOD
    }

    fn end_expired(&self) {
        for transaction in self.transactions.take_expired(self.fleet.now()) {
            self.end_transaction(transaction, "the transaction was idle for too long");
        }
        for transaction in self.transactions.take_evacuated() {
            self.end_transaction(transaction, "the availability zone is under evacuation");
        }
    }

    fn end_transaction(&self, transaction: OpenTransaction, reason: &'static str) {
        let fields = [
            Field::text("workspace", &transaction.workspace),
            Field::text("reason", reason),
            Field::millis("rest", transaction.rest),
        ];
        self.context.links.journal.record(Event::TransactionEnded, &fields);
        tokio::spawn(transaction.roll_back());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceKey, HomeEntry>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns `true` if the home was created for this process of the instance. After a restart under
/// the same identifier or a change of address, the old connections are unusable.
fn matches_instance(entry: &HomeEntry, instance: &Instance) -> bool {
    entry.life == instance.entry.life && entry.address == instance.entry.address
}

/// Returns the number of connections that the instance accepts according to the configuration; 1 if
/// its database is not configured.
fn max_connections(view: &View, instance: &Instance) -> u32 {
    view.snapshot.database(instance.database).map_or(1, |database| database.connections)
}
