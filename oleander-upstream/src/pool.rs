//! A pool of connections to one instance, never larger than its limit.

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

/// `PoolOptions` says how a pool behaves.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// The greatest number of connections, those being opened and closed included.
    pub connections: usize,
    /// The name of the user at the instance.
    pub user: String,
    /// The name of the database at the instance.
    pub database: String,
    /// The time that opening a connection may take.
    pub connect_limit: Duration,
    /// The time without use after which a connection is pinged before it is used.
    pub trust: Duration,
    /// The time between pings of idle connections.
    pub ping_interval: Duration,
    /// The time that a ping may take.
    pub ping_limit: Duration,
    /// The bounds of an answer.
    pub answer: AnswerLimit,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            connections: 4,
            user: "oleander".to_owned(),
            database: "oleander".to_owned(),
            connect_limit: Duration::from_secs(1),
            trust: Duration::from_secs(1),
            ping_interval: Duration::from_secs(10),
            ping_limit: Duration::from_millis(300),
            answer: AnswerLimit::default(),
        }
    }
}

/// `PoolCounts` is the state of a pool for status pages and metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolCounts {
    /// The idle connections.
    pub idle: usize,
    /// The connections in use, being opened or being closed.
    pub taken: usize,
    /// The connections found silent so far.
    pub silent: u64,
}

/// `Pool` keeps connections to one instance; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Inner>,
    _upkeep: Arc<Upkeep>,
}

impl Pool {
    /// Makes a pool for the instance at `address`, a host and port.
    ///
    /// # Errors
    /// Fails if the address has no valid port.
    pub fn new(address: &str, options: PoolOptions) -> Result<Self> {
        let config = config(address, &options)?;
        let room = Arc::new(Semaphore::new(options.connections));
        let inner = Arc::new(Inner { config, options, room, state: Mutex::default() });
        let upkeep = tokio::spawn(keep_up(Arc::clone(&inner)));
        Ok(Self { inner, _upkeep: Arc::new(Upkeep(upkeep)) })
    }

    /// Gets a connection, preferably one that `workspace` used before.
    ///
    /// # Errors
    /// Fails with `NoConnection` if none is free before the deadline, and if one cannot be opened.
    pub async fn acquire(&self, workspace: &str, deadline: Instant) -> Result<Connection> {
        let room = Arc::clone(&self.inner.room).acquire_owned();
        let permit = tokio::time::timeout_at(deadline, room).await;
        let permit = permit.map_err(|_| Error::NoConnection)?;
        let permit = permit.map_err(|_| Error::Connect("the pool is closed".to_owned()))?;
        if let Some(connection) = self.inner.take_idle(workspace, deadline).await {
            return Ok(with_permit(connection, permit));
        }
        self.open(permit, deadline).await
    }

    /// Takes a connection back; one that is not clean is closed.
    pub fn put_back(&self, connection: Connection) {
        self.inner.put_back(connection);
    }

    /// Closes a connection that did not answer in time and probes its siblings at once.
    pub fn discard_silent(&self, connection: Connection) {
        drop(connection);
        self.inner.lock().silent += 1;
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move { inner.probe_idle(Duration::ZERO).await });
    }

    /// Gets the state of the pool.
    pub fn counts(&self) -> PoolCounts {
        let state = self.inner.lock();
        let taken = self.inner.options.connections - self.inner.room.available_permits();
        PoolCounts { idle: state.idle.len(), taken, silent: state.silent }
    }

    /// Closes idle connections and refuses further use; connections in use finish.
    pub fn close(&self) {
        self.inner.room.close();
        self.inner.lock().idle.clear();
    }

    /// Opens a connection in a task of its own, so that one opened too late is kept for others.
    async fn open(&self, permit: OwnedSemaphorePermit, deadline: Instant) -> Result<Connection> {
        let (sender, receiver) = oneshot::channel();
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move {
            let opened = match inner.open().await {
                Ok(connection) => Ok(with_permit(connection, permit)),
                Err(error) => {
                    // The instance may not have seen the end of the attempt yet.
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

#[derive(Debug)]
struct Inner {
    config: tokio_postgres::Config,
    options: PoolOptions,
    room: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Connection>,
    silent: u64,
}

#[derive(Debug)]
struct Upkeep(JoinHandle<()>);

impl Drop for Upkeep {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection; an instance without room is asked again, as it may
    /// not have seen the end of an earlier connection yet.
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

    async fn open_once(&self) -> Result<Connection> {
        let open = Connection::open(&self.config, self.options.answer);
        let opened = tokio::time::timeout(self.options.connect_limit, open).await;
        opened.unwrap_or_else(|_| Err(Error::Connect("no answer in time".to_owned())))
    }

    /// Takes an idle connection that answers.
    async fn take_idle(&self, workspace: &str, deadline: Instant) -> Option<Connection> {
        loop {
            let mut connection = self.lock().take(workspace)?;
            if connection.idle_time() < self.options.trust {
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
        if !connection.is_clean() || self.room.is_closed() {
            return;
        }
        // The connection must be listed before its permit lets another in.
        let mut state = self.lock();
        let permits = connection.release();
        state.idle.push(connection);
        drop(state);
        drop(permits);
    }

    /// Pings the idle connections that were unused for `age`, all at once, and drops the silent ones.
    async fn probe_idle(&self, age: Duration) {
        let probes = self.take_for_probe(age).into_iter().map(|mut connection| async move {
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

    fn take_for_probe(&self, age: Duration) -> Vec<Connection> {
        let mut state = self.lock();
        let mut taken = Vec::new();
        let mut at = 0;
        while at < state.idle.len() {
            if state.idle[at].idle_time() < age {
                at += 1;
                continue;
            }
            // Without a permit another user is just about to take the connection.
            let Ok(permit) = Arc::clone(&self.room).try_acquire_owned() else { break };
            taken.push(with_permit(state.idle.swap_remove(at), permit));
        }
        taken
    }
}

impl State {
    /// Takes the best idle connection: the workspace's own, one without a workspace, any.
    fn take(&mut self, workspace: &str) -> Option<Connection> {
        self.idle.retain(Connection::is_clean);
        let rank = |connection: &Connection| match connection.workspace() {
            Some(current) if current == workspace => 0,
            None => 1,
            Some(_) => 2,
        };
        // Among equals the one used last is the surest to answer.
        let best = (0..self.idle.len()).rev().min_by_key(|at| rank(&self.idle[*at]))?;
        Some(self.idle.remove(best))
    }
}

async fn keep_up(inner: Arc<Inner>) {
    loop {
        tokio::time::sleep(inner.options.ping_interval).await;
        inner.probe_idle(inner.options.ping_interval).await;
    }
}

fn with_permit(mut connection: Connection, permit: OwnedSemaphorePermit) -> Connection {
    connection.attach(permit);
    connection
}

/// Makes the settings for connections to `address`, a host and port.
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
