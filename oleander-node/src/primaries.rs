//! Tracks the log positions of the primaries.
//!
//! A position is learned from the keeper of the database, which asks the primary a few times a
//! second, and from the answers of the primary to statements at its home. While the keeper does not
//! answer, other VMs ask the home of the primary.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::VmId;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::PrimaryReport;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_routing::samples::Sample;
use oleander_routing::samples::Samples;
use tokio::sync::Notify;

use crate::fleet::Fleet;

/// The interval at which a keeper is polled: several polls within the age that reads accept.
const POLL_INTERVAL: Span = Span::from_millis(250);

/// The time within which a keeper must answer.
const POLL_TIMEOUT: Span = Span::from_millis(400);

/// The shortest time between two polls for positions that are not known.
const MISSING_PAUSE: Span = Span::from_millis(20);

/// The age of the newest sample from which on the home of the primary is asked beside the keeper.
const KEEPER_SILENCE: Span = Span::from_millis(500);

/// `Primaries` holds the log positions of the primary of each database over time. Which instance is
/// the primary comes from the keeper records in the view.
#[derive(Debug)]
pub struct Primaries {
    fleet: Arc<Fleet>,
    state: Mutex<HashMap<DatabaseId, Progress>>,
    /// Wakes the poller when a read needs a position that is not known.
    missing: Notify,
    /// Wakes the reads that wait for a position.
    recorded: Notify,
}

/// `Progress` is the reported log positions of the primary of one database.
#[derive(Debug, Default)]
struct Progress {
    samples: Samples,
}

impl Primaries {
    /// Creates an empty table; `run` fills it.
    pub fn new(fleet: Arc<Fleet>) -> Self {
        let (missing, recorded) = (Notify::new(), Notify::new());
        Self { fleet, state: Mutex::default(), missing, recorded }
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
        drop(state);
        self.recorded.notify_waiters();
    }

    /// Records the position in an answer of an instance to a statement that was sent after `asked`,
    /// provided that no other instance has led since.
    pub fn record_answer(
        &self,
        database: DatabaseId,
        instance: InstanceKey,
        asked: Time,
        point: LogPoint,
    ) {
        if self.confirms(database, instance) {
            self.record_report(database, asked, PrimaryReport { point, age: Span::ZERO });
        }
    }

    /// Returns the newest known position of the primary; `None` if there is none.
    pub fn report(&self, database: DatabaseId) -> Option<PrimaryReport> {
        let sample = self.lock().get(&database)?.samples.newest()?;
        Some(PrimaryReport { point: sample.point, age: self.fleet.now().since(sample.time) })
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

    /// Returns the point as `floor` does. If none is known, asks for it and waits for up to `limit`.
    pub async fn floor_within(
        &self,
        database: DatabaseId,
        age: Span,
        limit: Span,
    ) -> Option<LogPoint> {
        let waiting = async {
            loop {
                let recorded = self.recorded.notified();
                if let Some(floor) = self.floor(database, age) {
                    return floor;
                }
                self.missing.notify_one();
                recorded.await;
            }
        };
        self.fleet.timers.within(limit, waiting).await
    }

    /// Polls for the positions of the primaries of the databases that `wanted` returns, until
    /// dropped.
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
            let is_tick = tokio::select! {
                _ = ticks.tick() => true,
                () = self.missing.notified() => false,
            };
            for database in wanted() {
                if is_tick || self.is_silent(database) {
                    self.poll(&peers, database, &local);
                }
            }
            if !is_tick {
                // The requests that follow in this time need no poll of their own.
                self.fleet.timers.sleep(MISSING_PAUSE).await;
            }
        }
    }

    /// Asks for the position of the primary of a database.
    fn poll(
        self: &Arc<Self>,
        peers: &PeerClient,
        database: DatabaseId,
        local: impl Fn(DatabaseId) -> Option<PrimaryReport>,
    ) {
        // Read first: the position may be older than this, but not newer.
        let asked = self.fleet.now();
        let keeper = self.fleet.view().keepers.get(&database).and_then(|keeper| keeper.holder);
        if keeper == Some(self.fleet.vm)
            && let Some(report) = local(database)
        {
            self.record_report(database, asked, report);
        }
        let home = if self.is_silent(database) { self.home_of_primary(database) } else { None };
        for vm in keeper.into_iter().chain(home.filter(|home| Some(*home) != keeper)) {
            let Some(address) = self.fleet.address(vm).filter(|_| vm != self.fleet.vm) else {
                continue;
            };
            tokio::spawn(self.clone().poll_vm(peers.clone(), address, database));
        }
    }

    /// Returns `true` if no position is known that is younger than `KEEPER_SILENCE`.
    fn is_silent(&self, database: DatabaseId) -> bool {
        self.report(database).is_none_or(|report| KEEPER_SILENCE <= report.age)
    }

    /// Returns the VM that is the home of the primary of a database.
    fn home_of_primary(&self, database: DatabaseId) -> Option<VmId> {
        let view = self.fleet.view();
        let primary = view.instances.get(&self.primary(database)?)?;
        self.fleet.write_homes(primary).first().copied()
    }

    async fn poll_vm(
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
