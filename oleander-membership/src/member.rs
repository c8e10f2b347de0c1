//! One VM of the fleet as the others know it.

use std::net::SocketAddr;

use oleander_core::ids::Incarnation;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;

/// `MemberState` is what is known of a VM's life.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize, Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// The VM sends heartbeats.
    Alive,
    /// No heartbeat has come for a while; a hint only.
    Suspect,
    /// The VM is stopping and takes no new work.
    Leaving,
}

/// `Member` is one VM with its addresses.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The identifier, derived from the name.
    pub vm: VmId,
    /// The name from the VM's settings.
    pub name: String,
    /// The life of the VM's agent.
    pub incarnation: Incarnation,
    /// Where the VM stands.
    pub place: Place,
    /// The address at which the agent takes peer streams.
    pub agent: SocketAddr,
    /// The address at which the proxy takes peer streams.
    pub proxy: SocketAddr,
    /// What is known of the VM's life.
    pub state: MemberState,
}
