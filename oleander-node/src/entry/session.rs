//! A caller's session: a connection with values, prepared statements and transactions.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use oleander_config::keys;
use oleander_config::model::Consistency;
use oleander_config::model::KeyHash;
use oleander_core::ids::TransactionId;
use oleander_core::ids::VmId;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_runtime::logs::Journal;
use oleander_runtime::metrics::Metrics;
use oleander_session::command::Command;
use oleander_session::state::SessionState;
use oleander_session::state::Step;
use oleander_session::state::TransactionPhase;
use oleander_session::work::Freshness;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use oleander_session::work::Work;

use super::forward::Forwarder;
use super::forward::Need;
use super::route;
use super::route::Admitted;
use super::start;
use crate::fleet::Fleet;
use crate::rates::Rates;

/// The part of an operation's target, as a divisor, for which it may wait for its rate: a caller
/// that is refused sooner can still come back in time.
const PATIENCE_PART: u64 = 4;

/// The time for which a transaction may rest where the configuration sets none.
const DEFAULT_REST: Span = Span::from_secs(5);

/// The time within which a transaction of a caller that has gone must be rolled back.
const ABANDON_LIMIT: Span = Span::from_millis(500);

/// `Entry` opens sessions; it holds what they share.
pub struct Entry {
    /// What the VM believes.
    pub fleet: Arc<Fleet>,
    /// The rates of workspaces.
    pub rates: Rates,
    /// The way to homes.
    pub forwarder: Forwarder,
    /// The requests that were served, of which some are logged.
    pub served: AtomicU64,
    /// Records refusals.
    pub journal: Journal,
    /// Counts and times requests.
    pub metrics: Metrics,
}

/// `Session` is one caller's session.
pub struct Session {
    entry: Arc<Entry>,
    name: String,
    key: Option<KeyHash>,
    state: SessionState,
    operation: Option<Operation>,
    open: Option<Open>,
}

/// `Operation` is a statement or transaction that was admitted.
struct Operation {
    admitted: Admitted,
    started: Time,
}

/// `Open` is where the session's transaction is.
struct Open {
    home: VmId,
    id: TransactionId,
    instance: String,
}

/// `CommandOutput` is the result of one command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// The rows.
    pub rows: Vec<String>,
    /// The instance's signature; `None` if no instance had to answer.
    pub signature: Option<String>,
}

impl Entry {
    /// Opens a session on the database that callers know by `name`.
    ///
    /// # Errors
    /// Fails "not run" if the configuration does not allow it.
    pub async fn open(self: &Arc<Self>, name: &str, key: Option<&str>) -> Result<Session, Refusal> {
        start::first_view(&self.fleet).await;
        let key = key.map(keys::hash_key);
        route::admit(&self.fleet, name, key.as_ref())
            .inspect_err(|refusal| self.note_refusal("-", name, None, refusal))?;
        Ok(Session {
            entry: self.clone(),
            name: name.to_owned(),
            key,
            state: SessionState::default(),
            operation: None,
            open: None,
        })
    }
}

impl Session {
    /// Gets the state of the session's transaction.
    pub fn phase(&self) -> TransactionPhase {
        self.state.transaction()
    }

    /// Runs a command.
    ///
    /// # Errors
    /// Fails with the refusal's code and whether the command may have run. A failed statement
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
                self.entry.note_refusal(statement, &self.name, admitted, refusal);
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
            self.entry.note_refusal(statement, &self.name, admitted, refusal);
        }
        if self.state.transaction() == TransactionPhase::Idle {
            self.operation = None;
        }
        let nothing = CommandOutput { rows: Vec::new(), signature: None };
        outcome.map(|answered| answered.unwrap_or(nothing))
    }

    /// Rolls back what is open, as when the caller has gone.
    pub fn close(mut self) {
        self.abandon();
    }

    /// Rolls back what is open; the caller is told that nothing was kept.
    pub fn abort(&mut self) {
        self.abandon();
        self.state.failed(&Work::Rollback);
        self.operation = None;
    }

    /// Starts an operation; it stands even if it is then refused for its rate.
    async fn admit(&mut self) -> Result<(), Refusal> {
        let entry = self.entry.clone();
        let started = entry.fleet.now();
        let admitted = route::admit(&entry.fleet, &self.name, self.key.as_ref())?;
        let target = admitted.route.target_latency;
        let until = started + Span(target.0 / PATIENCE_PART);
        let (workspace, cost) = (admitted.workspace, admitted.route.cost);
        self.operation = Some(Operation { admitted, started });
        loop {
            let Err(refusal) = entry.rates.admit(workspace, cost, until).await else {
                return Ok(());
            };
            let fleet = &entry.fleet;
            let again =
                start::rate_retry_time(&refusal, fleet.now(), fleet.started(), started, target);
            let Some(again) = again else { return Err(refusal) };
            fleet.timers.sleep_until(again).await;
        }
    }

    async fn run_work(&mut self, statement: &str, work: Work) -> Result<CommandOutput, Refusal> {
        let outcome = self.try_work(statement, &work).await;
        let now = self.entry.fleet.now();
        match &outcome {
            Ok((_, point)) => {
                self.state.succeeded(&work, *point);
                if let Some(operation) = &self.operation {
                    let span = now.since(operation.started);
                    self.entry.note_served(statement, &self.name, &operation.admitted, span);
                }
            }
            Err(refusal) => {
                self.state.failed(&work);
                if let Some(open) = self.open.take() {
                    // The home has ended the transaction unless it never heard of the statement.
                    if refusal.code == RefusalCode::KeyRejected
                        || refusal.code == RefusalCode::NotCurrent
                    {
                        self.open = Some(open);
                        self.abandon();
                    }
                }
            }
        }
        outcome.map(|(answered, _)| answered)
    }

    async fn try_work(
        &mut self,
        statement: &str,
        work: &Work,
    ) -> Result<(CommandOutput, Option<LogPoint>), Refusal> {
        match &self.operation {
            Some(operation) => self.recheck(operation)?,
            None => self.admit().await?,
        }
        let Some(operation) = &self.operation else {
            return Err(Refusal::not_run(RefusalCode::Internal, "no operation was admitted"));
        };
        let request = self.request(statement, work, operation);
        let outcome = match &self.open {
            Some(open) => self.run_next(open, request).await,
            None => self.run_first(operation, request).await,
        };
        let (answer, home, instance) = outcome?;
        self.open = answer.transaction.map(|id| Open { home, id, instance });
        let answered = CommandOutput { rows: answer.rows, signature: Some(answer.signature) };
        Ok((answered, answer.point))
    }

    /// Checks a further statement of a transaction: the key must still hold.
    fn recheck(&self, operation: &Operation) -> Result<(), Refusal> {
        if operation.admitted.open {
            return Ok(());
        }
        let entry = &self.entry;
        let snapshot = &entry.fleet.view().snapshot;
        if !entry.fleet.is_current() {
            let detail = "this VM has not heard from the store lately";
            return Err(Refusal::not_run(RefusalCode::NotCurrent, detail));
        }
        let found = self.key.as_ref().and_then(|key| snapshot.workspace_of_key(key));
        match found.map(|workspace| &snapshot.workspaces[workspace].name) {
            Some(name) if *name == operation.admitted.name => Ok(()),
            _ => Err(Refusal::not_run(RefusalCode::KeyRejected, "the key is not known any more")),
        }
    }

    fn request(&self, statement: &str, work: &Work, operation: &Operation) -> HomeRequest {
        let route = &operation.admitted.route;
        let read_only = match self.state.transaction() {
            TransactionPhase::Begun { read_only } | TransactionPhase::Open { read_only, .. } => {
                read_only
            }
            TransactionPhase::Idle | TransactionPhase::Failed => false,
        };
        let scope = match (&self.open, self.state.transaction()) {
            (Some(open), _) => Scope::Within(open.id),
            (None, TransactionPhase::Begun { .. }) => Scope::First { read_only },
            (None, _) => Scope::Single,
        };
        let uses_session = route.consistency == Consistency::Session;
        let seen = self.state.written().filter(|_| uses_session);
        let freshness = Freshness { latest: route::needs_latest(route), age: route.max_age, seen };
        HomeRequest {
            statement: statement.to_owned(),
            workspace: operation.admitted.name.clone(),
            instance: String::new(),
            values: self.state.values(),
            work: work.clone(),
            scope,
            freshness,
            limit: route.deadline,
            patience: self.patience(operation),
            rest: operation.admitted.tx_idle.unwrap_or(DEFAULT_REST),
        }
    }

    /// Gets the time for which a statement may wait: until the answer would come too late to be
    /// of full worth. What is open already may wait as long as it may run.
    fn patience(&self, operation: &Operation) -> Span {
        let route = &operation.admitted.route;
        if self.open.is_some() {
            return route.deadline;
        }
        let spent = self.entry.fleet.now().since(operation.started);
        route.target_latency.saturating_sub(spent).min(route.deadline)
    }

    async fn run_first(
        &self,
        operation: &Operation,
        request: HomeRequest,
    ) -> Result<(HomeAnswer, VmId, String), Refusal> {
        let read_only = matches!(request.scope, Scope::First { read_only: true });
        let reads = match request.scope {
            Scope::First { .. } => read_only,
            _ => !request.work.is_write(),
        };
        let need = if reads && !request.freshness.latest { Need::Any } else { Need::Primary };
        let until = self.entry.fleet.now() + request.patience;
        let database = operation.admitted.database;
        let ran = self.entry.forwarder.run(database, need, request, until).await?;
        Ok((ran.answer, ran.home, ran.instance))
    }

    async fn run_next(
        &self,
        open: &Open,
        mut request: HomeRequest,
    ) -> Result<(HomeAnswer, VmId, String), Refusal> {
        request.instance.clone_from(&open.instance);
        let is_commit = request.work == Work::Commit;
        let answer = self.entry.forwarder.run_within(open.home, request).await;
        let answer = answer.map_err(|refusal| {
            if is_commit {
                return refusal;
            }
            // Without a commit nothing of the transaction is kept, wherever its home is.
            Refusal { verdict: Verdict::NotRun, ..refusal }
        })?;
        Ok((answer, open.home, open.instance.clone()))
    }

    /// Tells the home to roll the transaction back; nobody waits for it.
    fn abandon(&mut self) {
        let Some(open) = self.open.take() else { return };
        let request = HomeRequest {
            statement: String::new(),
            workspace: String::new(),
            instance: open.instance,
            values: Vec::new(),
            work: Work::Rollback,
            scope: Scope::Within(open.id),
            freshness: Freshness::default(),
            limit: ABANDON_LIMIT,
            patience: ABANDON_LIMIT,
            rest: ABANDON_LIMIT,
        };
        let entry = self.entry.clone();
        tokio::spawn(async move {
            // Without an answer the home ends the transaction once it has rested for too long.
            let _ = entry.forwarder.run_within(open.home, request).await;
        });
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.abandon();
    }
}
