//! One database at one of its homes.

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

/// The connections of the home's part that are left to status questions and promotions.
pub const CONTROL_CONNECTIONS: u32 = 2;

/// `HomeContext` is what all homes of a VM share.
#[derive(Clone)]
pub struct HomeContext {
    /// The VM.
    pub vm: VmId,
    /// The life of the proxy.
    pub incarnation: Incarnation,
    /// Where the VM stands.
    pub place: Place,
    /// The timers.
    pub timers: TimerService,
    /// The events of the process.
    pub journal: Journal,
    /// What is known of the fleet.
    pub fleet: Arc<ArcSwap<FleetView>>,
}

/// `Home` runs the work on one database with this VM's part of it.
pub struct Home {
    /// The database.
    pub id: DatabaseId,
    /// The name of the database.
    pub name: String,
    /// The part of the database's slots and connections, 0 or 1.
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

/// `InstancePool` is the pool of connections to one instance, with the options it was made for.
pub struct InstancePool {
    /// The connections.
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

/// `Job` is a piece of work with what was decided about it on arrival.
pub struct Job {
    /// The request.
    pub request: WorkRequest,
    /// The name of the workspace.
    pub workspace: String,
    /// The weight of the workspace.
    pub weight: u32,
    /// The time by which the answer is wanted.
    pub deadline: Time,
}

impl Home {
    /// Makes the home of one part of a database; `part` is 0 or 1.
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

    /// Takes in the configuration of the database as of a revision; one that is in force already is passed over.
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

    /// Takes in the agent's reports on the instances.
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

    /// Runs a piece of work.
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

    /// Stops to take new work; open transactions go on until they end.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns `true` if nothing of this home's part is in use any more.
    pub fn is_idle(&self) -> bool {
        self.in_progress.load(Ordering::Acquire) == 0
            && self.transactions.is_empty()
            && self.admission.is_idle()
    }

    /// Closes all connections and refuses what still waits.
    pub fn close(&self) {
        self.start_drain();
        self.admission.close();
        self.transactions.clear();
        // The pollers end with the pools; each holds the home and a connection of its own.
        let pools =
            std::mem::take(&mut *self.pools.write().unwrap_or_else(PoisonError::into_inner));
        for pool in pools {
            pool.pool.close();
        }
    }

    /// Checks, right before something is sent to an upstream, that the request may still run here.
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

    /// Makes the queue entry of a job.
    pub(crate) fn admission_request(
        &self,
        job: &Job,
        target: admission::Target,
    ) -> AdmissionRequest {
        AdmissionRequest {
            workspace: job.request.workspace,
            weight: job.weight,
            cost: job.request.cost,
            deadline: job.deadline,
            target,
        }
    }

    /// Gets the pool of an instance.
    pub(crate) fn pool(&self, ordinal: u8) -> Option<Pool> {
        self.read_pools().get(usize::from(ordinal)).map(|pool| pool.pool.clone())
    }

    /// Gets a connection to an instance for the workspace of the job.
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

    /// Gets the retry budget of the home.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Turns a time of the home into one of the connection library.
    pub(crate) fn to_instant(&self, at: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.since(self.context.timers.now()).duration()
    }

    /// Tells the pending acknowledgements what is known of the instances.
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

/// Gets what this VM may use of an instance for work.
///
/// A part leaves out the control connections, so that status questions and
/// promotions find room when all work connections are busy.
fn quota_of(database: &Database, part: u32, ordinal: u8) -> Quota {
    let split = |total| slots::split(total, HOMES_PER_DATABASE as u32, part, ordinal);
    let connections = split(database.connections);
    // A small part is shared evenly, so that the parts never add up to more than there is.
    let control = CONTROL_CONNECTIONS.min(connections / 2);
    Quota { slots: split(database.slots), connections: connections - control }
}

/// `WorkGuard` counts a piece of work as open at the home.
struct WorkGuard<'a>(&'a Home);

impl<'a> WorkGuard<'a> {
    fn new(home: &'a Home) -> Result<Self, Refusal> {
        home.in_progress.fetch_add(1, Ordering::AcqRel);
        let guard = Self(home);
        // Work of open transactions is let in, since the stop waits for them.
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
