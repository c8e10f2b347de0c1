//! One part of a database at one of its homes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use oleander_config::model::Database;
use oleander_config::model::KeyHash;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::Incarnation;
use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::statement::Access;
use oleander_core::terms::InstanceStatus;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::queue::QueueOptions;
use oleander_limits::home::slots;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::slots::Slots;
use oleander_peer::messages::Work;
use oleander_peer::messages::WorkAnswer;
use oleander_peer::messages::WorkRequest;
use oleander_routing::admit;
use oleander_routing::admit::Currency;
use oleander_routing::budget::RetryBudget;
use oleander_routing::budget::RetryOptions;
use oleander_routing::homes::HOMES_PER_DATABASE;
use oleander_runtime::logs::Journal;
use oleander_runtime::timer::TimerService;
use oleander_upstream::connection::Connection;
use oleander_upstream::pool::Pool;
use oleander_upstream::pool::PoolOptions;
use tokio::task::JoinHandle;

use crate::fleet::view::FleetView;
use crate::home::acks::Acks;
use crate::home::admission;
use crate::home::admission::Admission;
use crate::home::admission::AdmissionRequest;
use crate::home::polls;
use crate::home::polls::PollTarget;
use crate::home::table::TransactionTable;

/// The maximum number of connections of a home's part of an instance that are reserved for status
/// queries and promotions; at most half of the part is reserved.
pub const CONTROL_CONNECTIONS: u32 = 2;

/// `HomeContext` holds what all homes on a VM share.
#[derive(Clone)]
pub struct HomeContext {
    /// The identifier of the VM.
    pub vm: VmId,
    /// The random number of this run of the proxy, part of each transaction identifier.
    pub incarnation: Incarnation,
    /// The place of the VM, from which distances to instances are counted.
    pub place: Place,
    /// The timers and the clock.
    pub timers: TimerService,
    /// The journal in which events of the process are recorded.
    pub journal: Journal,
    /// The latest view of the fleet; replaced when the agent sends another.
    pub fleet: Arc<ArcSwap<FleetView>>,
}

/// `Home` runs requests to one database on one part of its slots and connections.
pub struct Home {
    /// The identifier of the database.
    pub id: DatabaseId,
    /// The name of the database.
    pub name: String,
    /// The index of the part of the database's slots and connections, 0 or 1.
    pub part: u32,
    pub(crate) context: HomeContext,
    pub(crate) admission: Arc<Admission>,
    pub(crate) acks: Acks,
    pub(crate) transactions: TransactionTable,
    pools: RwLock<Vec<Arc<InstancePool>>>,
    retry_budget: Mutex<RetryBudget>,
    revision: AtomicU64,
    draining: AtomicBool,
    in_progress: AtomicU64,
    queue_task: JoinHandle<()>,
}

/// `InstancePool` is the pool of connections to one instance.
///
/// It is replaced if the instance's address or number of connections changes. Its drop stops the
/// polling of the instance.
pub struct InstancePool {
    /// The connections to the instance.
    pub pool: Pool,
    address: String,
    connections: u32,
    poller: JoinHandle<()>,
}

impl Drop for InstancePool {
    fn drop(&mut self) {
        self.poller.abort();
    }
}

/// `Job` is a request with the values that the home determined on its arrival.
pub struct Job {
    /// The request as received.
    pub request: WorkRequest,
    /// The name of the workspace.
    pub workspace: String,
    /// The weight of the workspace.
    pub weight: u32,
    /// The time by which the answer is needed, on this VM's clock.
    pub deadline: Time,
}

impl Home {
    /// Starts the home for one part of a database; `part` is 0 or 1.
    pub fn start(
        context: HomeContext,
        revision: Revision,
        database: &Database,
        part: u32,
    ) -> Arc<Self> {
        let id = DatabaseId::from_name(&database.name);
        let queue = HomeQueue::new(QueueOptions::default(), Slots::default());
        let admission = Admission::new(context.timers.clone(), queue);
        let queue_task = tokio::spawn(admission.clone().run());
        let now = context.timers.now();
        let home = Arc::new(Self {
            id,
            name: database.name.clone(),
            part,
            acks: Acks::new(context.timers.clone()),
            transactions: TransactionTable::default(),
            admission,
            pools: RwLock::default(),
            retry_budget: Mutex::new(RetryBudget::new(RetryOptions::default(), now)),
            revision: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            in_progress: AtomicU64::new(0),
            queue_task,
            context,
        });
        home.configure(revision, database);
        home
    }

    /// Applies the configuration of the database as of `revision`.
    ///
    /// Does nothing if that revision is already in force.
    pub fn configure(self: &Arc<Self>, revision: Revision, database: &Database) {
        if self.revision.swap(revision.0, Ordering::AcqRel) == revision.0 {
            return;
        }
        self.admission.update(|instances| instances.configure(database, &self.context.place));
        let ordinals = 0..database.instances.len() as u8;
        let quota = |ordinal| quota_of(database, self.part, ordinal);
        self.admission.set_quotas(ordinals.map(quota), self.context.timers.now());
        self.set_pools(database, quota);
        self.transactions.set_limits(quota(0).connections);
        self.acks.set_mode(database.acknowledge, database.instances.len() as u8);
    }

    /// Records the agent's reports on the instances.
    pub fn apply_reports(self: &Arc<Self>, view: &FleetView) {
        self.admission.update(|instances| {
            for ordinal in instances.ordinals() {
                let Some(id) = instances.id(ordinal) else { continue };
                let Some(known) = view.instances.get(&id) else { continue };
                instances.set_reachable(ordinal, known.report.reachable);
                if let Some(status) = known.report.status {
                    instances.record_status(ordinal, status, known.requested_at);
                }
            }
        });
        self.update_acks();
    }

    /// Runs a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request could not be completed; its verdict states whether the
    /// request may have run.
    pub async fn run(self: &Arc<Self>, request: WorkRequest) -> Result<WorkAnswer, Refusal> {
        let _guard = WorkGuard::new(self)?;
        self.retry_budget().deposit();
        let job = self.new_job(request)?;
        match job.request.work.clone() {
            Work::Single { statement, access: Access::Read, seen, age } => {
                self.read(&job, &statement, seen, age).await
            }
            Work::Single { statement, access, seen, .. } => {
                self.write(&job, &statement, access, seen).await
            }
            Work::Begin { seen } => self.begin(&job, &seen).await,
            Work::InTransaction { transaction, statement } => {
                self.in_transaction(&job, transaction, &statement).await
            }
            Work::Commit { transaction } => self.commit(&job, transaction).await,
            Work::Rollback { transaction } => self.rollback(&job, transaction).await,
        }
    }

    /// Starts draining: new requests are refused once no transaction is open (see
    /// `WorkGuard::new`).
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns `true` if no request is running or waiting and no transaction is open.
    pub fn is_idle(&self) -> bool {
        self.in_progress.load(Ordering::Acquire) == 0
            && self.transactions.is_empty()
            && self.admission.is_idle()
    }

    /// Closes all pools and transactions and refuses the waiting requests.
    pub fn close(&self) {
        self.start_drain();
        self.admission.close();
        self.transactions.clear();
        // Dropping a pool stops its poller, which holds the home and a separate connection.
        let pools =
            std::mem::take(&mut *self.pools.write().unwrap_or_else(PoisonError::into_inner));
        for pool in pools {
            pool.pool.close();
        }
    }

    /// Checks, immediately before anything is sent to an upstream, that the request may still run.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run" if this VM may no longer use its shares, or if
    /// the request's key or workspace is no longer valid.
    pub(crate) fn recheck(&self, job: &Job) -> Result<(), Refusal> {
        let view = self.context.fleet.load();
        let now = self.context.timers.now();
        if !view.may_use_shares(now) {
            return Err(admission::not_a_home());
        }
        let currency = if view.is_current(now) { Currency::Current } else { Currency::NotCurrent };
        let key = job.request.key.map(KeyHash);
        admit::recheck(&view.snapshot, currency, job.request.workspace, key.as_ref())
    }

    /// Returns the queue request for a job.
    pub(crate) fn admission_request(
        &self,
        job: &Job,
        target: admission::Target,
    ) -> AdmissionRequest {
        AdmissionRequest {
            workspace: job.request.workspace,
            weight: job.weight,
            cost: job.request.cost,
            level: job.request.level,
            deadline: job.deadline,
            target,
        }
    }

    /// Returns the pool of an instance; `None` if the instance is not configured.
    pub(crate) fn pool(&self, ordinal: u8) -> Option<Pool> {
        self.read_pools().get(usize::from(ordinal)).map(|pool| pool.pool.clone())
    }

    /// Acquires a connection to an instance for the job's workspace, waiting until its deadline.
    pub(crate) async fn connect(
        &self,
        ordinal: u8,
        job: &Job,
    ) -> oleander_upstream::errors::Result<Connection> {
        let unknown = || {
            oleander_upstream::errors::Error::Connect("the instance is not configured".to_owned())
        };
        let pool = self.pool(ordinal).ok_or_else(unknown)?;
        pool.acquire(&job.workspace, self.to_instant(job.deadline)).await
    }

    /// Locks the retry budget, which all requests of the home share.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Converts a time of the home's clock to the runtime's, which the connections use.
    pub(crate) fn to_instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + time.since(self.context.timers.now()).duration()
    }

    /// Passes the last known statuses to the writes that wait for replication.
    pub(crate) fn update_acks(&self) {
        let statuses: Vec<_> = self.admission.with_instances(|instances| {
            instances.group().statuses().map(|(id, known)| (id, known.status)).collect()
        });
        self.acks.record_statuses(&statuses);
    }

    fn new_job(&self, request: WorkRequest) -> Result<Job, Refusal> {
        let view = self.context.fleet.load();
        let Some(workspace) = view.snapshot.workspace(request.workspace) else {
            return Err(Refusal::not_run(
                RefusalCode::KeyRejected,
                "the workspace is not configured at the home",
            ));
        };
        Ok(Job {
            workspace: workspace.name.clone(),
            weight: workspace.weight,
            deadline: self.context.timers.now() + request.remaining,
            request,
        })
    }

    fn set_pools(self: &Arc<Self>, database: &Database, quota: impl Fn(u8) -> Quota) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        let mut old = std::mem::take(&mut *pools).into_iter();
        for (ordinal, instance) in database.instances.iter().enumerate() {
            let connections = quota(ordinal as u8).connections;
            let kept = old
                .next()
                .filter(|pool| pool.address == instance.address && pool.connections == connections);
            pools.extend(
                kept.or_else(|| self.new_pool(ordinal as u8, &instance.address, connections)),
            );
        }
    }

    fn new_pool(
        self: &Arc<Self>,
        ordinal: u8,
        address: &str,
        connections: u32,
    ) -> Option<Arc<InstancePool>> {
        let options = PoolOptions { connections: connections as usize, ..PoolOptions::default() };
        let pool = Pool::new(address, options).ok()?;
        let poller =
            tokio::spawn(polls::poll_instance(Arc::downgrade(self), ordinal, address.to_owned()));
        Some(Arc::new(InstancePool { pool, address: address.to_owned(), connections, poller }))
    }

    fn read_pools(&self) -> std::sync::RwLockReadGuard<'_, Vec<Arc<InstancePool>>> {
        self.pools.read().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PollTarget for Home {
    fn acks(&self) -> &Acks {
        &self.acks
    }

    fn admission(&self) -> &Admission {
        &self.admission
    }

    fn timers(&self) -> &TimerService {
        &self.context.timers
    }

    fn record_status(&self, ordinal: u8, status: InstanceStatus, requested_at: Time) {
        self.observe_status(ordinal, status, requested_at);
    }
}

impl Drop for Home {
    fn drop(&mut self) {
        self.queue_task.abort();
    }
}

/// Returns the quota of an instance that one part of the database may use for requests.
///
/// The control connections are left out, so that status queries and promotions can connect while
/// all other connections are in use.
fn quota_of(database: &Database, part: u32, ordinal: u8) -> Quota {
    let split = |total| slots::split(total, HOMES_PER_DATABASE as u32, part, ordinal);
    let connections = split(database.connections);
    // Reserving at most half keeps the quotas of small parts within the instance's connections.
    let control = CONTROL_CONNECTIONS.min(connections / 2);
    Quota { slots: split(database.slots), connections: connections - control }
}

/// `WorkGuard` counts a request as in progress at the home until it is dropped.
struct WorkGuard<'a>(&'a Home);

impl<'a> WorkGuard<'a> {
    /// Fails with the refusal `not_a_home` if the home is draining and no transaction is open.
    fn new(home: &'a Home) -> Result<Self, Refusal> {
        home.in_progress.fetch_add(1, Ordering::AcqRel);
        let guard = Self(home);
        // While transactions are open, requests are accepted, since draining waits for their end.
        if home.draining.load(Ordering::Acquire) && home.transactions.is_empty() {
            return Err(admission::not_a_home());
        }
        Ok(guard)
    }
}

impl Drop for WorkGuard<'_> {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
