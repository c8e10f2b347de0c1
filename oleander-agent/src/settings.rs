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
    /// The name of the VM, as the platform's list has it.
    pub name: String,
    /// The region of the VM.
    pub region: String,
    /// The availability zone of the VM.
    pub zone: String,
    /// The address at which this agent takes peer streams.
    pub listen: SocketAddr,
    /// The address at which the VM's own proxy takes peer streams.
    pub proxy: SocketAddr,
    /// The base URLs of the store's endpoints.
    pub store: Vec<String>,
    /// The base URL of the platform's VM list; it serves `/v1/vms`.
    pub vms: String,
    /// The number of shares, the same on all VMs and for the life of the fleet.
    #[serde(default = "default_shares")]
    pub shares: u16,
    /// The times, with their units.
    #[serde(default)]
    pub times: Times,
}

/// `Times` are the times by which an agent works.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// The time for which a read of the store counts.
    #[serde(with = "span")]
    pub window: Span,
    /// The time added when waiting out another VM's window.
    #[serde(with = "span")]
    pub skew: Span,
    /// The time for which the VM list must not name a VM before its shares are taken.
    #[serde(with = "span")]
    pub grace: Span,
    /// The same for a VM that the list has not named so far.
    #[serde(with = "span")]
    pub unlisted: Span,
    /// The time between heartbeats.
    #[serde(with = "span")]
    pub heartbeat: Span,
    /// The time between a watcher's reads of the store.
    #[serde(with = "span")]
    pub read: Span,
    /// The age of the latest known read after which any VM reads the store itself.
    #[serde(with = "span")]
    pub probe: Span,
    /// The time without a sign of life after which a VM is suspected.
    #[serde(with = "span")]
    pub suspect: Span,
    /// The longest time between two views to the proxy.
    #[serde(with = "span")]
    pub view: Span,
    /// The time within which the platform and peers answer a call.
    #[serde(with = "span")]
    pub call: Span,
    /// The longest time that a planned stop waits for shares to be handed over.
    #[serde(with = "span")]
    pub drain: Span,
    /// The time between two pings of a primary by the first home of its database.
    #[serde(with = "span")]
    pub ping: Span,
    /// The time within which an instance must answer a ping.
    #[serde(with = "span")]
    pub ping_limit: Span,
    /// The pings in a row that an instance must miss before it counts as unreachable.
    pub pings_missed: u32,
    /// The time that the second home of a database leaves to the first for a promotion.
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
    /// Gets where the VM stands.
    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }

    /// Gets the options of failure detection and promotion.
    pub fn failover_options(&self) -> Options {
        Options {
            ping_interval: self.times.ping,
            ping_limit: self.times.ping_limit,
            misses: self.times.pings_missed.max(1),
            stagger: self.times.stagger,
            ..Options::default()
        }
    }

    /// Gets the options of the decisions.
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
