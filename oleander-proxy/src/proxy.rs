//! One proxy: what its parts share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use oleander_core::events::Event;
use oleander_core::ids::Incarnation;
use oleander_core::ids::RequestId;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Time;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_limits::rates::tokens::Limit;
use oleander_node::rates::Rates;
use oleander_peer::client::PeerClient;
use oleander_routing::budget::RetryBudget;
use oleander_routing::budget::RetryOptions;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::metrics::Metrics;
use oleander_runtime::timer::TimerService;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::entry::waits::QueueWaits;
use crate::fleet::view::FleetView;
use crate::home::database::HomeContext;
use crate::home::registry::Homes;
use crate::settings::ProxySettings;

/// `Proxy` holds the parts of one proxy.
pub struct Proxy {
    /// The settings of the process.
    pub settings: ProxySettings,
    /// The identifier of the VM.
    pub vm: VmId,
    /// The timers and the clock.
    pub timers: TimerService,
    /// The events of the process.
    pub journal: Journal,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// The calls to peers.
    pub peers: PeerClient,
    /// The rate limits.
    pub rates: Rates,
    /// The databases of which this VM is a home.
    pub homes: Homes,
    fleet: Arc<ArcSwap<FleetView>>,
    view_changed: Notify,
    queue_waits: QueueWaits,
    retry_budget: Mutex<RetryBudget>,
    next_serial: AtomicU64,
    open_requests: AtomicU64,
    draining: AtomicBool,
    drain_signal: watch::Sender<bool>,
    was_current: AtomicBool,
}

/// `ProxyStatus` is the state of a proxy as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct ProxyStatus {
    /// The name of the VM.
    pub name: String,
    /// The revision in force.
    pub revision: u64,
    /// `true` if the proxy takes keyed requests.
    pub current: bool,
    /// `true` once the proxy drains.
    pub draining: bool,
    /// The requests and transactions that are open.
    pub open: u64,
    /// The names of the databases of which this VM is a home.
    pub homes: Vec<String>,
    /// The latency of answers for each workspace and kind.
    pub latency: Vec<oleander_runtime::metrics::LatencySummary>,
}

impl Proxy {
    /// Makes a proxy that knows nothing of its fleet yet.
    pub fn new(settings: ProxySettings, metrics: Metrics, timers: TimerService) -> Self {
        let vm = VmId::from_name(&settings.name);
        let journal = Journal::new("oleander-proxy", timers.clock());
        let peers = PeerClient::default();
        let fleet = Arc::<ArcSwap<FleetView>>::default();
        let incarnation = new_incarnation();
        let fleet_view = fleet.clone();
        let context = HomeContext {
            vm,
            incarnation,
            place: settings.place(),
            timers: timers.clone(),
            journal: journal.clone(),
            fleet: fleet.clone(),
        };
        Self {
            vm,
            rates: Rates::new(
                vm,
                RateLimiter::new(vm, incarnation.0),
                timers.clone(),
                peers.clone(),
                Box::new(move |vm| fleet_view.load().members.get(&vm).map(|member| member.proxy)),
            ),
            homes: Homes::new(context),
            view_changed: Notify::new(),
            queue_waits: QueueWaits::default(),
            retry_budget: Mutex::new(RetryBudget::new(RetryOptions::default(), timers.now())),
            peers,
            journal,
            metrics,
            timers,
            settings,
            fleet,
            next_serial: AtomicU64::new(0),
            open_requests: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            drain_signal: watch::Sender::new(false),
            was_current: AtomicBool::new(false),
        }
    }

    /// Gets what is known of the fleet.
    pub fn fleet(&self) -> Arc<FleetView> {
        self.fleet.load_full()
    }

    /// Puts a new view of the fleet in force.
    pub fn set_view(self: &Arc<Self>, view: FleetView) {
        if view.draining {
            self.start_drain();
        }
        let view = Arc::new(view);
        let previous = self.fleet.swap(view.clone());
        self.homes.apply(&view);
        let owners: Vec<Option<VmId>> =
            view.shares.owners.iter().map(|owner| owner.map(|owner| owner.vm)).collect();
        self.rates.set_shares(&owners, view.shares_until, LOAN_EXPIRY_WAIT);
        if !Arc::ptr_eq(&previous.snapshot, &view.snapshot) {
            self.rates.set_limits(rate_limits(&view));
        }
        self.log_currency_change();
        self.view_changed.notify_waiters();
    }

    /// Waits for another view, at most until `limit`.
    pub(crate) async fn wait_for_view(&self, limit: Time) {
        tokio::select! {
            () = self.view_changed.notified() => {}
            () = self.timers.sleep_until(limit) => {}
        }
    }

    /// Gets the queue waits last heard from homes.
    pub(crate) fn queue_waits(&self) -> &QueueWaits {
        &self.queue_waits
    }

    /// Gets the retry budget of the entry duty.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the identifier of a new request.
    pub fn next_request_id(&self) -> RequestId {
        RequestId { entry: self.vm, serial: self.next_serial.fetch_add(1, Ordering::Relaxed) }
    }

    /// Counts a request as open for as long as the guard lives.
    pub fn open_request(self: &Arc<Self>) -> OpenGuard {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenGuard(self.clone())
    }

    /// Gets the number of open requests and transactions.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Acquire) + self.homes.open_transactions()
    }

    /// Returns `true` if the balancer may send callers to this VM.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.fleet().is_current(self.timers.now())
    }

    /// Returns `true` once the proxy drains.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins the graceful stop: the VM is no longer ready, and its shares are handed over.
    pub fn start_drain(&self) {
        if !self.draining.swap(true, Ordering::AcqRel) {
            self.journal
                .record(Event::DrainStarted, &[Field::number("open", self.open_requests())]);
            self.drain_signal.send_replace(true);
        }
    }

    /// Waits until a drain was asked for.
    pub async fn drain_started(&self) {
        let _ = self.drain_signal.subscribe().wait_for(|drain| *drain).await;
    }

    /// Logs when the VM stops or starts to be current.
    pub fn log_currency_change(&self) {
        let current = self.fleet().is_current(self.timers.now());
        if self.was_current.swap(current, Ordering::AcqRel) != current {
            let event = if current { Event::CurrencyRegained } else { Event::CurrencyLost };
            self.journal.record(event, &[]);
        }
    }

    /// Gets the state for operators.
    pub fn status(&self) -> ProxyStatus {
        let fleet = self.fleet();
        ProxyStatus {
            name: self.settings.name.clone(),
            revision: fleet.snapshot.revision.0,
            current: fleet.is_current(self.timers.now()),
            draining: self.is_draining(),
            open: self.open_requests(),
            homes: self.homes.names(),
            latency: self.metrics.latencies(),
        }
    }

    /// Gets the state for operators as JSON.
    pub fn status_json(&self) -> String {
        serde_json::to_string(&self.status()).unwrap_or_default()
    }
}

/// `OpenGuard` counts a request as open.
pub struct OpenGuard(Arc<Proxy>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

fn rate_limits(view: &FleetView) -> Vec<(WorkspaceId, Limit)> {
    let limits = view.snapshot.workspaces.iter().filter_map(|(_, workspace)| {
        let id = WorkspaceId::from_name(&workspace.name);
        view.snapshot.rate(id).map(|rate| (id, Limit { rate: rate.rate, burst: rate.burst }))
    });
    limits.collect()
}

/// Makes the number of this life of the proxy; transactions of an earlier life must not match.
fn new_incarnation() -> Incarnation {
    Incarnation(rand::random())
}
