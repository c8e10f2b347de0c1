//! A client connection to a peer, which regular pings check for silent failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use h2::Ping;
use h2::PingPong;
use h2::RecvStream;
use h2::client::SendRequest;
use oleander_core::budget::ByteBudget;
use oleander_core::budget::Holding;
use oleander_core::time::Span;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time;

use crate::codec;
use crate::codec::FrameBuffer;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::connect_error;
use crate::errors::decode_error;
use crate::errors::lost_error;
use crate::errors::no_room_error;
use crate::errors::refused_error;
use crate::messages::Reply;
use crate::messages::Request;
use crate::traffic::Side;
use crate::traffic::Traffic;

/// The request header with the time until the caller's deadline, in microseconds.
pub const DEADLINE_HEADER: &str = "oleander-remaining-micros";

/// The HTTP/2 flow-control window of a stream, in bytes.
pub const STREAM_WINDOW: u32 = 1024 * 1024;

/// The HTTP/2 flow-control window of a connection, in bytes.
pub const CONNECTION_WINDOW: u32 = 8 * 1024 * 1024;

/// The length of a reply up to which it takes nothing of the budget of large replies, in bytes.
const FREE_REPLY_BYTES: usize = 64 << 10;

/// `ConnectionOptions` are the timeouts and ping intervals of a peer connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionOptions {
    /// The time limit for opening a connection, including the HTTP/2 handshake.
    pub connect_timeout: Span,
    /// The interval between pings while streams are open.
    pub ping_interval: Span,
    /// The interval between pings while no stream is open.
    pub idle_interval: Span,
    /// The time without a stream after which the connection is closed.
    pub idle_limit: Span,
    /// The time limit for the answer to a ping; without an answer the connection is closed.
    pub ping_timeout: Span,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Span::from_millis(1_000),
            ping_interval: Span::from_millis(500),
            idle_interval: Span::from_secs(10),
            idle_limit: Span::from_secs(600),
            ping_timeout: Span::from_millis(1_000),
        }
    }
}

/// `Connection` is an open connection to a peer; its clones share it.
#[derive(Clone, Debug)]
pub struct Connection {
    sender: SendRequest<Bytes>,
    state: Arc<ConnectionState>,
}

#[derive(Debug, Default)]
struct ConnectionState {
    closed: AtomicBool,
    /// The number of open streams.
    streams: AtomicU64,
    /// Wakes the task that pings the peer when a stream is opened.
    opened: Notify,
}

impl Connection {
    /// Opens a connection to `address` and starts its pings. Fails with [`Error::Connect`].
    pub async fn open(address: SocketAddr, options: ConnectionOptions) -> Result<Self> {
        time::timeout(options.connect_timeout.duration(), Self::handshake(address, options))
            .await
            .unwrap_or(Err(connect_error("the peer did not answer in time")))
    }

    /// Returns `true` if the connection accepts no more streams.
    pub fn is_closed(&self) -> bool {
        self.state.closed.load(Ordering::Acquire)
    }

    /// Opens a stream and sends `request`. `remaining` is the time until the caller's deadline,
    /// which is sent to the peer; `None` for a stream without a deadline. The request and its replies
    /// are counted in `traffic`.
    pub async fn open_stream(
        &self,
        request: &Request,
        remaining: Option<Span>,
        traffic: &Traffic,
    ) -> Result<ReplyStream> {
        let frame = codec::encode(request)?;
        let head = request_head(remaining)?;
        let mut sender = self.sender.clone().ready().await.map_err(|_| self.mark_closed())?;
        let (response, mut body) =
            sender.send_request(head, false).map_err(|_| self.mark_closed())?;
        let guard = StreamGuard::new(self.state.clone());
        traffic.count_request(request, Side::Client, frame.len());
        body.send_data(frame, true).map_err(|_| lost_error("the stream broke in the request"))?;
        let response = response.await.map_err(|error| stream_error(&error))?;
        Ok(ReplyStream {
            body: response.into_body(),
            buffer: FrameBuffer::default(),
            kind: request.into(),
            traffic: traffic.clone(),
            answers: None,
            _guard: guard,
        })
    }

    /// Marks the connection as closed, so that the next call opens another, and returns the error.
    fn mark_closed(&self) -> Error {
        self.state.closed.store(true, Ordering::Release);
        refused_error("the connection takes no streams")
    }

    async fn handshake(address: SocketAddr, options: ConnectionOptions) -> Result<Self> {
        let stream =
            TcpStream::connect(address).await.map_err(|_| connect_error("the address refused"))?;
        // Disables Nagle's algorithm, which would delay small frames.
        let _ = stream.set_nodelay(true);
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        let (sender, mut driver) =
            builder.handshake(stream).await.map_err(|_| connect_error("handshake failed"))?;
        let pings = driver.ping_pong().ok_or(connect_error("the connection has no pings"))?;
        let state = Arc::new(ConnectionState::default());
        tokio::spawn(run_connection(driver, pings, state.clone(), options));
        Ok(Self { sender, state })
    }
}

/// `ReplyStream` yields the replies of one call; dropping it cancels the call at the peer.
#[derive(Debug)]
pub struct ReplyStream {
    body: RecvStream,
    buffer: FrameBuffer,
    kind: &'static str,
    traffic: Traffic,
    /// What large replies are held from.
    answers: Option<Arc<ByteBudget>>,
    _guard: StreamGuard,
}

impl ReplyStream {
    /// Holds replies above `FREE_REPLY_BYTES` from a budget.
    pub(crate) fn meter(&mut self, answers: Option<Arc<ByteBudget>>) {
        self.answers = answers;
    }

    /// Waits for the next reply; `None` once the peer has ended the stream.
    pub async fn next(&mut self) -> Result<Option<Reply>> {
        let mut holding = self.answers.clone().map(Holding::new);
        loop {
            if let Some(mut reply) = self.buffer.take::<Reply>()? {
                holding.into_iter().for_each(|holding| reply.hold(holding.into()));
                return Ok(Some(reply));
            }
            if let Some(length) = self.buffer.body_length().filter(|len| FREE_REPLY_BYTES < *len)
                && holding.as_mut().is_some_and(|holding| !holding.raise(length))
            {
                return Err(no_room_error("this VM holds as many large replies as it may"));
            }
            let Some(chunk) = self.body.data().await else {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(decode_error("the stream ended in a frame"))
                };
            };
            let chunk = chunk.map_err(|error| stream_error(&error))?;
            self.traffic.count_reply(self.kind, Side::Client, chunk.len());
            self.buffer.extend(&chunk)?;
            let _ = self.body.flow_control().release_capacity(chunk.len());
        }
    }
}

/// Runs the connection until it ends or a ping is not answered in time.
async fn run_connection(
    driver: h2::client::Connection<TcpStream, Bytes>,
    pings: PingPong,
    state: Arc<ConnectionState>,
    options: ConnectionOptions,
) {
    tokio::select! {
        _ = driver => {}
        () = ping_until_silent(pings, &state, options) => {}
    }
    // Dropping the driver closes the socket, so that open streams fail at once.
    state.closed.store(true, Ordering::Release);
}

/// Pings the peer at the configured intervals. Returns when a ping is not answered in time, or when
/// the connection has been idle for `idle_limit` and accepts no more streams.
async fn ping_until_silent(
    mut pings: PingPong,
    state: &ConnectionState,
    options: ConnectionOptions,
) {
    let mut idle = Span::ZERO;
    loop {
        if state.streams.load(Ordering::Acquire) == 0 {
            // An idle connection is left alone until a stream is opened or a ping is due.
            let wait = options.idle_interval.min(options.idle_limit.saturating_sub(idle));
            if time::timeout(wait.duration(), state.opened.notified()).await.is_ok() {
                idle = Span::ZERO;
                continue;
            }
            idle = idle + wait;
            if options.idle_limit <= idle {
                // A call that has just taken this connection opens its stream within one interval.
                state.closed.store(true, Ordering::Release);
                time::sleep(options.ping_interval.duration()).await;
                if state.streams.load(Ordering::Acquire) == 0 {
                    return;
                }
                continue;
            }
        } else {
            idle = Span::ZERO;
            time::sleep(options.ping_interval.duration()).await;
        }
        let answer =
            time::timeout(options.ping_timeout.duration(), pings.ping(Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
    }
}

fn request_head(remaining: Option<Span>) -> Result<http::Request<()>> {
    let mut builder = http::Request::post("http://peer/oleander");
    if let Some(remaining) = remaining {
        builder = builder.header(DEADLINE_HEADER, remaining.0);
    }
    builder.body(()).map_err(|_| refused_error("malformed request head"))
}

/// Returns the error of a broken stream. A refused stream was not processed by the peer.
fn stream_error(error: &h2::Error) -> Error {
    if error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return refused_error("the peer refused the stream");
    }
    lost_error("the stream broke before the reply")
}

/// `StreamGuard` counts a stream as open until it is dropped.
#[derive(Debug)]
struct StreamGuard {
    state: Arc<ConnectionState>,
}

impl StreamGuard {
    fn new(state: Arc<ConnectionState>) -> Self {
        state.streams.fetch_add(1, Ordering::AcqRel);
        state.opened.notify_one();
        Self { state }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.state.streams.fetch_sub(1, Ordering::AcqRel);
    }
}
