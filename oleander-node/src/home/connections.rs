//! The connection pool of an instance at its home.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::budget::ByteBudget;
use oleander_core::events::Event;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::home::pool::Pick;
use oleander_limits::home::pool::Pool;
use oleander_limits::home::pool::PoolOptions;
use oleander_limits::home::warmup::ProcessProof;
use oleander_ports::upstream::FailureKind;
use oleander_ports::upstream::LinkError;
use oleander_ports::upstream::Target;
use oleander_ports::upstream::Upstreams;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::timer::TimerService;
use oleander_session::work::HomeRequest;

use super::upstream;
use super::upstream::IdleConnection;
use super::upstream::UpstreamConnection;

/// The number of an instance's connections reserved for the keeper and for connections that are
/// being closed.
const RESERVED_CONNECTIONS: u32 = 2;

/// The time limit for opening a connection: a few round trips between regions.
const OPEN_LIMIT: Span = Span::from_millis(600);

/// `LinkContext` holds what is needed to open a connection to any instance.
#[derive(Clone)]
pub struct LinkContext {
    /// Opens links to instances.
    pub upstreams: Arc<dyn Upstreams>,
    /// The clock and timers.
    pub timers: TimerService,
    /// Logs connections that could not be opened.
    pub journal: Journal,
    /// What the rows of answers are held from.
    pub answers: Arc<ByteBudget>,
}

/// `ConnectionPool` opens, reuses and closes the connections to one instance.
pub(super) struct ConnectionPool {
    context: LinkContext,
    target: Target,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    pool: Pool<IdleConnection>,
    /// `true` once returned connections are closed instead of kept.
    closed: bool,
    proof: ProcessProof,
}

impl State {
    /// Drops idle connections that the instance has closed. Records, unless an idle one is still
    /// open, that the instance may have been restarted.
    fn record_lost(&mut self, now: Time) {
        self.pool.retain_idle(IdleConnection::is_open);
        if self.pool.idle() == 0 {
            self.proof.record_lost(now);
        }
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(super) fn new(context: LinkContext, target: Target, options: PoolOptions) -> Self {
        let mut state = State::default();
        state.pool.set_options(options);
        Self { context, target, state: Mutex::new(state) }
    }

    /// Returns the name of the instance.
    pub(super) fn instance(&self) -> &str {
        &self.target.instance
    }

    /// Replaces the bounds of the pool.
    pub(super) fn set_options(&self, options: PoolOptions) {
        self.lock().pool.set_options(options);
    }

    /// Closes the idle connections.
    pub(super) fn close_idle(&self) {
        let idle = self.lock().pool.drain();
        drop(idle);
    }

    /// Closes the idle connections now and the others when they are returned.
    pub(super) fn close(&self) {
        self.lock().closed = true;
        self.close_idle();
    }

    /// Returns the number of connections, in use or idle.
    pub(super) fn open_count(&self) -> u32 {
        self.lock().pool.open()
    }

    /// Returns the time from which a view of the directory shows the process of the instance that
    /// the connections lead to.
    pub(super) fn view_needed(&self) -> Time {
        self.lock().proof.view_needed()
    }

    /// Returns the clock and timers.
    pub(super) fn timers(&self) -> &TimerService {
        &self.context.timers
    }

    /// Returns a connection for the workspace of the request: an idle one if there is any, else a
    /// new one.
    ///
    /// # Errors
    /// Fails with `QueueFull` if all connections are in use, and otherwise if none can be opened.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        request: &HomeRequest,
    ) -> Result<PooledConnection, Refusal> {
        let workspace = WorkspaceId::from_name(&request.workspace);
        let settings_hash = upstream::hash_settings(&request.values);
        loop {
            let pick = self.lock().pool.pick(self.context.timers.now(), workspace, settings_hash);
            match pick {
                Pick::Reuse(mut idle) => {
                    if idle.is_open() {
                        return Ok(PooledConnection::new(self, request, idle.into_connection()));
                    }
                    let mut state = self.lock();
                    state.pool.record_closed();
                    state.record_lost(self.context.timers.now());
                }
                Pick::Open { close } => {
                    drop(close);
                    return self.open(request).await;
                }
                Pick::Full => {
                    let detail = "all connections of the instance are in use";
                    return Err(Refusal::not_run(RefusalCode::QueueFull, detail));
                }
            }
        }
    }

    async fn open(self: &Arc<Self>, request: &HomeRequest) -> Result<PooledConnection, Refusal> {
        let count = CountGuard { pool: self, armed: true };
        let workspace = upstream::word(&request.workspace)?;
        self.prepare_opening();
        let opening = self.context.upstreams.open(&self.target, workspace);
        let opened = match self.context.timers.within(OPEN_LIMIT, opening).await {
            Some(opened) => opened,
            None => Err(LinkError::Connect("the instance did not answer in time")),
        };
        match opened {
            Ok(link) => {
                count.disarm();
                self.lock().proof.record_opened(self.context.timers.now());
                let connection = UpstreamConnection::new(link, self.context.answers.clone());
                Ok(PooledConnection::new(self, request, connection))
            }
            Err(error) => {
                // Uncounts the connection before `record_refusal`, which takes the number of open
                // connections as the limit that the instance accepts.
                drop(count);
                let now = self.context.timers.now();
                if is_full(&error) {
                    self.lock().pool.record_refusal(now);
                } else if !matches!(error, LinkError::Refused(_)) {
                    self.lock().record_lost(now);
                }
                let fields = [
                    Field::text("instance", &self.target.instance),
                    Field::text("address", self.target.address),
                    Field::text("reason", &error),
                ];
                self.context.journal.record(Event::ConnectionFailed, &fields);
                Err(upstream::link_refusal(&error))
            }
        }
    }

    /// Notes what the other connections show of the process of the instance, before one is opened.
    fn prepare_opening(&self) {
        let now = self.context.timers.now();
        let mut state = self.lock();
        let idle = state.pool.idle();
        state.pool.retain_idle(IdleConnection::is_open);
        if state.pool.idle() < idle {
            state.record_lost(now);
        }
        // The connection that is being opened counts as open.
        if state.pool.open() <= 1 {
            state.proof.record_alone();
        }
    }

    /// Returns a connection, last used at `level`, to the pool, or closes it if it may not serve
    /// another caller.
    pub(super) fn put_back(&self, workspace: &str, level: Level, connection: UpstreamConnection) {
        let now = self.context.timers.now();
        let mut state = self.lock();
        match connection.into_idle() {
            Ok(idle) if !state.closed => {
                let settings_hash = idle.settings_hash();
                let workspace = WorkspaceId::from_name(workspace);
                let surplus = state.pool.put_at_level(now, level, workspace, settings_hash, idle);
                drop(state);
                drop(surplus);
            }
            Ok(idle) => {
                state.pool.record_closed();
                drop(state);
                drop(idle);
            }
            Err(mut connection) => {
                state.pool.record_closed();
                if !connection.is_open() {
                    state.record_lost(now);
                }
                drop(state);
                drop(connection);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `PooledConnection` is a connection in use by one statement; dropping it returns it to the pool.
pub(super) struct PooledConnection {
    pool: Arc<ConnectionPool>,
    workspace: String,
    level: Level,
    pub(super) connection: CheckedOut,
}

/// `CheckedOut` holds the connection of a `PooledConnection` until it is detached or returned.
pub(super) struct CheckedOut(Option<UpstreamConnection>);

impl std::ops::Deref for CheckedOut {
    type Target = UpstreamConnection;

    fn deref(&self) -> &UpstreamConnection {
        self.0.as_ref().expect("a pooled connection is held until it is dropped")
    }
}

impl std::ops::DerefMut for CheckedOut {
    fn deref_mut(&mut self) -> &mut UpstreamConnection {
        self.0.as_mut().expect("a pooled connection is held until it is dropped")
    }
}

impl PooledConnection {
    fn new(
        pool: &Arc<ConnectionPool>,
        request: &HomeRequest,
        connection: UpstreamConnection,
    ) -> Self {
        let connection = CheckedOut(Some(connection));
        let workspace = request.workspace.clone();
        Self { pool: pool.clone(), workspace, level: request.level, connection }
    }

    /// Takes the connection out, so that it is no longer returned to the pool on drop.
    pub(super) fn detach(mut self) -> DetachedConnection {
        let connection =
            self.connection.0.take().expect("a pooled connection is held until it is dropped");
        let workspace = std::mem::take(&mut self.workspace);
        DetachedConnection { pool: self.pool.clone(), workspace, level: self.level, connection }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.0.take() {
            self.pool.put_back(&self.workspace, self.level, connection);
        }
    }
}

/// `DetachedConnection` is a connection taken out of a `PooledConnection`, with its pool.
pub(super) struct DetachedConnection {
    pub(super) pool: Arc<ConnectionPool>,
    pub(super) workspace: String,
    pub(super) level: Level,
    pub(super) connection: UpstreamConnection,
}

/// `CountGuard` uncounts a connection that could not be opened, unless disarmed.
struct CountGuard<'a> {
    pool: &'a ConnectionPool,
    armed: bool,
}

impl CountGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.pool.lock().pool.record_closed();
        }
    }
}

/// Returns the bounds of the pool of an instance that accepts `connections` in all.
pub(super) fn pool_options(connections: u32) -> PoolOptions {
    let max_open = connections.saturating_sub(RESERVED_CONNECTIONS).max(1);
    // If this VM loses power, the instance goes on counting its connections. Idle connections
    // beyond half of the maximum are therefore closed after a while, so that the next home can open
    // connections of its own.
    PoolOptions { max_open, keep_open: (max_open / 2).max(1) }
}

fn is_full(error: &LinkError) -> bool {
    matches!(error, LinkError::Refused(failure) if failure.kind == FailureKind::TooManyConnections)
}
