//! The handler of requests from peers, the proxy and the operator tool.

use std::sync::Arc;

use oleander_membership::messages::MemberRequest;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::server::Incoming;

use crate::actions;
use crate::failover;
use crate::shared::Shared;
use crate::status;
use crate::views;

/// Handles the request of one incoming stream.
pub async fn handle(shared: Arc<Shared>, incoming: Incoming) {
    let Incoming { request, responder, .. } = incoming;
    let reply = match request {
        Request::Member(request) => answer_member(&shared, request),
        Request::Subscribe(request) => return views::serve(&shared, request, responder).await,
        Request::Report(report) => {
            views::handle_report(&shared, report);
            Reply::Accepted
        }
        Request::Status => Reply::Status(status::describe(&shared)),
        Request::Events => Reply::Events(shared.journal.recent_json()),
        Request::Drain => {
            shared.drain.trigger();
            shared.notify();
            Reply::Accepted
        }
        Request::Failover(request) => Reply::Failover(failover::answer(&shared, request).await),
        Request::Home(_)
        | Request::Primary(_)
        | Request::Joined { .. }
        | Request::Follow { .. }
        | Request::Store(_)
        | Request::Withdrawn { .. }
        | Request::Withdraw { .. }
        | Request::Ready
        | Request::Work(_)
        | Request::Limit { .. } => Reply::Unsupported,
    };
    // Sending fails only if the caller has disconnected.
    let _ = responder.send(reply).await;
}

fn answer_member(shared: &Arc<Shared>, request: MemberRequest) -> Reply {
    let is_share_change = matches!(request, MemberRequest::AskShares { .. });
    let entropy = rand::random();
    let answered = shared.with_node(|node, now| node.on_request(now, request, entropy));
    // This VM has not registered yet, so it is not a member of the fleet.
    let Some((reply, next)) = answered else { return Reply::Unsupported };
    actions::run(shared, next);
    if is_share_change {
        // The proxy must stop using the shares that are to be handed over.
        shared.notify();
    }
    Reply::Member(reply)
}
