//! The settings of a node that do not depend on its adapters.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_runtime::settings::span;
use serde::Deserialize;
use serde::Serialize;

/// The part of the bound on withdrawn keys that is left to the drift of clocks and to a process that
/// is held up between its look at the clock and its answer.
const CURRENCY_MARGIN: Span = Span::from_millis(300);

/// The part of the bound on leaving instances that is left to the way of the news through the store
/// and of a statement through a queue.
const DRAIN_MARGIN: Span = Span::from_millis(1_500);

/// `NodeSettings` describe one VM and the bounds that it has to keep.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The unique name of the VM.
    pub name: String,
    /// Where it stands.
    pub place: Place,
    /// The region of each availability zone.
    pub zones: BTreeMap<String, String>,
    /// The address at which it takes the streams of other VMs.
    pub peers: SocketAddr,
    /// The time after which a withdrawn key must have stopped working.
    #[serde(with = "span")]
    pub revocation: Span,
    /// The time between the request to stop and the end of the process.
    #[serde(with = "span")]
    pub grace: Span,
    /// The time after which an instance that leaves must get no new work.
    #[serde(with = "span")]
    pub drain: Span,
    /// The shortest lease that the store grants.
    #[serde(with = "span")]
    pub lease: Span,
}

impl NodeSettings {
    /// Gets the time for which the configuration counts as current after the store was heard,
    /// counted from the sending of the question.
    pub fn currency(&self) -> Span {
        self.revocation.saturating_sub(CURRENCY_MARGIN)
    }

    /// Gets the time for which an instance that was seen to leave still gets new work if no other
    /// can do it.
    pub fn drain_window(&self) -> Span {
        self.drain.saturating_sub(DRAIN_MARGIN)
    }

    /// Gets the place of an availability zone; an unknown zone is in no region.
    pub fn place_of(&self, zone: &str) -> Place {
        let region = self.zones.get(zone).cloned().unwrap_or_default();
        Place { region, zone: zone.to_owned() }
    }
}
