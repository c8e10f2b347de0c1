//! A VM of the fleet as its peers know it.

use std::net::SocketAddr;

use oleander_core::ids::Incarnation;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;

/// `MemberState` is the known state of a VM's agent.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize, Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// The VM is registered and exchanges heartbeats.
    Alive,
    /// No sign of life has been seen for the suspect timeout. This is a hint of one VM, without
    /// effect on the shared roster.
    Suspect,
    /// The VM is shutting down and accepts no new work.
    Leaving,
}

/// `Member` is the registration of a VM: identity, location, addresses and state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The identifier, derived from the name.
    pub vm: VmId,
    /// The name from the VM's settings.
    pub name: String,
    /// The incarnation of the VM's agent, which is the store revision of its registration.
    pub incarnation: Incarnation,
    /// The region and availability zone of the VM.
    pub place: Place,
    /// The address at which the agent accepts streams from peers.
    pub agent: SocketAddr,
    /// The address at which the proxy accepts streams from peers.
    pub proxy: SocketAddr,
    /// The known state of the VM.
    pub state: MemberState,
}
