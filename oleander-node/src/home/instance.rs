//! The home of one instance: admits and runs its statements.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Horizon;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_limits::home::request::Class;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::urgency::Urgency;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::upstream::Reply;
use oleander_ports::upstream::Target;
use oleander_routing::meter::StatementClass;
use oleander_runtime::logs::Field;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Work;

use super::caller::StartCondition;
use super::connections::ConnectionPool;
use super::connections::LinkContext;
use super::connections::PooledConnection;
use super::connections::pool_options;
use super::measure::InstanceMeter;
use super::open::OpenTransaction;
use super::slots::Expiry;
use super::slots::InstanceSlots;
use super::slots::Permit;
use super::slots::SlotRequest;
use super::upstream;
use super::upstream::FreshnessCheck;
use super::upstream::Statement;
use super::warmup::WarmupBudget;
use crate::charges::Charges;
use crate::eligibility;
use crate::eligibility::StatementKind;
use crate::fleet::Instance;
use crate::primaries::Primaries;

/// `HomeContext` holds what all homes of a VM share.
pub struct HomeContext {
    /// What is needed to open connections.
    pub links: LinkContext,
    /// The primary of each database and its replication progress.
    pub primaries: Arc<Primaries>,
    /// Limits the statements to instances that warm up.
    pub warmup: WarmupBudget,
    /// Charges the operations that begin at the home.
    pub charges: Charges,
}

/// `TransactionResult` is the result of a statement of a transaction.
pub struct TransactionResult {
    /// The answer for the caller.
    pub answer: HomeAnswer,
    /// The transaction, to be stored until its next statement; `None` if it has ended.
    pub open: Option<OpenTransaction>,
}

/// `InstanceHome` admits statements to one instance and runs them.
pub struct InstanceHome {
    context: Arc<HomeContext>,
    database: DatabaseId,
    key: InstanceKey,
    /// The instance as it was listed when the home was created.
    instance: Instance,
    slots: InstanceSlots,
    /// `LatestStart` if statements are served in the order of their urgency.
    expiry: Expiry,
    pool: Arc<ConnectionPool>,
    /// The time at which a closed horizon was last logged; 0 if never.
    closed_logged: AtomicU64,
    /// Measures the statements; `None` unless outliers are to be detected.
    meter: Option<InstanceMeter>,
}

/// The shortest time between two log records of a closed horizon.
const LOG_CLOSED_INTERVAL: Span = Span::from_secs(10);

/// The longest time for which a read at a replica waits for the position of the primary: a few
/// round trips between regions.
const MAX_FLOOR_WAIT: Span = Span::from_millis(100);

/// The part of the time left for a read, as a divisor, that it may spend on this wait.
const FLOOR_WAIT_DIVISOR: u64 = 4;

impl InstanceHome {
    /// Creates the home of an instance that accepts `connections` in all. It serves all statements
    /// alike.
    pub fn new(context: Arc<HomeContext>, instance: &Instance, connections: u32) -> Self {
        Self::with_expiry(context, instance, connections, Expiry::Deadline)
    }

    /// Creates a home like `new` that serves statements in the order of their urgency and refuses
    /// those that can no longer be answered in time.
    pub fn with_levels(context: Arc<HomeContext>, instance: &Instance, connections: u32) -> Self {
        Self::with_expiry(context, instance, connections, Expiry::LatestStart)
    }

    fn with_expiry(
        context: Arc<HomeContext>,
        instance: &Instance,
        connections: u32,
        expiry: Expiry,
    ) -> Self {
        let DirectoryEntry { instance: name, database, address, .. } = instance.entry.clone();
        let options = pool_options(connections);
        let quota = Quota { slots: instance.entry.slots.max(1), connections: options.max_open };
        let target = Target { address, database, instance: name };
        Self {
            slots: InstanceSlots::new(context.links.timers.clone(), quota, expiry),
            expiry,
            database: instance.database,
            key: instance.key,
            instance: instance.clone(),
            pool: Arc::new(ConnectionPool::new(context.links.clone(), target, options)),
            context,
            closed_logged: AtomicU64::new(0),
            meter: None,
        }
    }

    /// Sets the meter of the instance.
    pub fn with_meter(self, meter: Option<InstanceMeter>) -> Self {
        Self { meter, ..self }
    }

    /// Changes the numbers of slots and connections that the instance accepts.
    pub fn set_limits(&self, slots: u32, connections: u32) {
        let options = pool_options(connections);
        self.pool.set_options(options);
        self.slots.set_quota(Quota { slots: slots.max(1), connections: options.max_open });
    }

    /// Closes the horizon to all but level 0, because this VM has just started or the instance was
    /// away; it opens level by level.
    pub fn reopen(&self) {
        self.slots.reopen();
    }

    /// Returns the levels that the home admits now. Logs once in a while that not all are admitted.
    pub fn horizon(&self) -> Horizon {
        let horizon = self.slots.horizon();
        if horizon != Horizon::OPEN {
            self.log_closed(horizon);
        }
        horizon
    }

    fn log_closed(&self, horizon: Horizon) {
        let now = self.context.links.timers.now();
        let logged = Time(self.closed_logged.load(Ordering::Relaxed));
        if logged != Time(0) && now.since(logged) < LOG_CLOSED_INTERVAL {
            return;
        }
        self.closed_logged.store(now.0, Ordering::Relaxed);
        let fields = [
            Field::text("instance", self.pool.instance()),
            Field::number("lowest", horizon.lowest().0),
            Field::millis("opens", horizon.opens()),
        ];
        self.context.links.journal.record(Event::HorizonClosed, &fields);
    }

    /// Sets the time after which a statement returns that was refused although it had a slot.
    pub fn book_return(&self, request: &HomeRequest, refusal: Refusal) -> Refusal {
        let workspace = WorkspaceId::from_name(&request.workspace);
        self.slots.book_return(workspace, request.level, refusal)
    }

    /// Closes the idle connections; called when another VM has become the home.
    pub fn close_idle(&self) {
        self.pool.close_idle();
    }

    /// Refuses the statements that wait for a slot.
    pub fn refuse_waiting(&self) {
        self.slots.refuse_waiting();
    }

    /// Closes the idle connections now and the others when their statements end.
    pub fn close(&self) {
        self.pool.close();
    }

    /// Returns the number of connections, in use or idle.
    pub fn connection_count(&self) -> u32 {
        self.pool.open_count()
    }

    /// Runs a statement outside a transaction; it must start as `start` states.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if the statement is not admitted, and with verdict `Ran` if a
    /// write or a read of the latest data ran but the primary was replaced meanwhile.
    pub async fn run_single(
        &self,
        request: &HomeRequest,
        start: impl Into<StartCondition>,
    ) -> Result<HomeAnswer, Refusal> {
        let start = start.into();
        let statement = Statement::new(request)?;
        self.check_evacuation(StatementKind::New)?;
        let is_write = request.work.is_write();
        let check = if is_write {
            FreshnessCheck::After(None)
        } else {
            self.freshness_check(request).await?
        };
        if is_write || check == FreshnessCheck::Primary {
            self.admit_at_primary()?;
        }
        let charged = self.charge(request, &start).await?;
        let ran = self.run_charged(request, statement, check, &start).await;
        ran.map_err(|refusal| Refusal { charged, ..refusal })
    }

    /// Runs a statement outside a transaction whose tokens have been taken.
    async fn run_charged(
        &self,
        request: &HomeRequest,
        statement: Statement<'_>,
        check: FreshnessCheck,
        start: &StartCondition,
    ) -> Result<HomeAnswer, Refusal> {
        let class = class_of(request);
        let permit = self.acquire(request, class, start).await?;
        let mut pooled = self.connect(request, class, start).await?;
        self.check_evacuation(StatementKind::New)?;
        self.admit_warmup().await?;
        let asked = self.context.links.timers.now();
        let running = pooled.connection.run_single(statement, check);
        let reply = self.measure(class, running).await;
        drop(pooled);
        let answer = answer(&permit, reply?)?;
        self.record_position(asked, &answer);
        match check {
            _ if request.work.is_write() => self.confirm_commit(&answer)?,
            FreshnessCheck::Primary => self.check_latest()?,
            FreshnessCheck::After(_) => {}
        }
        Ok(answer)
    }

    /// Opens a transaction and runs its first statement, which must start as `start` states.
    ///
    /// # Errors
    /// A failure ends the transaction.
    pub async fn run_first(
        &self,
        request: &HomeRequest,
        read_only: bool,
        start: impl Into<StartCondition>,
    ) -> Result<TransactionResult, Refusal> {
        let start = start.into();
        Statement::new(request)?;
        self.check_evacuation(StatementKind::New)?;
        let (read_only, after) = match (read_only, self.freshness_check(request).await) {
            (true, Ok(FreshnessCheck::After(after))) => (true, after),
            (true, Err(refusal)) => return Err(refusal),
            _ => {
                self.admit_at_primary()?;
                (false, None)
            }
        };
        let charged = self.charge(request, &start).await?;
        let opened = self.open_transaction(request, read_only, after, &start).await;
        opened.map_err(|refusal| Refusal { charged, ..refusal })
    }

    /// Opens a transaction whose tokens have been taken and runs its first statement.
    async fn open_transaction(
        &self,
        request: &HomeRequest,
        read_only: bool,
        after: Option<LogPoint>,
        start: &StartCondition,
    ) -> Result<TransactionResult, Refusal> {
        let class = if read_only { Class::Read } else { Class::Write };
        let mut permit = self.acquire(request, class, start).await?;
        let mut pooled = self.connect(request, class, start).await?;
        self.check_evacuation(StatementKind::New)?;
        self.admit_warmup().await?;
        pooled.connection.begin(read_only, after).await?;
        // From here on the transaction frees the connection when it is dropped.
        permit.keep_connection();
        let mut transaction = OpenTransaction::new(pooled, self.slots.clone(), request.rest);
        let asked = self.context.links.timers.now();
        let answer = match self.run_in_transaction(&mut transaction, request, &permit).await {
            Ok(answer) => answer,
            Err(refusal) => {
                drop(permit);
                transaction.roll_back().await;
                return Err(refusal);
            }
        };
        self.record_position(asked, &answer);
        // The reads of the transaction need the commits from before its start, so that one check
        // after the start suffices for all of them.
        if !read_only && let Err(refusal) = self.check_latest() {
            transaction.roll_back().await;
            return Err(transaction_refusal(request, refusal));
        }
        Ok(TransactionResult { answer, open: (!request.work.is_end()).then_some(transaction) })
    }

    /// Runs a further statement of a transaction, which must start as `start` states.
    ///
    /// # Errors
    /// A failure rolls back the transaction.
    pub async fn run_next(
        &self,
        mut transaction: OpenTransaction,
        request: &HomeRequest,
        start: impl Into<StartCondition>,
    ) -> Result<TransactionResult, Refusal> {
        if request.work == Work::Rollback {
            transaction.roll_back().await;
            return Ok(TransactionResult { answer: HomeAnswer::default(), open: None });
        }
        let start = start.into();
        let admitted = async {
            self.check_evacuation(StatementKind::InTransaction)?;
            let permit = self.acquire(request, Class::Transaction, &start).await?;
            self.admit_warmup().await?;
            Ok(permit)
        };
        let permit = match admitted.await {
            Ok(permit) => permit,
            Err(refusal) => {
                transaction.roll_back().await;
                return Err(refusal);
            }
        };
        match self.run_in_transaction(&mut transaction, request, &permit).await {
            Ok(answer) => Ok(TransactionResult {
                answer,
                open: (!request.work.is_end()).then_some(transaction),
            }),
            Err(refusal) => {
                drop(permit);
                transaction.roll_back().await;
                Err(refusal)
            }
        }
    }

    async fn run_in_transaction(
        &self,
        transaction: &mut OpenTransaction,
        request: &HomeRequest,
        permit: &Permit,
    ) -> Result<HomeAnswer, Refusal> {
        let statement = Statement::new(request)?;
        self.check_evacuation(StatementKind::InTransaction)?;
        let Some(connection) = transaction.connection() else {
            return Err(Refusal::not_run(
                RefusalCode::TransactionGone,
                "the transaction has ended",
            ));
        };
        let class = if request.work.is_write() { Class::Write } else { Class::Read };
        let running = self.measure(class, connection.run_in_transaction(statement));
        let reply = match self.context.links.timers.within(request.limit, running).await {
            Some(reply) => reply,
            None => Err(Refusal::may_have_run(RefusalCode::Timeout, "no answer in time")),
        };
        let answer = reply
            .and_then(|reply| answer(permit, reply))
            .map_err(|refusal| transaction_refusal(request, refusal))?;
        match request.work {
            Work::Commit if transaction.wrote => self.confirm_commit(&answer)?,
            _ => transaction.wrote |= request.work.is_write(),
        }
        Ok(answer)
    }

    /// Confirms a commit at this instance, if this VM may confirm it to the caller.
    ///
    /// While the primary is being replaced, the commit may have been confirmed by a new or
    /// restarted replica that the promotion does not take into account, so that it could be lost.
    fn confirm_commit(&self, answer: &HomeAnswer) -> Result<(), Refusal> {
        if self.context.primaries.fleet().confirm(self.database, self.key, answer.point) {
            return Ok(());
        }
        let detail = "the primary was replaced while the write ran, or may have been";
        Err(Refusal::ran(RefusalCode::NotReplicated, detail))
    }

    /// Checks, after a read of the latest data, that no other instance led before it started.
    ///
    /// A replaced primary may go on as one and lacks the commits of its successor.
    fn check_latest(&self) -> Result<(), Refusal> {
        if self.confirms() {
            return Ok(());
        }
        let detail = "the primary was replaced while the read ran, or may have been";
        Err(Refusal::ran(RefusalCode::NotPrimary, detail))
    }

    /// Returns `true` if the instance is the recorded primary and a promotion would wait for this
    /// VM.
    fn confirms(&self) -> bool {
        self.context.primaries.confirms(self.database, self.key)
    }

    /// Checks that a statement that only the primary can run may start at this instance.
    fn admit_at_primary(&self) -> Result<(), Refusal> {
        if self.confirms() {
            return Ok(());
        }
        if self.is_primary() {
            let detail = "home: this VM has lost the store and could not confirm the answer";
            return Err(Refusal::not_run(RefusalCode::NotCurrent, detail));
        }
        let detail = "the instance is not known to lead";
        Err(Refusal::not_run(RefusalCode::NotPrimary, detail))
    }

    /// Checks that no evacuation keeps a statement from the instance.
    fn check_evacuation(&self, kind: StatementKind) -> Result<(), Refusal> {
        let Some(refusal) = self.evacuation_refusal(kind) else { return Ok(()) };
        let counts = &self.context.primaries.fleet().evacuation_counts;
        counts.at_home.fetch_add(1, Ordering::Relaxed);
        Err(refusal)
    }

    /// Returns `true` if the time is over for which open transactions may go on after the
    /// evacuation of the instance's zone was requested.
    pub fn ends_transactions(&self) -> bool {
        self.evacuation_refusal(StatementKind::InTransaction).is_some()
    }

    fn evacuation_refusal(&self, kind: StatementKind) -> Option<Refusal> {
        let fleet = self.context.primaries.fleet();
        let view = fleet.view();
        let instance = view.instances.get(&self.key).unwrap_or(&self.instance);
        eligibility::evacuation_refusal(fleet, instance, kind)
    }

    fn is_primary(&self) -> bool {
        self.context.primaries.primary(self.database) == Some(self.key)
    }

    /// Takes a token for a statement if the instance may be warming up.
    async fn admit_warmup(&self) -> Result<(), Refusal> {
        self.context.warmup.admit(self.database, self.key, self.pool.view_needed()).await
    }

    /// Takes the tokens of the operation that a statement begins, unless its caller leaves. Returns
    /// `true` if tokens were taken.
    async fn charge(&self, request: &HomeRequest, start: &StartCondition) -> Result<bool, Refusal> {
        start.wait_for(self.context.charges.take_for(request)).await
    }

    async fn acquire(
        &self,
        request: &HomeRequest,
        class: Class,
        start: &StartCondition,
    ) -> Result<Permit, Refusal> {
        let workspace = WorkspaceId::from_name(&request.workspace);
        let urgency = match self.expiry {
            Expiry::Deadline => Urgency::default(),
            Expiry::LatestStart => {
                let target = self.context.links.timers.now() + request.patience;
                Urgency { level: request.level, target: Some(target) }
            }
        };
        let deadline = start.deadline;
        let slot = SlotRequest { workspace, weight: 1, class, deadline, urgency };
        start.wait_for(self.slots.acquire(slot)).await
    }

    /// Returns a connection for a statement that has its slot, unless its caller has left meanwhile.
    async fn connect(
        &self,
        request: &HomeRequest,
        class: Class,
        start: &StartCondition,
    ) -> Result<PooledConnection, Refusal> {
        let pooled = self.pool.acquire(request).await;
        if let (Some(meter), Err(refusal)) = (&self.meter, &pooled)
            && refusal.code == RefusalCode::UpstreamUnavailable
        {
            meter.record_unreachable(statement_class(class));
        }
        let pooled = pooled?;
        start.check()?;
        Ok(pooled)
    }

    /// Runs an exchange with the instance and measures it if outliers are to be detected.
    async fn measure<T>(
        &self,
        class: Class,
        exchange: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        match &self.meter {
            Some(meter) => meter.measure(statement_class(class), exchange).await,
            None => exchange.await,
        }
    }

    /// Returns the condition under which the instance may run a read.
    ///
    /// # Errors
    /// Fails with `ReplicaBehind` if the read has a maximum age and the progress of the primary is
    /// not known to this VM.
    async fn freshness_check(&self, request: &HomeRequest) -> Result<FreshnessCheck, Refusal> {
        let freshness = &request.freshness;
        let is_primary = self.is_primary();
        if freshness.latest {
            return Ok(FreshnessCheck::Primary);
        }
        let floor = match freshness.age {
            None => None,
            Some(age) => match self.floor(age, request.patience, is_primary).await {
                Some(floor) => Some(floor),
                None if is_primary => return Ok(FreshnessCheck::Primary),
                None => {
                    let detail = "home: the primary's progress is not known";
                    return Err(Refusal::not_run(RefusalCode::ReplicaBehind, detail));
                }
            },
        };
        // The later point suffices: a point of a newer term includes all that the promotion kept of
        // older terms.
        Ok(FreshnessCheck::After(floor.max(freshness.seen)))
    }

    /// Returns a point that includes all commits older than `age`. A replica waits a moment for one
    /// if none is known, since all its reads would go to the primary otherwise.
    async fn floor(&self, age: Span, patience: Span, is_primary: bool) -> Option<LogPoint> {
        let primaries = &self.context.primaries;
        let floor = primaries.floor(self.database, age);
        if floor.is_some() || is_primary || primaries.is_promoting(self.database) {
            return floor;
        }
        let limit = MAX_FLOOR_WAIT.min(Span(patience.0 / FLOOR_WAIT_DIVISOR));
        primaries.floor_within(self.database, age, limit).await
    }

    /// Records the position that the instance had when it answered a statement sent after `asked`.
    fn record_position(&self, asked: Time, answer: &HomeAnswer) {
        if let Some(point) = answer.point {
            self.context.primaries.record_answer(self.database, self.key, asked, point);
        }
    }
}

/// Returns the class of a statement outside a transaction: replicas serve only reads that accept
/// older data.
fn class_of(request: &HomeRequest) -> Class {
    if request.work.is_write() || request.freshness.latest { Class::Write } else { Class::Read }
}

/// Returns the class under which a statement is measured.
fn statement_class(class: Class) -> StatementClass {
    match class {
        Class::Read => StatementClass::Read,
        Class::Write | Class::Transaction => StatementClass::Write,
    }
}

fn answer(permit: &Permit, reply: Reply) -> Result<HomeAnswer, Refusal> {
    let Reply { rows, outcome, point, held, .. } = reply;
    let signature =
        outcome.map_err(|failure| upstream::failure_refusal(&failure, failure.kind.verdict()))?;
    let queued = permit.queued;
    let (transaction, horizon) = (None, Horizon::OPEN);
    Ok(HomeAnswer { rows, signature, point, transaction, queued, horizon, held })
}

/// Adjusts the refusal of a failed statement of a transaction: the failure rolls back the
/// transaction, so that the statement counts as not run unless it was the commit or the instance
/// reported an error of its own.
fn transaction_refusal(request: &HomeRequest, refusal: Refusal) -> Refusal {
    // Another attempt would fail as well.
    let is_too_large =
        refusal.code == RefusalCode::AnswerTooLarge && refusal.verdict == Verdict::Ran;
    if request.work == Work::Commit || refusal.code == RefusalCode::UpstreamError || is_too_large {
        return refusal;
    }
    Refusal { verdict: Verdict::NotRun, ..refusal }
}
