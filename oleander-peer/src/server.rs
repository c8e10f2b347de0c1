//! The accepting side of the peer protocol.

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

/// The streams that one connection may have open.
const MAX_STREAMS: u32 = 4_096;

/// The time after a failed accept before the next one, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The replies that may wait for a slow stream.
const REPLY_QUEUE: usize = 4;

/// `Incoming` is a request with the means to answer it.
#[derive(Debug)]
pub struct Incoming {
    /// The address of the peer.
    pub from: SocketAddr,
    /// The time that the caller still waits, as of its sending; `None` for streams without an end.
    pub remaining: Option<Span>,
    /// The request.
    pub request: Request,
    /// Sends the replies.
    pub responder: Responder,
}

/// `Responder` sends the replies of one stream; the stream ends when the handler returns.
#[derive(Debug)]
pub struct Responder {
    replies: mpsc::Sender<Reply>,
}

impl Responder {
    /// Sends a reply.
    ///
    /// Fails if the caller has gone.
    pub async fn send(&self, reply: Reply) -> Result<()> {
        self.replies.send(reply).await.map_err(|_| lost_error("the caller has gone"))
    }
}

/// Serves peers on `listener` until `stop` turns `true`, then lets open streams finish.
///
/// The handler's future is dropped when its caller resets the stream.
pub async fn serve<F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    handler: impl Fn(Incoming) -> F + Clone + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    connections.spawn(serve_connection(stream, from, stop.clone(), handler.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
            () = stopped(&mut stop) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<F>(
    stream: TcpStream,
    from: SocketAddr,
    mut stop: watch::Receiver<bool>,
    handler: impl Fn(Incoming) -> F + Clone + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    // Small frames must not wait for each other.
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
                streams.spawn(serve_stream(request, respond, from, handler.clone()));
            }
            Some(_) = streams.join_next() => {}
            () = stopped(&mut stop), if !draining => {
                draining = true;
                connection.graceful_shutdown();
            }
        }
    }
    // The connection has ended, so no reply can be delivered any more.
    streams.shutdown().await;
}

async fn serve_stream<F>(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
    handler: impl Fn(Incoming) -> F,
) where
    F: Future<Output = ()>,
{
    let remaining = remaining_time(request.headers());
    let Ok(message) = read_request(request.into_body()).await else {
        return respond.send_reset(h2::Reason::PROTOCOL_ERROR);
    };
    let (replies, mut waiting) = mpsc::channel(REPLY_QUEUE);
    let work =
        handler(Incoming { from, remaining, request: message, responder: Responder { replies } });
    let mut work = std::pin::pin!(work);
    let mut working = true;
    let mut stream = ReplyWriter { respond, sender: None };
    loop {
        tokio::select! {
            () = &mut work, if working => working = false,
            reply = waiting.recv() => {
                // The queue closes once the handler has returned and all replies are out.
                let Some(reply) = reply else { break };
                if stream.send(&reply).is_err() {
                    return;
                }
            }
            () = stream.reset() => return,
        }
    }
    stream.finish();
}

/// `ReplyWriter` writes the replies of one stream. The head of the response goes with the first
/// reply, so that a call is answered in one packet.
struct ReplyWriter {
    respond: SendResponse<Bytes>,
    sender: Option<SendStream<Bytes>>,
}

impl ReplyWriter {
    fn send(&mut self, reply: &Reply) -> Result<()> {
        let frame = match codec::encode(reply) {
            Ok(frame) => frame,
            Err(error) => {
                self.refuse();
                return Err(error);
            }
        };
        let sent = self.open()?.send_data(frame, false);
        sent.map_err(|_| lost_error("the caller has gone"))
    }

    fn finish(mut self) {
        if let Ok(sender) = self.open() {
            // The caller may have gone; its own side has noticed then.
            let _ = sender.send_data(Bytes::new(), true);
        }
    }

    /// Waits until the caller gives the call up.
    async fn reset(&mut self) {
        let reset = std::future::poll_fn(|context| match &mut self.sender {
            Some(sender) => sender.poll_reset(context),
            None => self.respond.poll_reset(context),
        });
        // An error means that the connection has ended, which gives the call up, too.
        let _ = reset.await;
    }

    fn open(&mut self) -> Result<&mut SendStream<Bytes>> {
        let sender = match self.sender.take() {
            Some(sender) => sender,
            None => {
                let opened = self.respond.send_response(Response::new(()), false);
                opened.map_err(|_| lost_error("the caller has gone"))?
            }
        };
        Ok(self.sender.insert(sender))
    }

    fn refuse(&mut self) {
        match &mut self.sender {
            Some(sender) => sender.send_reset(h2::Reason::INTERNAL_ERROR),
            None => self.respond.send_reset(h2::Reason::INTERNAL_ERROR),
        }
    }
}

async fn read_request(mut body: RecvStream) -> Result<Request> {
    let mut buffer = FrameBuffer::default();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| lost_error("the stream broke in the request"))?;
        buffer.extend(&chunk)?;
        let _ = body.flow_control().release_capacity(chunk.len());
        if let Some(request) = buffer.take()? {
            return if buffer.is_empty() {
                Ok(request)
            } else {
                Err(decode_error("bytes after the request"))
            };
        }
    }
    Err(decode_error("the stream ended before the request"))
}

fn remaining_time(headers: &HeaderMap) -> Option<Span> {
    let text = headers.get(DEADLINE_HEADER)?.to_str().ok()?;
    text.parse().ok().map(Span)
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    // A closed channel means that the owner has gone, which is a stop too.
    let _ = stop.wait_for(|stopped| *stopped).await;
}
