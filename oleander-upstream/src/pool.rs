//! A connection pool for one instance.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::future;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::connection::CLOSE_LINGER;
use crate::connection::Connection;
use crate::errors::Error;
use crate::errors::Result;
use crate::values::AnswerLimit;

/// `PoolOptions` are the limits and times of a connection pool.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// The maximum number of connections, including those being opened or closed.
    pub connections: usize,
    /// The database user.
    pub user: String,
    /// The database name.
    pub database: String,
    /// The time limit for opening a connection.
    pub connect_limit: Duration,
    /// The idle time after which a connection is pinged before it is handed out.
    pub ping_after_idle: Duration,
    /// The interval between pings of idle connections, also the idle time before TCP keepalive
    /// probes.
    pub ping_interval: Duration,
    /// The time limit for the answer to a ping.
    pub ping_limit: Duration,
    /// The maximum size of the answer to a statement.
    pub answer: AnswerLimit,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            connections: 4,
            user: "oleander".to_owned(),
            database: "oleander".to_owned(),
            connect_limit: Duration::from_secs(1),
            ping_after_idle: Duration::from_secs(1),
            ping_interval: Duration::from_secs(10),
            ping_limit: Duration::from_millis(300),
            answer: AnswerLimit::default(),
        }
    }
}

/// `PoolCounts` are the connection counts of a pool, for status pages and metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolCounts {
    /// The number of idle connections.
    pub idle: usize,
    /// The number of connections in use, being opened or being closed.
    pub taken: usize,
    /// The number of connections that were closed because they did not answer in time, since the
    /// pool was created.
    pub silent: u64,
}

/// `Pool` is a connection pool for one instance; its clones share the connections.
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Inner>,
    _ping_task: Arc<PingTask>,
}

impl Pool {
    /// Creates an empty pool for the instance at `address`, a host and port, and starts its
    /// periodic pings.
    ///
    /// # Errors
    /// Fails if the address has no valid port.
    pub fn new(address: &str, options: PoolOptions) -> Result<Self> {
        let config = config(address, &options)?;
        let permits = Arc::new(Semaphore::new(options.connections));
        let inner = Arc::new(Inner { config, options, permits, state: Mutex::default() });
        let task = tokio::spawn(ping_periodically(Arc::clone(&inner)));
        Ok(Self { inner, _ping_task: Arc::new(PingTask(task)) })
    }

    /// Returns a connection, preferably one that `workspace` used before.
    ///
    /// # Errors
    /// Returns [`Error::NoConnection`] if no connection is free or opened before the deadline, and
    /// [`Error::Connect`] or [`Error::TooManyConnections`] if a new one cannot be opened or the
    /// pool is closed.
    pub async fn acquire(&self, workspace: &str, deadline: Instant) -> Result<Connection> {
        let permit = Arc::clone(&self.inner.permits).acquire_owned();
        let permit = tokio::time::timeout_at(deadline, permit).await;
        let permit = permit.map_err(|_| Error::NoConnection)?;
        let permit = permit.map_err(|_| Error::Connect("the pool is closed".to_owned()))?;
        if let Some(connection) = self.inner.take_idle(workspace, deadline).await {
            return Ok(with_permit(connection, permit));
        }
        self.open(permit, deadline).await
    }

    /// Returns a connection to the pool; one that is not clean is closed instead.
    pub fn put_back(&self, connection: Connection) {
        self.inner.put_back(connection);
    }

    /// Closes a connection that did not answer in time and pings all idle connections at once,
    /// since they may have failed for the same reason.
    pub fn discard_silent(&self, connection: Connection) {
        drop(connection);
        self.inner.lock().silent += 1;
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move { inner.probe_idle(Duration::ZERO).await });
    }

    /// Returns the current connection counts.
    pub fn counts(&self) -> PoolCounts {
        let state = self.inner.lock();
        let taken = self.inner.options.connections - self.inner.permits.available_permits();
        PoolCounts { idle: state.idle.len(), taken, silent: state.silent }
    }

    /// Closes the idle connections and hands out no more. Connections in use can finish their
    /// requests and are closed when they are returned.
    pub fn close(&self) {
        self.inner.permits.close();
        self.inner.lock().idle.clear();
    }

    /// Opens a connection in a separate task, so that a connection that is ready only after the
    /// deadline goes to the pool instead of being lost.
    async fn open(&self, permit: OwnedSemaphorePermit, deadline: Instant) -> Result<Connection> {
        let (sender, receiver) = oneshot::channel();
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move {
            let opened = match inner.open().await {
                Ok(connection) => Ok(with_permit(connection, permit)),
                Err(error) => {
                    // The instance may not have noticed the end of the attempt yet, so the permit
                    // is held a little longer.
                    tokio::time::sleep(CLOSE_LINGER).await;
                    drop(permit);
                    Err(error)
                }
            };
            if let Err(Ok(connection)) = sender.send(opened) {
                inner.put_back(connection);
            }
        });
        let opened = tokio::time::timeout_at(deadline, receiver).await;
        let opened = opened.map_err(|_| Error::NoConnection)?;
        opened.map_err(|_| Error::Connect("the opening task ended".to_owned()))?
    }
}

/// `Inner` is the part of a pool that its clones and tasks share.
#[derive(Debug)]
struct Inner {
    config: tokio_postgres::Config,
    options: PoolOptions,
    permits: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Connection>,
    silent: u64,
}

/// `PingTask` aborts the ping task when the last clone of the pool is dropped.
#[derive(Debug)]
struct PingTask(JoinHandle<()>);

impl Drop for PingTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection. If the instance refuses it because of its connection limit, the attempt
    /// is repeated until `connect_limit` has passed, since the instance may not have noticed the
    /// end of an earlier connection yet.
    async fn open(&self) -> Result<Connection> {
        let deadline = Instant::now() + self.options.connect_limit;
        loop {
            match self.open_once().await {
                Err(Error::TooManyConnections) if Instant::now() < deadline => {
                    tokio::time::sleep(CLOSE_LINGER).await;
                }
                opened => return opened,
            }
        }
    }

    /// Makes one attempt to open a connection.
    async fn open_once(&self) -> Result<Connection> {
        let open = Connection::open(&self.config, self.options.answer);
        let opened = tokio::time::timeout(self.options.connect_limit, open).await;
        opened.unwrap_or_else(|_| Err(Error::Connect("no answer in time".to_owned())))
    }

    /// Takes an idle connection. One that was idle for at least `ping_after_idle` must answer a
    /// ping first.
    async fn take_idle(&self, workspace: &str, deadline: Instant) -> Option<Connection> {
        loop {
            let mut connection = self.lock().take(workspace)?;
            if connection.idle_time() < self.options.ping_after_idle {
                return Some(connection);
            }
            let limit = deadline.min(Instant::now() + self.options.ping_limit);
            if connection.ping(limit).await.is_ok() {
                return Some(connection);
            }
            self.lock().silent += 1;
        }
    }

    fn put_back(&self, mut connection: Connection) {
        if !connection.is_clean() || self.permits.is_closed() {
            return;
        }
        // The connection is added to the idle list before its permit is released; otherwise the
        // next caller would not find it and would open another.
        let mut state = self.lock();
        let permits = connection.release();
        state.idle.push(connection);
        drop(state);
        drop(permits);
    }

    /// Pings all connections that were idle for at least `min_idle` concurrently and closes those
    /// that do not answer.
    async fn probe_idle(&self, min_idle: Duration) {
        let probes = self.take_for_probe(min_idle).into_iter().map(|mut connection| async move {
            let limit = Instant::now() + self.options.ping_limit;
            let answer = connection.ping(limit).await;
            answer.ok().map(|()| connection)
        });
        for connection in future::join_all(probes).await {
            match connection {
                Some(connection) => self.put_back(connection),
                None => self.lock().silent += 1,
            }
        }
    }

    /// Takes the connections that were idle for at least `min_idle`, each with a permit, as far as
    /// permits are available.
    fn take_for_probe(&self, min_idle: Duration) -> Vec<Connection> {
        let mut state = self.lock();
        let mut taken = Vec::new();
        let mut index = 0;
        while index < state.idle.len() {
            if state.idle[index].idle_time() < min_idle {
                index += 1;
                continue;
            }
            // Without a free permit another caller is about to take the connection.
            let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else { break };
            taken.push(with_permit(state.idle.swap_remove(index), permit));
        }
        taken
    }
}

impl State {
    /// Takes an idle connection in order of preference: last used by the workspace, without a
    /// workspace, any other.
    fn take(&mut self, workspace: &str) -> Option<Connection> {
        self.idle.retain(Connection::is_clean);
        let rank = |connection: &Connection| match connection.workspace() {
            Some(current) if current == workspace => 0,
            None => 1,
            Some(_) => 2,
        };
        // Among equals, the most recently used connection is the most likely to answer.
        let best = (0..self.idle.len()).rev().min_by_key(|index| rank(&self.idle[*index]))?;
        Some(self.idle.remove(best))
    }
}

/// Pings idle connections at every `ping_interval` until the task is aborted.
async fn ping_periodically(inner: Arc<Inner>) {
    loop {
        tokio::time::sleep(inner.options.ping_interval).await;
        inner.probe_idle(inner.options.ping_interval).await;
    }
}

/// Attaches the permit, so that it is released when the connection is returned or fully closed.
fn with_permit(mut connection: Connection, permit: OwnedSemaphorePermit) -> Connection {
    connection.attach(permit);
    connection
}

/// Returns the driver's configuration for connections to `address`, a host and port.
///
/// # Errors
/// Returns [`Error::Connect`] if the address has no valid port.
pub(crate) fn config(address: &str, options: &PoolOptions) -> Result<tokio_postgres::Config> {
    let malformed = || Error::Connect("the address has no valid port".to_owned());
    let (host, port) = address.rsplit_once(':').ok_or_else(malformed)?;
    let mut config = tokio_postgres::Config::new();
    config
        .host(host.trim_matches(['[', ']']))
        .port(port.parse().map_err(|_| malformed())?)
        .user(&options.user)
        .dbname(&options.database)
        .application_name("oleander-proxy")
        .connect_timeout(options.connect_limit)
        .keepalives_idle(options.ping_interval);
    Ok(config)
}
