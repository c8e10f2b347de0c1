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
    /// Ordered by VM, so that the ages of a message are merged in one pass.
    heard: Vec<(VmId, Time)>,
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
        match self.find(vm) {
            Ok(found) => self.heard[found].1 = self.heard[found].1.max(at),
            Err(place) => self.heard.insert(place, (vm, at)),
        }
    }

    /// Gets the time at which `vm` was last known to be alive.
    pub fn heard(&self, vm: VmId) -> Option<Time> {
        self.find(vm).ok().map(|found| self.heard[found].1)
    }

    /// Returns `true` if `vm` gave a sign of life after `since`.
    pub fn is_heard(&self, vm: VmId, since: Time) -> bool {
        self.heard(vm).is_some_and(|heard| since < heard)
    }

    /// Forgets the VMs that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(VmId) -> bool) {
        self.heard.retain(|(vm, _)| keep(*vm));
        self.met.retain(|vm, _| keep(*vm));
    }

    /// Packs the ages of `vms`, which are ordered, two to a byte. Ages are rounded up.
    pub fn pack(&self, now: Time, vms: impl Iterator<Item = VmId>) -> Vec<u8> {
        let mut packed = Vec::new();
        let mut known = self.heard.iter().peekable();
        for (at, vm) in vms.enumerate() {
            while known.next_if(|(heard, _)| *heard < vm).is_some() {}
            let heard = known.peek().filter(|(heard, _)| *heard == vm);
            let age = heard.map_or(MAX_AGE, |(_, heard)| units(now.since(*heard))) as u8;
            match packed.last_mut() {
                Some(last) if at % 2 == 1 => *last |= age << 4,
                _ => packed.push(age),
            }
        }
        packed
    }

    /// Takes in packed ages of `vms`, which are ordered, counted from `asked`, the time at which they were asked for.
    pub fn unpack(&mut self, asked: Time, packed: &[u8], vms: impl Iterator<Item = VmId>) {
        let mut place = 0;
        for (at, vm) in vms.enumerate() {
            let Some(byte) = packed.get(at / 2) else { return };
            let age = u64::from(if at % 2 == 0 { byte & 0x0f } else { byte >> 4 });
            if MAX_AGE <= age {
                continue;
            }
            let time = Time(asked.0.saturating_sub(AGE_UNIT.times(age).0));
            while self.heard.get(place).is_some_and(|(heard, _)| *heard < vm) {
                place += 1;
            }
            match self.heard.get_mut(place).filter(|(heard, _)| *heard == vm) {
                Some((_, heard)) => *heard = time.max(*heard),
                None => self.heard.insert(place, (vm, time)),
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

impl Liveness {
    fn find(&self, vm: VmId) -> Result<usize, usize> {
        self.heard.binary_search_by_key(&vm, |(heard, _)| *heard)
    }
}

fn units(age: Span) -> u64 {
    age.0.div_ceil(AGE_UNIT.0).min(MAX_AGE)
}
