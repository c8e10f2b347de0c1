//! The adapter to one instance of a database group: status, fence, promote and follow.

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

/// `Admin` steers one instance over a connection of its own.
#[derive(Debug)]
pub struct Admin {
    config: tokio_postgres::Config,
    link: Mutex<Option<Link>>,
}

impl Admin {
    /// Makes the adapter for the instance at `address`, a host and port; connects on first use.
    ///
    /// # Errors
    /// Fails if the address has no valid port.
    pub fn new(address: &str, options: &PoolOptions) -> Result<Self> {
        Ok(Self { config: pool::config(address, options)?, link: Mutex::new(None) })
    }

    /// Asks for the status. A connection that stays silent for half of `limit`
    /// is replaced by a new one, which is asked in the other half.
    ///
    /// # Errors
    /// Fails if the instance does not answer within `limit`.
    pub async fn status(&self, limit: Duration) -> Result<InstanceStatus> {
        let deadline = Instant::now() + limit;
        let mut link = self.link.lock().await;
        if let Some(open) = link.as_ref() {
            let answer = ask(open, Question::Status, Instant::now() + limit / 2).await;
            if answer.is_ok() {
                return answer;
            }
            *link = None;
        }
        self.ask_anew(&mut link, Question::Status, deadline).await
    }

    /// Fences the instance at `term`.
    ///
    /// # Errors
    /// Fails with `WrongTerm` if it has promised to that term or a higher one.
    pub async fn fence(&self, term: Term, limit: Duration) -> Result<InstanceStatus> {
        self.steer(contract::FENCE_SQL, term, limit).await
    }

    /// Makes the instance primary at `term`, to which it must be fenced.
    ///
    /// # Errors
    /// Fails with `WrongTerm` if it is not fenced at that term.
    pub async fn promote(&self, term: Term, limit: Duration) -> Result<InstanceStatus> {
        self.steer(contract::PROMOTE_SQL, term, limit).await
    }

    /// Makes the instance follow the primary of `term`.
    ///
    /// # Errors
    /// Fails with `WrongTerm` if it has promised to a higher term or finds no such primary.
    pub async fn follow(&self, term: Term, limit: Duration) -> Result<InstanceStatus> {
        self.steer(contract::FOLLOW_SQL, term, limit).await
    }

    /// Steers over a connection that has just shown that it answers.
    async fn steer(
        &self,
        sql: &'static str,
        term: Term,
        limit: Duration,
    ) -> Result<InstanceStatus> {
        let deadline = Instant::now() + limit;
        self.status(limit / 2).await.map_err(|error| Error::Connect(error.to_string()))?;
        let mut link = self.link.lock().await;
        self.ask_anew(&mut link, Question::Step(sql, term), deadline).await
    }

    async fn ask_anew(
        &self,
        link: &mut Option<Link>,
        question: Question,
        deadline: Instant,
    ) -> Result<InstanceStatus> {
        let open = match link.take() {
            Some(open) => open,
            None => Link::open(&self.config, deadline).await?,
        };
        let answer = ask(&open, question, deadline).await;
        let clean = answer.as_ref().err().is_none_or(Error::leaves_connection_clean);
        if clean {
            *link = Some(open);
        }
        answer
    }
}

/// `Question` is what an instance is asked.
#[derive(Clone, Copy, Debug)]
enum Question {
    /// The status.
    Status,
    /// A step at a term, by its statement.
    Step(&'static str, Term),
}

/// `Link` is an open connection; dropping it closes it at once.
struct Link {
    client: Client,
    _driver: Abort,
    status: Statement,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

impl Link {
    async fn open(config: &tokio_postgres::Config, deadline: Instant) -> Result<Self> {
        let opened = tokio::time::timeout_at(deadline, Self::connect(config)).await;
        let opened = opened.map_err(|_| Error::Connect("no answer in time".to_owned()))?;
        opened.map_err(|error| Error::Connect(error.to_string()))
    }

    /// Connects and prepares the status question, so that each ping is short.
    async fn connect(
        config: &tokio_postgres::Config,
    ) -> std::result::Result<Self, tokio_postgres::Error> {
        let (client, connection) = config.connect(NoTls).await?;
        let driver = tokio::spawn(async move {
            // The client sees the error too.
            let _ = connection.await;
        });
        let guard = Abort(driver);
        let status = client.prepare(contract::STATUS_SQL).await?;
        Ok(Self { client, _driver: guard, status })
    }
}

/// `Abort` ends a task when it is dropped.
struct Abort(JoinHandle<()>);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn ask(link: &Link, question: Question, deadline: Instant) -> Result<InstanceStatus> {
    let run = async {
        let stream = match question {
            Question::Status => {
                let parameters: [i64; 0] = [];
                link.client.query_raw(&link.status, parameters).await?
            }
            Question::Step(sql, term) => {
                let term = i64::try_from(term.0).map_err(|_| Error::WrongTerm)?;
                link.client.query_typed_raw(sql, [(term, Type::INT8)]).await?
            }
        };
        values::status(&values::collect(stream, AnswerLimit::default()).await?)
    };
    tokio::time::timeout_at(deadline, run).await.unwrap_or(Err(Error::Timeout))
}
