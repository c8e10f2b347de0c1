//! The administration of one instance of a database group: status, fence, promote and follow.

use std::time::Duration;

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Term;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::Statement;
use tokio_postgres::types::Type;

use crate::contract;
use crate::errors::Error;
use crate::errors::Result;
use crate::pool;
use crate::pool::PoolOptions;
use crate::values;
use crate::values::AnswerLimit;

/// `Admin` queries and changes the role of one instance over a connection of its own.
#[derive(Debug)]
pub struct Admin {
    config: tokio_postgres::Config,
    connection: Mutex<Option<AdminConnection>>,
}

impl Admin {
    /// Creates the administration client for the instance at `address`, a host and port. It
    /// connects on first use.
    ///
    /// # Errors
    /// Fails if the address has no valid port.
    pub fn new(address: &str, options: &PoolOptions) -> Result<Self> {
        Ok(Self { config: pool::config(address, options)?, connection: Mutex::new(None) })
    }

    /// Queries the status. A connection that does not answer within half of `limit` is replaced by
    /// a new one, which is queried in the remaining time.
    ///
    /// # Errors
    /// Fails if the instance does not return its status within `limit`.
    pub async fn status(&self, limit: Duration) -> Result<InstanceStatus> {
        let deadline = Instant::now() + limit;
        let mut slot = self.connection.lock().await;
        if let Some(connection) = slot.as_ref() {
            let answer = send(connection, AdminQuery::Status, Instant::now() + limit / 2).await;
            if answer.is_ok() {
                return answer;
            }
            *slot = None;
        }
        self.query(&mut slot, AdminQuery::Status, deadline).await
    }

    /// Fences the instance at `term`, so that it serves no lower term from then on.
    ///
    /// # Errors
    /// Returns [`Error::WrongTerm`] if the instance is already fenced to that term or a higher one.
    pub async fn fence(&self, term: Term, limit: Duration) -> Result<InstanceStatus> {
        self.change_role(contract::FENCE_SQL, term, limit).await
    }

    /// Makes the instance the primary of `term`, to which it must be fenced.
    ///
    /// # Errors
    /// Returns [`Error::WrongTerm`] if the instance is not fenced at that term.
    pub async fn promote(&self, term: Term, limit: Duration) -> Result<InstanceStatus> {
        self.change_role(contract::PROMOTE_SQL, term, limit).await
    }

    /// Makes the instance a replica of the primary of `term`.
    ///
    /// # Errors
    /// Returns [`Error::WrongTerm`] if the instance is fenced to a higher term or finds no primary
    /// of that term.
    pub async fn follow(&self, term: Term, limit: Duration) -> Result<InstanceStatus> {
        self.change_role(contract::FOLLOW_SQL, term, limit).await
    }

    /// Changes the role over a connection that has just answered a status query, so that a broken
    /// connection is found before the change is sent and the request counts as not run.
    async fn change_role(
        &self,
        sql: &'static str,
        term: Term,
        limit: Duration,
    ) -> Result<InstanceStatus> {
        let deadline = Instant::now() + limit;
        self.status(limit / 2).await.map_err(|error| Error::Connect(error.to_string()))?;
        let mut slot = self.connection.lock().await;
        self.query(&mut slot, AdminQuery::RoleChange(sql, term), deadline).await
    }

    /// Sends the query over the connection in `slot`, or over a new one if there is none. A
    /// connection in an unknown state is not kept.
    async fn query(
        &self,
        slot: &mut Option<AdminConnection>,
        query: AdminQuery,
        deadline: Instant,
    ) -> Result<InstanceStatus> {
        let connection = match slot.take() {
            Some(connection) => connection,
            None => AdminConnection::open(&self.config, deadline).await?,
        };
        let answer = send(&connection, query, deadline).await;
        let clean = answer.as_ref().err().is_none_or(Error::leaves_connection_clean);
        if clean {
            *slot = Some(connection);
        }
        answer
    }
}

/// `AdminQuery` is a query of an instance's status or a change of its role.
#[derive(Clone, Copy, Debug)]
enum AdminQuery {
    /// Queries the status.
    Status,
    /// Fences, promotes or follows at a term by the given SQL statement.
    RoleChange(&'static str, Term),
}

/// `AdminConnection` is an open connection; dropping it closes it without waiting for answers.
struct AdminConnection {
    client: Client,
    _driver: AbortOnDrop,
    status: Statement,
}

impl std::fmt::Debug for AdminConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminConnection").finish_non_exhaustive()
    }
}

impl AdminConnection {
    async fn open(config: &tokio_postgres::Config, deadline: Instant) -> Result<Self> {
        let opened = tokio::time::timeout_at(deadline, Self::connect(config)).await;
        let opened = opened.map_err(|_| Error::Connect("no answer in time".to_owned()))?;
        opened.map_err(|error| Error::Connect(error.to_string()))
    }

    /// Connects and prepares the status statement, so that each status query is a short message.
    async fn connect(
        config: &tokio_postgres::Config,
    ) -> std::result::Result<Self, tokio_postgres::Error> {
        let (client, connection) = config.connect(NoTls).await?;
        let driver = tokio::spawn(async move {
            // The client reports the same error to its callers.
            let _ = connection.await;
        });
        let guard = AbortOnDrop(driver);
        let status = client.prepare(contract::STATUS_SQL).await?;
        Ok(Self { client, _driver: guard, status })
    }
}

/// `AbortOnDrop` aborts its task when it is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn send(
    connection: &AdminConnection,
    query: AdminQuery,
    deadline: Instant,
) -> Result<InstanceStatus> {
    let run = async {
        let stream = match query {
            AdminQuery::Status => {
                let parameters: [i64; 0] = [];
                connection.client.query_raw(&connection.status, parameters).await?
            }
            AdminQuery::RoleChange(sql, term) => {
                let term = i64::try_from(term.0).map_err(|_| Error::WrongTerm)?;
                connection.client.query_typed_raw(sql, [(term, Type::INT8)]).await?
            }
        };
        values::decode_status(&values::collect_rows(stream, AnswerLimit::default()).await?)
    };
    tokio::time::timeout_at(deadline, run).await.unwrap_or(Err(Error::Timeout))
}
