//! Membership derived from leased keys in the store, and the placement of homes and shares on it.

use std::cmp::Reverse;
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

/// The number of shares that are divided among the VMs: a power of two well above the number of
/// VMs that serve one workspace.
pub const SHARE_COUNT: usize = 64;

/// The version of the lease rules: a VM counts its lease by the TTL that the store applies, and tells
/// this TTL to VMs for which it passes lease calls on.
pub const LEASE_RULES: u32 = 1;

/// The key of the rendezvous hash that ranks the VMs of a region for the watch of the store.
const WATCH_KEY: u64 = 0x0077_6174_6368;

/// The number of VMs of a region for each of its homes: each VM brings callers of its own, and a home
/// has to run the statements of all that share it.
const VMS_PER_HOME: usize = 32;

/// The number of VMs in a home ranking stored inline without heap allocation.
const INLINE_HOMES: usize = 4;

/// `LeasedMember` is the record that a VM writes about itself in a key attached to its lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeasedMember {
    /// The name from the VM's settings.
    pub name: String,
    /// The region and availability zone of the VM.
    pub place: Place,
    /// The address at which the VM accepts connections from its peers.
    pub peers: SocketAddr,
    /// Identifies this run of the process; each restart writes another number.
    pub life: u64,
    /// The processor time that the VM may use, in thousandths of a core; 0 if its settings do not
    /// tell.
    #[serde(default)]
    pub cpu: u32,
    /// `true` once the VM is stopping; it then owns no shares and is no home.
    pub leaving: bool,
    /// The version of the promotion rules that the VM follows as a keeper; 0 for a build that goes by
    /// the directory alone.
    #[serde(default)]
    pub promotion: u32,
    /// The version of the lease rules that the VM follows (`LEASE_RULES`); 0 for a build that counts
    /// its lease by the TTL that it has requested.
    #[serde(default)]
    pub leases: u32,
    /// How long after this record was written other VMs may still use rate limit capacity lent by
    /// this VM or an earlier owner of its shares. Set only while the VM is leaving.
    pub lent: Option<Span>,
}

impl LeasedMember {
    /// Returns the identifier of the VM, derived from its name.
    pub fn vm(&self) -> VmId {
        VmId::from_name(&self.name)
    }
}

/// `LeasedRoster` holds the VMs with a valid lease, and for a grace time those whose lease ended.
///
/// A lease can also end because the store was unreachable, so a VM without one stays eligible as
/// a home: VMs need not agree on homes. Shares must be exclusive, so only VMs with a valid lease
/// own them.
#[derive(Clone, Debug, Default)]
pub struct LeasedRoster {
    members: BTreeMap<VmId, Entry>,
    last_expiry: Option<Time>,
    /// The number of processes that were removed or replaced by another one of their VM.
    removed: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    member: LeasedMember,
    /// The time at which the lease was seen to end; `None` while it is valid.
    ended_at: Option<Time>,
}

impl LeasedRoster {
    /// Adds or replaces the record of a VM and marks its lease as valid.
    pub fn put(&mut self, member: LeasedMember) {
        let life = member.life;
        let former = self.members.insert(member.vm(), Entry { member, ended_at: None });
        self.removed += u64::from(former.is_some_and(|former| former.member.life != life));
    }

    /// Marks the lease of `vm` as ended. A VM that announced that it is leaving is removed at
    /// once, any other one stays until `drop_ended`.
    pub fn end_lease(&mut self, vm: VmId, now: Time) {
        let Some(entry) = self.members.get_mut(&vm) else { return };
        if entry.member.leaving {
            self.members.remove(&vm);
            self.removed += 1;
        } else {
            entry.ended_at.get_or_insert(now);
            self.last_expiry = self.last_expiry.max(Some(now));
        }
    }

    /// Marks the leases of all VMs outside `present` as ended, after a full read of the store.
    pub fn retain_present(&mut self, present: &[VmId], now: Time) {
        let absent: Vec<VmId> =
            self.members.keys().filter(|vm| !present.contains(vm)).copied().collect();
        for vm in absent {
            self.end_lease(vm, now);
        }
    }

    /// Removes the VMs whose lease ended `grace` ago or earlier.
    pub fn drop_ended(&mut self, now: Time, grace: Span) {
        let count = self.members.len();
        self.members.retain(|_, entry| entry.ended_at.is_none_or(|at| now.since(at) < grace));
        self.removed += (count - self.members.len()) as u64;
    }

    /// Returns the record of `vm`, also within the grace time after its lease ended.
    pub fn member(&self, vm: VmId) -> Option<&LeasedMember> {
        self.members.get(&vm).map(|entry| &entry.member)
    }

    /// Returns the processes that have become members since `former`; `None` if one that is not among
    /// them may have been a member since and is gone.
    pub fn joined_since(&self, former: &LeasedRoster) -> Option<Vec<&LeasedMember>> {
        // A process whose lease had ended may have taken another one since.
        let is_known = |entry: &&Entry| {
            let known = former.members.get(&entry.member.vm());
            known.is_some_and(|known| {
                let is_same = known.member.life == entry.member.life;
                is_same && (known.ended_at.is_none() || known.ended_at == entry.ended_at)
            })
        };
        let joined = self.members.values().filter(|entry| !is_known(entry));
        let joined: Vec<&Entry> = joined.collect();
        let is_complete =
            self.removed == former.removed && joined.iter().all(|entry| entry.ended_at.is_none());
        is_complete.then(|| joined.into_iter().map(|entry| &entry.member).collect())
    }

    /// Returns the VMs with a valid lease except `own`.
    pub fn others(&self, own: VmId) -> impl Iterator<Item = &LeasedMember> {
        self.present().filter(move |member| member.vm() != own)
    }

    /// Returns `true` if the VM has a valid lease.
    pub fn is_present(&self, vm: VmId) -> bool {
        self.members.get(&vm).is_some_and(|entry| entry.ended_at.is_none())
    }

    /// Returns `true` if the VM may own shares: its lease is valid and it is not leaving.
    pub fn may_own(&self, vm: VmId) -> bool {
        self.is_present(vm) && self.member(vm).is_some_and(|member| !member.leaving)
    }

    /// Returns the VMs with a valid lease.
    pub fn present(&self) -> impl Iterator<Item = &LeasedMember> {
        self.members.values().filter(|entry| entry.ended_at.is_none()).map(|entry| &entry.member)
    }

    /// Ranks the VMs that may be the home of `key` at `place`: nearest first, equally distant ones
    /// by rendezvous hashing. VMs for which `is_up` returns `false` are left out.
    pub fn homes(
        &self,
        key: u64,
        place: &Place,
        is_up: impl Fn(VmId) -> bool,
    ) -> SmallVec<[VmId; INLINE_HOMES]> {
        let mut candidates: SmallVec<[_; 16]> = self
            .members
            .values()
            .map(|entry| &entry.member)
            .filter(|member| !member.leaving && is_up(member.vm()))
            .map(|member| {
                let vm = member.vm();
                let score = hash::combine(key, vm.0);
                (member.place.distance(place), Reverse(score), vm)
            })
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|(_, _, vm)| vm).collect()
    }

    /// Ranks the VMs that may be the home of the instance `key` if the instances of a region share
    /// homes: those of the region first, then those with more processor time, equal ones by
    /// rendezvous hashing. VMs for which `is_up` returns `false` are left out.
    ///
    /// `regional_owners` ranks in the same way, so that the home of a region usually owns its shares.
    /// In a region with several homes, this is one of them, and the others ask it for tokens.
    pub fn regional_homes(
        &self,
        key: u64,
        region: &str,
        is_up: impl Fn(VmId) -> bool,
    ) -> SmallVec<[VmId; INLINE_HOMES]> {
        let members = || {
            let members = self.members.values().map(|entry| &entry.member);
            members.filter(|member| !member.leaving)
        };
        let count = members().filter(|member| member.place.region == region).count();
        let homes = (count / VMS_PER_HOME).max(1).next_power_of_two();
        let home = hash::mix(key) % homes as u64;
        let mut candidates: SmallVec<[_; 16]> = members()
            .filter(|member| is_up(member.vm()))
            .map(|member| (regional_rank(region, home, member), member.vm()))
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|(_, vm)| vm).collect()
    }

    /// Ranks the VMs of a region for the watch of the store: those with a valid lease that are not
    /// leaving and for which `is_up` returns `true`. The first one of each availability zone comes
    /// before the second ones, then those with a greater `weight`, then the order is that of
    /// rendezvous hashing.
    pub fn watchers(
        &self,
        region: &str,
        weight: impl Fn(&LeasedMember) -> u32,
        is_up: impl Fn(VmId) -> bool,
    ) -> Vec<VmId> {
        let members = self
            .present()
            .filter(|member| !member.leaving && member.place.region == region)
            .filter(|member| is_up(member.vm()));
        let mut ranked = hash::rendezvous(hash::mix(WATCH_KEY), members, |member| member.vm().0);
        ranked.sort_by_key(|member| Reverse(weight(member)));
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        let mut ranked: Vec<(usize, VmId)> = ranked
            .into_iter()
            .map(|member| {
                let rank = zones.entry(member.place.zone.as_str()).or_default();
                *rank += 1;
                (*rank, member.vm())
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, vm)| vm).collect()
    }

    /// Ranks the VMs as `homes` does, with those that have a valid lease first: a VM without one
    /// cannot confirm a write.
    pub fn write_homes(
        &self,
        key: u64,
        place: &Place,
        is_up: impl Fn(VmId) -> bool,
    ) -> SmallVec<[VmId; INLINE_HOMES]> {
        self.present_first(self.homes(key, place, is_up))
    }

    /// Moves the VMs with a valid lease to the front of a ranking.
    pub fn present_first(
        &self,
        mut homes: SmallVec<[VmId; INLINE_HOMES]>,
    ) -> SmallVec<[VmId; INLINE_HOMES]> {
        homes.sort_by_key(|vm| !self.is_present(*vm));
        homes
    }

    /// Ranks by rendezvous hashing the VMs that may take the duty identified by `key`: the
    /// ownership of a share, or the role of a database's keeper. Only VMs with a valid lease that
    /// are not leaving are candidates.
    pub fn candidates(&self, key: u64) -> Vec<VmId> {
        let vms = self.present().filter(|member| !member.leaving).map(LeasedMember::vm);
        hash::rendezvous(key, vms, |vm| vm.0)
    }

    /// Ranks the VMs that may be the keeper of the database `key` as `candidates` does. While builds
    /// of different age run side by side, only those with the latest promotion rules are candidates.
    pub fn keepers(&self, key: u64) -> Vec<VmId> {
        let members = || self.present().filter(|member| !member.leaving);
        let latest = members().map(|member| member.promotion).max();
        let vms = members().filter(|member| Some(member.promotion) == latest);
        hash::rendezvous(key, vms.map(LeasedMember::vm), |vm| vm.0)
    }

    /// Returns the longest time for which rate limit capacity lent by VMs that owned shares in
    /// `former` and no longer do may still be in use. `unknown` is assumed for a VM that announced
    /// no time itself; the result is `None` if no VM stopped being an owner.
    pub fn loan_wait(&self, former: &LeasedRoster, unknown: Span) -> Option<Span> {
        let owned = former.present().filter(|member| !member.leaving);
        // A VM that starts again with a lower rank may lose shares to others.
        let keeps_rank = |former: &LeasedMember| {
            let member = self.member(former.vm());
            member.is_some_and(|member| former.cpu <= member.cpu)
        };
        let lost = owned.filter(|member| !self.may_own(member.vm()) || !keeps_rank(member));
        let lent = lost.map(|member| self.member(member.vm())?.lent);
        lent.map(|lent| lent.unwrap_or(unknown)).max()
    }

    /// Returns the latest time at which the lease of a VM was seen to end although the VM had not
    /// announced that it was leaving; `None` if there was none.
    pub fn last_expiry(&self) -> Option<Time> {
        self.last_expiry
    }

    /// Returns the owner of each share if the shares are divided among `regions`: share `n` belongs to
    /// region `n % regions.len()`, and all shares of a region have the same owner. All owners are
    /// `None` if no VM has a valid lease and is not leaving.
    ///
    /// The rank of a VM depends on its own record alone, so that a VM that joins or leaves moves
    /// shares only to itself or away from itself.
    pub fn regional_owners(&self, regions: &[String]) -> Vec<Option<VmId>> {
        let owner = |region: &String| {
            let members = self.present().filter(|member| !member.leaving);
            members.min_by_key(|member| regional_rank(region, 0, member)).map(LeasedMember::vm)
        };
        let owners: SmallVec<[Option<VmId>; INLINE_HOMES]> = regions.iter().map(owner).collect();
        owners.into_iter().cycle().take(SHARE_COUNT).collect()
    }

    /// Returns the owner of each share: the first of its `candidates`. All owners are `None` if
    /// no VM is a candidate.
    pub fn owners(&self) -> Vec<Option<VmId>> {
        (0..SHARE_COUNT as u64)
            .map(|share| self.candidates(hash::mix(share)).first().copied())
            .collect()
    }
}

/// Returns the rank of a VM as home number `home` of a region; the lowest one is preferred. The first
/// home, number 0, owns the shares of the region.
fn regional_rank(
    region: &str,
    home: u64,
    member: &LeasedMember,
) -> (bool, Reverse<u32>, Reverse<u64>) {
    let key = hash::stable_hash(region.as_bytes()).wrapping_add(home);
    let score = hash::combine(key, member.vm().0);
    (member.place.region != region, Reverse(member.cpu), Reverse(score))
}
