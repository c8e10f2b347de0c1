//! The state that the parts of a proxy share.

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

/// `Proxy` is one proxy: its settings, the view of the fleet, the rate limiter and the homes.
pub struct Proxy {
    /// The settings of the process.
    pub settings: ProxySettings,
    /// The identifier of the VM, derived from its name.
    pub vm: VmId,
    /// The timers and the clock; all times of the proxy are on this clock.
    pub timers: TimerService,
    /// The journal in which events of the process are recorded.
    pub journal: Journal,
    /// The metrics: latencies and refusals for each workspace and kind of request.
    pub metrics: Metrics,
    /// The client for calls to other VMs and to the agent.
    pub peers: PeerClient,
    /// The rate limiter, which calls the VMs that own the limits' shares.
    pub rates: Rates,
    /// The homes on this VM.
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

/// `ProxyStatus` is the state of a proxy for operators, served as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct ProxyStatus {
    /// The name of the VM.
    pub name: String,
    /// The configuration revision in force; 0 before the first.
    pub revision: u64,
    /// `true` if the configuration is recent enough to accept requests with keys.
    pub current: bool,
    /// `true` once the proxy has started to drain.
    pub draining: bool,
    /// The number of open requests and transactions.
    pub open: u64,
    /// The names of the databases of which this VM is a home.
    pub homes: Vec<String>,
    /// The latency of answered requests for each workspace and kind.
    pub latency: Vec<oleander_runtime::metrics::LatencySummary>,
}

impl Proxy {
    /// Creates a proxy without a view of its fleet; it refuses requests until it has one.
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

    /// Returns the latest view of the fleet.
    pub fn fleet(&self) -> Arc<FleetView> {
        self.fleet.load_full()
    }

    /// Applies a new view of the fleet to the homes and the rate limiter.
    ///
    /// Starts a drain if the view asks for one.
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

    /// Waits for the next view, at most until `limit`.
    pub(crate) async fn wait_for_view(&self, limit: Time) {
        tokio::select! {
            () = self.view_changed.notified() => {}
            () = self.timers.sleep_until(limit) => {}
        }
    }

    /// Returns the queue waits that homes last reported.
    pub(crate) fn queue_waits(&self) -> &QueueWaits {
        &self.queue_waits
    }

    /// Locks the retry budget for sends to homes, which all requests share.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a request identifier that this run of the proxy has not used before.
    pub fn next_request_id(&self) -> RequestId {
        RequestId { entry: self.vm, serial: self.next_serial.fetch_add(1, Ordering::Relaxed) }
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenGuard {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenGuard(self.clone())
    }

    /// Returns the number of open requests and transactions.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Acquire) + self.homes.open_transactions()
    }

    /// Returns `true` if the load balancer may send callers to this VM: it is not draining and its
    /// configuration is current.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.fleet().is_current(self.timers.now())
    }

    /// Returns `true` once the proxy has started to drain.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Starts to drain: the VM is no longer ready, and its shares are handed over. Has no effect if
    /// it is already draining.
    pub fn start_drain(&self) {
        if !self.draining.swap(true, Ordering::AcqRel) {
            self.journal
                .record(Event::DrainStarted, &[Field::number("open", self.open_requests())]);
            self.drain_signal.send_replace(true);
        }
    }

    /// Waits until the proxy starts to drain.
    pub async fn drain_started(&self) {
        let _ = self.drain_signal.subscribe().wait_for(|drain| *drain).await;
    }

    /// Logs an event if this VM's configuration has become current, or stopped being current, since
    /// the last call.
    pub fn log_currency_change(&self) {
        let current = self.fleet().is_current(self.timers.now());
        if self.was_current.swap(current, Ordering::AcqRel) != current {
            let event = if current { Event::CurrencyRegained } else { Event::CurrencyLost };
            self.journal.record(event, &[]);
        }
    }

    /// Returns the state for operators.
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

    /// Returns the state for operators as JSON text.
    pub fn status_json(&self) -> String {
        serde_json::to_string(&self.status()).unwrap_or_default()
    }
}

/// `OpenGuard` counts a request as open until it is dropped.
pub struct OpenGuard(Arc<Proxy>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the rate limit of each workspace that has one.
fn rate_limits(view: &FleetView) -> Vec<(WorkspaceId, Limit)> {
    let limits = view.snapshot.workspaces.iter().filter_map(|(_, workspace)| {
        let id = WorkspaceId::from_name(&workspace.name);
        view.snapshot.rate(id).map(|rate| (id, Limit { rate: rate.rate, burst: rate.burst }))
    });
    limits.collect()
}

/// Returns a random number for this run of the proxy, so that transaction identifiers of an earlier
/// run do not match.
fn new_incarnation() -> Incarnation {
    Incarnation(rand::random())
}
