//! Builds a node from its parts, starts its tasks and stops them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use oleander_core::budget::ByteBudget;
use oleander_core::events::Event;
use oleander_core::ids::Incarnation;
use oleander_core::time::Span;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_peer::client::PeerClient;
use oleander_peer::connection::ConnectionOptions;
use oleander_peer::server;
use oleander_peer::traffic::Traffic;
use oleander_ports::promotion::Promotions;
use oleander_ports::sources::Sources;
use oleander_ports::store::KeyValueStore;
use oleander_ports::upstream::Upstreams;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::metrics::Metrics;
use oleander_runtime::timer::TimerService;
use oleander_session::budget;
use oleander_session::budget::SessionBudget;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::charges::Charges;
use crate::control::apply::Applier;
use crate::control::confirm::Confirmation;
use crate::control::feed::Feed;
use crate::control::follow::Follower;
use crate::control::lease::HeldLease;
use crate::control::lease::Leaseholder;
use crate::control::relay::RelayedStore;
use crate::control::shares;
use crate::control::shares::AppliedView;
use crate::entry::forward::Forwarder;
use crate::entry::outliers::ReadOutliers;
use crate::entry::overload::EntryHorizons;
use crate::entry::session::Entry;
use crate::entry::shed;
use crate::fleet::Fleet;
use crate::home::connections::LinkContext;
use crate::home::instance::HomeContext;
use crate::home::registry::Homes;
use crate::home::transactions::Transactions;
use crate::home::warmup::WarmupBudget;
use crate::keeper::duties::Duties;
use crate::peers;
use crate::peers::PeerServer;
use crate::primaries::Primaries;
use crate::rates::Rates;
use crate::settings::NodeSettings;
use crate::status;
use crate::status::NodeStatus;

/// The maximum size of the long messages of all callers of a VM. Up to four copies of a message exist
/// while its statement waits and runs.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// The timeouts of connections between VMs: a silent connection is given up well within the time
/// limit of one statement, but only after several round trips between regions.
const PEER_OPTIONS: ConnectionOptions = ConnectionOptions {
    connect_timeout: Span::from_millis(300),
    ping_interval: Span::from_millis(250),
    idle_interval: Span::from_secs(5),
    // Each VM calls each other one when it joins, and few of them often after that.
    idle_limit: Span::from_secs(8),
    ping_timeout: Span::from_millis(350),
};

/// `Ports` are the adapters through which a node reaches the store, the instances and the platform.
#[derive(Clone)]
pub struct Ports {
    /// The key-value store of the platform.
    pub store: Arc<dyn KeyValueStore>,
    /// The keys of the store that the node reads, and how their values are decoded.
    pub sources: Sources,
    /// Opens connections to instances.
    pub upstreams: Arc<dyn Upstreams>,
    /// Sends promotion orders to the platform.
    pub promotions: Arc<dyn Promotions>,
}

/// `Node` is the running node of one VM.
pub struct Node {
    /// Opens the sessions of callers.
    pub entry: Arc<Entry>,
    /// The view of the store, the clock and the settings.
    pub fleet: Arc<Fleet>,
    /// Counts and times requests.
    pub metrics: Metrics,
    homes: Arc<Homes>,
    duties: Arc<Duties>,
    rates: Rates,
    journal: Journal,
    store: Arc<RelayedStore>,
    traffic: Traffic,
    held_lease: watch::Receiver<Option<HeldLease>>,
    shedding: watch::Receiver<bool>,
    lease_task: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts all tasks of a node; callers may be sent to it once `is_ready` returns `true`.
    ///
    /// # Errors
    /// Fails if the address for other VMs cannot be bound.
    pub async fn start(
        mut settings: NodeSettings,
        ports: Ports,
        timers: TimerService,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.peers).await?;
        // Port 0 stands for any free port.
        settings.peers = listener.local_addr()?;
        let settings = Arc::new(settings);
        let life: u64 = rand::random();
        let journal = Journal::new("oleander-node", timers.clock());
        let metrics = Metrics::local();
        let fleet = Arc::new(Fleet::new(settings.clone(), timers.clone()).with_life(life));
        let peer_client = PeerClient::new(PEER_OPTIONS).with_answers(fleet.answers().clone());
        let store =
            Arc::new(RelayedStore::new(ports.store.clone(), fleet.clone(), peer_client.clone()));
        let primaries = Arc::new(Primaries::new(fleet.clone()));
        let links = LinkContext {
            upstreams: ports.upstreams.clone(),
            timers: timers.clone(),
            journal: journal.clone(),
            answers: fleet.answers().clone(),
        };
        let address_fleet = fleet.clone();
        let rates = Rates::new(
            fleet.vm,
            RateLimiter::with_layout(fleet.vm, life, fleet.share_layout()),
            timers.clone(),
            peer_client.clone(),
            Box::new(move |vm| address_fleet.present_address(vm)),
        );
        let warmup = WarmupBudget { fleet: fleet.clone(), rates: rates.clone() };
        let charges = Charges { fleet: fleet.clone(), rates: rates.clone() };
        let home_context =
            HomeContext { links, primaries: primaries.clone(), warmup, charges: charges.clone() };
        let transactions = Transactions::new(fleet.vm, Incarnation(life));
        let homes = Arc::new(Homes::new(fleet.clone(), home_context, transactions));
        let (lease_sender, held_lease) = watch::channel(None);
        let duties = Arc::new(Duties {
            fleet: fleet.clone(),
            store: store.clone(),
            sources: ports.sources,
            peers: peer_client.clone(),
            upstreams: ports.upstreams.clone(),
            promotions: ports.promotions.clone(),
            held_lease: held_lease.clone(),
            journal: journal.clone(),
            own: Mutex::default(),
            running: Mutex::default(),
        });
        let entry = Arc::new(Entry {
            fleet: fleet.clone(),
            charges,
            forwarder: Forwarder {
                fleet: fleet.clone(),
                primaries: primaries.clone(),
                homes: homes.clone(),
                horizons: settings.overload.then(|| EntryHorizons::new(metrics.clone())),
                outliers: settings
                    .outliers
                    .then(|| ReadOutliers::new(timers.clone(), journal.clone(), metrics.clone())),
                lag_backoff: Mutex::default(),
                peers: peer_client.clone(),
                journal: journal.clone(),
                metrics: metrics.clone(),
            },
            sessions: SessionBudget::new(budget::MAX_TOTAL_BYTES),
            messages: ByteBudget::new(MAX_MESSAGE_BYTES),
            served: AtomicU64::new(0),
            journal: journal.clone(),
            metrics: metrics.clone(),
        });
        let feed = Arc::new(Feed::new(fleet.clone(), peer_client.clone()));
        let follower = Follower {
            fleet: fleet.clone(),
            feed: feed.clone(),
            store: store.clone(),
            applier: Applier::new(ports.sources, settings.clone(), journal.clone()),
            journal: journal.clone(),
        };
        let confirmation = Confirmation {
            fleet: fleet.clone(),
            peers: peer_client.clone(),
            store: store.clone(),
            sources: ports.sources,
            confirmed: AtomicU64::new(0),
            journal: journal.clone(),
        };
        let leaseholder = Leaseholder {
            fleet: fleet.clone(),
            store: store.clone(),
            sources: ports.sources,
            peers: peer_client.clone(),
            journal: journal.clone(),
            rates: rates.clone(),
            life,
            held_lease: lease_sender,
        };
        let (applied_sender, applied) = watch::channel(AppliedView::default());
        let server = Arc::new(PeerServer {
            applied,
            fleet: fleet.clone(),
            homes: homes.clone(),
            duties: duties.clone(),
            primaries: primaries.clone(),
            feed,
            store: store.clone(),
            rates: rates.clone(),
            journal: journal.clone(),
            status: Box::new(status::json(fleet.clone(), homes.clone(), rates.clone())),
        });
        let peer_traffic = peer_client.traffic().clone();
        let traffic = peer_traffic.clone();
        let answer = move |incoming| peers::answer(server.clone(), incoming);
        let (stop, stopped) = watch::channel(false);
        let (shed, shedding) = watch::channel(false);
        let tasks = vec![
            tokio::spawn(shed::run(fleet.clone(), peer_client.clone(), shed)),
            tokio::spawn(async move {
                server::serve(listener, stopped, traffic, answer).await;
                drop(stop);
            }),
            tokio::spawn(follower.run()),
            tokio::spawn(confirmation.run()),
            tokio::spawn(shares::follow(
                fleet.clone(),
                rates.clone(),
                journal.clone(),
                applied_sender,
            )),
            spawn_rates(rates.clone()),
            spawn_homes(homes.clone()),
            spawn_duties(duties.clone()),
            spawn_primaries(primaries, peer_client, homes.clone(), duties.clone()),
        ];
        let fields = [
            Field::text("vm", &settings.name),
            Field::text("peers", settings.peers),
            Field::text("zone", &settings.place.zone),
            Field::number("life", life),
        ];
        journal.record(Event::ProcessStarted, &fields);
        let lease_task = tokio::spawn(leaseholder.run());
        Ok(Self {
            entry,
            fleet,
            metrics,
            homes,
            duties,
            rates,
            journal,
            store,
            traffic: peer_traffic,
            held_lease,
            shedding,
            lease_task,
            tasks,
        })
    }

    /// Returns `true` if callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.fleet.is_ready()
    }

    /// Returns a receiver that is `true` while idle sessions should move to other VMs, because this
    /// one has lost the store and another one has not.
    pub fn shedding(&self) -> watch::Receiver<bool> {
        self.shedding.clone()
    }

    /// Returns the log of the node, which holds its recent events.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Returns the state, counters and latencies as metrics text, one per line.
    pub fn metrics_text(&self) -> String {
        let outliers = &self.entry.forwarder.outliers;
        let ejected = outliers.as_ref().map(|outliers| outliers.text(&self.fleet.view()));
        status::text(&self.fleet, &self.homes, &self.rates)
            + &format!("session_bytes {}\n", self.entry.sessions.used())
            + &format!("message_bytes {}\n", self.entry.messages.used())
            + &format!("answer_bytes {}\n", self.fleet.answers().used())
            + &status::traffic_text(&self.traffic, &self.store.counts())
            + &ejected.unwrap_or_default()
            + &self.metrics.text()
    }

    /// Returns the current state for operators.
    pub fn status(&self) -> NodeStatus {
        status::collect(&self.fleet, &self.homes, &self.rates)
    }

    /// Starts the graceful stop: the node takes no new sessions, and its record in the store is
    /// marked as leaving. Further calls have no effect.
    pub fn start_drain(&self) {
        if !self.fleet.is_draining() {
            self.journal.record(Event::DrainStarted, &[]);
            // The use of shares must end before the record lets other VMs take them over.
            self.rates.stop();
            self.fleet.drain();
        }
    }

    /// Refuses the statements that wait for a slot of an instance at this VM, and all further ones. The
    /// VMs that sent them try other homes.
    pub fn refuse_waiting(&self) {
        self.homes.refuse_waiting();
    }

    /// Stops the node after the drain: rolls open transactions back, closes all connections and
    /// ends the lease.
    pub async fn stop(&self) {
        self.duties.stop();
        // Read first, since the end of the leaseholder task clears it.
        let held = *self.held_lease.borrow();
        self.homes.close().await;
        self.lease_task.abort();
        Leaseholder::release(self.store.as_ref(), held, &self.journal).await;
        self.kill();
        self.journal.record(Event::DrainFinished, &[]);
    }

    /// Stops all tasks at once, as a crash would: the lease is left to expire.
    pub fn kill(&self) {
        self.duties.stop();
        self.lease_task.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn spawn_rates(rates: Rates) -> JoinHandle<()> {
    tokio::spawn(async move { rates.run().await })
}

fn spawn_homes(homes: Arc<Homes>) -> JoinHandle<()> {
    tokio::spawn(async move { homes.watch().await })
}

fn spawn_duties(duties: Arc<Duties>) -> JoinHandle<()> {
    tokio::spawn(async move { duties.run().await })
}

fn spawn_primaries(
    primaries: Arc<Primaries>,
    peers: PeerClient,
    homes: Arc<Homes>,
    duties: Arc<Duties>,
) -> JoinHandle<()> {
    let wanted = move || homes.databases();
    tokio::spawn(primaries.run(peers, wanted, move |database| duties.report(database)))
}
