//! The connections of an instance at its home: lent to statements, kept, and counted.

use std::sync::Arc;
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
use oleander_runtime::logs::Field;
use oleander_session::work::HomeRequest;

use super::backend;
use super::backend::Backend;
use super::instance::InstanceHome;
use super::transactions::OpenTransaction;

/// The connections of an instance that are left to the keeper and to connections that are closing.
const RESERVED_CONNECTIONS: u32 = 2;

/// The time within which a connection must be open: a few round trips between regions.
const OPEN_LIMIT: Span = Span::from_millis(600);

/// `Connections` is the pool of an instance.
#[derive(Default)]
pub(super) struct Connections {
    pub(super) pool: Pool<Backend>,
    /// `true` once connections are closed as they come back.
    pub(super) closed: bool,
}

impl InstanceHome {
    /// Gets a connection of the workspace, an idle one if there is one.
    pub(super) async fn connect(self: &Arc<Self>, request: &HomeRequest) -> Result<Lease, Refusal> {
        let workspace = WorkspaceId::from_name(&request.workspace);
        let mark = backend::mark_of(&request.values);
        loop {
            let pick = self.lock().pool.pick(self.parts.timers.now(), workspace, mark);
            match pick {
                Pick::Reuse(mut backend) => {
                    if backend.is_sound() {
                        return Ok(Lease::new(self, &request.workspace, backend));
                    }
                    self.lock().pool.forget();
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
        let count = CountGuard { home: self, armed: true };
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
                    self.lock().pool.refuse(self.parts.timers.now());
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

    pub(super) fn put_back(&self, workspace: &str, mut backend: Backend) {
        let sound = backend.is_sound();
        let mark = backend.mark();
        let mut connections = self.lock();
        let surplus = if sound && !connections.closed {
            let now = self.parts.timers.now();
            connections.pool.put(now, WorkspaceId::from_name(workspace), mark, backend)
        } else {
            connections.pool.forget();
            Some(backend)
        };
        drop(connections);
        drop(surplus);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Connections> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Lease` is a connection in use by one statement; dropping it puts the connection back.
pub(super) struct Lease {
    home: Arc<InstanceHome>,
    workspace: String,
    pub(super) backend: LeasedBackend,
}

/// `LeasedBackend` is taken out of a `Lease` that becomes a transaction.
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
    fn new(home: &Arc<InstanceHome>, workspace: &str, backend: Backend) -> Self {
        let backend = LeasedBackend(Some(backend));
        Self { home: home.clone(), workspace: workspace.to_owned(), backend }
    }

    pub(super) fn into_transaction(mut self, request: &HomeRequest) -> OpenTransaction {
        let backend = self.backend.0.take().expect("a lease holds its backend until it is dropped");
        OpenTransaction::new(self.home.clone(), self.workspace.clone(), request.rest, backend)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(backend) = self.backend.0.take() {
            self.home.put_back(&self.workspace, backend);
        }
    }
}

/// `CountGuard` takes a connection out of the count that was not opened.
struct CountGuard<'a> {
    home: &'a InstanceHome,
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
            self.home.lock().pool.forget();
        }
    }
}

pub(super) fn pool_options(connections: u32) -> PoolOptions {
    let cap = connections.saturating_sub(RESERVED_CONNECTIONS).max(1);
    // Half of the connections are left to the next home, should this VM lose power.
    PoolOptions { cap, kept: (cap / 2).max(1) }
}

fn is_full(error: &LinkError) -> bool {
    matches!(error, LinkError::Refused(failure) if failure.kind == FailureKind::TooManyConnections)
}
