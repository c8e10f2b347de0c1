//! What this VM knows of the primaries of databases, as their keepers tell.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::PrimaryReport;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_routing::samples::Sample;
use oleander_routing::samples::Samples;

use crate::fleet::Fleet;

/// The time between two questions to a keeper: several within the age that reads accept.
const PULL_INTERVAL: Span = Span::from_millis(250);

/// The time within which a keeper must answer.
const PULL_LIMIT: Span = Span::from_millis(400);

/// `Primaries` holds the primary of each database and its progress over time.
#[derive(Debug)]
pub struct Primaries {
    fleet: Arc<Fleet>,
    state: Mutex<HashMap<DatabaseId, Progress>>,
}

#[derive(Debug, Default)]
struct Progress {
    samples: Samples,
}

impl Primaries {
    /// Makes an empty table.
    pub fn new(fleet: Arc<Fleet>) -> Self {
        Self { fleet, state: Mutex::default() }
    }

    /// Takes in a report; `asked` is the time before the question was sent.
    pub fn note(&self, database: DatabaseId, asked: Time, report: PrimaryReport) {
        let mut state = self.lock();
        let progress = state.entry(database).or_default();
        if progress.samples.term().is_some_and(|term| report.point.term < term) {
            return;
        }
        let time = Time(asked.0.saturating_sub(report.age.0));
        progress.samples.push(Sample { time, point: report.point });
    }

    /// Gets the instance that the keeper's record names as primary of a database; `None` while it is
    /// replaced or not known to the keeper yet.
    pub fn primary(&self, database: DatabaseId) -> Option<InstanceKey> {
        self.fleet.primary(database)
    }

    /// Returns `true` if a commit at an instance counts: the record names it as primary, and whoever
    /// replaces it waits for this VM.
    pub fn confirms(&self, database: DatabaseId, instance: InstanceKey) -> bool {
        self.primary(database) == Some(instance) && self.fleet.may_confirm()
    }

    /// Returns `true` while the primary of a database is being replaced.
    pub fn is_promoting(&self, database: DatabaseId) -> bool {
        self.primary(database).is_none()
    }

    /// Gets a point whose holder has all commits that are older than `age`.
    pub fn floor(&self, database: DatabaseId, age: Span) -> Option<LogPoint> {
        self.lock().get(&database)?.samples.floor(self.fleet.now(), age)
    }

    /// Asks the keepers of the databases that `wanted` names, again and again, until dropped.
    ///
    /// `local` answers for the databases that this VM keeps itself.
    pub async fn run(
        self: Arc<Self>,
        peers: PeerClient,
        wanted: impl Fn() -> Vec<DatabaseId>,
        local: impl Fn(DatabaseId) -> Option<PrimaryReport>,
    ) {
        let mut ticks = self.fleet.timers.interval(PULL_INTERVAL);
        loop {
            let asked = ticks.tick().await;
            for database in wanted() {
                let view = self.fleet.view();
                let Some(kept) = view.keepers.get(&database) else { continue };
                let Some(vm) = kept.holder else { continue };
                if vm == self.fleet.vm {
                    if let Some(report) = local(database) {
                        self.note(database, asked, report);
                    }
                    continue;
                }
                let Some(address) = self.fleet.address(vm) else { continue };
                tokio::spawn(self.clone().pull(peers.clone(), address, database));
            }
        }
    }

    async fn pull(self: Arc<Self>, peers: PeerClient, address: SocketAddr, database: DatabaseId) {
        let asked = self.fleet.now();
        let request = Request::Primary(database);
        if let Ok(Reply::Primary(Some(report))) = peers.call(address, &request, PULL_LIMIT).await {
            self.note(database, asked, report);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<DatabaseId, Progress>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
