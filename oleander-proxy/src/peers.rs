//! Answers the requests of peers, the agent and the operator tool.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use oleander_core::time::Span;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::server::Incoming;

use crate::proxy::Proxy;

/// The time limit of a request whose sender stated none.
const DEFAULT_REMAINING: Span = Span::from_secs(30);

/// Answers one request of a peer.
pub fn answer(proxy: Arc<Proxy>, incoming: Incoming) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move {
        let remaining = incoming.remaining.unwrap_or(DEFAULT_REMAINING);
        let reply = match incoming.request {
            Request::Work(mut work) => {
                // The header's time is later than the body's, because the entry VM adds a grace
                // period for the answer; the lower one applies.
                work.remaining = work.remaining.min(remaining);
                Reply::Work(proxy.homes.run(work).await)
            }
            Request::Limit { from, request } => Reply::Limit(proxy.rates.answer(from, request)),
            Request::Status => Reply::Status(proxy.status_json()),
            Request::Events => Reply::Events(proxy.journal.recent_json()),
            Request::Drain => {
                proxy.start_drain();
                Reply::Accepted
            }
            Request::Home(_)
            | Request::Primary(_)
            | Request::Joined { .. }
            | Request::Follow { .. }
            | Request::Store(_)
            | Request::Ready
            | Request::Withdrawn { .. }
            | Request::Withdraw { .. }
            | Request::Member(_)
            | Request::Failover(_)
            | Request::Subscribe(_)
            | Request::Report(_) => Reply::Unsupported,
        };
        // A failed send means that the caller has gone; its own side handles that.
        let _ = incoming.responder.send(reply).await;
    })
}
