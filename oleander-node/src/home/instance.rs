//! One instance at its home: admission and the run of statements.

use std::sync::Arc;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_limits::home::request::Class;
use oleander_limits::home::slots::Quota;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::upstream::Reply;
use oleander_ports::upstream::Target;
use oleander_session::work::Freshness;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Work;

use super::backend;
use super::backend::Statement;
use super::backend::Wrap;
use super::connections::Connections;
use super::connections::LinkContext;
use super::connections::pool_options;
use super::open::OpenTransaction;
use super::slots::InstanceSlots;
use super::slots::Permit;
use super::slots::Wanted;
use crate::fleet::Instance;
use crate::primaries::Primaries;

/// `HomeContext` is what all homes of a VM share.
pub struct HomeContext {
    /// What opening a connection takes.
    pub links: LinkContext,
    /// What is known of primaries.
    pub primaries: Arc<Primaries>,
}

/// `Ran` is the answer to a statement of a transaction, with the transaction unless it has ended.
pub struct Ran {
    /// The answer.
    pub answer: HomeAnswer,
    /// The transaction, which waits for its next statement.
    pub open: Option<OpenTransaction>,
}

/// `InstanceHome` runs the statements of one instance.
pub struct InstanceHome {
    parts: Arc<HomeContext>,
    database: DatabaseId,
    key: InstanceKey,
    slots: InstanceSlots,
    connections: Arc<Connections>,
}

impl InstanceHome {
    /// Makes the home of an instance that accepts `connections` in all.
    pub fn new(parts: Arc<HomeContext>, instance: &Instance, connections: u32) -> Self {
        let DirectoryEntry { instance: name, database, address, .. } = instance.entry.clone();
        let options = pool_options(connections);
        let part = Quota { slots: instance.entry.slots.max(1), connections: options.max_open };
        let target = Target { address, database, instance: name };
        Self {
            slots: InstanceSlots::new(parts.links.timers.clone(), part),
            database: instance.database,
            key: instance.key,
            connections: Arc::new(Connections::new(parts.links.clone(), target, options)),
            parts,
        }
    }

    /// Changes the number of connections and slots.
    pub fn set_size(&self, slots: u32, connections: u32) {
        let options = pool_options(connections);
        self.connections.set_options(options);
        self.slots.set_part(Quota { slots: slots.max(1), connections: options.max_open });
    }

    /// Closes the idle connections, as when another VM has become the home.
    pub fn close_idle(&self) {
        self.connections.close_idle();
    }

    /// Closes connections as they come back from now on.
    pub fn close(&self) {
        self.connections.close();
    }

    /// Gets the number of connections, in use or idle.
    pub fn connections(&self) -> u32 {
        self.connections.open_count()
    }

    /// Runs a statement that stands alone.
    pub async fn single(&self, request: &HomeRequest, until: Time) -> Result<HomeAnswer, Refusal> {
        let wrap = if request.work.is_write() {
            self.admit_write()?;
            Wrap::After(None)
        } else {
            self.wrap(&request.freshness)?
        };
        let permit = self.acquire(request, class_of(request), until).await?;
        let mut lease = self.connections.connect(request).await?;
        let reply = lease.backend.single(statement(request), wrap).await;
        drop(lease);
        let answer = answer(&permit, reply?)?;
        if request.work.is_write() {
            self.check_primary()?;
        }
        Ok(answer)
    }

    /// Opens a transaction and runs its first statement.
    pub async fn first(
        &self,
        request: &HomeRequest,
        read_only: bool,
        until: Time,
    ) -> Result<Ran, Refusal> {
        let (read_only, after) = match (read_only, self.wrap(&request.freshness)) {
            (true, Ok(Wrap::After(after))) => (true, after),
            (true, Err(refusal)) => return Err(refusal),
            _ => {
                self.admit_write()?;
                (false, None)
            }
        };
        let class = if read_only { Class::Read } else { Class::Write };
        let mut permit = self.acquire(request, class, until).await?;
        let mut lease = self.connections.connect(request).await?;
        lease.backend.begin(read_only, after).await?;
        // The transaction gives the connection back when it is dropped.
        permit.keep_connection();
        let mut transaction = OpenTransaction::new(lease, self.slots.clone(), request.rest);
        let answer = self.run_within(&mut transaction, request, &permit).await?;
        Ok(Ran { answer, open: (!request.work.is_end()).then_some(transaction) })
    }

    /// Runs a further statement of a transaction; a failure ends it.
    pub async fn next(
        &self,
        mut transaction: OpenTransaction,
        request: &HomeRequest,
        until: Time,
    ) -> Result<Ran, Refusal> {
        if request.work == Work::Rollback {
            transaction.roll_back().await;
            return Ok(Ran { answer: HomeAnswer::default(), open: None });
        }
        let permit = match self.acquire(request, Class::Transaction, until).await {
            Ok(permit) => permit,
            Err(refusal) => {
                transaction.roll_back().await;
                return Err(refusal);
            }
        };
        match self.run_within(&mut transaction, request, &permit).await {
            Ok(answer) => Ok(Ran { answer, open: (!request.work.is_end()).then_some(transaction) }),
            Err(refusal) => {
                drop(permit);
                transaction.roll_back().await;
                Err(refusal)
            }
        }
    }

    async fn run_within(
        &self,
        transaction: &mut OpenTransaction,
        request: &HomeRequest,
        permit: &Permit,
    ) -> Result<HomeAnswer, Refusal> {
        let Some(backend) = transaction.backend() else {
            return Err(Refusal::not_run(
                RefusalCode::TransactionGone,
                "the transaction has ended",
            ));
        };
        let running = backend.within(statement(request));
        let reply = match self.parts.links.timers.within(request.limit, running).await {
            Some(reply) => reply,
            None => Err(Refusal::may_have_run(RefusalCode::Timeout, "no answer in time")),
        };
        let answer = reply
            .and_then(|reply| answer(permit, reply))
            .map_err(|refusal| kept_nothing(request, refusal))?;
        match request.work {
            Work::Commit if transaction.wrote => self.check_primary()?,
            _ => transaction.wrote |= request.work.is_write(),
        }
        Ok(answer)
    }

    /// Checks that a commit at this instance counts: while the primary is being replaced, a new or
    /// restarted replica may confirm it that the promotion does not take into account.
    fn check_primary(&self) -> Result<(), Refusal> {
        if self.confirms() {
            return Ok(());
        }
        let detail = "the primary was replaced while the write ran, or may have been";
        Err(Refusal::ran(RefusalCode::NotReplicated, detail))
    }

    fn confirms(&self) -> bool {
        self.parts.primaries.confirms(self.database, self.key)
    }

    /// Checks that a write may start here.
    fn admit_write(&self) -> Result<(), Refusal> {
        if self.confirms() {
            return Ok(());
        }
        if self.leads() {
            let detail = "home: this VM has lost the store and could not confirm the write";
            return Err(Refusal::not_run(RefusalCode::NotCurrent, detail));
        }
        let detail = "the instance is not known to lead";
        Err(Refusal::not_run(RefusalCode::NotPrimary, detail))
    }

    fn leads(&self) -> bool {
        self.parts.primaries.primary(self.database) == Some(self.key)
    }

    async fn acquire(
        &self,
        request: &HomeRequest,
        class: Class,
        until: Time,
    ) -> Result<Permit, Refusal> {
        let workspace = WorkspaceId::from_name(&request.workspace);
        self.slots.acquire(Wanted { workspace, weight: 1, class, until }).await
    }

    /// Decides what must be proved for a read.
    fn wrap(&self, freshness: &Freshness) -> Result<Wrap, Refusal> {
        let leads = self.leads();
        if freshness.latest {
            return Ok(Wrap::Primary);
        }
        let floor = match freshness.age {
            None => None,
            Some(age) => match self.parts.primaries.floor(self.database, age) {
                Some(floor) => Some(floor),
                None if leads => return Ok(Wrap::Primary),
                None => {
                    let detail = "home: the primary's progress is not known";
                    return Err(Refusal::not_run(RefusalCode::ReplicaBehind, detail));
                }
            },
        };
        // A point of a newer term includes whatever the promotion kept of an older one.
        Ok(Wrap::After(floor.max(freshness.seen)))
    }
}

/// Gets the class of a statement that stands alone: replicas serve only reads of older data.
fn class_of(request: &HomeRequest) -> Class {
    if request.work.is_write() || request.freshness.latest { Class::Write } else { Class::Read }
}

fn statement(request: &HomeRequest) -> Statement<'_> {
    Statement { id: &request.statement, values: &request.values, work: &request.work }
}

fn answer(permit: &Permit, reply: Reply) -> Result<HomeAnswer, Refusal> {
    let Reply { rows, outcome, point, .. } = reply;
    let signature =
        outcome.map_err(|failure| backend::refusal(&failure, failure.kind.verdict()))?;
    Ok(HomeAnswer { rows, signature, point, transaction: None, queued: permit.queued })
}

/// A statement of a transaction that failed is rolled back with it, unless the commit was sent.
fn kept_nothing(request: &HomeRequest, refusal: Refusal) -> Refusal {
    if request.work == Work::Commit || refusal.code == RefusalCode::UpstreamError {
        return refusal;
    }
    Refusal { verdict: Verdict::NotRun, ..refusal }
}
