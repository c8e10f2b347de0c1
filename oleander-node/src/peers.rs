//! Serves the peer requests of other VMs and of the operator tool.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_peer::messages::EarlierUse;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::server::Incoming;
use oleander_ports::store::StoreRevision;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use tokio::sync::watch;

use crate::control::feed::Feed;
use crate::control::feed::ValueForm;
use crate::control::relay::RelayedStore;
use crate::control::shares::AppliedView;
use crate::fleet::Fleet;
use crate::home::registry::Homes;
use crate::keeper::duties::Duties;
use crate::primaries::Primaries;
use crate::rates::Rates;

/// The longest wait, when another VM tells of its join, until the limiter has applied the revision
/// of the join and its pending calls have ended.
const JOIN_WAIT: Span = Span::from_millis(900);

/// `PeerServer` holds what is needed to answer peer requests.
pub struct PeerServer {
    /// The view of the store.
    pub fleet: Arc<Fleet>,
    /// Runs statements for entry VMs.
    pub homes: Arc<Homes>,
    /// Answers for the databases of which this VM is the keeper.
    pub duties: Arc<Duties>,
    /// Answers for the databases of which this VM is the home of the primary.
    pub primaries: Arc<Primaries>,
    /// Answers VMs that follow the store through this one.
    pub feed: Arc<Feed>,
    /// Passes on calls to the store.
    pub store: Arc<RelayedStore>,
    /// Answers for the shares of rates that this VM owns.
    pub rates: Rates,
    /// Receives the view that the limiter has applied.
    pub applied: watch::Receiver<AppliedView>,
    /// Holds the recent events, for operators.
    pub journal: Journal,
    /// Returns the state for operators as JSON.
    pub status: Box<dyn Fn() -> String + Send + Sync>,
}

/// Answers one request; a kind that this VM does not serve gets `Reply::Unsupported`.
pub fn answer(
    server: Arc<PeerServer>,
    incoming: Incoming,
) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move {
        let reply = match incoming.request {
            Request::Home(request) => {
                // If the caller leaves, the other VM resets the stream and this future is dropped.
                let instance = request.instance.clone();
                let outcome = server.homes.run(*request).await;
                match (server.homes.report(&instance), outcome) {
                    (Some(report), outcome) => {
                        Reply::Reported(outcome, report, server.homes.horizon(&instance))
                    }
                    (None, Err(refusal)) if server.fleet.settings.overload => {
                        Reply::Refused(refusal, server.homes.horizon(&instance))
                    }
                    (None, outcome) => Reply::Home(outcome),
                }
            }
            Request::Primary(database) => {
                let report = server.duties.report(database);
                Reply::Primary(report.or_else(|| server.primaries.report(database)))
            }
            Request::Joined { revision, former } => {
                server.handle_joined(StoreRevision(revision), former).await
            }
            Request::Withdrawn { database, revision } => {
                server.handle_withdrawn(database, StoreRevision(revision));
                Reply::Accepted
            }
            Request::Withdraw { database, revision } => {
                server.handle_withdrawn(database, StoreRevision(revision));
                Reply::Withdrawn(server.fleet.confirmations(database))
            }
            Request::Ready => Reply::Ready(server.fleet.is_ready()),
            Request::Limit { from, request } => Reply::Limit(server.rates.answer(from, request)),
            Request::Follow { after, wait, whole } => {
                let form = if whole { ValueForm::Whole } else { ValueForm::Deltas };
                match server.feed.answer(StoreRevision(after), wait, form).await {
                    Some(reply) => Reply::Followed(reply),
                    None => Reply::Unsupported,
                }
            }
            Request::Store(call) => Reply::Store(server.store.serve(call).await),
            Request::Status => Reply::Status((server.status)()),
            Request::Events => Reply::Events(server.journal.recent_json()),
            Request::Drain => {
                server.fleet.drain();
                Reply::Accepted
            }
            _ => Reply::Unsupported,
        };
        // If the stream is broken, the other VM has noticed it itself.
        let _ = incoming.responder.send(reply).await;
    })
}

impl PeerServer {
    /// Records that the primary of a database is about to be replaced.
    fn handle_withdrawn(&self, database: DatabaseId, revision: StoreRevision) {
        let view = self.fleet.view();
        let instance = view.instances_of(database).next();
        let name = instance.map_or("", |instance| instance.entry.database.as_str());
        let known = view.keepers.get(&database).map_or(0, |keeper| keeper.revision.0);
        let fields = [
            Field::text("database", name),
            Field::number("at", revision.0),
            Field::number("known", known),
        ];
        self.journal.record(Event::PrimaryWithdrawn, &fields);
        self.fleet.withdraw_primary(database, revision);
    }

    /// Waits until the limiter has applied the view in which a VM has joined and no earlier loan is
    /// in flight. Replies with how its shares have been used before.
    async fn handle_joined(&self, revision: StoreRevision, former: Option<VmId>) -> Reply {
        let mut applied = self.applied.clone();
        let settling = async {
            applied.wait_for(|at| revision <= at.revision).await.ok()?;
            let roster = self.fleet.view().roster.clone();
            // Shares that stayed with the VM have been lent by nobody else, but others may have
            // become its own since, from VMs that can no longer own any.
            let counts =
                |owner| former.is_none_or(|former| former == owner || !roster.may_own(owner));
            let borrowed = self.rates.borrowed_use(&counts).await;
            let applied = *applied.borrow();
            let lent =
                if former.is_some() { self.moved_loans(applied) } else { self.loans_remaining() };
            let remaining = borrowed.remaining.max(lent);
            let unmoved = self.fleet.now().since(applied.moved_at);
            let unused = match remaining {
                Span::ZERO if former.is_some() => borrowed.unused.min(unmoved),
                _ => Span::ZERO,
            };
            Some(EarlierUse { remaining, unused })
        };
        match self.fleet.timers.within(JOIN_WAIT, settling).await.flatten() {
            Some(earlier) => Reply::Joined(earlier),
            None => Reply::Unsupported,
        }
    }

    /// Returns the time for which loans of shares that have moved to another VM may still be used.
    fn moved_loans(&self, applied: AppliedView) -> Span {
        let now = self.fleet.now();
        let has_lost = applied.lost_at.is_some_and(|at| now.since(at) < LOAN_EXPIRY_WAIT);
        let own = if has_lost { self.rates.lent_remaining() } else { Span::ZERO };
        own.max(applied.lent_until.since(now))
    }

    /// Returns the time for which loans that other VMs hold may still be used: loans of this VM,
    /// loans of VMs whose leases have ended, and all loans from before this process started.
    fn loans_remaining(&self) -> Span {
        let now = self.fleet.now();
        let lapsed = self.fleet.view().roster.last_expiry().unwrap_or_default();
        let unseen = lapsed.max(self.fleet.started()) + LOAN_EXPIRY_WAIT;
        self.rates.lent_remaining().max(unseen.since(now))
    }
}
