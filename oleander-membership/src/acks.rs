//! Acknowledgements: which VMs are known to have the latest share record.

use std::collections::BTreeSet;

use oleander_core::ids::VmId;

/// `Acks` holds the VMs that are known to have the share record with one version.
///
/// A VM that has this record no longer counts toward the majority that an owner with an older
/// record must hear to use its shares.
#[derive(Clone, Debug, Default)]
pub struct Acks {
    /// The version of the share record.
    version: u64,
    /// The VMs known to have the record.
    holders: BTreeSet<VmId>,
}

impl Acks {
    /// Discards all acknowledgements if `version` is newer than the present one.
    pub fn advance(&mut self, version: u64) {
        if self.version < version {
            *self = Self { version, holders: BTreeSet::new() };
        }
    }

    /// Returns the number of VMs known to have the record.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns `true` if no VM is known to have the record.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the version of the record.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that `vm` has the record with `version`; other versions are ignored.
    pub fn record(&mut self, version: u64, vm: VmId) {
        if self.version == version {
            self.holders.insert(vm);
        }
    }

    /// Returns `true` if `vm` is known to have the record.
    pub fn contains(&self, vm: VmId) -> bool {
        self.holders.contains(&vm)
    }

    /// Encodes which of `vms` have the record as a bit set, first VM in the lowest bit.
    pub fn pack(&self, vms: impl Iterator<Item = VmId>) -> Vec<u8> {
        let mut packed = Vec::new();
        for (index, vm) in vms.enumerate() {
            if index % 8 == 0 {
                packed.push(0);
            }
            if let Some(last) = packed.last_mut().filter(|_| self.holders.contains(&vm)) {
                *last |= 1 << (index % 8);
            }
        }
        packed
    }

    /// Merges a bit set of another VM for the record with `version`; `vms` must be the sequence
    /// that it was encoded with.
    pub fn unpack(&mut self, version: u64, packed: &[u8], vms: impl Iterator<Item = VmId>) {
        if self.version != version {
            return;
        }
        for (index, vm) in vms.enumerate() {
            if packed.get(index / 8).is_some_and(|byte| byte >> (index % 8) & 1 == 1) {
                self.holders.insert(vm);
            }
        }
    }
}
