//! Callers' sessions, each with its settings, prepared statements and transaction.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use oleander_config::keys;
use oleander_config::model::Consistency;
use oleander_config::model::KeyHash;
use oleander_core::budget::ByteBudget;
use oleander_core::budget::HeldBytes;
use oleander_core::ids::TransactionId;
use oleander_core::ids::VmId;
use oleander_core::level::Level;
use oleander_core::places::Regions;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_runtime::logs::Journal;
use oleander_runtime::metrics::Metrics;
use oleander_session::budget::SessionBudget;
use oleander_session::command::Command;
use oleander_session::state::OwnCommits;
use oleander_session::state::SessionState;
use oleander_session::state::Step;
use oleander_session::state::TransactionPhase;
use oleander_session::work::Freshness;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use oleander_session::work::Work;

use super::forward::Forwarder;
use super::forward::RequiredRole;
use super::overload;
use super::route;
use super::route::Admitted;
use super::start;
use crate::charges::Charges;
use crate::fleet::Fleet;

/// The time for which a transaction may stay idle if the configuration sets none.
const DEFAULT_REST: Span = Span::from_secs(5);

/// The time limit for rolling back an abandoned transaction.
const ROLLBACK_LIMIT: Span = Span::from_millis(500);

/// `Entry` opens sessions and holds what they share.
pub struct Entry {
    /// The view of the fleet.
    pub fleet: Arc<Fleet>,
    /// Charges operations to the rates of their workspaces.
    pub charges: Charges,
    /// Sends statements to homes.
    pub forwarder: Forwarder,
    /// What the sessions may keep together.
    pub sessions: Arc<SessionBudget>,
    /// What the long messages of callers are held from, from their reading until their answer is sent.
    pub messages: Arc<ByteBudget>,
    /// The number of served requests, for sampling the log.
    pub served: AtomicU64,
    /// Logs refusals and sampled requests.
    pub journal: Journal,
    /// Counts and times requests.
    pub metrics: Metrics,
}

/// `Session` is one caller's session. Dropping it rolls back an open transaction.
pub struct Session {
    entry: Arc<Entry>,
    /// The database name that the caller gave, by which its route is found.
    name: String,
    /// The hash of the caller's key; `None` if the caller gave none.
    key: Option<KeyHash>,
    state: SessionState,
    /// The operation that is running or whose transaction is open; `None` between operations.
    operation: Option<Operation>,
    /// The open transaction at its home; `None` unless a statement of it has run.
    transaction: Option<TransactionHandle>,
    /// `true` while the effect of the running statement is unknown: a commit, or a write outside a
    /// transaction, has been sent to a home.
    in_doubt: bool,
}

/// `Operation` is an admitted statement or transaction; a transaction is admitted once as a whole.
struct Operation {
    admitted: Admitted,
    started: Time,
}

/// `TransactionHandle` locates the session's open transaction.
struct TransactionHandle {
    home: VmId,
    id: TransactionId,
    instance: String,
}

/// `CommandOutput` is the result of one command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// The rows that the instance returned.
    pub rows: Vec<String>,
    /// The signature that the instance sent with its answer; `None` if no instance had to run the
    /// command.
    pub signature: Option<String>,
    /// What the rows hold of this VM's budget of answers, until the caller has them.
    pub held: HeldBytes,
}

impl Entry {
    /// Opens a session on the database that callers know by `name`.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if `route::admit` refuses the session.
    pub async fn open(self: &Arc<Self>, name: &str, key: Option<&str>) -> Result<Session, Refusal> {
        start::wait_for_first_view(&self.fleet).await;
        let key = key.map(keys::hash_key);
        route::admit(&self.fleet, name, key.as_ref())
            .inspect_err(|refusal| self.record_refusal("-", name, None, refusal))?;
        Ok(Session {
            entry: self.clone(),
            name: name.to_owned(),
            key,
            state: SessionState::new(self.sessions.clone()),
            operation: None,
            transaction: None,
            in_doubt: false,
        })
    }
}

impl Session {
    /// Returns the state of the session's transaction.
    pub fn phase(&self) -> TransactionPhase {
        self.state.transaction()
    }

    /// Runs a command.
    ///
    /// # Errors
    /// Fails with a refusal that says whether the command may have run. A failed statement also
    /// fails its transaction.
    pub async fn run(
        &mut self,
        statement: &str,
        command: Command,
    ) -> Result<CommandOutput, Refusal> {
        let begins = matches!(command, Command::Begin { .. });
        if begins && self.state.transaction() == TransactionPhase::Idle {
            let admitted = self.admit().await;
            if let Err(refusal) = &admitted {
                let operation = self.operation.take();
                let admitted = operation.as_ref().map(|operation| &operation.admitted);
                self.entry.record_refusal(statement, &self.name, admitted, refusal);
            }
            admitted?;
        }
        let outcome = match self.state.handle(command) {
            Step::Done => Ok(None),
            Step::Abandon => {
                self.abandon();
                Ok(None)
            }
            Step::Refuse(refusal) => Err(refusal),
            Step::Run(work) => self.run_work(statement, work).await.map(Some),
        };
        if let Err(refusal) = &outcome {
            let admitted = self.operation.as_ref().map(|operation| &operation.admitted);
            self.entry.record_refusal(statement, &self.name, admitted, refusal);
        }
        if self.state.transaction() == TransactionPhase::Idle {
            self.operation = None;
        }
        let empty = CommandOutput { rows: Vec::new(), signature: None, held: HeldBytes::default() };
        outcome.map(|output| output.unwrap_or(empty))
    }

    /// Ends the session and rolls back an open transaction.
    pub fn close(mut self) {
        self.abandon();
    }

    /// Rolls back an open transaction and keeps the session. The client has to be told that the
    /// transaction had no effect.
    pub fn abort(&mut self) {
        self.abandon();
        self.state.failed(&Work::Rollback);
        self.operation = None;
    }

    /// Gives up a statement whose run was dropped, and its transaction. Returns the refusal, which says
    /// whether the statement may have run.
    pub fn interrupt(&mut self, statement: &str) -> Refusal {
        let (code, detail) = (RefusalCode::Draining, "this VM is stopping");
        let (refusal, work) = if std::mem::take(&mut self.in_doubt) {
            (Refusal::may_have_run(code, detail), Work::Commit)
        } else {
            // What was sent only read, or belongs to a transaction that is rolled back.
            (Refusal::not_run(code, detail), Work::Read(String::new()))
        };
        let admitted = self.operation.as_ref().map(|operation| &operation.admitted);
        self.entry.record_refusal(statement, &self.name, admitted, &refusal);
        self.abandon();
        self.state.failed(&work);
        refusal
    }

    /// Admits an operation by route, and by rate unless the home of its first statement does that.
    ///
    /// `operation` is set even if the rate limiter then refuses it, so that the refusal is recorded
    /// under its workspace.
    async fn admit(&mut self) -> Result<(), Refusal> {
        let entry = self.entry.clone();
        let started = entry.fleet.now();
        let admitted = route::admit(&entry.fleet, &self.name, self.key.as_ref())?;
        let target = admitted.route.target_latency;
        let (workspace, charge) = (admitted.workspace, admitted.charge());
        self.operation = Some(Operation { admitted, started });
        if entry.fleet.charges_at_homes() {
            return Ok(());
        }
        let charged = entry.charges.take(workspace, charge, started, target).await;
        charged.map_err(|refusal| overload::spread_return(&entry.fleet, charge.level, refusal))
    }

    async fn run_work(&mut self, statement: &str, work: Work) -> Result<CommandOutput, Refusal> {
        let outcome = self.try_work(statement, &work).await;
        let now = self.entry.fleet.now();
        match &outcome {
            Ok((_, point)) => {
                if let Some(operation) = &self.operation {
                    self.state.succeeded(&work, operation.admitted.database, *point);
                    let latency = now.since(operation.started);
                    self.entry.record_served(statement, &self.name, &operation.admitted, latency);
                }
            }
            Err(refusal) => {
                self.state.failed(&work);
                if let Some(transaction) = self.transaction.take() {
                    // The home ends a transaction whose statement fails. These refusals can come from
                    // this VM, so the home has to be told.
                    if matches!(
                        refusal.code,
                        RefusalCode::KeyRejected
                            | RefusalCode::AnswerTooLarge
                            | RefusalCode::NotCurrent
                            | RefusalCode::UpstreamUnavailable
                    ) {
                        self.transaction = Some(transaction);
                        self.abandon();
                    }
                }
            }
        }
        outcome.map(|(output, _)| output)
    }

    async fn try_work(
        &mut self,
        statement: &str,
        work: &Work,
    ) -> Result<(CommandOutput, Option<LogPoint>), Refusal> {
        match &self.operation {
            Some(operation) => self.check_key(operation)?,
            None => self.admit().await?,
        }
        let Some(operation) = &self.operation else {
            return Err(Refusal::not_run(RefusalCode::Internal, "no operation was admitted"));
        };
        let request = self.request(statement, work, operation);
        let is_single = request.scope == Scope::Single;
        self.in_doubt = *work == Work::Commit || (is_single && work.is_write());
        let outcome = match &self.transaction {
            Some(transaction) => self.run_next(transaction, request).await,
            None => self.run_first(operation, request).await,
        };
        self.in_doubt = false;
        let (answer, home, instance) = outcome?;
        self.entry.record_wait(operation.admitted.level, answer.queued);
        self.transaction = answer.transaction.map(|id| TransactionHandle { home, id, instance });
        let HomeAnswer { rows, signature, held, point, .. } = answer;
        let output = CommandOutput { rows, signature: Some(signature), held };
        Ok((output, point))
    }

    /// Checks that the key is still valid before a further statement of a transaction.
    fn check_key(&self, operation: &Operation) -> Result<(), Refusal> {
        if operation.admitted.keyless {
            return Ok(());
        }
        let entry = &self.entry;
        let snapshot = &entry.fleet.view().snapshot;
        if !entry.fleet.is_current() {
            let detail = "this VM has not heard from the store lately";
            let refusal = Refusal::not_run(RefusalCode::NotCurrent, detail);
            return Err(overload::spread_return(&entry.fleet, operation.admitted.level, refusal));
        }
        let found = self.key.as_ref().and_then(|key| snapshot.workspace_of_key(key));
        match found.map(|workspace| &snapshot.workspaces[workspace].name) {
            Some(name) if *name == operation.admitted.name => Ok(()),
            _ => Err(Refusal::not_run(RefusalCode::KeyRejected, "the key is not known any more")),
        }
    }

    fn request(&self, statement: &str, work: &Work, operation: &Operation) -> HomeRequest {
        let fleet = &self.entry.fleet;
        let route = &operation.admitted.route;
        let read_only = match self.state.transaction() {
            TransactionPhase::Begun { read_only } | TransactionPhase::Open { read_only, .. } => {
                read_only
            }
            TransactionPhase::Idle | TransactionPhase::Failed => false,
        };
        let scope = match (&self.transaction, self.state.transaction()) {
            (Some(transaction), _) => Scope::Within(transaction.id),
            (None, TransactionPhase::Begun { .. }) => Scope::First { read_only },
            (None, _) => Scope::Single,
        };
        let own_commits = match route.consistency {
            Consistency::Session => self.state.own_commits(operation.admitted.database),
            _ => OwnCommits::None,
        };
        let freshness = Freshness {
            latest: route::needs_latest(route) || own_commits == OwnCommits::Unknown,
            age: route.max_age,
            seen: match own_commits {
                OwnCommits::UpTo(point) => Some(point),
                OwnCommits::None | OwnCommits::Unknown => None,
            },
        };
        HomeRequest {
            statement: statement.to_owned(),
            workspace: operation.admitted.name.clone(),
            instance: String::new(),
            values: self.state.values(),
            work: work.clone(),
            scope,
            freshness,
            limit: self.limit(operation, scope),
            patience: self.patience(operation),
            rest: operation.admitted.tx_idle.unwrap_or(DEFAULT_REST),
            level: operation.admitted.level,
            regions: route::regions(fleet, &self.name, &operation.admitted),
            charge: (fleet.charges_at_homes() && !matches!(scope, Scope::Within(_)))
                .then(|| operation.admitted.charge()),
        }
    }

    /// Returns the time within which a statement must be answered. With levels, a statement may wait
    /// until then, so that the time it has waited for the rate limiter counts. The time of a
    /// transaction's earlier statements does not.
    fn limit(&self, operation: &Operation, scope: Scope) -> Span {
        let fleet = &self.entry.fleet;
        let deadline = operation.admitted.route.deadline;
        if !fleet.settings.overload {
            return deadline;
        }
        let spent = match scope {
            Scope::Single => fleet.now().since(operation.started),
            Scope::First { .. } | Scope::Within(_) => Span::ZERO,
        };
        deadline.saturating_sub(spent).min(fleet.serving_left())
    }

    /// Returns the time for which a statement may wait for a slot: the rest of the target latency,
    /// after which the answer would be late. Statements of an open transaction may wait for as long
    /// as they may run. None waits for longer than this VM serves, so that the home refuses it in time.
    fn patience(&self, operation: &Operation) -> Span {
        let fleet = &self.entry.fleet;
        let route = &operation.admitted.route;
        let patience = if self.transaction.is_some() {
            route.deadline
        } else {
            let spent = fleet.now().since(operation.started);
            route.target_latency.saturating_sub(spent).min(route.deadline)
        };
        patience.min(fleet.serving_left())
    }

    async fn run_first(
        &self,
        operation: &Operation,
        request: HomeRequest,
    ) -> Result<(HomeAnswer, VmId, String), Refusal> {
        let read_only = matches!(request.scope, Scope::First { read_only: true });
        let is_read = match request.scope {
            Scope::First { .. } => read_only,
            _ => !request.work.is_write(),
        };
        let role = if is_read && !request.freshness.latest {
            RequiredRole::Any
        } else {
            RequiredRole::Primary
        };
        let fleet = &self.entry.fleet;
        // With levels, a statement that misses its target is still run if its limit allows it.
        let wait = if fleet.settings.overload { request.limit } else { request.patience };
        let until = fleet.now() + wait;
        let database = operation.admitted.database;
        let (level, rate_level) = (request.level, operation.admitted.rate_level);
        let ran = self.entry.forwarder.run(database, role, request, until).await;
        let ran = ran.map_err(|refusal| match refusal.code {
            // The home's configuration is not current.
            RefusalCode::NotCurrent => overload::spread_return(fleet, level, refusal),
            RefusalCode::RateLimited => overload::spread_return(fleet, rate_level, refusal),
            _ => refusal,
        })?;
        Ok((ran.answer, ran.home, ran.instance))
    }

    async fn run_next(
        &self,
        transaction: &TransactionHandle,
        mut request: HomeRequest,
    ) -> Result<(HomeAnswer, VmId, String), Refusal> {
        request.instance.clone_from(&transaction.instance);
        let is_commit = request.work == Work::Commit;
        let answer = self.entry.forwarder.run_in_transaction(transaction.home, request).await;
        let answer = answer.map_err(|refusal| {
            if is_commit {
                return refusal;
            }
            // Without a commit the transaction has no effect, even if its home cannot be reached.
            Refusal { verdict: Verdict::NotRun, ..refusal }
        })?;
        Ok((answer, transaction.home, transaction.instance.clone()))
    }

    /// Asks the home to roll back the transaction, without waiting for the answer.
    fn abandon(&mut self) {
        let Some(transaction) = self.transaction.take() else { return };
        let request = HomeRequest {
            statement: String::new(),
            workspace: String::new(),
            instance: transaction.instance,
            values: Vec::new(),
            work: Work::Rollback,
            scope: Scope::Within(transaction.id),
            freshness: Freshness::default(),
            limit: ROLLBACK_LIMIT,
            patience: ROLLBACK_LIMIT,
            rest: ROLLBACK_LIMIT,
            level: Level::default(),
            // A rollback carries nothing of the caller's.
            regions: Regions::All,
            charge: None,
        };
        let entry = self.entry.clone();
        tokio::spawn(async move {
            // If the call fails, the home ends the transaction once it has been idle for too long.
            let _ = entry.forwarder.run_in_transaction(transaction.home, request).await;
        });
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.abandon();
    }
}
