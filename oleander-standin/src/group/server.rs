//! The network servers of a group, and fault injection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use pgwire::tokio::process_socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::group::instance::Counters;
use crate::group::instance::LinkState;
use crate::group::log::Change;
use crate::group::replication::GroupState;
use crate::group::session::Handlers;
use crate::group::session::Session;
use crate::group::shared::GroupOptions;
use crate::group::shared::Shared;
use crate::relay::FaultRelay;
use crate::relay::Passage;
use crate::relay::lock;

/// `Group` is a running database group; its instances stop when it is dropped.
#[derive(Debug)]
pub struct Group {
    shared: Arc<Shared>,
    relays: Vec<FaultRelay>,
    tasks: Vec<JoinHandle<()>>,
}

impl Group {
    /// Starts the instances, each on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// Returns the error of the operating system if a port cannot be bound.
    pub async fn start(options: GroupOptions) -> io::Result<Self> {
        let state =
            GroupState::new(options.instances, options.lag, options.service, Instant::now());
        let restarts = (0..options.instances).map(|_| watch::Sender::new(0)).collect();
        let shared = Arc::new(Shared { state: Mutex::new(state), options, restarts });
        let mut group = Self { shared, relays: Vec::new(), tasks: Vec::new() };
        for ordinal in 0..usize::from(options.instances) {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            group.relays.push(FaultRelay::start(listener.local_addr()?).await?);
            let shared = Arc::clone(&group.shared);
            group.tasks.push(tokio::spawn(serve(listener, shared, ordinal)));
        }
        Ok(group)
    }

    /// Returns the addresses of the instances by ordinal, from 0.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.relays.iter().map(FaultRelay::address).collect()
    }

    /// Returns the relay in front of an instance, which injects faults into its connections only.
    pub fn relay(&self, ordinal: usize) -> &FaultRelay {
        &self.relays[ordinal]
    }

    /// Returns the current status of an instance.
    pub fn status(&self, ordinal: usize) -> InstanceStatus {
        lock(&self.shared.state).status(ordinal, Instant::now())
    }

    /// Returns the ordinal of the primary with the highest term; `None` if there is no primary.
    pub fn primary(&self) -> Option<usize> {
        let state = lock(&self.shared.state);
        let primaries = state.instances.iter().enumerate();
        let primaries = primaries.filter(|(_, instance)| instance.role == Role::Primary);
        primaries.max_by_key(|(_, instance)| instance.term).map(|(ordinal, _)| ordinal)
    }

    /// Returns the connection and statement counters of an instance.
    pub fn counters(&self, ordinal: usize) -> Counters {
        lock(&self.shared.state).instances[ordinal].counters
    }

    /// Returns the changes in the log of an instance, oldest first.
    pub fn changes(&self, ordinal: usize) -> Vec<Change> {
        let mut state = lock(&self.shared.state);
        state.catch_up(Instant::now());
        let entries = state.instances[ordinal].log.entries();
        entries.iter().filter_map(|entry| entry.change.clone()).collect()
    }

    /// Sets the replication lag of an instance.
    pub fn set_lag(&self, ordinal: usize, lag: Duration) {
        lock(&self.shared.state).set_lag(ordinal, lag, Instant::now());
    }

    /// Sets the execution time of data statements on an instance.
    pub fn set_service(&self, ordinal: usize, service: Duration) {
        lock(&self.shared.state).instances[ordinal].service = service;
    }

    /// Cuts an instance off from callers and from the other instances; connections hang.
    pub fn partition(&self, ordinal: usize) {
        self.isolate(ordinal, Passage::Silent);
    }

    /// Stops an instance: its connections are closed, new ones are refused, and replication ends.
    pub fn kill(&self, ordinal: usize) {
        self.isolate(ordinal, Passage::Refuse);
    }

    /// Ends a partition or restarts a stopped instance, with the role and log that it had.
    pub fn heal(&self, ordinal: usize) {
        lock(&self.shared.state).set_link(ordinal, LinkState::Up, Instant::now());
        self.relays[ordinal].set_passage(Passage::Open);
    }

    fn isolate(&self, ordinal: usize, passage: Passage) {
        lock(&self.shared.state).set_link(ordinal, LinkState::Down, Instant::now());
        self.relays[ordinal].set_passage(passage);
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>, ordinal: usize) {
    loop {
        let Ok((socket, _)) = listener.accept().await else { continue };
        let _ = socket.set_nodelay(true);
        let session = Arc::new(Session::new(Arc::clone(&shared), ordinal));
        tokio::spawn(run_session(socket, Arc::clone(&shared), ordinal, session));
    }
}

/// Serves a connection until it ends, or until a statement of another connection makes the instance
/// discard history.
async fn run_session(
    socket: TcpStream,
    shared: Arc<Shared>,
    ordinal: usize,
    session: Arc<Session>,
) {
    let mut restarts = shared.restarts[ordinal].subscribe();
    let connection = process_socket(socket, None, Handlers(Arc::clone(&session)));
    tokio::pin!(connection);
    loop {
        // Biased, so that a restart closes the connection before it runs another statement.
        tokio::select! {
            biased;
            _ = restarts.changed() => {
                if !session.take_exemption() {
                    return;
                }
            }
            _ = &mut connection => return,
        }
    }
}
