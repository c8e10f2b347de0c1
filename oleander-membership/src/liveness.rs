//! Liveness of the VMs, exchanged between agents as ages of the last sign of life.

use std::collections::BTreeMap;

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// The unit of ages in heartbeat replies.
pub const AGE_UNIT: Span = Span::from_millis(500);

/// The greatest age that can be encoded, in units; it stands for all greater and unknown ages.
const MAX_AGE: u64 = 15;

/// `Liveness` holds the time of the last sign of life of each known VM.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    /// Sorted by VM, so that the ages in a message can be merged in one pass.
    heard: Vec<(VmId, Time)>,
    /// The time at which each VM was added; see `Liveness::add`.
    added: BTreeMap<VmId, Time>,
}

impl Liveness {
    /// Adds `vm`, known since `now`, so that it is not suspected at once. It is no sign of life.
    pub fn add(&mut self, vm: VmId, now: Time) {
        self.added.entry(vm).or_insert(now);
    }

    /// Returns the VMs that were added and not removed.
    pub fn known(&self) -> impl Iterator<Item = VmId> + '_ {
        self.added.keys().copied()
    }

    /// Returns `true` if `vm` has given no sign of life, nor been added, within `limit`.
    pub fn is_suspect(&self, now: Time, vm: VmId, limit: Span) -> bool {
        let last = self.last_heard(vm).max(self.added.get(&vm).copied());
        last.is_none_or(|last| limit < now.since(last))
    }

    /// Records that `vm` was alive at `at`.
    pub fn record(&mut self, vm: VmId, at: Time) {
        match self.find(vm) {
            Ok(found) => self.heard[found].1 = self.heard[found].1.max(at),
            Err(index) => self.heard.insert(index, (vm, at)),
        }
    }

    /// Returns the time of the last sign of life of `vm`; `None` if there was none.
    pub fn last_heard(&self, vm: VmId) -> Option<Time> {
        self.find(vm).ok().map(|found| self.heard[found].1)
    }

    /// Returns `true` if `vm` gave a sign of life after `since`.
    pub fn is_heard(&self, vm: VmId, since: Time) -> bool {
        self.last_heard(vm).is_some_and(|heard| since < heard)
    }

    /// Removes the VMs for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(VmId) -> bool) {
        self.heard.retain(|(vm, _)| keep(*vm));
        self.added.retain(|vm, _| keep(*vm));
    }

    /// Encodes the ages of `vms`, which must be sorted, in four bits each, first VM in the low
    /// bits. Ages are rounded up to `AGE_UNIT`.
    pub fn pack(&self, now: Time, vms: impl Iterator<Item = VmId>) -> Vec<u8> {
        let mut packed = Vec::new();
        let mut known = self.heard.iter().peekable();
        for (index, vm) in vms.enumerate() {
            while known.next_if(|(heard, _)| *heard < vm).is_some() {}
            let heard = known.peek().filter(|(heard, _)| *heard == vm);
            let age = heard.map_or(MAX_AGE, |(_, heard)| units(now.since(*heard))) as u8;
            match packed.last_mut() {
                Some(last) if index % 2 == 1 => *last |= age << 4,
                _ => packed.push(age),
            }
        }
        packed
    }

    /// Merges encoded ages of `vms`, which must be sorted and the sequence that they were encoded
    /// with. Ages count back from `asked`, the time at which this VM asked for them.
    pub fn unpack(&mut self, asked: Time, packed: &[u8], vms: impl Iterator<Item = VmId>) {
        let mut heard_index = 0;
        for (index, vm) in vms.enumerate() {
            let Some(byte) = packed.get(index / 2) else { return };
            let age = u64::from(if index % 2 == 0 { byte & 0x0f } else { byte >> 4 });
            if MAX_AGE <= age {
                continue;
            }
            let time = Time(asked.0.saturating_sub(AGE_UNIT.times(age).0));
            while self.heard.get(heard_index).is_some_and(|(heard, _)| *heard < vm) {
                heard_index += 1;
            }
            match self.heard.get_mut(heard_index).filter(|(heard, _)| *heard == vm) {
                Some((_, heard)) => *heard = time.max(*heard),
                None => self.heard.insert(heard_index, (vm, time)),
            }
        }
    }

    /// Returns the time since which more than half of `vms` have been heard; `own` counts as heard
    /// at `now`. Returns `None` if half or more of them have never been heard, and `now` if `vms`
    /// is empty.
    pub fn majority(&self, now: Time, own: VmId, vms: impl Iterator<Item = VmId>) -> Option<Time> {
        let time = |vm| if vm == own { Some(now) } else { self.last_heard(vm) };
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
    /// Returns the index of `vm` in `heard`, or as an error the index at which to insert it.
    fn find(&self, vm: VmId) -> Result<usize, usize> {
        self.heard.binary_search_by_key(&vm, |(heard, _)| *heard)
    }
}

/// Returns an age in units of `AGE_UNIT`, rounded up, at most `MAX_AGE`.
fn units(age: Span) -> u64 {
    age.0.div_ceil(AGE_UNIT.0).min(MAX_AGE)
}
