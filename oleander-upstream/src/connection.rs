//! One connection to an instance: one term, one workspace at a time, one transaction at a time.

use std::any::Any;
use std::future::Future;
use std::time::Duration;

use futures::future;
use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

use crate::contract;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::protocol_error;
use crate::guard;
use crate::values::AnswerLimit;

/// The time that a closed connection is given to finish what it had sent.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// The time between the end of a connection here and its end at the instance.
pub(crate) const CLOSE_LINGER: Duration = Duration::from_millis(50);

/// `Outcome` is the answer to a statement and the status that belongs to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The status: before a read's statement, after a write's.
    pub status: InstanceStatus,
    /// The status after the statement: what the statement saw lies at or before its point.
    pub after: InstanceStatus,
    /// The rows.
    pub rows: Rows,
}

/// `Phase` is what a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Nothing is under way.
    Idle,
    /// A request has been sent and not yet answered.
    Busy,
    /// A transaction is open.
    Open,
    /// A transaction is open and can only be rolled back.
    Failed,
    /// The state is unknown or stale; the connection must be closed.
    Poisoned,
}

/// `Connection` is an open connection; dropping it closes it.
///
/// What is attached to it is dropped once the instance has surely finished
/// with it, which after a time-out may be later than the connection's drop.
#[derive(Debug)]
pub struct Connection {
    client: Option<Client>,
    driver: Option<JoinHandle<()>>,
    attached: Vec<Attachment>,
    term: Term,
    pub(crate) workspace: Option<String>,
    phase: Phase,
    pub(crate) limit: AnswerLimit,
    used: Instant,
}

/// `Attachment` is something that is held as long as the instance may be busy.
pub(crate) struct Attachment(
    #[expect(dead_code, reason = "it is held for its drop")] Box<dyn Any + Send + Sync>,
);

impl std::fmt::Debug for Attachment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Attachment")
    }
}

impl Connection {
    /// Attempts to open a connection and asks for the instance's status on it.
    ///
    /// # Errors
    /// Fails if the instance cannot be reached or has no room; nothing has run.
    pub async fn open(config: &tokio_postgres::Config, limit: AnswerLimit) -> Result<Self> {
        let opened = config.connect(NoTls).await.map_err(|error| match error.into() {
            Error::TooManyConnections => Error::TooManyConnections,
            other => Error::Connect(other.to_string()),
        });
        let (client, connection) = opened?;
        let driver = tokio::spawn(async move {
            // The client sees the error too.
            let _ = connection.await;
        });
        let mut connection = Self {
            client: Some(client),
            driver: Some(driver),
            attached: Vec::new(),
            term: Term::default(),
            workspace: None,
            phase: Phase::Idle,
            limit,
            used: Instant::now(),
        };
        let status = connection.ask_status().await;
        connection.term = status.map_err(|error| Error::Connect(error.to_string()))?.fence;
        Ok(connection)
    }

    /// Gets the term that the connection belongs to.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Gets the workspace that is set on the connection.
    pub fn workspace(&self) -> Option<&str> {
        self.workspace.as_deref()
    }

    /// Gets the time since the connection last answered.
    pub fn idle_time(&self) -> Duration {
        self.used.elapsed()
    }

    /// Returns `true` if the connection can serve another request.
    pub fn is_clean(&self) -> bool {
        let closed = self.client.as_ref().is_none_or(Client::is_closed);
        self.phase == Phase::Idle && !closed
    }

    /// Holds `item` until the instance has finished with this connection or it is detached.
    pub fn attach(&mut self, item: impl Any + Send + Sync) {
        self.attached.push(Attachment(Box::new(item)));
    }

    /// Takes off what was attached; it is released when the result is dropped.
    pub(crate) fn release(&mut self) -> Vec<Attachment> {
        std::mem::take(&mut self.attached)
    }

    /// Checks that the connection answers.
    ///
    /// # Errors
    /// Fails if there is no answer before the deadline; the connection must then be closed.
    pub async fn ping(&mut self, deadline: Instant) -> Result<()> {
        let run = self.client().query_typed(contract::PING_SQL, &[]);
        let answer = timed(deadline, async { Ok(run.await?) }).await;
        self.finish(answer).map(|_| ())
    }

    /// Runs a read for a workspace; the status in the outcome was asked for before it.
    ///
    /// # Errors
    /// See [`Error`]; each says whether the statement may have run.
    pub async fn read(
        &mut self,
        workspace: &str,
        statement: &Statement,
        deadline: Instant,
    ) -> Result<Outcome> {
        guard::check(&statement.sql)?;
        self.prepare(workspace, deadline).await?;
        let answer = timed(deadline, async {
            let identity = self.identify(workspace);
            let status = self.ask_status();
            let rows = self.run(statement);
            let after = self.ask_status();
            let (identity, status, rows, after) =
                future::join4(identity, status, rows, after).await;
            identity?;
            Ok((status?, rows, after))
        });
        let answer = answer.await;
        let (status, rows, after) = self.finish(answer)?;
        self.workspace = Some(workspace.to_owned());
        let rows = self.finish(rows)?;
        let after = self.finish(after)?;
        if after.fence != self.term {
            self.phase = Phase::Poisoned;
        }
        if after.point.term != status.point.term {
            // The statement may have seen either term.
            return Err(Error::TermChanged);
        }
        Ok(Outcome { status, after, rows })
    }

    /// Runs a write for a workspace; the status in the outcome was asked for after it.
    ///
    /// # Errors
    /// See [`Error`]; each says whether the statement may have run.
    pub async fn write(
        &mut self,
        workspace: &str,
        statement: &Statement,
        deadline: Instant,
    ) -> Result<Outcome> {
        guard::check(&statement.sql)?;
        self.prepare(workspace, deadline).await?;
        let answer = timed(deadline, async {
            let identity = self.identify(workspace);
            let rows = self.run(statement);
            let status = self.ask_status();
            let (identity, rows, status) = future::join3(identity, rows, status).await;
            match (identity, &rows) {
                (Err(_), Ok(_)) => Err(protocol_error("a write ran without a workspace")),
                (Err(error), Err(_)) => Err(error),
                (Ok(()), _) => Ok((rows, status)),
            }
        });
        let answer = answer.await;
        let (rows, status) = self.finish(answer)?;
        self.workspace = Some(workspace.to_owned());
        let rows = self.finish(rows)?;
        let status = self.confirm(status.ok())?;
        Ok(Outcome { status, after: status, rows })
    }

    /// Opens a transaction for a workspace on the primary.
    ///
    /// # Errors
    /// Fails if the instance is not primary or does not answer; nothing has run.
    pub async fn begin(&mut self, workspace: &str, deadline: Instant) -> Result<InstanceStatus> {
        self.prepare(workspace, deadline).await?;
        let answer = timed(deadline, async {
            let identity = self.identify(workspace);
            let begin = self.control(contract::BEGIN_SQL);
            let status = self.ask_status();
            let (identity, begin, status) = future::join3(identity, begin, status).await;
            identity?;
            begin?;
            status
        });
        let answer = answer.await;
        let status = self.finish(answer).map_err(|error| match error {
            // Nothing but the opening was sent, and the connection is closed with it.
            Error::Timeout => Error::NoConnection,
            other => Error::Connect(other.to_string()),
        })?;
        self.workspace = Some(workspace.to_owned());
        if !self.is_own_primary(&status) {
            self.phase = Phase::Poisoned;
            return Err(Error::NotPrimary);
        }
        self.phase = Phase::Open;
        Ok(status)
    }

    /// Runs a statement in the open transaction.
    ///
    /// # Errors
    /// After any error but a refused statement the transaction can only be rolled back.
    pub async fn execute(&mut self, statement: &Statement, deadline: Instant) -> Result<Rows> {
        guard::check(&statement.sql)?;
        if self.phase != Phase::Open {
            return Err(Error::Forbidden("no transaction is open"));
        }
        self.phase = Phase::Busy;
        let answer = timed(deadline, self.run(statement)).await;
        let rows = self.finish(answer);
        let clean = self.phase == Phase::Idle;
        self.phase = match (&rows, clean) {
            (Ok(_), true) => Phase::Open,
            (Err(_), true) => Phase::Failed,
            (_, false) => Phase::Poisoned,
        };
        rows
    }

    /// Commits the open transaction; the status was asked for after it.
    ///
    /// # Errors
    /// See [`Error`]; each says whether the transaction may have been committed.
    pub async fn commit(&mut self, deadline: Instant) -> Result<InstanceStatus> {
        if self.phase != Phase::Open {
            return Err(Error::Forbidden("no transaction is open, or it has failed"));
        }
        self.phase = Phase::Busy;
        let answer = timed(deadline, async {
            let commit = self.control(contract::COMMIT_SQL);
            let (commit, status) = future::join(commit, self.ask_status()).await;
            Ok((commit, status))
        });
        let answer = answer.await;
        let (commit, status) = self.finish(answer)?;
        self.finish(commit)?;
        self.confirm(status.ok())
    }

    /// Rolls the open transaction back.
    ///
    /// # Errors
    /// Fails if the instance does not answer; closing the connection has the same effect.
    pub async fn rollback(&mut self, deadline: Instant) -> Result<()> {
        if !matches!(self.phase, Phase::Open | Phase::Failed) {
            return Err(Error::Forbidden("no transaction is open"));
        }
        self.phase = Phase::Busy;
        let answer = timed(deadline, self.control(contract::ROLLBACK_SQL)).await;
        self.finish(answer).map(|_| ())
    }

    /// Clears another workspace's state; the answer is awaited, so that a failure stops the request.
    async fn prepare(&mut self, workspace: &str, deadline: Instant) -> Result<()> {
        if self.phase != Phase::Idle {
            return Err(Error::Forbidden("the connection is not idle"));
        }
        self.phase = Phase::Busy;
        if self.workspace.as_deref().is_none_or(|current| current == workspace) {
            return Ok(());
        }
        let answer = timed(deadline, self.control(contract::RESET_SQL)).await;
        if answer.is_err() {
            self.phase = Phase::Poisoned;
        }
        answer.map_err(|error| Error::Identity(error.to_string()))?;
        self.workspace = None;
        Ok(())
    }

    /// Takes in an answer: an unclean error poisons the connection.
    fn finish<T>(&mut self, answer: Result<T>) -> Result<T> {
        self.phase = match &answer {
            Ok(_) => Phase::Idle,
            Err(error) if error.leaves_connection_clean() => Phase::Idle,
            Err(_) => Phase::Poisoned,
        };
        self.used = Instant::now();
        answer
    }

    /// Checks that a write was made by the primary of the connection's own term.
    fn confirm(&mut self, status: Option<InstanceStatus>) -> Result<InstanceStatus> {
        let Some(status) = status else {
            self.phase = Phase::Poisoned;
            return Err(Error::PositionUnknown);
        };
        if !self.is_own_primary(&status) {
            self.phase = Phase::Poisoned;
            return Err(Error::TermChanged);
        }
        Ok(status)
    }

    fn is_own_primary(&self, status: &InstanceStatus) -> bool {
        status.role == Role::Primary && status.fence == self.term && status.point.term == self.term
    }

    pub(crate) fn client(&self) -> &Client {
        self.client.as_ref().expect("the client is only taken by drop")
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let (Some(client), Some(mut driver)) = (self.client.take(), self.driver.take()) else {
            return;
        };
        let attached = std::mem::take(&mut self.attached);
        let busy = self.phase == Phase::Busy || self.phase == Phase::Poisoned;
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        if busy {
            let cancel = client.cancel_token();
            // On a connection that went silent this fails too, and the limit below ends the wait.
            runtime.spawn(async move {
                let _ = tokio::time::timeout(CLOSE_LIMIT, cancel.cancel_query(NoTls)).await;
            });
        }
        runtime.spawn(async move {
            // The driver ends once all that was sent is answered.
            drop(client);
            if tokio::time::timeout(CLOSE_LIMIT, &mut driver).await.is_err() {
                driver.abort();
            }
            tokio::time::sleep(CLOSE_LINGER).await;
            drop(attached);
        });
    }
}

async fn timed<T>(deadline: Instant, run: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::time::timeout_at(deadline, run).await.unwrap_or(Err(Error::Timeout))
}
