//! The settings of an agent.

use std::net::SocketAddr;

use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_failover::options::Options;
use oleander_membership::node::NodeOptions;
use oleander_runtime::settings::span;
use serde::Deserialize;
use serde::Serialize;

/// `Settings` is the settings file of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM, as in the platform's VM list.
    pub name: String,
    /// The region of the VM.
    pub region: String,
    /// The availability zone of the VM.
    pub zone: String,
    /// The address at which this agent accepts peer streams.
    pub listen: SocketAddr,
    /// The address at which the proxy of this VM accepts peer streams.
    pub proxy: SocketAddr,
    /// The base URLs of the store's endpoints; any of them serves all calls.
    pub store: Vec<String>,
    /// The base URL of the platform's VM list, which serves `/v1/vms`.
    pub vms: String,
    /// The number of shares; it must be the same on all VMs and never change while the fleet
    /// exists.
    #[serde(default = "default_shares")]
    pub shares: u16,
    /// The timeouts and intervals.
    #[serde(default)]
    pub times: Times,
}

/// `Times` holds the timeouts and intervals of an agent, each written with its unit.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// How long a read of the store stays valid for the configuration and for own shares.
    #[serde(with = "span")]
    pub window: Span,
    /// The margin for clock drift that is added when waiting for another VM's `window` to end.
    #[serde(with = "span")]
    pub skew: Span,
    /// How long a VM must be missing from the VM list before its shares are reclaimed.
    #[serde(with = "span")]
    pub grace: Span,
    /// How long a VM that the VM list has never contained must be missing from it before its shares
    /// are reclaimed, and the time after which a VM that left the roster is taken to have stopped.
    #[serde(with = "span")]
    pub unlisted: Span,
    /// The time between two rounds of heartbeats.
    #[serde(with = "span")]
    pub heartbeat: Span,
    /// The interval at which a watcher, one of the VMs that read the store for the fleet, reads it.
    #[serde(with = "span")]
    pub read: Span,
    /// The age of the latest known read beyond which a VM that is not a watcher reads the store.
    #[serde(with = "span")]
    pub probe: Span,
    /// The time without a sign of life after which a VM is suspected to be down.
    #[serde(with = "span")]
    pub suspect: Span,
    /// The maximum time between two views sent to the proxy.
    #[serde(with = "span")]
    pub view: Span,
    /// The timeout of a call to the store, the VM list or a peer.
    #[serde(with = "span")]
    pub call: Span,
    /// The maximum time that a graceful shutdown waits for the shares to be handed over and for the
    /// proxy to finish.
    #[serde(with = "span")]
    pub drain: Span,
    /// The time between two pings of a primary by the first home of its database.
    #[serde(with = "span")]
    pub ping: Span,
    /// The timeout of a ping of an instance.
    #[serde(with = "span")]
    pub ping_limit: Span,
    /// The number of consecutive pings that an instance must miss to count as unreachable; 0 counts
    /// as 1.
    pub pings_missed: u32,
    /// How long the second home of a database waits for the first to promote a new primary.
    #[serde(with = "span")]
    pub stagger: Span,
}

impl Default for Times {
    fn default() -> Self {
        let node = NodeOptions::default();
        let failover = Options::default();
        Self {
            window: node.window,
            skew: node.skew,
            grace: node.grace,
            unlisted: node.unlisted,
            heartbeat: node.heartbeat_interval,
            read: node.read_interval,
            probe: node.probe,
            suspect: node.suspect,
            view: Span::from_millis(250),
            call: Span::from_secs(1),
            drain: Span::from_secs(20),
            ping: failover.ping_interval,
            ping_limit: failover.ping_limit,
            pings_missed: failover.misses,
            stagger: failover.stagger,
        }
    }
}

impl Settings {
    /// Returns the region and availability zone of the VM.
    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }

    /// Returns the options of failure detection and promotion.
    pub fn failover_options(&self) -> Options {
        Options {
            ping_interval: self.times.ping,
            ping_limit: self.times.ping_limit,
            misses: self.times.pings_missed.max(1),
            stagger: self.times.stagger,
            ..Options::default()
        }
    }

    /// Returns the options of the membership state machine.
    pub fn node_options(&self) -> NodeOptions {
        NodeOptions {
            shares: self.shares,
            window: self.times.window,
            skew: self.times.skew,
            grace: self.times.grace,
            unlisted: self.times.unlisted,
            heartbeat_interval: self.times.heartbeat,
            read_interval: self.times.read,
            probe: self.times.probe,
            suspect: self.times.suspect,
            ..NodeOptions::default()
        }
    }
}

fn default_shares() -> u16 {
    NodeOptions::default().shares
}
