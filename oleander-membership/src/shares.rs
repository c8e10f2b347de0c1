//! The share record: which VM owns which share.

use oleander_core::hash;
use oleander_core::ids::Incarnation;
use oleander_core::ids::ShareId;
use oleander_core::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// The number of shares of a fleet unless the settings name another.
pub const DEFAULT_SHARES: u16 = 64;

/// `ShareOwner` is a VM in one incarnation of its agent, as the owner of shares.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ShareOwner {
    /// The identifier of the VM.
    pub vm: VmId,
    /// The incarnation; a later one of the same VM is another owner.
    pub incarnation: Incarnation,
}

/// `ShareMap` is the share record: the owners of all shares, and the VMs that owners must hear.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareMap {
    /// The version, incremented by each change; a higher one replaces a lower one.
    pub version: u64,
    /// The owners, indexed by share; `None` for a share without an owner.
    pub owners: Vec<Option<ShareOwner>>,
    /// The shares that were reassigned without a hand-over by their former owner, sorted. The
    /// present owner waits until the former one can no longer use them.
    #[serde(default)]
    pub reclaimed: Vec<ShareId>,
    /// The VMs of which an owner must hear more than half while it cannot reach the store.
    #[serde(default)]
    pub voters: Vec<VmId>,
    /// The voters before the last change of `voters`.
    #[serde(default)]
    pub former: Vec<VmId>,
}

impl ShareMap {
    /// Returns the owner of `share`; `None` if it has none or is out of range.
    pub fn owner(&self, share: ShareId) -> Option<ShareOwner> {
        self.owners.get(usize::from(share.0)).copied().flatten()
    }

    /// Returns the share that `key` is hashed to; `salt` separates the uses of one key.
    pub fn share_of(&self, key: u64, salt: u64) -> ShareId {
        let count = self.owners.len().max(1) as u64;
        ShareId((hash::combine(key, salt) % count) as u16)
    }
}
