//! A connection to one instance. It is bound to the term at which it was opened and serves one
//! workspace and one transaction at a time.

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

/// The time that a dropped connection has to receive the answers to what it has sent, and that
/// the cancellation of a running statement may take.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time for an instance to notice that a connection was closed. Until then the connection
/// counts against the instance's limit.
pub(crate) const CLOSE_LINGER: Duration = Duration::from_millis(50);

/// `Outcome` is the answer to a statement with the statuses queried along with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The status before the statement for a read, after the statement for a write.
    pub status: InstanceStatus,
    /// The status after the statement. The statement saw no data beyond its log point.
    pub after: InstanceStatus,
    /// The rows, with the number of rows that the statement changed.
    pub rows: Rows,
}

/// `Phase` is the state of a connection between and during requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No request is in progress and no transaction is open.
    Idle,
    /// A request is in progress. A request whose future is dropped leaves the connection in this
    /// phase, so that it is not used again.
    Busy,
    /// A transaction is open.
    Open,
    /// A statement of the open transaction failed; only a rollback is possible.
    Failed,
    /// The state of the connection is unknown, or the instance's term has changed; the connection
    /// must be closed.
    Poisoned,
}

/// `Connection` is an open connection to an instance; dropping it closes it.
///
/// Attached items are released only when the instance has finished with the
/// connection. After a timeout this can be later than the drop of the connection.
#[derive(Debug)]
pub struct Connection {
    client: Option<Client>,
    driver: Option<JoinHandle<()>>,
    attached: Vec<Attachment>,
    term: Term,
    pub(crate) workspace: Option<String>,
    phase: Phase,
    pub(crate) limit: AnswerLimit,
    last_used: Instant,
}

/// `Attachment` is an item, such as a pool permit, that is held while the instance may still be
/// working for the connection.
pub(crate) struct Attachment(
    #[expect(dead_code, reason = "held only to be dropped")] Box<dyn Any + Send + Sync>,
);

impl std::fmt::Debug for Attachment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Attachment")
    }
}

impl Connection {
    /// Opens a connection and queries the instance's status, which gives the connection's term.
    ///
    /// # Errors
    /// Returns [`Error::TooManyConnections`] if the instance accepts no more connections, otherwise
    /// [`Error::Connect`]. Nothing has run.
    pub async fn open(config: &tokio_postgres::Config, limit: AnswerLimit) -> Result<Self> {
        let opened = config.connect(NoTls).await.map_err(|error| match error.into() {
            Error::TooManyConnections => Error::TooManyConnections,
            other => Error::Connect(other.to_string()),
        });
        let (client, connection) = opened?;
        let driver = tokio::spawn(async move {
            // The client reports the same error to its callers.
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
            last_used: Instant::now(),
        };
        let status = connection.query_status().await;
        connection.term = status.map_err(|error| Error::Connect(error.to_string()))?.fence;
        Ok(connection)
    }

    /// Returns the instance's fencing term when the connection was opened.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the workspace set on the connection; `None` on a new or reset connection.
    pub fn workspace(&self) -> Option<&str> {
        self.workspace.as_deref()
    }

    /// Returns the time since the last request on the connection ended.
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Returns `true` if the connection is open and idle, so that it can serve another request.
    pub fn is_clean(&self) -> bool {
        let closed = self.client.as_ref().is_none_or(Client::is_closed);
        self.phase == Phase::Idle && !closed
    }

    /// Holds `item` until the instance has finished with the connection or the connection is
    /// returned to its pool.
    pub fn attach(&mut self, item: impl Any + Send + Sync) {
        self.attached.push(Attachment(Box::new(item)));
    }

    /// Detaches all attached items; they are released when the result is dropped.
    pub(crate) fn release(&mut self) -> Vec<Attachment> {
        std::mem::take(&mut self.attached)
    }

    /// Sends an empty query to check that the connection still answers.
    ///
    /// # Errors
    /// Fails if no answer arrives before the deadline; the connection must then be closed.
    pub async fn ping(&mut self, deadline: Instant) -> Result<()> {
        let query = self.client().query_typed(contract::PING_SQL, &[]);
        let answer = with_deadline(deadline, async { Ok(query.await?) }).await;
        self.finish(answer).map(|_| ())
    }

    /// Runs a read for `workspace`. The outcome's `status` was queried before the statement.
    ///
    /// # Errors
    /// [`Error::verdict`] tells whether the statement may have run.
    pub async fn read(
        &mut self,
        workspace: &str,
        statement: &Statement,
        deadline: Instant,
    ) -> Result<Outcome> {
        guard::check(&statement.sql)?;
        self.start_request(workspace, deadline).await?;
        let answer = with_deadline(deadline, async {
            let workspace_set = self.set_workspace(workspace);
            let status = self.query_status();
            let rows = self.run_statement(statement);
            let after = self.query_status();
            let (workspace_set, status, rows, after) =
                future::join4(workspace_set, status, rows, after).await;
            workspace_set?;
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
            // The statement may have read data of either term.
            return Err(Error::TermChanged);
        }
        Ok(Outcome { status, after, rows })
    }

    /// Runs a write for `workspace`. The outcome's `status` was queried after the statement.
    ///
    /// # Errors
    /// [`Error::verdict`] tells whether the statement may have run.
    pub async fn write(
        &mut self,
        workspace: &str,
        statement: &Statement,
        deadline: Instant,
    ) -> Result<Outcome> {
        guard::check(&statement.sql)?;
        self.start_request(workspace, deadline).await?;
        let answer = with_deadline(deadline, async {
            let workspace_set = self.set_workspace(workspace);
            let rows = self.run_statement(statement);
            let status = self.query_status();
            let (workspace_set, rows, status) = future::join3(workspace_set, rows, status).await;
            match (workspace_set, &rows) {
                (Err(_), Ok(_)) => Err(protocol_error("a write ran without a workspace")),
                (Err(error), Err(_)) => Err(error),
                (Ok(()), _) => Ok((rows, status)),
            }
        });
        let answer = answer.await;
        let (rows, status) = self.finish(answer)?;
        self.workspace = Some(workspace.to_owned());
        let rows = self.finish(rows)?;
        let status = self.verify_primary(status.ok())?;
        Ok(Outcome { status, after: status, rows })
    }

    /// Opens a transaction for `workspace` on the primary.
    ///
    /// # Errors
    /// Returns [`Error::NotPrimary`] if the instance is not the primary of the connection's term,
    /// and another error if it does not answer. No statement of the transaction has run.
    pub async fn begin(&mut self, workspace: &str, deadline: Instant) -> Result<InstanceStatus> {
        self.start_request(workspace, deadline).await?;
        let answer = with_deadline(deadline, async {
            let workspace_set = self.set_workspace(workspace);
            let begin = self.run_control(contract::BEGIN_SQL);
            let status = self.query_status();
            let (workspace_set, begin, status) = future::join3(workspace_set, begin, status).await;
            workspace_set?;
            begin?;
            status
        });
        let answer = answer.await;
        let status = self.finish(answer).map_err(|error| match error {
            // Only the start of the transaction was sent, and the connection is closed, so nothing
            // can have run.
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
    /// A statement refused with [`Error::Forbidden`] leaves the transaction usable. After any other
    /// error the transaction can only be rolled back.
    pub async fn execute(&mut self, statement: &Statement, deadline: Instant) -> Result<Rows> {
        guard::check(&statement.sql)?;
        if self.phase != Phase::Open {
            return Err(Error::Forbidden("no transaction is open"));
        }
        self.phase = Phase::Busy;
        let answer = with_deadline(deadline, self.run_statement(statement)).await;
        let rows = self.finish(answer);
        let clean = self.phase == Phase::Idle;
        self.phase = match (&rows, clean) {
            (Ok(_), true) => Phase::Open,
            (Err(_), true) => Phase::Failed,
            (_, false) => Phase::Poisoned,
        };
        rows
    }

    /// Commits the open transaction and returns the status queried after the commit.
    ///
    /// # Errors
    /// [`Error::verdict`] tells whether the transaction may have been committed.
    pub async fn commit(&mut self, deadline: Instant) -> Result<InstanceStatus> {
        if self.phase != Phase::Open {
            return Err(Error::Forbidden("no transaction is open, or it has failed"));
        }
        self.phase = Phase::Busy;
        let answer = with_deadline(deadline, async {
            let commit = self.run_control(contract::COMMIT_SQL);
            let (commit, status) = future::join(commit, self.query_status()).await;
            Ok((commit, status))
        });
        let answer = answer.await;
        let (commit, status) = self.finish(answer)?;
        self.finish(commit)?;
        self.verify_primary(status.ok())
    }

    /// Rolls back the open transaction.
    ///
    /// # Errors
    /// Fails if the instance does not answer. Closing the connection then rolls the transaction
    /// back.
    pub async fn rollback(&mut self, deadline: Instant) -> Result<()> {
        if !matches!(self.phase, Phase::Open | Phase::Failed) {
            return Err(Error::Forbidden("no transaction is open"));
        }
        self.phase = Phase::Busy;
        let answer = with_deadline(deadline, self.run_control(contract::ROLLBACK_SQL)).await;
        self.finish(answer).map(|_| ())
    }

    /// Starts a request. A connection that another workspace used is reset first, and the answer is
    /// awaited so that no statement is sent if the reset fails.
    async fn start_request(&mut self, workspace: &str, deadline: Instant) -> Result<()> {
        if self.phase != Phase::Idle {
            return Err(Error::Forbidden("the connection is not idle"));
        }
        self.phase = Phase::Busy;
        if self.workspace.as_deref().is_none_or(|current| current == workspace) {
            return Ok(());
        }
        let answer = with_deadline(deadline, self.run_control(contract::RESET_SQL)).await;
        if answer.is_err() {
            self.phase = Phase::Poisoned;
        }
        answer.map_err(|error| Error::Identity(error.to_string()))?;
        self.workspace = None;
        Ok(())
    }

    /// Updates the phase from the result of a request and returns the result. An error that leaves
    /// the connection in an unknown state poisons it.
    fn finish<T>(&mut self, answer: Result<T>) -> Result<T> {
        self.phase = match &answer {
            Ok(_) => Phase::Idle,
            Err(error) if error.leaves_connection_clean() => Phase::Idle,
            Err(_) => Phase::Poisoned,
        };
        self.last_used = Instant::now();
        answer
    }

    /// Returns the status that was queried after a write if it shows that the instance is still the
    /// primary of the connection's term, and poisons the connection otherwise.
    fn verify_primary(&mut self, status: Option<InstanceStatus>) -> Result<InstanceStatus> {
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

    /// Returns `true` if the instance is the primary of the connection's term.
    fn is_own_primary(&self, status: &InstanceStatus) -> bool {
        status.role == Role::Primary && status.fence == self.term && status.point.term == self.term
    }

    pub(crate) fn client(&self) -> &Client {
        self.client.as_ref().expect("only `drop` takes the client")
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
            // Cancelling fails as well if the instance does not answer; `CLOSE_TIMEOUT` below then
            // ends the wait.
            runtime.spawn(async move {
                let _ = tokio::time::timeout(CLOSE_TIMEOUT, cancel.cancel_query(NoTls)).await;
            });
        }
        runtime.spawn(async move {
            // Without a client the driver ends as soon as everything sent is answered.
            drop(client);
            if tokio::time::timeout(CLOSE_TIMEOUT, &mut driver).await.is_err() {
                driver.abort();
            }
            tokio::time::sleep(CLOSE_LINGER).await;
            drop(attached);
        });
    }
}

async fn with_deadline<T>(
    deadline: Instant,
    request: impl Future<Output = Result<T>>,
) -> Result<T> {
    tokio::time::timeout_at(deadline, request).await.unwrap_or(Err(Error::Timeout))
}
