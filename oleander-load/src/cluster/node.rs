//! A VM of a fleet: its agent and its proxy.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use oleander_agent::agent::Agent;
use oleander_agent::settings::Settings;
use oleander_agent::settings::Times;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_proxy::proxy::Proxy;
use oleander_proxy::running::RunningProxy;
use oleander_proxy::settings::ProxySettings;
use oleander_runtime::clock::Clock;
use oleander_runtime::metrics::Metrics;
use oleander_runtime::timer::TimerService;
use tokio::net::TcpListener;

use crate::cluster::errors::Result;
use crate::cluster::errors::configuration_error;

/// The loopback address with a port chosen by the system.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The number of threads with which a proxy serves clients.
const PROXY_THREADS: usize = 1;

/// `NodeOptions` are the options of a VM.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The name of the VM.
    pub name: String,
    /// The region and the zone of the VM.
    pub place: Place,
    /// The base URL of the store.
    pub store: String,
    /// The base URL of the VM list.
    pub vms: String,
    /// The number of shares of the fleet.
    pub shares: u16,
    /// The intervals and timeouts of the agent.
    pub times: Times,
    /// The time between a proxy's loss of readiness and the end of accepting connections.
    pub settle: Span,
    /// The time after which a stop aborts requests and transactions that are still open.
    pub drain: Span,
}

/// `Node` is a running VM. Dropping it ends the VM at once, like a crash.
pub struct Node {
    /// The name of the VM.
    pub name: String,
    /// The address at which the proxy accepts clients.
    pub callers: SocketAddr,
    proxy: RunningProxy,
    agent: Agent,
}

impl Node {
    /// Starts the agent and the proxy of a VM.
    ///
    /// Returns an error if one of them cannot listen or the agent refuses its settings.
    pub async fn start(options: NodeOptions) -> Result<Self> {
        let NodeOptions { name, place, store, vms, shares, times, settle, drain } = options;
        let listener = TcpListener::bind(ANY_PORT).await?;
        let settings = ProxySettings {
            name: name.clone(),
            region: place.region.clone(),
            zone: place.zone.clone(),
            callers: ANY_PORT,
            peers: ANY_PORT,
            agent: listener.local_addr()?,
            metrics: None,
            threads: PROXY_THREADS,
            settle,
            drain,
        };
        let timers = TimerService::start(Clock::new());
        let proxy = RunningProxy::start(settings, Metrics::local(), timers).await?;
        let settings = Settings {
            name: name.clone(),
            region: place.region,
            zone: place.zone,
            listen: ANY_PORT,
            proxy: proxy.peers,
            store: vec![store],
            vms,
            shares,
            times,
        };
        let agent = Agent::start_on(listener, settings).await.map_err(configuration_error)?;
        Ok(Self { name, callers: proxy.callers, proxy, agent })
    }

    /// Returns the proxy of the VM.
    pub fn proxy(&self) -> &Arc<Proxy> {
        &self.proxy.proxy
    }

    /// Returns the agent of the VM.
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// Drains and stops the proxy and the agent.
    pub async fn stop(self) {
        let Self { proxy, agent, .. } = self;
        // The agent hands over the shares while the proxy still serves requests.
        proxy.proxy.start_drain();
        let agent = tokio::spawn(agent.stop());
        proxy.stop().await;
        let _ = agent.await;
    }

    /// Ends the VM at once, like a crash.
    pub fn kill(self) {
        self.proxy.kill();
    }
}
