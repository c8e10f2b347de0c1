//! The platform's list of live and leaving VMs.

use serde::Deserialize;
use serde::Serialize;

/// `VmState` is the platform's word on a VM.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is to stop soon.
    Leaving,
}

/// `VmRecord` is one entry of the list. The list lags behind the truth.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The name of the VM.
    pub name: String,
    /// The platform's word on it.
    pub state: VmState,
}
