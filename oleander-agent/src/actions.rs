//! Execution of the actions that the membership state machine requests.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::ids::VmId;
use oleander_membership::active_config::Candidate;
use oleander_membership::messages::MemberRequest;
use oleander_membership::node::Action;
use oleander_membership::node::CheckResult;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_runtime::logs::Field;

use crate::check;
use crate::platform;
use crate::shared::Shared;

/// Spawns a task for each action, and for each follow-up action that its result leads to.
pub fn run(shared: &Arc<Shared>, actions: Vec<Action>) {
    for action in actions {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            // Follow-up actions are spawned, not awaited, so that this future does not contain
            // itself.
            let next: Vec<Action> = perform(&shared, action).await;
            if !next.is_empty() {
                run(&shared, next);
            }
        });
    }
}

/// Executes actions concurrently and waits for them. Follow-up actions are dropped.
pub async fn run_to_completion(shared: &Arc<Shared>, actions: Vec<Action>) {
    let work = actions.into_iter().map(|action| perform(shared, action));
    futures::future::join_all(work).await;
}

async fn perform(shared: &Arc<Shared>, action: Action) -> Vec<Action> {
    match action {
        Action::Send { to, request } => send(shared, to, request).await,
        Action::ReadStore => platform::read_store(shared).await,
        Action::ReadList => platform::read_list(shared).await,
        Action::ReadRoster => platform::read_roster(shared).await,
        Action::ReadBodies(head) => platform::read_bodies(shared, &head).await,
        Action::Check(candidate) => check_candidate(shared, candidate).await,
        Action::Rejoin => platform::rejoin(shared).await,
        Action::Leave => {
            shared.drain.trigger();
            Vec::new()
        }
    }
}

async fn send(shared: &Arc<Shared>, to: VmId, request: MemberRequest) -> Vec<Action> {
    let address = shared.with_node(|node, _| node.roster().member(to).map(|member| member.agent));
    let Some(address) = address.flatten() else { return Vec::new() };
    let asked = shared.now();
    let request = Request::Member(request);
    let answer = shared.peers.call(address, &request, shared.settings.times.call).await;
    // A failed call needs no handling: the peer is suspected once its last sign of life is too old.
    let Ok(Reply::Member(reply)) = answer else { return Vec::new() };
    let entropy = rand::random();
    let next = shared.with_node(|node, now| {
        let version = node.shares().version;
        let next = node.on_reply(now, asked, reply, entropy);
        (next, version != node.shares().version)
    });
    let (next, shares_changed) = next.unwrap_or_default();
    if shares_changed {
        shared.notify();
    }
    next
}

async fn check_candidate(shared: &Arc<Shared>, candidate: Candidate) -> Vec<Action> {
    let revision = candidate.revision;
    let checking = tokio::task::spawn_blocking(move || (check::check(&candidate), candidate));
    // If the check panics, the revision does not come into force.
    let Ok((result, candidate)) = checking.await else { return Vec::new() };
    let verdict = if result.is_ok() { CheckResult::Valid } else { CheckResult::Invalid };
    let entropy = rand::random();
    let checked = shared.with_node(|node, now| {
        let (accepted, next) = node.on_checked(now, candidate, verdict, entropy);
        if accepted && let Ok(snapshot) = &result {
            shared.snapshot.store(Some(Arc::clone(snapshot)));
        }
        (accepted, next)
    });
    let (accepted, next) = checked.unwrap_or_default();
    let number = Field::number("revision", revision.0);
    if accepted {
        shared.record(Event::RevisionInForce, &[number]);
        shared.notify();
    } else if let Err(reason) = result {
        shared.record(Event::RevisionRejected, &[number, Field::text("problem", reason)]);
    }
    next
}
