//! The server side of the peer protocol.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::SendStream;
use h2::server::SendResponse;
use http::HeaderMap;
use http::Response;
use oleander_core::time::Span;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::codec;
use crate::codec::FrameBuffer;
use crate::connection::CONNECTION_WINDOW;
use crate::connection::DEADLINE_HEADER;
use crate::connection::STREAM_WINDOW;
use crate::errors::Result;
use crate::errors::decode_error;
use crate::errors::lost_error;
use crate::messages::Reply;
use crate::messages::Request;
use crate::traffic::Side;
use crate::traffic::Traffic;

/// The maximum number of concurrent streams of one connection.
const MAX_STREAMS: u32 = 4_096;

/// The pause after a failed accept. Without it the loop would spin while the process has no free
/// file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The maximum number of replies that are queued for one stream; a handler that is faster than its
/// stream waits.
const REPLY_QUEUE_LEN: usize = 4;

/// The time within which the caller must read a large answer, which holds a part of a budget meanwhile.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// The size of the parts in which a large answer is written, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

/// `Incoming` is a received request with the responder for its replies.
#[derive(Debug)]
pub struct Incoming {
    /// The address of the peer.
    pub from: SocketAddr,
    /// The time until the caller's deadline when the request was sent; `None` for a stream without
    /// a deadline.
    pub remaining: Option<Span>,
    /// The request.
    pub request: Request,
    /// Sends the replies to the caller.
    pub responder: Responder,
}

/// `Responder` sends the replies of one stream. The stream ends when the handler has returned.
#[derive(Debug)]
pub struct Responder {
    replies: mpsc::Sender<Reply>,
}

impl Responder {
    /// Queues a reply; waits while the queue is full.
    ///
    /// Fails if the stream has ended.
    pub async fn send(&self, reply: Reply) -> Result<()> {
        self.replies.send(reply).await.map_err(|_| lost_error("the caller has gone"))
    }
}

/// Serves peers on `listener` until `stop` becomes `true` or its sender is dropped, then stops
/// accepting and waits for the open streams to finish. Requests and replies are counted in
/// `traffic`.
///
/// The handler's future is dropped when its caller resets the stream.
pub async fn serve<F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    traffic: Traffic,
    handler: impl Fn(Incoming) -> F + Clone + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    let (stop, traffic) = (stop.clone(), traffic.clone());
                    connections.spawn(serve_connection(stream, from, stop, traffic, handler.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
            () = wait_for_stop(&mut stop) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<F>(
    stream: TcpStream,
    from: SocketAddr,
    mut stop: watch::Receiver<bool>,
    traffic: Traffic,
    handler: impl Fn(Incoming) -> F + Clone + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    // Disables Nagle's algorithm, which would delay small frames.
    let _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_STREAMS);
    builder.initial_window_size(STREAM_WINDOW).initial_connection_window_size(CONNECTION_WINDOW);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else { return };
    let mut streams = JoinSet::new();
    let mut draining = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((request, respond))) = accepted else { break };
                streams.spawn(serve_stream(request, respond, from, traffic.clone(), handler.clone()));
            }
            Some(_) = streams.join_next() => {}
            () = wait_for_stop(&mut stop), if !draining => {
                draining = true;
                connection.graceful_shutdown();
            }
        }
    }
    // The connection has ended, so no more replies can be delivered.
    streams.shutdown().await;
}

async fn serve_stream<F>(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
    traffic: Traffic,
    handler: impl Fn(Incoming) -> F,
) where
    F: Future<Output = ()>,
{
    let remaining = remaining_time(request.headers());
    let Ok(message) = read_request(request.into_body(), &traffic).await else {
        return respond.send_reset(h2::Reason::PROTOCOL_ERROR);
    };
    let kind = <&'static str>::from(&message);
    let (replies, mut queue) = mpsc::channel(REPLY_QUEUE_LEN);
    let work =
        handler(Incoming { from, remaining, request: message, responder: Responder { replies } });
    let mut work = std::pin::pin!(work);
    let mut working = true;
    let mut stream = ReplyWriter { respond, sender: None, kind, traffic };
    loop {
        tokio::select! {
            () = &mut work, if working => working = false,
            reply = queue.recv() => {
                // The queue closes when the handler has returned and all replies have been taken.
                let Some(reply) = reply else { break };
                if stream.send(&reply).await.is_err() {
                    return;
                }
            }
            () = stream.wait_for_reset() => return,
        }
    }
    stream.finish();
}

/// `ReplyWriter` writes the replies of one stream. The response head is sent only with the first
/// reply, so that a call can be answered in one packet.
struct ReplyWriter {
    respond: SendResponse<Bytes>,
    sender: Option<SendStream<Bytes>>,
    kind: &'static str,
    traffic: Traffic,
}

impl ReplyWriter {
    /// Writes a reply. A reply that cannot be encoded resets the stream. An answer with large rows is
    /// written as fast as the caller reads it, since the rows count as held until then.
    async fn send(&mut self, reply: &Reply) -> Result<()> {
        let frame = match codec::encode(reply) {
            Ok(frame) => frame,
            Err(error) => {
                self.reset_stream();
                return Err(error);
            }
        };
        self.traffic.count_reply(self.kind, Side::Server, frame.len());
        let body = self.open_body()?;
        if reply.holds_bytes() {
            let sending = tokio::time::timeout(SEND_TIMEOUT, send_slowly(body, frame));
            return sending.await.unwrap_or(Err(lost_error("the caller does not read")));
        }
        body.send_data(frame, false).map_err(|_| lost_error("the caller has gone"))
    }

    /// Ends the stream.
    fn finish(mut self) {
        if let Ok(sender) = self.open_body() {
            // If this fails, the stream has already ended for the caller too.
            let _ = sender.send_data(Bytes::new(), true);
        }
    }

    /// Waits until the caller cancels the call.
    async fn wait_for_reset(&mut self) {
        let reset = std::future::poll_fn(|context| match &mut self.sender {
            Some(sender) => sender.poll_reset(context),
            None => self.respond.poll_reset(context),
        });
        // An error means that the connection has ended, which cancels the call as well.
        let _ = reset.await;
    }

    /// Returns the body writer and sends the response head first if that has not been done.
    fn open_body(&mut self) -> Result<&mut SendStream<Bytes>> {
        let sender = match self.sender.take() {
            Some(sender) => sender,
            None => {
                let opened = self.respond.send_response(Response::new(()), false);
                opened.map_err(|_| lost_error("the caller has gone"))?
            }
        };
        Ok(self.sender.insert(sender))
    }

    /// Resets the stream with an internal error.
    fn reset_stream(&mut self) {
        match &mut self.sender {
            Some(sender) => sender.send_reset(h2::Reason::INTERNAL_ERROR),
            None => self.respond.send_reset(h2::Reason::INTERNAL_ERROR),
        }
    }
}

/// Writes a frame in parts that the caller has room for.
async fn send_slowly(body: &mut SendStream<Bytes>, mut frame: Bytes) -> Result<()> {
    while !frame.is_empty() {
        if body.capacity() == 0 {
            body.reserve_capacity(frame.len().min(MAX_PART_BYTES));
            // Ready only once the capacity has grown.
            let grown = std::future::poll_fn(|context| body.poll_capacity(context)).await;
            if !matches!(grown, Some(Ok(_))) {
                return Err(lost_error("the caller has gone"));
            }
        }
        let part = frame.split_to(body.capacity().min(frame.len()));
        body.send_data(part, false).map_err(|_| lost_error("the caller has gone"))?;
    }
    Ok(())
}

/// Reads the single request of a stream.
async fn read_request(mut body: RecvStream, traffic: &Traffic) -> Result<Request> {
    let mut buffer = FrameBuffer::default();
    let mut size = 0;
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| lost_error("the stream broke in the request"))?;
        size += chunk.len();
        buffer.extend(&chunk)?;
        let _ = body.flow_control().release_capacity(chunk.len());
        if let Some(request) = buffer.take()? {
            traffic.count_request(&request, Side::Server, size);
            return if buffer.is_empty() {
                Ok(request)
            } else {
                Err(decode_error("bytes after the request"))
            };
        }
    }
    Err(decode_error("the stream ended before the request"))
}

/// Returns the time until the caller's deadline from the request header, if it is valid.
fn remaining_time(headers: &HeaderMap) -> Option<Span> {
    let text = headers.get(DEADLINE_HEADER)?.to_str().ok()?;
    text.parse().ok().map(Span)
}

/// Waits until the server is to stop.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which stops the server as well.
    let _ = stop.wait_for(|stopped| *stopped).await;
}
