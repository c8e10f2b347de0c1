//! The HTTP server for callers.

use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use oleander_config::model::KeyHash;
use oleander_config::model::Matcher;
use oleander_core::ids::TransactionId;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::BodyExt as _;
use xitca_web::body::ResponseBody;
use xitca_web::error::Error;
use xitca_web::http::HeaderMap;
use xitca_web::http::HeaderValue;
use xitca_web::http::Method;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header;
use xitca_web::service::fn_service;

use crate::callers::body::AnswerBody;
use crate::callers::body::ControlBody;
use crate::callers::body::MAX_BODY_BYTES;
use crate::callers::body::RefusalBody;
use crate::callers::body::StatementBody;
use crate::callers::status::http_status;
use crate::entry::call::Call;
use crate::entry::call::CallAction;
use crate::entry::call::CallAnswer;
use crate::proxy::Proxy;

/// The header that carries session tokens in requests and responses.
pub const SESSION_HEADER: &str = "oleander-session";

/// The path for statements outside transactions.
pub const STATEMENTS_PATH: &str = "/v1/statements";

/// The path for starting a transaction, and the prefix of the paths of open transactions.
pub const TRANSACTIONS_PATH: &str = "/v1/transactions";

/// The maximum number of session tokens in one request.
const MAX_TOKENS: usize = 16;

/// `CallerServer` is the running HTTP server for callers.
pub struct CallerServer {
    /// The bound address.
    pub address: SocketAddr,
    /// Stops the server; with `true` it lets open requests finish.
    stop: Box<dyn Fn(bool) + Send + Sync>,
    /// Completes when the server's threads have ended.
    ended: oneshot::Receiver<()>,
}

impl CallerServer {
    /// Starts the server for `proxy` on `address` with the given number of threads.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the server's thread cannot be started.
    pub fn start(proxy: Arc<Proxy>, address: SocketAddr, threads: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Handle::current();
        let state = Arc::new(ServerState { proxy, runtime });
        let mut server = App::new()
            .with_state(state)
            .at("/{*}", fn_service(serve))
            .serve()
            .worker_threads(threads)
            .disable_signal()
            .listen(listener)?
            .run();
        let handle = server.handle()?;
        let (end, ended) = oneshot::channel();
        // The server owns async runtimes, which must not be dropped in a task of another runtime.
        std::thread::Builder::new().name("callers".to_owned()).spawn(move || {
            let _ = server.wait();
            let _ = end.send(());
        })?;
        Ok(Self { address, stop: Box::new(move |graceful| handle.stop(graceful)), ended })
    }

    /// Stops accepting connections, lets open requests finish and waits for the worker threads.
    pub async fn stop(self) {
        (self.stop)(true);
        let _ = self.ended.await;
    }

    /// Closes all connections immediately.
    pub fn kill(self) {
        (self.stop)(false);
    }
}

/// `ServerState` is the state that all requests share.
struct ServerState {
    proxy: Arc<Proxy>,
    /// The main runtime, on which the calls run; the server's threads have runtimes of their own.
    runtime: tokio::runtime::Handle,
}

type Context<'a> = WebContext<'a, Arc<ServerState>>;

async fn serve(mut context: Context<'_>) -> Result<WebResponse, Error> {
    let method = context.req().method().clone();
    let path = context.req().uri().path().to_owned();
    let state = context.state().clone();
    let proxy = &state.proxy;
    if method == Method::GET {
        match path.as_str() {
            "/healthz" => return Ok(text_response(StatusCode::OK, "ok")),
            "/readyz" if proxy.is_ready() => return Ok(text_response(StatusCode::OK, "ready")),
            "/readyz" => return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")),
            "/status" => return Ok(json_response(StatusCode::OK, &proxy.status())),
            _ => {}
        }
    }
    let outcome = match read_call(&mut context, &method, &path).await {
        Ok(call) => state.run(call).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match outcome {
        Ok(answer) => answer_response(answer),
        Err(refusal) => refusal_response(refusal),
    };
    if proxy.is_draining() {
        // Tells the caller to open its next connection to another VM.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

impl ServerState {
    /// Runs the call on the main runtime. The call is cancelled if the caller disconnects.
    async fn run(&self, call: Call) -> Result<CallAnswer, Refusal> {
        let proxy = self.proxy.clone();
        let task = self.runtime.spawn(async move { proxy.call(call).await });
        AbortOnDrop(task).await
    }
}

/// `AbortOnDrop` waits for the task of a call and aborts the task when it is dropped.
struct AbortOnDrop(tokio::task::JoinHandle<Result<CallAnswer, Refusal>>);

impl Future for AbortOnDrop {
    type Output = Result<CallAnswer, Refusal>;

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Self::Output> {
        let internal = || Refusal::may_have_run(RefusalCode::Internal, "the request's task failed");
        std::pin::Pin::new(&mut self.0)
            .poll(context)
            .map(|outcome| outcome.unwrap_or_else(|_| Err(internal())))
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn read_call(
    context: &mut Context<'_>,
    method: &Method,
    path: &str,
) -> Result<Call, Refusal> {
    let key = bearer_key(context.req().headers())?;
    let tokens = header_tokens(context.req().headers())?;
    let body = read_body(context).await?;
    let mut call = parse_call(method, path, &body)?;
    call.key = key;
    call.tokens.extend(tokens);
    if MAX_TOKENS < call.tokens.len() {
        return Err(Refusal::not_run(RefusalCode::BadToken, "too many session tokens"));
    }
    Ok(call)
}

fn parse_call(method: &Method, path: &str, body: &[u8]) -> Result<Call, Refusal> {
    if path == STATEMENTS_PATH || path == TRANSACTIONS_PATH || path.starts_with("/v1/transactions/")
    {
        if method != Method::POST {
            return Err(Refusal::not_run(RefusalCode::UnknownRoute, "the path takes POST only"));
        }
        return match path.strip_prefix(TRANSACTIONS_PATH) {
            None => parse_statement(body),
            Some("") => parse_control(body, |_| CallAction::Begin),
            Some(rest) => parse_in_transaction(rest, body),
        };
    }
    let matcher = Matcher::Path { method: method.as_str().to_owned(), path: path.to_owned() };
    let mut parsed: StatementBody = parse_json(body)?;
    if parsed.class.is_some() {
        return Err(bad_request("the path names the route, so the body may not name a class"));
    }
    let statement = parsed.statement()?;
    Ok(new_call(
        matcher,
        CallAction::Single(statement),
        parsed.session.into_vec(),
        parsed.deadline_ms,
    ))
}

fn parse_statement(body: &[u8]) -> Result<Call, Refusal> {
    parse_class_statement(body, CallAction::Single)
}

fn parse_class_statement(
    body: &[u8],
    action: impl Fn(oleander_core::statement::Statement) -> CallAction,
) -> Result<Call, Refusal> {
    let mut parsed: StatementBody = parse_json(body)?;
    let class = parsed.class.take().ok_or_else(|| bad_request("the body names no class"))?;
    let statement = parsed.statement()?;
    Ok(new_call(
        Matcher::Class(class),
        action(statement),
        parsed.session.into_vec(),
        parsed.deadline_ms,
    ))
}

fn parse_control(body: &[u8], action: impl Fn(()) -> CallAction) -> Result<Call, Refusal> {
    let parsed: ControlBody = parse_json(body)?;
    Ok(new_call(
        Matcher::Class(parsed.class),
        action(()),
        parsed.session.into_vec(),
        parsed.deadline_ms,
    ))
}

fn parse_in_transaction(rest: &str, body: &[u8]) -> Result<Call, Refusal> {
    let unknown = || Refusal::not_run(RefusalCode::UnknownRoute, "no such path below transactions");
    let (id, verb) = rest.trim_start_matches('/').split_once('/').ok_or_else(unknown)?;
    let id: TransactionId =
        id.parse().map_err(|_| bad_request("malformed transaction identifier"))?;
    match verb {
        "statements" => {
            parse_class_statement(body, |statement| CallAction::InTransaction(id, statement))
        }
        "commit" => parse_control(body, |()| CallAction::Commit(id)),
        "rollback" => parse_control(body, |()| CallAction::Rollback(id)),
        _ => Err(unknown()),
    }
}

fn new_call(
    matcher: Matcher,
    action: CallAction,
    tokens: Vec<String>,
    deadline: Option<u64>,
) -> Call {
    Call { key: None, matcher, action, tokens, deadline: deadline.map(Span::from_millis) }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    // The parser's message states the position in the body. It quotes no values, at most the name
    // of an unknown field.
    serde_json::from_slice(body).map_err(|error| bad_request(&format!("malformed body: {error}")))
}

async fn read_body(context: &mut Context<'_>) -> Result<Vec<u8>, Refusal> {
    let mut body = std::pin::pin!(std::mem::take(context.body_get_mut()));
    let mut bytes = Vec::new();
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| bad_request("the body broke off"))?;
        if MAX_BODY_BYTES < bytes.len() + chunk.len() {
            return Err(Refusal::not_run(
                RefusalCode::BodyTooLarge,
                format!("the body is over {MAX_BODY_BYTES} bytes"),
            ));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

fn bearer_key(headers: &HeaderMap) -> Result<Option<KeyHash>, Refusal> {
    let Some(value) = headers.get(header::AUTHORIZATION) else { return Ok(None) };
    let malformed = || {
        Refusal::not_run(RefusalCode::KeyRejected, "the Authorization header is not a bearer key")
    };
    let text = value.to_str().map_err(|_| malformed())?;
    let (scheme, key) = text.split_once(' ').ok_or_else(malformed)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(malformed());
    }
    Ok(Some(oleander_config::keys::hash_key(key.trim())))
}

fn header_tokens(headers: &HeaderMap) -> Result<Vec<String>, Refusal> {
    let malformed = |_| Refusal::not_run(RefusalCode::BadToken, "the session header is not text");
    let mut tokens = Vec::new();
    for value in headers.get_all(SESSION_HEADER) {
        let text = value.to_str().map_err(malformed)?;
        tokens.extend(
            text.split(',').map(str::trim).filter(|token| !token.is_empty()).map(str::to_owned),
        );
    }
    Ok(tokens)
}

fn answer_response(answer: CallAnswer) -> WebResponse {
    let session = HeaderValue::from_str(&answer.session);
    let mut response = json_response(StatusCode::OK, &AnswerBody::new(answer));
    if let Ok(session) = session {
        response.headers_mut().insert(SESSION_HEADER, session);
    }
    response
}

fn refusal_response(refusal: Refusal) -> WebResponse {
    let status = http_status(refusal.code);
    let retry_after = refusal.retry_after;
    let mut response = json_response(status, &RefusalBody::new(refusal));
    if let Some(retry_after) = retry_after {
        // The header allows only whole seconds; the body states milliseconds.
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn json_response(status: StatusCode, body: &impl Serialize) -> WebResponse {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = WebResponse::new(ResponseBody::from(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text_response(status: StatusCode, text: &'static str) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(text));
    *response.status_mut() = status;
    response
}

fn bad_request(detail: &str) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, detail)
}
