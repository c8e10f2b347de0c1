//! The state of one connection to an instance, and the execution of its statements.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use futures::Sink;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use pgwire::api::ClientInfo;
use pgwire::api::ClientPortalStore;
use pgwire::api::PgWireServerHandlers;
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::noop::NoopStartupHandler;
use pgwire::api::portal::Portal;
use pgwire::api::query::ExtendedQueryHandler;
use pgwire::api::results::Response;
use pgwire::api::results::Tag;
use pgwire::api::store::PortalStore;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;

use crate::group::log::Change;
use crate::group::log::ChangeKind;
use crate::group::replication::FollowOutcome;
use crate::group::replication::GroupError;
use crate::group::shared::Shared;
use crate::group::sql::Command;
use crate::group::sql::Parser;
use crate::group::sql::fatal_error;
use crate::group::sql::user_error;
use crate::group::values::Cell;
use crate::group::values::int_parameter;
use crate::group::values::rows_response;
use crate::group::values::text_parameter;
use crate::relay::lock;

// SQLSTATE codes of the errors that statements return.
const READ_ONLY_STATE: &str = "25006";
const TOO_MANY_CONNECTIONS_STATE: &str = "53300";
const WRONG_TERM_STATE: &str = "55000";
const NO_WORKSPACE_STATE: &str = "42501";
const DIVISION_STATE: &str = "22012";
const FAILED_TRANSACTION_STATE: &str = "25P02";
const ACTIVE_TRANSACTION_STATE: &str = "25001";

/// `Session` is the state of one connection to an instance.
#[derive(Debug)]
pub struct Session {
    shared: Arc<Shared>,
    ordinal: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Whether the connection is counted in `Counters::connections`.
    counted: bool,
    /// Whether the next restart of the instance leaves this connection open.
    exempt: bool,
    /// The workspace that data statements use; `None` until the caller sets one.
    workspace: Option<String>,
    /// The open transaction.
    transaction: Option<Transaction>,
}

/// `Transaction` is an open transaction with the instance's term and role at its start.
#[derive(Clone, Debug)]
struct Transaction {
    number: u64,
    term: Term,
    role: Role,
    /// The changes that a commit writes.
    changes: Vec<Change>,
    /// Whether a statement has failed, after which only a commit or rollback is accepted.
    failed: bool,
}

impl Session {
    /// Returns the state of a new connection to the instance with this ordinal.
    pub fn new(shared: Arc<Shared>, ordinal: usize) -> Self {
        Self { shared, ordinal, state: Mutex::new(State::default()) }
    }

    /// Returns whether the current restart leaves this connection open, because one of its own
    /// statements made the instance discard history; the exemption is used up.
    pub fn take_exemption(&self) -> bool {
        std::mem::take(&mut lock(&self.state).exempt)
    }

    /// Runs a statement; one that takes a slot runs for its service time first.
    async fn run(&self, command: Command, portal: &Portal<Command>) -> PgWireResult<Response> {
        if command.takes_slot() {
            let _slot = Slot::take(&self.shared, self.ordinal);
            pause(self.service_time(command, portal)?).await;
            return self.execute(command, portal);
        }
        self.execute(command, portal)
    }

    fn execute(&self, command: Command, portal: &Portal<Command>) -> PgWireResult<Response> {
        self.check_transaction(command)?;
        match command {
            Command::Status => self.status(portal),
            Command::Fence | Command::Promote | Command::Follow => {
                self.change_role(command, portal)
            }
            Command::SetWorkspace => self.set_workspace(portal),
            Command::Reset => self.reset(),
            Command::Begin => self.begin(),
            Command::Commit => self.commit(),
            Command::Rollback => {
                lock(&self.state).transaction = None;
                Ok(Response::TransactionEnd(Tag::new("ROLLBACK")))
            }
            Command::Ping => {
                rows_response(command, &portal.result_column_format, vec![vec![Cell::Int(1)]])
            }
            Command::Read | Command::Count => self.read(command, portal),
            Command::Append => self.change(ChangeKind::Append, portal),
            Command::Replace => self.change(ChangeKind::Replace, portal),
            Command::Sleep => {
                let row = vec![Cell::Text(String::new())];
                rows_response(command, &portal.result_column_format, vec![row])
            }
            Command::Fail => Err(user_error(DIVISION_STATE, "division by zero")),
            Command::Series => {
                let last = int_parameter(portal, 0)?;
                let series = (1..=last).map(|number| vec![Cell::Int(number)]).collect();
                rows_response(command, &portal.result_column_format, series)
            }
        }
    }

    /// Returns the execution time of a data statement.
    fn service_time(&self, command: Command, portal: &Portal<Command>) -> PgWireResult<Duration> {
        let service = lock(&self.shared.state).instances[self.ordinal].service;
        if command != Command::Sleep {
            return Ok(service);
        }
        Ok(Duration::from_millis(u64::try_from(int_parameter(portal, 0)?).unwrap_or(0)))
    }

    /// Refuses a statement in a failed transaction, unless it ends the transaction.
    fn check_transaction(&self, command: Command) -> PgWireResult<()> {
        let state = lock(&self.state);
        let failed = state.transaction.as_ref().is_some_and(|transaction| transaction.failed);
        if failed && !matches!(command, Command::Commit | Command::Rollback) {
            return Err(user_error(FAILED_TRANSACTION_STATE, "the transaction has failed"));
        }
        Ok(())
    }

    fn fail_transaction(&self) {
        if let Some(transaction) = &mut lock(&self.state).transaction {
            transaction.failed = true;
        }
    }

    fn status(&self, portal: &Portal<Command>) -> PgWireResult<Response> {
        let status = lock(&self.shared.state).status(self.ordinal, Instant::now());
        let cells = vec![
            Cell::Text(status.role.to_string()),
            Cell::Int(status.point.term.0 as i64),
            Cell::Int(status.point.position.0 as i64),
            Cell::Int(status.fence.0 as i64),
            Cell::Int(status.start.0 as i64),
        ];
        rows_response(Command::Status, &portal.result_column_format, vec![cells])
    }

    /// Fences or promotes the instance or makes it follow a primary, and returns its new status. If
    /// it discards history, all other connections to it are closed.
    fn change_role(&self, command: Command, portal: &Portal<Command>) -> PgWireResult<Response> {
        let term = Term(u64::try_from(int_parameter(portal, 0)?).unwrap_or(0));
        let now = Instant::now();
        let mut state = lock(&self.shared.state);
        let result = match command {
            Command::Fence => state.fence(self.ordinal, term, now).map(|()| FollowOutcome::Kept),
            Command::Promote => {
                state.promote(self.ordinal, term, now).map(|()| FollowOutcome::Kept)
            }
            _ => state.follow(self.ordinal, term, now),
        };
        drop(state);
        let outcome =
            result.map_err(|_| user_error(WRONG_TERM_STATE, "the term is not allowed"))?;
        if outcome == FollowOutcome::Dropped {
            lock(&self.state).exempt = true;
            self.shared.restarts[self.ordinal].send_modify(|count| *count += 1);
        }
        self.status(portal)
    }

    fn set_workspace(&self, portal: &Portal<Command>) -> PgWireResult<Response> {
        let workspace = text_parameter(portal, 0)?;
        lock(&self.state).workspace = Some(workspace.clone());
        let row = vec![Cell::Text(workspace)];
        rows_response(Command::SetWorkspace, &portal.result_column_format, vec![row])
    }

    fn reset(&self) -> PgWireResult<Response> {
        let mut state = lock(&self.state);
        if state.transaction.is_some() {
            return Err(user_error(ACTIVE_TRANSACTION_STATE, "DISCARD ALL inside a transaction"));
        }
        state.workspace = None;
        Ok(Response::Execution(Tag::new("DISCARD ALL")))
    }

    fn begin(&self) -> PgWireResult<Response> {
        let mut group = lock(&self.shared.state);
        let number = group.next_transaction();
        let instance = &group.instances[self.ordinal];
        let transaction = Transaction {
            number,
            term: instance.term,
            role: instance.role,
            changes: Vec::new(),
            failed: false,
        };
        lock(&self.state).transaction = Some(transaction);
        Ok(Response::TransactionStart(Tag::new("BEGIN")))
    }

    /// Writes the transaction's changes. Fails if the instance is no longer primary at the term at
    /// which the transaction started.
    fn commit(&self) -> PgWireResult<Response> {
        let Some(transaction) = lock(&self.state).transaction.take() else {
            return Ok(Response::TransactionEnd(Tag::new("COMMIT")));
        };
        if transaction.failed {
            return Ok(Response::TransactionEnd(Tag::new("ROLLBACK")));
        }
        if !transaction.changes.is_empty() {
            self.write(transaction.term, &transaction.changes)?;
        }
        Ok(Response::TransactionEnd(Tag::new("COMMIT")))
    }

    fn read(&self, command: Command, portal: &Portal<Command>) -> PgWireResult<Response> {
        let workspace = self.workspace()?;
        let mut group = lock(&self.shared.state);
        group.catch_up(Instant::now());
        let log = &group.instances[self.ordinal].log;
        if command == Command::Count {
            let count = log.count(&workspace) as i64;
            return rows_response(
                command,
                &portal.result_column_format,
                vec![vec![Cell::Int(count)]],
            );
        }
        let key = text_parameter(portal, 0)?;
        let mut values = log.values(&workspace, &key).to_vec();
        drop(group);
        self.apply_uncommitted(&workspace, &key, &mut values);
        let values = values.into_iter().map(|value| vec![Cell::Text(value)]).collect();
        rows_response(command, &portal.result_column_format, values)
    }

    /// Applies the uncommitted changes of the open transaction to the values that it reads.
    fn apply_uncommitted(&self, workspace: &str, key: &str, values: &mut Vec<String>) {
        let state = lock(&self.state);
        let changes = state.transaction.iter().flat_map(|transaction| &transaction.changes);
        for change in changes.filter(|change| change.workspace == workspace && change.key == key) {
            match change.kind {
                ChangeKind::Append => values.push(change.value.clone()),
                ChangeKind::Replace => values.fill(change.value.clone()),
            }
        }
    }

    /// Adds a change to the open transaction, or writes it at once if there is none.
    fn change(&self, kind: ChangeKind, portal: &Portal<Command>) -> PgWireResult<Response> {
        let workspace = self.workspace()?;
        let (key, value) = (text_parameter(portal, 0)?, text_parameter(portal, 1)?);
        let mut change = Change { workspace, key, value, kind, transaction: 0 };
        let tag = match kind {
            ChangeKind::Append => Tag::new("INSERT 0").with_rows(1),
            ChangeKind::Replace => Tag::new("UPDATE").with_rows(1),
        };
        if let Some(transaction) = &mut lock(&self.state).transaction {
            if transaction.role != Role::Primary {
                return Err(user_error(READ_ONLY_STATE, "the instance is not primary"));
            }
            change.transaction = transaction.number;
            transaction.changes.push(change);
            return Ok(Response::Execution(tag));
        }
        let (number, term) = {
            let mut group = lock(&self.shared.state);
            (group.next_transaction(), group.instances[self.ordinal].term)
        };
        change.transaction = number;
        self.write(term, &[change])?;
        Ok(Response::Execution(tag))
    }

    fn write(&self, term: Term, changes: &[Change]) -> PgWireResult<()> {
        let mut group = lock(&self.shared.state);
        let written = group.write(self.ordinal, term, changes, Instant::now());
        written.map_err(|refused| match refused {
            GroupError::NotPrimary => user_error(READ_ONLY_STATE, "the instance is not primary"),
            GroupError::WrongTerm => user_error(WRONG_TERM_STATE, "the term is not allowed"),
        })
    }

    /// Returns the workspace of the connection, or an error if none is set.
    fn workspace(&self) -> PgWireResult<String> {
        let workspace = lock(&self.state).workspace.clone();
        workspace.ok_or_else(|| user_error(NO_WORKSPACE_STATE, "no workspace is set"))
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if lock(&self.state).counted {
            lock(&self.shared.state).instances[self.ordinal].counters.connections -= 1;
        }
    }
}

#[async_trait]
impl NoopStartupHandler for Session {
    async fn post_startup<C>(
        &self,
        _client: &mut C,
        _message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send,
        C::Error: std::fmt::Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        pause(self.shared.options.connect).await;
        let mut group = lock(&self.shared.state);
        let counters = &mut group.instances[self.ordinal].counters;
        if self.shared.options.connections <= counters.connections {
            counters.refused += 1;
            return Err(fatal_error(TOO_MANY_CONNECTIONS_STATE, "too many connections"));
        }
        counters.connections += 1;
        counters.peak_connections = counters.peak_connections.max(counters.connections);
        lock(&self.state).counted = true;
        Ok(())
    }
}

#[async_trait]
impl ExtendedQueryHandler for Session {
    type Statement = Command;
    type QueryParser = Parser;

    fn query_parser(&self) -> Arc<Parser> {
        Arc::new(Parser)
    }

    async fn do_query<C>(
        &self,
        _client: &mut C,
        portal: &Portal<Command>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Command>,
        C::Error: std::fmt::Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let answer = self.run(portal.statement.statement, portal).await;
        if answer.is_err() {
            self.fail_transaction();
        }
        answer
    }
}

/// `Handlers` connects a session to the wire protocol library.
#[derive(Clone, Debug)]
pub struct Handlers(pub Arc<Session>);

impl PgWireServerHandlers for Handlers {
    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        Arc::clone(&self.0)
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        Arc::clone(&self.0)
    }
}

/// `Slot` counts a running data statement in `Counters::running` until it is dropped. It never
/// waits: a statement beyond the instance's slots is counted as an overrun.
#[derive(Debug)]
struct Slot {
    shared: Arc<Shared>,
    ordinal: usize,
}

impl Slot {
    fn take(shared: &Arc<Shared>, ordinal: usize) -> Self {
        let mut group = lock(&shared.state);
        let counters = &mut group.instances[ordinal].counters;
        if shared.options.slots <= counters.running {
            counters.overruns += 1;
        }
        counters.running += 1;
        counters.statements += 1;
        counters.peak_running = counters.peak_running.max(counters.running);
        Self { shared: Arc::clone(shared), ordinal }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.shared.state).instances[self.ordinal].counters.running -= 1;
    }
}

async fn pause(span: Duration) {
    if !span.is_zero() {
        tokio::time::sleep(span).await;
    }
}
