//! Membership by leased keys of the store: who is here, who serves what, and who owns which share.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oleander_core::hash;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// The number of shares that VMs own: a power of two well above the number of VMs before one workspace.
pub const SHARES: usize = 64;

/// The VMs of a placement that are kept on the stack.
const INLINE_HOMES: usize = 4;

/// `LeasedMember` is what a VM writes of itself under its lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeasedMember {
    /// The name from the VM's settings.
    pub name: String,
    /// Where the VM stands.
    pub place: Place,
    /// The address at which it takes peer streams.
    pub peers: SocketAddr,
    /// The number of this life of the process.
    pub life: u64,
    /// `true` once the VM is stopping.
    pub leaving: bool,
    /// The time from the writing of a leaving VM's record on for which others may use what it, or
    /// an earlier owner of its shares, has lent.
    pub lent: Option<Span>,
}

impl LeasedMember {
    /// Gets the identifier of the VM.
    pub fn vm(&self) -> VmId {
        VmId::from_name(&self.name)
    }
}

/// `LeasedRoster` holds the VMs whose leases run, and for a while those whose lease has ended.
///
/// A lease may end because the store was away, so that a VM without one still
/// counts for the placement of homes, which needs no agreement. Shares, which
/// must be exclusive, count by running leases alone.
#[derive(Clone, Debug, Default)]
pub struct LeasedRoster {
    members: BTreeMap<VmId, Entry>,
    last_expiry: Option<Time>,
}

#[derive(Clone, Debug)]
struct Entry {
    member: LeasedMember,
    ended: Option<Time>,
}

impl LeasedRoster {
    /// Takes in the record of a VM.
    pub fn put(&mut self, member: LeasedMember) {
        self.members.insert(member.vm(), Entry { member, ended: None });
    }

    /// Takes in that the lease of a VM has ended.
    pub fn end_lease(&mut self, vm: VmId, now: Time) {
        let Some(entry) = self.members.get_mut(&vm) else { return };
        if entry.member.leaving {
            self.members.remove(&vm);
        } else {
            entry.ended.get_or_insert(now);
            self.last_expiry = self.last_expiry.max(Some(now));
        }
    }

    /// Ends the leases of all VMs but those named, as after a full read of the store.
    pub fn retain_present(&mut self, present: &[VmId], now: Time) {
        let gone: Vec<VmId> =
            self.members.keys().filter(|vm| !present.contains(vm)).copied().collect();
        for vm in gone {
            self.end_lease(vm, now);
        }
    }

    /// Forgets the VMs whose leases ended more than `grace` ago.
    pub fn drop_ended(&mut self, now: Time, grace: Span) {
        self.members.retain(|_, entry| entry.ended.is_none_or(|at| now.since(at) < grace));
    }

    /// Gets a VM that is here or was a moment ago.
    pub fn member(&self, vm: VmId) -> Option<&LeasedMember> {
        self.members.get(&vm).map(|entry| &entry.member)
    }

    /// Gets the VMs whose leases run, but for `own`.
    pub fn others(&self, own: VmId) -> impl Iterator<Item = &LeasedMember> {
        self.present().filter(move |member| member.vm() != own)
    }

    /// Returns `true` if the VM's lease runs.
    pub fn is_present(&self, vm: VmId) -> bool {
        self.members.get(&vm).is_some_and(|entry| entry.ended.is_none())
    }

    /// Returns `true` if the VM's lease runs and the VM does not leave, so that it may own shares.
    pub fn may_own(&self, vm: VmId) -> bool {
        self.is_present(vm) && self.member(vm).is_some_and(|member| !member.leaving)
    }

    /// Gets the VMs whose leases run.
    pub fn present(&self) -> impl Iterator<Item = &LeasedMember> {
        self.members.values().filter(|entry| entry.ended.is_none()).map(|entry| &entry.member)
    }

    /// Orders the VMs that may be the home of `key` at `place`: the nearest first, among equally
    /// near ones by rendezvous. `is_up` leaves out those that are known not to answer.
    pub fn homes(
        &self,
        key: u64,
        place: &Place,
        is_up: impl Fn(VmId) -> bool,
    ) -> SmallVec<[VmId; INLINE_HOMES]> {
        let mut ranked: SmallVec<[_; 16]> = self
            .members
            .values()
            .map(|entry| &entry.member)
            .filter(|member| !member.leaving && is_up(member.vm()))
            .map(|member| {
                let vm = member.vm();
                let score = hash::combine(key, vm.0);
                (member.place.distance(place), std::cmp::Reverse(score), vm)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, vm)| vm).collect()
    }

    /// Orders the VMs as `homes` does, but those whose leases run come first: the others cannot
    /// confirm a write.
    pub fn write_homes(
        &self,
        key: u64,
        place: &Place,
        is_up: impl Fn(VmId) -> bool,
    ) -> SmallVec<[VmId; INLINE_HOMES]> {
        let mut homes = self.homes(key, place, is_up);
        homes.sort_by_key(|vm| !self.is_present(*vm));
        homes
    }

    /// Orders the VMs whose leases run for a duty of the fleet, the first in line first.
    pub fn candidates(&self, key: u64) -> Vec<VmId> {
        let vms = self.present().filter(|member| !member.leaving).map(LeasedMember::vm);
        hash::rendezvous(key, vms, |vm| vm.0)
    }

    /// Gets the longest time for which loans may still be used of VMs that owned shares in `former`
    /// and no longer do; `unknown` for a VM that did not say so itself.
    pub fn loan_wait(&self, former: &LeasedRoster, unknown: Span) -> Span {
        let owned = former.present().filter(|member| !member.leaving).map(LeasedMember::vm);
        let lost = owned.filter(|vm| !self.may_own(*vm));
        let lent = lost.map(|vm| self.member(vm)?.lent);
        lent.map(|lent| lent.unwrap_or(unknown)).max().unwrap_or_default()
    }

    /// Gets the latest time at which a lease was seen to have ended without a stop.
    pub fn last_expiry(&self) -> Option<Time> {
        self.last_expiry
    }

    /// Gets the owner of each share: the first VM in the rendezvous order of those with a lease.
    pub fn owners(&self) -> Vec<Option<VmId>> {
        (0..SHARES as u64).map(|share| self.candidates(hash::mix(share)).first().copied()).collect()
    }
}
