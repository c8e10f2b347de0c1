//! The store's HTTP service and its switches.

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
use crate::http::Running;
use crate::relay::FaultRelay;
use crate::relay::lock;
use crate::store::engine::Calls;
use crate::store::engine::Engine;
use crate::store::json::DeleteRequest;
use crate::store::json::DeleteResponse;
use crate::store::json::Fault;
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

/// The time between looks for expired leases.
const EXPIRY_CHECK: Duration = Duration::from_millis(20);

/// The time without a change after which a watch tells its progress, if asked to.
const PROGRESS: Duration = Duration::from_millis(500);

/// The gRPC status code of a lease that does not exist.
const NOT_FOUND: i32 = 5;

/// `Store` is a running stand-in of the platform's store.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    relay: FaultRelay,
    _server: Running,
    expiry: JoinHandle<()>,
}

impl Store {
    /// Starts an empty store on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// Fails if no port can be bound.
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
        let expiry = tokio::spawn(expire(Arc::clone(&shared)));
        Ok(Self { shared, relay, _server: server, expiry })
    }

    /// Gets the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Gets the relay in front of the store, with its faults.
    pub fn relay(&self) -> &FaultRelay {
        &self.relay
    }

    /// Gets what the store has counted.
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
    revision: watch::Sender<i64>,
}

impl Shared {
    /// Runs a change and wakes the watches.
    fn change<T>(&self, change: impl FnOnce(&mut Engine) -> T) -> T {
        let mut engine = lock(&self.engine);
        let result = change(&mut engine);
        let revision = engine.revision();
        drop(engine);
        self.revision.send_if_modified(|seen| {
            let moved = *seen < revision;
            *seen = (*seen).max(revision);
            moved
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

type Access<'a> = StateRef<'a, Arc<Shared>>;

async fn range(store: Access<'_>, request: Json<RangeRequest>) -> Json<RangeResponse> {
    let mut engine = lock(&store.engine);
    engine.calls.reads += 1;
    Json(engine.range(&request))
}

async fn put(store: Access<'_>, request: Json<PutRequest>) -> WebResponse {
    reply(store.change(|engine| {
        engine.calls.writes += 1;
        engine.put(&request)
    }))
}

async fn txn(store: Access<'_>, request: Json<TxnRequest>) -> WebResponse {
    reply(store.change(|engine| {
        engine.calls.writes += 1;
        engine.txn(&request)
    }))
}

async fn delete(store: Access<'_>, request: Json<DeleteRequest>) -> Json<DeleteResponse> {
    Json(store.change(|engine| {
        engine.calls.writes += 1;
        engine.delete(&request)
    }))
}

async fn grant(store: Access<'_>, request: Json<LeaseRequest>) -> Json<LeaseResponse> {
    Json(store.change(|engine| {
        engine.calls.leases += 1;
        engine.grant(&request, Instant::now())
    }))
}

async fn keep_alive(
    store: Access<'_>,
    request: Json<LeaseRequest>,
) -> Json<Streamed<LeaseResponse>> {
    let result = store.change(|engine| {
        engine.calls.leases += 1;
        engine.keep_alive(&request, Instant::now())
    });
    Json(Streamed { result })
}

async fn revoke(store: Access<'_>, request: Json<LeaseRequest>) -> WebResponse {
    reply(store.change(|engine| {
        engine.calls.leases += 1;
        engine.revoke(&request)
    }))
}

async fn open_watch(store: Access<'_>, request: Json<WatchRequest>) -> WebResponse {
    let shared = Arc::clone(&store);
    let body = StreamDataBody::new(watch_stream(shared, request.0.create_request));
    WebResponse::new(ResponseBody::boxed(body))
}

/// Answers with JSON; an unknown lease is the only error.
fn reply<T: Serialize, E>(result: Result<T, E>) -> WebResponse {
    let (status, body) = match result {
        Ok(response) => (StatusCode::OK, serde_json::to_vec(&response)),
        Err(_) => {
            let error = "etcdserver: requested lease not found".to_owned();
            let fault = Fault { message: error.clone(), error, code: NOT_FOUND };
            (StatusCode::NOT_FOUND, serde_json::to_vec(&fault))
        }
    };
    let mut response = WebResponse::new(ResponseBody::bytes(body.unwrap_or_default()));
    *response.status_mut() = status;
    response
}

/// `Watch` is an open watch; it is counted until it is dropped.
struct Watch {
    shared: Arc<Shared>,
    request: WatchCreate,
    revision: watch::Receiver<i64>,
    next: i64,
    opened: bool,
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
    let watch = Watch { shared, request, revision, next, opened: false };
    stream::unfold(watch, |mut watch| async move {
        let message = watch.next_message().await?;
        let mut line = serde_json::to_vec(&Streamed { result: message }).unwrap_or_default();
        line.push(b'\n');
        Some((Ok(Bytes::from(line)), watch))
    })
}

impl Watch {
    async fn next_message(&mut self) -> Option<WatchResponse> {
        if !self.opened {
            self.opened = true;
            let header = lock(&self.shared.engine).header();
            return Some(WatchResponse { header, created: true, ..WatchResponse::default() });
        }
        loop {
            self.revision.borrow_and_update();
            let message = self.collect();
            if !message.events.is_empty() {
                return Some(message);
            }
            let changed = tokio::time::timeout(PROGRESS, self.revision.changed()).await;
            match changed {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) if self.request.progress_notify => return Some(self.collect()),
                Err(_) => {}
            }
        }
    }

    fn collect(&mut self) -> WatchResponse {
        let engine = lock(&self.shared.engine);
        let events = engine.events_since(self.next, &self.request.key, &self.request.range_end);
        self.next = self.next.max(engine.revision() + 1);
        WatchResponse { header: engine.header(), events, ..WatchResponse::default() }
    }
}

async fn expire(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_CHECK).await;
        shared.change(|engine| engine.expire(Instant::now()));
    }
}
