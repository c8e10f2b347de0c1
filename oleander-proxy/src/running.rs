//! Starts and stops a proxy.

use std::net::SocketAddr;
use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::time::Span;
use oleander_node::rates::Rates;
use oleander_peer::server;
use oleander_peer::traffic::Traffic;
use oleander_runtime::logs::Field;
use oleander_runtime::metrics::Metrics;
use oleander_runtime::timer::TimerService;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::callers::http::CallerServer;
use crate::fleet::subscription;
use crate::peers;
use crate::proxy::Proxy;
use crate::settings::ProxySettings;

/// The interval at which a stop checks for open requests.
const DRAIN_POLL_INTERVAL: Span = Span::from_millis(20);

/// The interval of the periodic work on the homes, such as ending overdue transactions.
const TICK_INTERVAL: Span = Span::from_millis(50);

/// `RunningProxy` is a started proxy with its servers and background tasks.
pub struct RunningProxy {
    /// The state of the proxy.
    pub proxy: Arc<Proxy>,
    /// The bound address of the HTTP server for callers.
    pub callers: SocketAddr,
    /// The bound address of the server for peers.
    pub peers: SocketAddr,
    server: CallerServer,
    stop_peers: watch::Sender<bool>,
    peer_task: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningProxy {
    /// Starts a proxy and returns once it listens.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(
        settings: ProxySettings,
        metrics: Metrics,
        timers: TimerService,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.peers).await?;
        let peers = listener.local_addr()?;
        let callers = settings.callers;
        let threads = settings.threads;
        let proxy = Arc::new(Proxy::new(settings, metrics, timers));
        let server = CallerServer::start(proxy.clone(), callers, threads)?;
        let (stop_peers, stopped) = watch::channel(false);
        let handler = proxy.clone();
        let answer = move |incoming| peers::answer(handler.clone(), incoming);
        let peer_task = tokio::spawn(server::serve(listener, stopped, Traffic::default(), answer));
        let tasks = vec![
            tokio::spawn(subscription::follow_views(proxy.clone())),
            tokio::spawn(subscription::report_state(proxy.clone())),
            spawn_rates(proxy.rates.clone()),
            tokio::spawn(tick_homes(proxy.clone())),
        ];
        let fields = [Field::text("callers", server.address), Field::text("peers", peers)];
        proxy.journal.record(Event::ProcessStarted, &fields);
        Ok(Self { callers: server.address, peers, proxy, server, stop_peers, peer_task, tasks })
    }

    /// Stops the proxy immediately, as a crash does, and closes all its sockets.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.peer_task.abort();
        self.proxy.homes.close_all();
        self.server.kill();
    }

    /// Stops gracefully. Requests and transactions still open when the drain limit expires are
    /// aborted.
    pub async fn stop(self) {
        let proxy = &self.proxy;
        let limit = proxy.timers.now() + proxy.settings.drain;
        proxy.start_drain();
        proxy.timers.sleep(proxy.settings.settle).await;
        while 0 < proxy.open_requests() && proxy.timers.now() < limit {
            proxy.timers.sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.server.stop().await;
        self.stop_peers.send_replace(true);
        tokio::select! {
            _ = self.peer_task => {}
            () = proxy.timers.sleep_until(limit) => {}
        }
        proxy.journal.record(Event::DrainFinished, &[Field::number("cut", proxy.open_requests())]);
        for task in self.tasks {
            task.abort();
        }
    }
}

/// Runs the periodic work on the homes until dropped.
async fn tick_homes(proxy: Arc<Proxy>) {
    let mut ticks = proxy.timers.interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        proxy.homes.tick();
        proxy.log_currency_change();
    }
}

fn spawn_rates(rates: Rates) -> JoinHandle<()> {
    tokio::spawn(async move { rates.run().await })
}
