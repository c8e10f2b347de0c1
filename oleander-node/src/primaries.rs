//! Tracks the log positions of the primaries, as their keepers report them.

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

/// The interval at which a keeper is polled: several polls within the age that reads accept.
const POLL_INTERVAL: Span = Span::from_millis(250);

/// The time within which a keeper must answer.
const POLL_TIMEOUT: Span = Span::from_millis(400);

/// `Primaries` holds the log positions of the primary of each database over time. Which instance is
/// the primary comes from the keeper records in the view.
#[derive(Debug)]
pub struct Primaries {
    fleet: Arc<Fleet>,
    state: Mutex<HashMap<DatabaseId, Progress>>,
}

/// `Progress` is the reported log positions of the primary of one database.
#[derive(Debug, Default)]
struct Progress {
    samples: Samples,
}

impl Primaries {
    /// Creates an empty table; `run` fills it.
    pub fn new(fleet: Arc<Fleet>) -> Self {
        Self { fleet, state: Mutex::default() }
    }

    /// Returns the fleet whose keeper records name the primaries.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Records a report; `asked` is the time before it was requested. A report of an older term is
    /// ignored.
    pub fn record_report(&self, database: DatabaseId, asked: Time, report: PrimaryReport) {
        let mut state = self.lock();
        let progress = state.entry(database).or_default();
        if progress.samples.term().is_some_and(|term| report.point.term < term) {
            return;
        }
        let time = Time(asked.0.saturating_sub(report.age.0));
        progress.samples.push(Sample { time, point: report.point });
    }

    /// Returns the primary that the keeper's record names; `None` while it is being replaced or not
    /// known to the keeper yet.
    pub fn primary(&self, database: DatabaseId) -> Option<InstanceKey> {
        self.fleet.primary(database)
    }

    /// Returns `true` if this VM may rely on the instance as the primary; see `Fleet::confirms`.
    pub fn confirms(&self, database: DatabaseId, instance: InstanceKey) -> bool {
        self.fleet.confirms(database, instance)
    }

    /// Returns `true` while the record names no primary: it is being replaced or not known yet.
    pub fn is_promoting(&self, database: DatabaseId) -> bool {
        self.primary(database).is_none()
    }

    /// Returns a log point such that an instance that has it has all commits older than `age`;
    /// `None` if no report is recent enough.
    pub fn floor(&self, database: DatabaseId, age: Span) -> Option<LogPoint> {
        self.lock().get(&database)?.samples.floor(self.fleet.now(), age)
    }

    /// Polls the keepers of the databases that `wanted` returns, until dropped.
    ///
    /// `local` answers for the databases of which this VM is the keeper.
    pub async fn run(
        self: Arc<Self>,
        peers: PeerClient,
        wanted: impl Fn() -> Vec<DatabaseId>,
        local: impl Fn(DatabaseId) -> Option<PrimaryReport>,
    ) {
        let mut ticks = self.fleet.timers.interval(POLL_INTERVAL);
        loop {
            let asked = ticks.tick().await;
            for database in wanted() {
                let view = self.fleet.view();
                let Some(keeper) = view.keepers.get(&database) else { continue };
                let Some(vm) = keeper.holder else { continue };
                if vm == self.fleet.vm {
                    if let Some(report) = local(database) {
                        self.record_report(database, asked, report);
                    }
                    continue;
                }
                let Some(address) = self.fleet.address(vm) else { continue };
                tokio::spawn(self.clone().poll_keeper(peers.clone(), address, database));
            }
        }
    }

    async fn poll_keeper(
        self: Arc<Self>,
        peers: PeerClient,
        address: SocketAddr,
        database: DatabaseId,
    ) {
        let asked = self.fleet.now();
        let request = Request::Primary(database);
        if let Ok(Reply::Primary(Some(report))) = peers.call(address, &request, POLL_TIMEOUT).await
        {
            self.record_report(database, asked, report);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<DatabaseId, Progress>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
