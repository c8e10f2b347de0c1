//! The state that an agent's tasks share.

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

use crate::failover::guards::Guards;
use crate::lock::lock;
use crate::settings::Settings;

/// `Shared` is what all tasks of an agent hold.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// What this life of the VM registers.
    pub registration: Registration,
    /// The clock and the timers.
    pub timers: TimerService,
    /// The event log.
    pub journal: Journal,
    /// The client of the store.
    pub store: Store,
    /// The client of the VM list.
    pub list: VmList,
    /// The client of the other agents.
    pub peers: PeerClient,
    /// The signal that asks for an orderly stop.
    pub drain: Shutdown,
    /// The configuration in force.
    pub snapshot: ArcSwapOption<Snapshot>,
    node: Mutex<Option<Node>>,
    /// What the proxy reported last, and what views count from.
    pub proxy: Mutex<ProxyState>,
    /// The databases that this VM is a home of.
    pub guards: Guards,
    /// Counts the changes that a view shows.
    pub changes: watch::Sender<u64>,
    /// What the last read of head and shares found.
    pub last_read: Mutex<LastRead>,
    /// Set while a read of the store is under way.
    pub reading: AtomicBool,
    /// Set while a read of the VM list is under way.
    pub listing: AtomicBool,
    /// Set while the VM registers again.
    pub joining: AtomicBool,
    /// Set while the store does not answer.
    pub unreachable: AtomicBool,
}

/// `ProxyState` is what the agent knows of its proxy.
#[derive(Clone, Debug, Default)]
pub struct ProxyState {
    /// The last report.
    pub report: ProxyReport,
    /// The point from which views count.
    pub echo: Echo,
    /// The numbers of the latest views and the times at which they were made.
    pub views: VecDeque<(u64, Time)>,
    /// The number of the latest view.
    pub serial: u64,
}

/// `Echo` ties a time of the proxy's clock to one of the agent's: what the proxy sent at `sent`
/// came in at `received`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Echo {
    /// The proxy's time.
    pub sent: Time,
    /// The agent's time.
    pub received: Time,
}

/// `LastRead` is what the last read of head and shares found.
#[derive(Clone, Debug, Default)]
pub struct LastRead {
    /// The number of the stored head.
    pub head: u64,
    /// What was found.
    pub state: StoreState,
}

impl Shared {
    /// Makes the state of an agent that has not registered yet.
    pub fn new(
        settings: Settings,
        registration: Registration,
        timers: TimerService,
        journal: Journal,
        platform: (Store, VmList),
    ) -> Self {
        let (store, list) = platform;
        Self {
            settings,
            registration,
            timers,
            journal,
            store,
            list,
            peers: PeerClient::default(),
            drain: Shutdown::new(),
            snapshot: ArcSwapOption::empty(),
            node: Mutex::new(None),
            proxy: Mutex::default(),
            guards: Guards::default(),
            changes: watch::Sender::new(0),
            last_read: Mutex::default(),
            reading: AtomicBool::new(false),
            listing: AtomicBool::new(false),
            joining: AtomicBool::new(false),
            unreachable: AtomicBool::new(false),
        }
    }

    /// Gets the time.
    pub fn now(&self) -> Time {
        self.timers.now()
    }

    /// Runs `use_node` on the decisions; `None` before the VM has registered.
    pub fn with_node<T>(&self, use_node: impl FnOnce(&mut Node, Time) -> T) -> Option<T> {
        let mut node = lock(&self.node);
        // The time is read under the lock, so that the decisions see it grow.
        let now = self.now();
        node.as_mut().map(|node| use_node(node, now))
    }

    /// Puts the decisions of a new life in place.
    pub fn set_node(&self, node: Node) {
        *lock(&self.node) = Some(node);
        self.notify();
    }

    /// Tells subscribers that there is something new.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records an event.
    pub fn record(&self, event: Event, fields: &[Field]) {
        self.journal.record(event, fields);
    }
}

/// `Busy` marks a piece of work that must not run twice at once; dropping it ends the mark.
#[derive(Debug)]
pub struct Busy {
    shared: Arc<Shared>,
    flag: fn(&Shared) -> &AtomicBool,
}

impl Busy {
    /// Attempts to begin; `None` if the work is under way.
    pub fn begin(shared: &Arc<Shared>, flag: fn(&Shared) -> &AtomicBool) -> Option<Self> {
        let was_busy = flag(shared).swap(true, Ordering::AcqRel);
        (!was_busy).then(|| Self { shared: Arc::clone(shared), flag })
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        (self.flag)(&self.shared).store(false, Ordering::Release);
    }
}
