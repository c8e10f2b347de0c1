//! One VM of a fleet: its agent and its proxy.

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

/// Any free port of the loopback address.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The threads that serve callers of one proxy.
const THREADS: usize = 1;

/// `NodeOptions` say how a VM is started.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The name of the VM.
    pub name: String,
    /// Where it stands.
    pub place: Place,
    /// The base URL of the store.
    pub store: String,
    /// The base URL of the VM list.
    pub vms: String,
    /// The number of shares of the fleet.
    pub shares: u16,
    /// The times of the agent.
    pub times: Times,
    /// The time between the loss of readiness and the end of accepting.
    pub settle: Span,
    /// The time after which a stop cuts what is still open.
    pub drain: Span,
}

/// `Node` is a running VM. Dropping it ends it at once, as a crash would.
pub struct Node {
    /// The name of the VM.
    pub name: String,
    /// The address at which callers are served.
    pub callers: SocketAddr,
    proxy: RunningProxy,
    agent: Agent,
}

impl Node {
    /// Starts the agent and the proxy of a VM.
    ///
    /// Fails if one of them cannot listen.
    pub async fn start(options: NodeOptions) -> Result<Self> {
        let NodeOptions { name, place, store, vms, shares, times, settle, drain } = options;
        let listener = TcpListener::bind(ANY).await?;
        let settings = ProxySettings {
            name: name.clone(),
            region: place.region.clone(),
            zone: place.zone.clone(),
            callers: ANY,
            peers: ANY,
            agent: listener.local_addr()?,
            metrics: None,
            threads: THREADS,
            settle,
            drain,
        };
        let timers = TimerService::start(Clock::new());
        let proxy = RunningProxy::start(settings, Metrics::local(), timers).await?;
        let settings = Settings {
            name: name.clone(),
            region: place.region,
            zone: place.zone,
            listen: ANY,
            proxy: proxy.peers,
            store: vec![store],
            vms,
            shares,
            times,
        };
        let agent = Agent::start_on(listener, settings).await.map_err(configuration_error)?;
        Ok(Self { name, callers: proxy.callers, proxy, agent })
    }

    /// Gets the proxy.
    pub fn proxy(&self) -> &Arc<Proxy> {
        &self.proxy.proxy
    }

    /// Gets the agent.
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// Stops the VM gracefully.
    pub async fn stop(self) {
        let Self { proxy, agent, .. } = self;
        // The agent hands the shares over while the proxy still serves.
        proxy.proxy.start_drain();
        let agent = tokio::spawn(agent.stop());
        proxy.stop().await;
        let _ = agent.await;
    }

    /// Ends the VM at once.
    pub fn kill(self) {
        self.proxy.kill();
    }
}
