//! The state shared by the tasks of an agent.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwapOption;
use oleander_config::snapshot::Snapshot;
use oleander_core::events::Event;
use oleander_core::time::Time;
use oleander_membership::node::Node;
use oleander_membership::node::StoreState;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::ProxyReport;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::shutdown::Shutdown;
use oleander_runtime::timer::TimerService;
use oleander_store::registration::Registration;
use oleander_store::store::Store;
use oleander_store::vms::VmList;
use tokio::sync::watch;

use crate::failover::monitors::Monitors;
use crate::lock::lock;
use crate::settings::Settings;

/// `Shared` is the state shared by all tasks of an agent.
#[derive(Debug)]
pub struct Shared {
    /// The settings, fixed at the start.
    pub settings: Settings,
    /// The registration that this process writes to the store.
    pub registration: Registration,
    /// The timer service and its clock.
    pub timers: TimerService,
    /// The event log.
    pub journal: Journal,
    /// The client of the store.
    pub store: Store,
    /// The client of the VM list.
    pub vm_list: VmList,
    /// The client for requests to other agents.
    pub peers: PeerClient,
    /// The signal that starts a graceful shutdown.
    pub drain: Shutdown,
    /// The configuration in force; `None` until the first revision comes into force.
    pub snapshot: ArcSwapOption<Snapshot>,
    node: Mutex<Option<Node>>,
    /// The state of the subscribed proxy.
    pub proxy: Mutex<ProxyState>,
    /// The monitors of the databases that this VM is a home of.
    pub monitors: Monitors,
    /// The number of changes that concern a view; each increment wakes the subscribers.
    pub changes: watch::Sender<u64>,
    /// The result of the last read of the configuration head and the share record.
    pub last_read: Mutex<LastRead>,
    /// Set while `platform::read_store` runs.
    pub reading: AtomicBool,
    /// Set while `platform::read_list` runs.
    pub listing: AtomicBool,
    /// Set while `platform::rejoin` runs.
    pub joining: AtomicBool,
    /// Set from a failed call to the store until the next successful one.
    pub store_unreachable: AtomicBool,
}

/// `ProxyState` is the agent's state for its proxy.
#[derive(Clone, Debug, Default)]
pub struct ProxyState {
    /// The last report of the proxy.
    pub report: ProxyReport,
    /// The latest clock sample of the proxy; times in views are relative to it.
    pub clock_sample: ClockSample,
    /// The serial numbers and creation times of the views that the proxy has not confirmed yet,
    /// oldest first.
    pub views: VecDeque<(u64, Time)>,
    /// The serial number of the latest view.
    pub serial: u64,
}

/// `ClockSample` relates the proxy's clock to the agent's: a message that the proxy sent at `sent`
/// was received at `received`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockSample {
    /// The time by the proxy's clock.
    pub sent: Time,
    /// The time by the agent's clock.
    pub received: Time,
}

/// `LastRead` is the result of the last read of the configuration head and the share record.
#[derive(Clone, Debug, Default)]
pub struct LastRead {
    /// The store revision of the configuration head; 0 if there is none.
    pub head_revision: u64,
    /// The head and the share record.
    pub state: StoreState,
}

impl Shared {
    /// Creates the state of an agent that has not registered yet.
    pub fn new(
        settings: Settings,
        registration: Registration,
        timers: TimerService,
        journal: Journal,
        platform: (Store, VmList),
    ) -> Self {
        let (store, vm_list) = platform;
        Self {
            settings,
            registration,
            timers,
            journal,
            store,
            vm_list,
            peers: PeerClient::default(),
            drain: Shutdown::new(),
            snapshot: ArcSwapOption::empty(),
            node: Mutex::new(None),
            proxy: Mutex::default(),
            monitors: Monitors::default(),
            changes: watch::Sender::new(0),
            last_read: Mutex::default(),
            reading: AtomicBool::new(false),
            listing: AtomicBool::new(false),
            joining: AtomicBool::new(false),
            store_unreachable: AtomicBool::new(false),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        self.timers.now()
    }

    /// Runs `operation` on the membership state machine; `None` before the VM has registered.
    pub fn with_node<T>(&self, operation: impl FnOnce(&mut Node, Time) -> T) -> Option<T> {
        let mut node = lock(&self.node);
        // The time is read under the lock, so that it never decreases between two operations.
        let now = self.now();
        node.as_mut().map(|node| operation(node, now))
    }

    /// Installs the membership state machine after the VM has registered.
    pub fn set_node(&self, node: Node) {
        *lock(&self.node) = Some(node);
        self.notify();
    }

    /// Wakes the subscribers of `changes`.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records an event in the journal.
    pub fn record(&self, event: Event, fields: &[Field]) {
        self.journal.record(event, fields);
    }
}

/// `SingleFlight` is held by an operation that must not run concurrently with itself; dropping it
/// clears the operation's flag.
#[derive(Debug)]
pub struct SingleFlight {
    shared: Arc<Shared>,
    flag: fn(&Shared) -> &AtomicBool,
}

impl SingleFlight {
    /// Sets the operation's flag; `None` if it is already set.
    pub fn try_start(shared: &Arc<Shared>, flag: fn(&Shared) -> &AtomicBool) -> Option<Self> {
        let was_running = flag(shared).swap(true, Ordering::AcqRel);
        (!was_running).then(|| Self { shared: Arc::clone(shared), flag })
    }
}

impl Drop for SingleFlight {
    fn drop(&mut self) {
        (self.flag)(&self.shared).store(false, Ordering::Release);
    }
}
