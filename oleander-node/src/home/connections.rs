//! The connections of an instance at its home: lent to statements, kept, and counted.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::events::Event;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::home::pool::Pick;
use oleander_limits::home::pool::Pool;
use oleander_limits::home::pool::PoolOptions;
use oleander_ports::upstream::FailureKind;
use oleander_ports::upstream::LinkError;
use oleander_ports::upstream::Target;
use oleander_ports::upstream::Upstreams;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::timer::TimerService;
use oleander_session::work::HomeRequest;

use super::backend;
use super::backend::Backend;

/// The connections of an instance that are left to the keeper and to connections that are closing.
const RESERVED_CONNECTIONS: u32 = 2;

/// The time within which a connection must be open: a few round trips between regions.
const OPEN_LIMIT: Span = Span::from_millis(600);

/// `LinkContext` is what opening a connection to any instance takes.
#[derive(Clone)]
pub struct LinkContext {
    /// Opens connections.
    pub upstreams: Arc<dyn Upstreams>,
    /// The clock and timers.
    pub timers: TimerService,
    /// Records what happens to connections.
    pub journal: Journal,
}

/// `Connections` are the connections of one instance.
pub(super) struct Connections {
    parts: LinkContext,
    target: Target,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    pool: Pool<Backend>,
    /// `true` once connections are closed as they come back.
    closed: bool,
}

impl Connections {
    /// Makes an empty pool.
    pub(super) fn new(parts: LinkContext, target: Target, options: PoolOptions) -> Self {
        let mut state = State::default();
        state.pool.set_options(options);
        Self { parts, target, state: Mutex::new(state) }
    }

    /// Changes the bounds of the pool.
    pub(super) fn set_options(&self, options: PoolOptions) {
        self.lock().pool.set_options(options);
    }

    /// Closes the idle connections.
    pub(super) fn close_idle(&self) {
        let idle = self.lock().pool.drain();
        drop(idle);
    }

    /// Closes connections as they come back from now on.
    pub(super) fn close(&self) {
        self.lock().closed = true;
        self.close_idle();
    }

    /// Gets the number of connections, in use or idle.
    pub(super) fn open_count(&self) -> u32 {
        self.lock().pool.open()
    }

    /// Gets the clock and timers.
    pub(super) fn timers(&self) -> &TimerService {
        &self.parts.timers
    }

    /// Gets a connection of the workspace, an idle one if there is one.
    pub(super) async fn connect(self: &Arc<Self>, request: &HomeRequest) -> Result<Lease, Refusal> {
        let workspace = WorkspaceId::from_name(&request.workspace);
        let settings_hash = backend::hash_settings(&request.values);
        loop {
            let pick = self.lock().pool.pick(self.parts.timers.now(), workspace, settings_hash);
            match pick {
                Pick::Reuse(mut backend) => {
                    if backend.is_sound() {
                        return Ok(Lease::new(self, &request.workspace, backend));
                    }
                    self.lock().pool.record_closed();
                }
                Pick::Open { close } => {
                    drop(close);
                    return self.open(&request.workspace).await;
                }
                Pick::Full => {
                    let detail = "all connections of the instance are in use";
                    return Err(Refusal::not_run(RefusalCode::QueueFull, detail));
                }
            }
        }
    }

    async fn open(self: &Arc<Self>, workspace: &str) -> Result<Lease, Refusal> {
        let count = CountGuard { connections: self, armed: true };
        let opening = self.parts.upstreams.open(&self.target, workspace);
        let opened = match self.parts.timers.within(OPEN_LIMIT, opening).await {
            Some(opened) => opened,
            None => Err(LinkError::Connect("the instance did not answer in time")),
        };
        match opened {
            Ok(link) => {
                count.disarm();
                Ok(Lease::new(self, workspace, Backend::new(link)))
            }
            Err(error) => {
                // The pool takes what is open now as what the instance accepts.
                drop(count);
                if is_full(&error) {
                    self.lock().pool.record_refusal(self.parts.timers.now());
                }
                let fields = [
                    Field::text("instance", &self.target.instance),
                    Field::text("address", self.target.address),
                    Field::text("reason", &error),
                ];
                self.parts.journal.record(Event::ConnectionFailed, &fields);
                Err(backend::lost(&error))
            }
        }
    }

    /// Takes a connection back.
    pub(super) fn put_back(&self, workspace: &str, mut backend: Backend) {
        let sound = backend.is_sound();
        let settings_hash = backend.settings_hash();
        let mut state = self.lock();
        let surplus = if sound && !state.closed {
            let now = self.parts.timers.now();
            state.pool.put(now, WorkspaceId::from_name(workspace), settings_hash, backend)
        } else {
            state.pool.record_closed();
            Some(backend)
        };
        drop(state);
        drop(surplus);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Lease` is a connection in use by one statement; dropping it puts the connection back.
pub(super) struct Lease {
    connections: Arc<Connections>,
    workspace: String,
    pub(super) backend: LeasedBackend,
}

/// `LeasedBackend` is taken out of a `Lease` whose connection is kept for longer.
pub(super) struct LeasedBackend(Option<Backend>);

impl std::ops::Deref for LeasedBackend {
    type Target = Backend;

    fn deref(&self) -> &Backend {
        self.0.as_ref().expect("a lease holds its backend until it is dropped")
    }
}

impl std::ops::DerefMut for LeasedBackend {
    fn deref_mut(&mut self) -> &mut Backend {
        self.0.as_mut().expect("a lease holds its backend until it is dropped")
    }
}

impl Lease {
    fn new(connections: &Arc<Connections>, workspace: &str, backend: Backend) -> Self {
        let backend = LeasedBackend(Some(backend));
        Self { connections: connections.clone(), workspace: workspace.to_owned(), backend }
    }

    /// Takes the connection out, which is no longer put back by itself.
    pub(super) fn keep(mut self) -> Kept {
        let backend = self.backend.0.take().expect("a lease holds its backend until it is dropped");
        let workspace = std::mem::take(&mut self.workspace);
        Kept { connections: self.connections.clone(), workspace, backend }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(backend) = self.backend.0.take() {
            self.connections.put_back(&self.workspace, backend);
        }
    }
}

/// `Kept` is a connection that was taken out of a lease, with what takes it back.
pub(super) struct Kept {
    pub(super) connections: Arc<Connections>,
    pub(super) workspace: String,
    pub(super) backend: Backend,
}

/// `CountGuard` takes a connection out of the count that was not opened.
struct CountGuard<'a> {
    connections: &'a Connections,
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
            self.connections.lock().pool.record_closed();
        }
    }
}

pub(super) fn pool_options(connections: u32) -> PoolOptions {
    let max_open = connections.saturating_sub(RESERVED_CONNECTIONS).max(1);
    // Half of the connections are left to the next home, should this VM lose power.
    PoolOptions { max_open, keep_open: (max_open / 2).max(1) }
}

fn is_full(error: &LinkError) -> bool {
    matches!(error, LinkError::Refused(failure) if failure.kind == FailureKind::TooManyConnections)
}
