//! The agent: startup, background tasks and graceful shutdown.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::time::Span;
use oleander_membership::node::Action;
use oleander_peer::traffic::Traffic;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::shutdown::Shutdown;
use oleander_runtime::timer::TimerService;
use oleander_store::keys;
use oleander_store::registration::Registration;
use oleander_store::store::Store;
use oleander_store::store::StoreOptions;
use oleander_store::vms::VmList;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::actions;
use crate::errors::Result;
use crate::errors::listen_error;
use crate::failover;
use crate::lock::lock;
use crate::observer::Observer;
use crate::platform;
use crate::platform::Departure;
use crate::server;
use crate::settings::Settings;
use crate::shared::Shared;

/// The interval at which the state machine is polled for changes and due work.
const TICK_INTERVAL: Span = Span::from_millis(50);

/// The delay before a watch is opened or its need is checked again.
const WATCH_RETRY_DELAY: Span = Span::from_millis(500);

/// The time without a message after which a watch is compared with the reads of the store. It
/// counts as silent if it has not reported a revision that a read had found by the previous
/// comparison.
const MAX_WATCH_LAG: Span = Span::from_secs(2);

/// `Agent` is a running agent. Dropping it aborts its tasks without handing over shares, as a crash
/// would.
#[derive(Debug)]
pub struct Agent {
    shared: Arc<Shared>,
    address: std::net::SocketAddr,
    task: JoinHandle<()>,
    stop: tokio::sync::watch::Sender<bool>,
}

impl Agent {
    /// Starts an agent with the given settings.
    ///
    /// Fails if the peer address cannot be bound. Registration continues in the background and is
    /// retried until the store answers.
    pub async fn start(settings: Settings) -> Result<Self> {
        let listener = TcpListener::bind(settings.listen).await.map_err(listen_error)?;
        Self::start_on(listener, settings).await
    }

    /// Starts an agent on an already bound listener, ignoring the address in the settings.
    pub async fn start_on(listener: TcpListener, settings: Settings) -> Result<Self> {
        let address = listener.local_addr().map_err(listen_error)?;
        let clock = Clock::new();
        let journal = Journal::new(&format!("agent/{}", settings.name), clock);
        journal.record(Event::ProcessStarted, &[Field::text("address", address)]);
        let registration = Registration {
            name: settings.name.clone(),
            place: settings.place(),
            agent: address,
            proxy: settings.proxy,
            life: rand::random(),
        };
        let options = StoreOptions {
            endpoints: settings.store.clone(),
            deadline: settings.times.call,
            ..StoreOptions::default()
        };
        let list = VmList::new(settings.vms.clone(), settings.times.call);
        let platform = (Store::new(options), list);
        let timers = TimerService::start(clock);
        let shared = Arc::new(Shared::new(settings, registration, timers, journal, platform));
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let task = tokio::spawn(run(Arc::clone(&shared), listener, stopped));
        Ok(Self { shared, address, task, stop })
    }

    /// Returns the address at which the agent accepts peer streams.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Returns the signal that starts a graceful shutdown.
    pub fn drain_signal(&self) -> Shutdown {
        self.shared.drain.clone()
    }

    /// Returns the event log.
    pub fn journal(&self) -> &Journal {
        &self.shared.journal
    }

    /// Returns the state of the agent as JSON, in the form that `oleanderctl status` reads.
    pub fn status(&self) -> String {
        crate::status::describe(&self.shared)
    }

    /// Waits until the agent has shut down gracefully, after `drain_signal` was triggered.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }

    /// Shuts the agent down gracefully: announces the departure, hands over the shares and ends.
    pub async fn stop(self) {
        self.shared.drain.trigger();
        self.wait().await;
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        self.task.abort();
    }
}

async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    stopped: tokio::sync::watch::Receiver<bool>,
) {
    let mut tasks = JoinSet::new();
    let handler = {
        let shared = Arc::clone(&shared);
        move |incoming| server::handle(Arc::clone(&shared), incoming)
    };
    let traffic = Traffic::default();
    tasks.spawn(oleander_peer::server::serve(listener, stopped, traffic, handler));
    let joined = tokio::select! {
        joined = platform::join(&shared) => joined,
        // The VM owns no shares yet, so there is nothing to hand over.
        () = shared.drain.wait() => return,
    };
    actions::run(&shared, joined);
    tasks.spawn(send_heartbeats(Arc::clone(&shared)));
    tasks.spawn(observe_changes(Arc::clone(&shared)));
    tasks.spawn(maintain_watch(Arc::clone(&shared)));
    tasks.spawn(failover::run(Arc::clone(&shared)));
    shared.drain.wait().await;
    drain(&shared).await;
}

/// Runs a round of heartbeats and periodic work at each heartbeat interval.
async fn send_heartbeats(shared: Arc<Shared>) {
    let mut ticks = shared.timers.interval(shared.settings.times.heartbeat);
    loop {
        ticks.tick().await;
        let entropy = rand::random();
        let actions = shared.with_node(|node, now| node.round(now, entropy));
        actions::run(&shared, actions.unwrap_or_default());
    }
}

/// Logs changes of the fleet, polls for due work, and notifies subscribers when the set of usable
/// shares or the currency of this VM changes.
async fn observe_changes(shared: Arc<Shared>) {
    let mut observer = Observer::default();
    let mut ticks = shared.timers.interval(TICK_INTERVAL);
    let mut last_state = None;
    loop {
        ticks.tick().await;
        let polled = shared.with_node(|node, now| {
            let observations = observer.observe(node, now);
            let mut actions = node.poll_hand_over(now);
            actions.extend(node.poll_head(now));
            (observations, actions, (node.usable_map(now), now < node.current_until(now)))
        });
        let Some((observations, actions, state)) = polled else { continue };
        for observation in observations {
            shared.record(observation.event, &observation.fields);
        }
        if last_state.as_ref() != Some(&state) {
            last_state = Some(state);
            shared.notify();
        }
        actions::run(&shared, actions);
    }
}

/// Keeps a watch on the store open while this VM is one of the fleet's watchers.
async fn maintain_watch(shared: Arc<Shared>) {
    loop {
        let is_watcher = shared.with_node(|node, now| node.is_watcher(now)).unwrap_or(false);
        if is_watcher {
            // A failed watch is reopened after the delay; the periodic reads continue meanwhile.
            let _ = run_watch(&shared).await;
        }
        shared.timers.sleep(WATCH_RETRY_DELAY).await;
    }
}

/// Reads the keys that the watch reports as changed. Returns once this VM is no longer a watcher
/// or the watch has proved silent.
async fn run_watch(shared: &Arc<Shared>) -> oleander_store::errors::Result<()> {
    let mut watch = shared.store.watch(keys::HEAD, keys::WATCH_END).await?;
    // Covers the changes made while no watch was open.
    actions::run(shared, vec![Action::ReadStore, Action::ReadRoster]);
    let mut reported = 0;
    let mut expected = 0;
    loop {
        tokio::select! {
            update = watch.next() => {
                let update = update?;
                reported = reported.max(update.revision.0);
                let is_roster = |key: &str| key.starts_with(keys::VMS);
                if update.changed.iter().any(|entry| is_roster(&entry.key)) {
                    actions::run(shared, vec![Action::ReadRoster]);
                }
                if update.changed.iter().any(|entry| !is_roster(&entry.key)) {
                    actions::run(shared, vec![Action::ReadStore]);
                }
            }
            () = shared.timers.sleep(MAX_WATCH_LAG) => {
                if reported < expected {
                    // A read found this revision at least `MAX_WATCH_LAG` ago and the watch has not
                    // reported it.
                    shared.record(Event::ConnectionSilent, &[Field::text("to", "store watch")]);
                    shared.store.abandon_connections();
                    return Ok(());
                }
                expected = platform::last_read_revision(shared);
            }
        }
        if !shared.with_node(|node, now| node.is_watcher(now)).unwrap_or(false) {
            return Ok(());
        }
    }
}

/// Announces that this VM is leaving, and waits until its shares are handed over and its proxy has
/// no open work. The registration stays until then, because peers must be able to reach the proxy
/// for the transactions that are open there.
async fn drain(shared: &Arc<Shared>) {
    shared.record(Event::DrainStarted, &[]);
    let entropy = rand::random();
    let actions = shared.with_node(|node, now| node.leave(now, entropy));
    actions::run(shared, actions.unwrap_or_default());
    shared.notify();
    let deadline = shared.now() + shared.settings.times.drain;
    let mut departed = false;
    while shared.now() < deadline && !departed {
        shared.timers.sleep(TICK_INTERVAL).await;
        departed = is_drained(shared) && try_depart(shared).await;
    }
    // After the deadline the registration is deleted in any case. If that fails too, the fleet
    // removes this VM once the VM list no longer contains it.
    if departed || platform::unregister(shared).await.is_ok() {
        let announcements =
            shared.with_node(|node, now| node.announce_removal(now, entropy)).unwrap_or_default();
        actions::run_to_completion(shared, announcements).await;
    }
    shared.record(Event::DrainFinished, &[]);
}

/// Attempts to delete the registration. Returns `false`, after reading the share record again, if
/// that record still names this VM or the attempt failed.
async fn try_depart(shared: &Arc<Shared>) -> bool {
    if platform::depart(shared).await == Ok(Departure::Left) {
        return true;
    }
    let actions = platform::read_store(shared).await;
    actions::run(shared, actions);
    false
}

/// Returns `true` if the proxy has no open work and this VM owns no shares.
fn is_drained(shared: &Shared) -> bool {
    let is_idle = lock(&shared.proxy).report.open == 0;
    is_idle && shared.with_node(|node, _| node.owns_no_shares()).unwrap_or(true)
}
