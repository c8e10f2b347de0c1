//! What other VMs ask of this one.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::server::Incoming;
use oleander_ports::store::StoreRevision;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use tokio::sync::watch;

use crate::fleet::Fleet;
use crate::home::registry::Homes;
use crate::keeper::duties::Duties;
use crate::rates::Rates;

/// The longest wait for a revision of the store to be applied here and for calls under way.
const JOINED_WAIT: Span = Span::from_millis(900);

/// `PeerServer` answers other VMs.
pub struct PeerServer {
    /// What the VM believes.
    pub fleet: Arc<Fleet>,
    /// The homes of this VM.
    pub homes: Arc<Homes>,
    /// The duties of this VM.
    pub duties: Arc<Duties>,
    /// The rates of workspaces.
    pub rates: Rates,
    /// Told of the revision of the view that the limiter goes by.
    pub applied: watch::Receiver<StoreRevision>,
    /// The recent events, for operators.
    pub journal: Journal,
    /// Gets the state for operators as JSON.
    pub status: Box<dyn Fn() -> String + Send + Sync>,
}

/// Answers one request.
pub fn answer(
    server: Arc<PeerServer>,
    incoming: Incoming,
) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move {
        let reply = match incoming.request {
            Request::Home(request) => {
                // The work goes on if the caller's stream breaks, so that its connection is kept.
                let homes = server.homes.clone();
                let running = tokio::spawn(async move { homes.run(&request).await });
                let lost = |_| Err(Refusal::may_have_run(RefusalCode::Internal, "the task failed"));
                Reply::Home(running.await.unwrap_or_else(lost))
            }
            Request::Primary(database) => Reply::Primary(server.duties.report(database)),
            Request::Joined { revision, former } => {
                server.joined(StoreRevision(revision), former).await
            }
            Request::Withdrawn { database, revision } => {
                server.withdraw(database, StoreRevision(revision));
                Reply::Accepted
            }
            Request::Ready => Reply::Ready(server.fleet.is_ready()),
            Request::Limit { from, request } => Reply::Limit(server.rates.answer(from, request)),
            Request::Status => Reply::Status((server.status)()),
            Request::Events => Reply::Events(server.journal.recent_json()),
            Request::Drain => {
                server.fleet.drain();
                Reply::Accepted
            }
            _ => Reply::Unsupported,
        };
        // The caller may have gone; its own side has noticed then.
        let _ = incoming.responder.send(reply).await;
    })
}

impl PeerServer {
    /// Takes in that the primary of a database is about to be replaced.
    fn withdraw(&self, database: DatabaseId, revision: StoreRevision) {
        let view = self.fleet.view();
        let instance = view.instances_of(database).next();
        let name = instance.map_or("", |instance| instance.entry.database.as_str());
        let known = view.keepers.get(&database).map_or(0, |kept| kept.revision.0);
        let fields = [
            Field::text("database", name),
            Field::number("at", revision.0),
            Field::number("known", known),
        ];
        self.journal.record(Event::PrimaryWithdrawn, &fields);
        self.fleet.withdraw_primary(database, revision);
    }

    /// Waits until the limiter knows of a VM that has joined and no earlier loan is on its way.
    async fn joined(&self, revision: StoreRevision, former: Option<VmId>) -> Reply {
        let mut applied = self.applied.clone();
        let settling = async {
            applied.wait_for(|at| revision <= *at).await.ok()?;
            let counts = |owner| former.is_none_or(|former| former == owner);
            let held = self.rates.settle(counts).await;
            // Shares that stayed with the VM were lent by nobody else.
            Some(if former.is_some() { held } else { held.max(self.lent()) })
        };
        match self.fleet.timers.within(JOINED_WAIT, settling).await.flatten() {
            Some(held) => Reply::Joined(held),
            None => Reply::Unsupported,
        }
    }

    /// Gets the time for which loans may be in use that are not held here: what this VM lent, what
    /// was lent by VMs whose leases ended, and all that was lent before this process started.
    fn lent(&self) -> Span {
        let now = self.fleet.now();
        let lapsed = self.fleet.view().roster.last_expiry().unwrap_or_default();
        let unseen = lapsed.max(self.fleet.started()) + LOAN_EXPIRY_WAIT;
        self.rates.lent().max(unseen.since(now))
    }
}
