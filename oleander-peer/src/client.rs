//! The client side of the peer protocol. Calls share one connection to each address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use oleander_core::budget::ByteBudget;
use oleander_core::time::Span;
use tokio::sync::Mutex;
use tokio::time;

use crate::connection::Connection;
use crate::connection::ConnectionOptions;
use crate::connection::ReplyStream;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::connect_error;
use crate::errors::lost_error;
use crate::errors::timeout_error;
use crate::messages::Reply;
use crate::messages::Request;
use crate::traffic::Traffic;

/// `PeerClient` sends requests to peers; its clones share their connections.
#[derive(Clone, Debug, Default)]
pub struct PeerClient {
    connections: Arc<Mutex<HashMap<SocketAddr, Slot>>>,
    options: ConnectionOptions,
    traffic: Traffic,
    answers: Option<Arc<ByteBudget>>,
}

/// `Slot` holds the connection to one address. It is locked while the connection is being opened,
/// so that concurrent callers share the attempt.
type Slot = Arc<Mutex<Option<Connection>>>;

impl PeerClient {
    /// Creates a client without connections; they are opened on demand.
    pub fn new(options: ConnectionOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Holds the rows of large answers from `answers`. Without a budget they are only bounded by the
    /// size of a frame.
    pub fn with_answers(self, answers: Arc<ByteBudget>) -> Self {
        Self { answers: Some(answers), ..self }
    }

    /// Returns the counters of the messages that are sent by this client and its clones.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sends `request` to the peer at `address` and waits up to `limit` for its single reply.
    ///
    /// [`Error::verdict`] tells whether the peer may have run the request.
    pub async fn call(&self, address: SocketAddr, request: &Request, limit: Span) -> Result<Reply> {
        let deadline = time::Instant::now() + limit.duration();
        match self.call_once(address, request, limit, deadline).await {
            // The peer is shutting this connection down and has not read the request. It accepts
            // the request on a new connection if it still listens.
            Err(Error::Refused(_)) => self.call_once(address, request, limit, deadline).await,
            outcome => outcome,
        }
    }

    /// Sends `request` to the peer at `address` and returns the stream of its replies, which has no
    /// time limit.
    pub async fn subscribe(&self, address: SocketAddr, request: &Request) -> Result<ReplyStream> {
        self.connection(address).await?.open_stream(request, None, &self.traffic).await
    }

    async fn call_once(
        &self,
        address: SocketAddr,
        request: &Request,
        limit: Span,
        deadline: time::Instant,
    ) -> Result<Reply> {
        let connected = time::timeout_at(deadline, self.connection(address)).await;
        // A timeout here means that nothing was sent.
        let connection = connected.unwrap_or(Err(connect_error("no connection in time")))?;
        let exchange = async {
            let mut replies = connection.open_stream(request, Some(limit), &self.traffic).await?;
            if matches!(request, Request::Home(_)) {
                replies.meter(self.answers.clone());
            }
            replies.next().await?.ok_or(lost_error("the stream ended without a reply"))
        };
        time::timeout_at(deadline, exchange).await.unwrap_or(Err(timeout_error("no reply in time")))
    }

    /// Returns the open connection to `address` or opens one.
    async fn connection(&self, address: SocketAddr) -> Result<Connection> {
        let slot = self.connections.lock().await.entry(address).or_default().clone();
        let mut held = slot.lock().await;
        if let Some(connection) = held.as_ref().filter(|connection| !connection.is_closed()) {
            return Ok(connection.clone());
        }
        *held = None;
        let connection = Connection::open(address, self.options).await?;
        *held = Some(connection.clone());
        Ok(connection)
    }
}
