//! Which VMs are known to have the present record of shares.

use std::collections::BTreeSet;

use oleander_core::ids::VmId;

/// `Acks` holds the VMs that are known to have the record of shares of a version.
///
/// A VM that has it gives no further support to an owner that has only an older one.
#[derive(Clone, Debug, Default)]
pub struct Acks {
    version: u64,
    known: BTreeSet<VmId>,
}

impl Acks {
    /// Starts anew with a later version.
    pub fn advance(&mut self, version: u64) {
        if self.version < version {
            *self = Self { version, known: BTreeSet::new() };
        }
    }

    /// Gets the number of VMs that have the record.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns `true` if no VM is known to have it.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Gets the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Notes that `vm` has the record of `version`.
    pub fn note(&mut self, version: u64, vm: VmId) {
        if self.version == version {
            self.known.insert(vm);
        }
    }

    /// Returns `true` if `vm` has the record.
    pub fn contains(&self, vm: VmId) -> bool {
        self.known.contains(&vm)
    }

    /// Packs which of `vms` have the record, eight to a byte.
    pub fn pack(&self, vms: impl Iterator<Item = VmId>) -> Vec<u8> {
        let mut packed = Vec::new();
        for (at, vm) in vms.enumerate() {
            if at % 8 == 0 {
                packed.push(0);
            }
            if let Some(last) = packed.last_mut().filter(|_| self.known.contains(&vm)) {
                *last |= 1 << (at % 8);
            }
        }
        packed
    }

    /// Takes in what another VM knows of the record of `version`.
    pub fn unpack(&mut self, version: u64, packed: &[u8], vms: impl Iterator<Item = VmId>) {
        if self.version != version {
            return;
        }
        for (at, vm) in vms.enumerate() {
            if packed.get(at / 8).is_some_and(|byte| byte >> (at % 8) & 1 == 1) {
                self.known.insert(vm);
            }
        }
    }
}
