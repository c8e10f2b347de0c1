//! The settings of one proxy process.

use std::net::SocketAddr;

use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_runtime::settings::span;
use serde::Deserialize;

/// `ProxySettings` are the settings of one proxy, read from its YAML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// The name of the VM, the same as its agent's.
    pub name: String,
    /// The region of the VM.
    pub region: String,
    /// The availability zone of the VM.
    pub zone: String,
    /// The listen address of the HTTP server for callers.
    pub callers: SocketAddr,
    /// The listen address of the server for peers.
    pub peers: SocketAddr,
    /// The address of the VM's agent.
    pub agent: SocketAddr,
    /// The address of a StatsD server; if `None`, no metrics are sent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The number of threads of the HTTP server.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The time between the loss of readiness and the end of accepting connections, in which the
    /// load balancer notices.
    #[serde(default = "default_settle", with = "span")]
    pub settle: Span,
    /// The time after which a stop aborts requests and transactions that are still open.
    #[serde(default = "default_drain", with = "span")]
    pub drain: Span,
}

impl ProxySettings {
    /// Returns the place of the VM.
    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }
}

fn default_threads() -> usize {
    2
}

fn default_settle() -> Span {
    Span::from_secs(3)
}

fn default_drain() -> Span {
    Span::from_secs(30)
}
