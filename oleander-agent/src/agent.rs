//! An agent from its start to its orderly stop.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::time::Span;
use oleander_membership::node::Action;
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

/// The time between looks at what has become due.
const TICK: Span = Span::from_millis(50);

/// The time between two attempts to open a watch.
const WATCH_PAUSE: Span = Span::from_millis(500);

/// The time by which a watch may trail the reads before it counts as silent.
const WATCH_LAG: Span = Span::from_secs(2);

/// `Agent` is a running agent. Dropping it ends it at once, as a crash would.
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
    /// Fails if the peer address cannot be bound. Until the store answers, the agent waits.
    pub async fn start(settings: Settings) -> Result<Self> {
        let listener = TcpListener::bind(settings.listen).await.map_err(listen_error)?;
        Self::start_on(listener, settings).await
    }

    /// Starts an agent on a listener that is bound already.
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

    /// Gets the address at which the agent takes peer streams.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Gets the signal that starts the orderly stop.
    pub fn drain_signal(&self) -> Shutdown {
        self.shared.drain.clone()
    }

    /// Gets the event log.
    pub fn journal(&self) -> &Journal {
        &self.shared.journal
    }

    /// Gets the state as JSON, as `oleanderctl status` shows it.
    pub fn status(&self) -> String {
        crate::status::describe(&self.shared)
    }

    /// Waits until the agent has stopped in an orderly way.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }

    /// Stops the agent in an orderly way: tells the fleet, hands shares over, and ends.
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
    tasks.spawn(oleander_peer::server::serve(listener, stopped, handler));
    let joined = tokio::select! {
        joined = platform::join(&shared) => joined,
        // Nothing is owned yet, so nothing has to be handed over.
        () = shared.drain.wait() => return,
    };
    actions::run(&shared, joined);
    tasks.spawn(keep_rounds(Arc::clone(&shared)));
    tasks.spawn(watch_changes(Arc::clone(&shared)));
    tasks.spawn(follow_store(Arc::clone(&shared)));
    tasks.spawn(failover::run(Arc::clone(&shared)));
    shared.drain.wait().await;
    drain(&shared).await;
}

/// Sends heartbeats at a steady interval.
async fn keep_rounds(shared: Arc<Shared>) {
    let mut ticks = shared.timers.interval(shared.settings.times.heartbeat);
    loop {
        ticks.tick().await;
        let entropy = rand::random();
        let actions = shared.with_node(|node, now| node.round(now, entropy));
        actions::run(&shared, actions.unwrap_or_default());
    }
}

/// Logs what changes in the fleet, and wakes subscribers when a share becomes usable.
async fn watch_changes(shared: Arc<Shared>) {
    let mut observer = Observer::default();
    let mut ticks = shared.timers.interval(TICK);
    let mut shown = None;
    loop {
        ticks.tick().await;
        let seen = shared.with_node(|node, now| {
            let observations = observer.observe(node, now);
            let mut tended = node.poll_hand_over(now);
            tended.extend(node.poll_head(now));
            (observations, tended, (node.usable_map(now), now < node.current_until(now)))
        });
        let Some((observations, tended, state)) = seen else { continue };
        for observation in observations {
            shared.record(observation.event, &observation.fields);
        }
        if shown.as_ref() != Some(&state) {
            shown = Some(state);
            shared.notify();
        }
        actions::run(&shared, tended);
    }
}

/// Keeps a watch open while this VM is one of the watchers.
async fn follow_store(shared: Arc<Shared>) {
    loop {
        let is_watcher = shared.with_node(|node, now| node.is_watcher(now)).unwrap_or(false);
        if is_watcher {
            // A watch that fails is opened again; meanwhile the reads go on.
            let _ = follow_watch(&shared).await;
        }
        shared.timers.sleep(WATCH_PAUSE).await;
    }
}

async fn follow_watch(shared: &Arc<Shared>) -> oleander_store::errors::Result<()> {
    let mut watch = shared.store.watch(keys::HEAD, keys::WATCH_END).await?;
    // What changed while no watch was open is read now.
    actions::run(shared, vec![Action::ReadStore, Action::ReadRoster]);
    let mut told = 0;
    let mut expected = 0;
    loop {
        tokio::select! {
            notice = watch.next() => {
                let notice = notice?;
                told = told.max(notice.revision.0);
                let is_roster = |key: &str| key.starts_with(keys::VMS);
                if notice.changed.iter().any(|entry| is_roster(&entry.key)) {
                    actions::run(shared, vec![Action::ReadRoster]);
                }
                if notice.changed.iter().any(|entry| !is_roster(&entry.key)) {
                    actions::run(shared, vec![Action::ReadStore]);
                }
            }
            () = shared.timers.sleep(WATCH_LAG) => {
                if told < expected {
                    // A read found this a while ago, and the watch has not told it.
                    shared.record(Event::ConnectionSilent, &[Field::text("to", "store watch")]);
                    shared.store.abandon_connections();
                    return Ok(());
                }
                expected = platform::read_revision(shared);
            }
        }
        if !shared.with_node(|node, now| node.is_watcher(now)).unwrap_or(false) {
            return Ok(());
        }
    }
}

/// Tells the fleet that this VM leaves, and waits until its shares are handed over and its proxy
/// has finished; until then peers must find the proxy for transactions that are open there.
async fn drain(shared: &Arc<Shared>) {
    shared.record(Event::DrainStarted, &[]);
    let entropy = rand::random();
    let actions = shared.with_node(|node, now| node.leave(now, entropy));
    actions::run(shared, actions.unwrap_or_default());
    shared.notify();
    let due = shared.now() + shared.settings.times.drain;
    let mut left = false;
    while shared.now() < due && !left {
        shared.timers.sleep(TICK).await;
        left = is_finished(shared) && has_departed(shared).await;
    }
    // The VM list ends what could not be ended here.
    if left || platform::unregister(shared).await.is_ok() {
        let news =
            shared.with_node(|node, now| node.announce_removal(now, entropy)).unwrap_or_default();
        actions::finish(shared, news).await;
    }
    shared.record(Event::DrainFinished, &[]);
}

/// Attempts to leave; reads the record of shares again if it still names this VM.
async fn has_departed(shared: &Arc<Shared>) -> bool {
    if platform::depart(shared).await == Ok(Departure::Left) {
        return true;
    }
    let actions = platform::read_store(shared).await;
    actions::run(shared, actions);
    false
}

fn is_finished(shared: &Shared) -> bool {
    let is_idle = lock(&shared.proxy).report.open == 0;
    is_idle && shared.with_node(|node, _| node.owns_no_shares()).unwrap_or(true)
}
