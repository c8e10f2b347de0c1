//! Signs of life of the VMs, passed on as ages.

use std::collections::BTreeMap;

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// The unit of the ages in a message.
pub const AGE_UNIT: Span = Span::from_millis(500);

/// The age, in units, that stands for this age and all greater ones.
const MAX_AGE: u64 = 15;

/// `Liveness` holds the last sign of life of each VM that this VM knows of.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    heard: BTreeMap<VmId, Time>,
    met: BTreeMap<VmId, Time>,
}

impl Liveness {
    /// Notes that `vm` is known from `now` on; it is no sign of life.
    pub fn meet(&mut self, vm: VmId, now: Time) {
        self.met.entry(vm).or_insert(now);
    }

    /// Gets the VMs that are known.
    pub fn met(&self) -> impl Iterator<Item = VmId> + '_ {
        self.met.keys().copied()
    }

    /// Returns `true` if `vm` has been known for longer than `limit` without a sign of life.
    pub fn is_suspect(&self, now: Time, vm: VmId, limit: Span) -> bool {
        let last = self.heard(vm).max(self.met.get(&vm).copied());
        last.is_none_or(|last| limit < now.since(last))
    }

    /// Notes that `vm` was alive at `at`.
    pub fn note(&mut self, vm: VmId, at: Time) {
        let heard = self.heard.entry(vm).or_insert(at);
        *heard = (*heard).max(at);
    }

    /// Gets the time at which `vm` was last known to be alive.
    pub fn heard(&self, vm: VmId) -> Option<Time> {
        self.heard.get(&vm).copied()
    }

    /// Returns `true` if `vm` gave a sign of life after `since`.
    pub fn is_heard(&self, vm: VmId, since: Time) -> bool {
        self.heard(vm).is_some_and(|heard| since < heard)
    }

    /// Forgets the VMs that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(VmId) -> bool) {
        self.heard.retain(|vm, _| keep(*vm));
        self.met.retain(|vm, _| keep(*vm));
    }

    /// Packs the ages of `vms`, two to a byte. Ages are rounded up.
    pub fn pack(&self, now: Time, vms: impl Iterator<Item = VmId>) -> Vec<u8> {
        let mut packed = Vec::new();
        for (at, vm) in vms.enumerate() {
            let age = self.heard(vm).map_or(MAX_AGE, |heard| units(now.since(heard))) as u8;
            match packed.last_mut() {
                Some(last) if at % 2 == 1 => *last |= age << 4,
                _ => packed.push(age),
            }
        }
        packed
    }

    /// Takes in packed ages of `vms`, counted from `asked`, the time at which they were asked for.
    pub fn unpack(&mut self, asked: Time, packed: &[u8], vms: impl Iterator<Item = VmId>) {
        for (at, vm) in vms.enumerate() {
            let Some(byte) = packed.get(at / 2) else { return };
            let age = u64::from(if at % 2 == 0 { byte & 0x0f } else { byte >> 4 });
            if age < MAX_AGE {
                self.note(vm, Time(asked.0.saturating_sub(AGE_UNIT.times(age).0)));
            }
        }
    }

    /// Gets the time since which more than half of `vms` have been heard, `own` counting as heard
    /// at `now`.
    pub fn majority(&self, now: Time, own: VmId, vms: impl Iterator<Item = VmId>) -> Option<Time> {
        let time = |vm| if vm == own { Some(now) } else { self.heard(vm) };
        let mut times: Vec<Option<Time>> = vms.map(time).collect();
        let middle = times.len() / 2;
        if times.is_empty() {
            return Some(now);
        }
        let (_, median, _) =
            times.select_nth_unstable_by_key(middle, |time| std::cmp::Reverse(*time));
        *median
    }
}

fn units(age: Span) -> u64 {
    age.0.div_ceil(AGE_UNIT.0).min(MAX_AGE)
}
