//! The HTTP service of the store.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures::Stream;
use futures::stream;
use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use xitca_web::App;
use xitca_web::body::ResponseBody;
use xitca_web::body::StreamDataBody;
use xitca_web::bytes::Bytes;
use xitca_web::handler::handler_service;
use xitca_web::handler::json::Json;
use xitca_web::handler::state::StateRef;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::route::post;

use crate::http;
use crate::http::RunningServer;
use crate::relay::FaultRelay;
use crate::relay::lock;
use crate::store::engine::Calls;
use crate::store::engine::Engine;
use crate::store::json::DeleteRequest;
use crate::store::json::DeleteResponse;
use crate::store::json::ErrorResponse;
use crate::store::json::LeaseRequest;
use crate::store::json::LeaseResponse;
use crate::store::json::PutRequest;
use crate::store::json::RangeRequest;
use crate::store::json::RangeResponse;
use crate::store::json::Streamed;
use crate::store::json::TxnRequest;
use crate::store::json::WatchCreate;
use crate::store::json::WatchRequest;
use crate::store::json::WatchResponse;

/// The interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// The time without a change after which a watch sends a progress message, if requested.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// The gRPC status code `NOT_FOUND`, for a lease that does not exist.
const NOT_FOUND: i32 = 5;

/// `Store` is a running stand-in of the platform's store.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    relay: FaultRelay,
    _server: RunningServer,
    expiry: JoinHandle<()>,
}

impl Store {
    /// Starts an empty store on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// Returns the error of the operating system if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let app = App::new()
            .with_state(Arc::clone(&shared))
            .at("/v3/kv/range", post(handler_service(range)))
            .at("/v3/kv/put", post(handler_service(put)))
            .at("/v3/kv/txn", post(handler_service(txn)))
            .at("/v3/kv/deleterange", post(handler_service(delete)))
            .at("/v3/lease/grant", post(handler_service(grant)))
            .at("/v3/lease/keepalive", post(handler_service(keep_alive)))
            .at("/v3/lease/revoke", post(handler_service(revoke)))
            .at("/v3/kv/lease/revoke", post(handler_service(revoke)))
            .at("/v3/watch", post(handler_service(open_watch)))
            .finish();
        let server = http::start(app)?;
        let relay = FaultRelay::start(server.address()).await?;
        let expiry = tokio::spawn(expire_leases(Arc::clone(&shared)));
        Ok(Self { shared, relay, _server: server, expiry })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the relay in front of the store, which injects faults.
    pub fn relay(&self) -> &FaultRelay {
        &self.relay
    }

    /// Sets the longest TTL that applies to a lease, in seconds, from its next grant or renewal on.
    pub fn limit_leases(&self, longest_ttl: i64) {
        lock(&self.shared.engine).longest_ttl = Some(longest_ttl);
    }

    /// Returns the request counters.
    pub fn calls(&self) -> Calls {
        lock(&self.shared.engine).calls
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}

#[derive(Debug)]
struct Shared {
    engine: Mutex<Engine>,
    /// The latest revision, which open watches wait on.
    revision: watch::Sender<i64>,
}

impl Shared {
    /// Runs `update` on the engine and wakes the watches if the revision has advanced.
    fn update<T>(&self, update: impl FnOnce(&mut Engine) -> T) -> T {
        let mut engine = lock(&self.engine);
        let result = update(&mut engine);
        let revision = engine.revision();
        drop(engine);
        self.revision.send_if_modified(|current| {
            let advanced = *current < revision;
            *current = (*current).max(revision);
            advanced
        });
        result
    }
}

impl Default for Shared {
    fn default() -> Self {
        let engine = Engine::new();
        let revision = watch::Sender::new(engine.revision());
        Self { engine: Mutex::new(engine), revision }
    }
}

type SharedState<'a> = StateRef<'a, Arc<Shared>>;

async fn range(store: SharedState<'_>, request: Json<RangeRequest>) -> Json<RangeResponse> {
    let mut engine = lock(&store.engine);
    engine.calls.reads += 1;
    Json(engine.range(&request))
}

async fn put(store: SharedState<'_>, request: Json<PutRequest>) -> WebResponse {
    json_response(store.update(|engine| {
        engine.calls.writes += 1;
        engine.put(&request)
    }))
}

async fn txn(store: SharedState<'_>, request: Json<TxnRequest>) -> WebResponse {
    json_response(store.update(|engine| {
        engine.calls.writes += 1;
        engine.txn(&request)
    }))
}

async fn delete(store: SharedState<'_>, request: Json<DeleteRequest>) -> Json<DeleteResponse> {
    Json(store.update(|engine| {
        engine.calls.writes += 1;
        engine.delete(&request)
    }))
}

async fn grant(store: SharedState<'_>, request: Json<LeaseRequest>) -> Json<LeaseResponse> {
    Json(store.update(|engine| {
        engine.calls.leases += 1;
        engine.grant(&request, Instant::now())
    }))
}

async fn keep_alive(
    store: SharedState<'_>,
    request: Json<LeaseRequest>,
) -> Json<Streamed<LeaseResponse>> {
    let result = store.update(|engine| {
        engine.calls.leases += 1;
        engine.keep_alive(&request, Instant::now())
    });
    Json(Streamed { result })
}

async fn revoke(store: SharedState<'_>, request: Json<LeaseRequest>) -> WebResponse {
    json_response(store.update(|engine| {
        engine.calls.leases += 1;
        engine.revoke(&request)
    }))
}

async fn open_watch(store: SharedState<'_>, request: Json<WatchRequest>) -> WebResponse {
    let shared = Arc::clone(&store);
    let body = StreamDataBody::new(watch_stream(shared, request.0.create_request));
    WebResponse::new(ResponseBody::boxed(body))
}

/// Returns a JSON response. Every error is an unknown lease, which has status 404.
fn json_response<T: Serialize, E>(result: Result<T, E>) -> WebResponse {
    let (status, body) = match result {
        Ok(response) => (StatusCode::OK, serde_json::to_vec(&response)),
        Err(_) => {
            let error = "etcdserver: requested lease not found".to_owned();
            let response = ErrorResponse { message: error.clone(), error, code: NOT_FOUND };
            (StatusCode::NOT_FOUND, serde_json::to_vec(&response))
        }
    };
    let mut response = WebResponse::new(ResponseBody::bytes(body.unwrap_or_default()));
    *response.status_mut() = status;
    response
}

/// `Watch` is an open watch, which `Calls::open_watches` counts until the value is dropped.
struct Watch {
    shared: Arc<Shared>,
    request: WatchCreate,
    revision: watch::Receiver<i64>,
    /// The first revision that has not been sent.
    next: i64,
    created_sent: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        lock(&self.shared.engine).calls.open_watches -= 1;
    }
}

fn watch_stream(
    shared: Arc<Shared>,
    request: WatchCreate,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let revision = shared.revision.subscribe();
    let mut engine = lock(&shared.engine);
    engine.calls.watches += 1;
    engine.calls.open_watches += 1;
    let next = match request.start_revision.0 {
        0 => engine.revision() + 1,
        start => start,
    };
    drop(engine);
    let watch = Watch { shared, request, revision, next, created_sent: false };
    stream::unfold(watch, |mut watch| async move {
        let message = watch.next_message().await?;
        let mut line = serde_json::to_vec(&Streamed { result: message }).unwrap_or_default();
        line.push(b'\n');
        Some((Ok(Bytes::from(line)), watch))
    })
}

impl Watch {
    /// Waits for the next message; `None` when the store has stopped.
    async fn next_message(&mut self) -> Option<WatchResponse> {
        if !self.created_sent {
            self.created_sent = true;
            let header = lock(&self.shared.engine).header();
            return Some(WatchResponse { header, created: true, ..WatchResponse::default() });
        }
        loop {
            self.revision.borrow_and_update();
            let message = self.collect_events();
            if !message.events.is_empty() {
                return Some(message);
            }
            let changed = tokio::time::timeout(PROGRESS_INTERVAL, self.revision.changed()).await;
            match changed {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) if self.request.progress_notify => return Some(self.collect_events()),
                Err(_) => {}
            }
        }
    }

    /// Returns a message with all changes that have not been sent.
    fn collect_events(&mut self) -> WatchResponse {
        let engine = lock(&self.shared.engine);
        let events = engine.events_since(self.next, &self.request.key, &self.request.range_end);
        self.next = self.next.max(engine.revision() + 1);
        WatchResponse { header: engine.header(), events, ..WatchResponse::default() }
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        shared.update(|engine| engine.expire_leases(Instant::now()));
    }
}
