//! Ownership of shares.

use oleander_core::hash;
use oleander_core::ids::Incarnation;
use oleander_core::ids::ShareId;
use oleander_core::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// The default number of shares.
pub const DEFAULT_SHARES: u16 = 64;

/// `ShareOwner` is the VM that owns a share, in one life of its agent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ShareOwner {
    /// The owning VM.
    pub vm: VmId,
    /// The life in which it took the share.
    pub incarnation: Incarnation,
}

/// `ShareMap` is the record of all shares; entry `i` is the owner of share `i`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareMap {
    /// The number of changes so far; a higher version replaces a lower one.
    pub version: u64,
    /// The owners; `None` for a share that nobody owns.
    pub owners: Vec<Option<ShareOwner>>,
    /// The shares that were taken from an owner that had not handed them over, in order. The
    /// present owner waits out the former owner's time of use before its first use.
    #[serde(default)]
    pub reclaimed: Vec<ShareId>,
    /// The VMs of which an owner that cannot reach the store must hear more than half.
    #[serde(default)]
    pub voters: Vec<VmId>,
    /// The voters before the last change of them.
    #[serde(default)]
    pub former: Vec<VmId>,
}

impl ShareMap {
    /// Gets the owner of `share`.
    pub fn owner(&self, share: ShareId) -> Option<ShareOwner> {
        self.owners.get(usize::from(share.0)).copied().flatten()
    }

    /// Gets the share that `key` with the given salt falls on.
    pub fn share_of(&self, key: u64, salt: u64) -> ShareId {
        let count = self.owners.len().max(1) as u64;
        ShareId((hash::combine(key, salt) % count) as u16)
    }
}
