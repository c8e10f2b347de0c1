//! Assignment of shares to VMs: pure functions over the share record.

use std::collections::BTreeMap;

use oleander_core::hash;
use oleander_core::ids::ShareId;
use oleander_core::ids::VmId;

use crate::shares::ShareMap;
use crate::shares::ShareOwner;

/// Returns the shares that `owner` owns.
pub fn shares_of(map: &ShareMap, owner: ShareOwner) -> impl Iterator<Item = ShareId> + '_ {
    all_shares(map).filter(move |share| map.owner(*share) == Some(owner))
}

/// Returns the identifiers of all shares in `map`.
pub fn all_shares(map: &ShareMap) -> impl Iterator<Item = ShareId> + use<> {
    (0..map.owners.len()).map(|index| ShareId(index as u16))
}

/// Returns the rendezvous score of `vm` for `share`. The highest score breaks ties between VMs for
/// one share, and between shares for one VM.
pub fn affinity(share: ShareId, vm: VmId) -> u64 {
    hash::combine(hash::mix(u64::from(share.0)), vm.0)
}

/// `Parity` is the parity of a share's number. The owners of even shares are the first homes of
/// databases, those of odd shares the second homes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Parity {
    /// The share decides on a first home.
    Even,
    /// The share decides on a second home.
    Odd,
}

impl Parity {
    /// Returns the parity of a share's number.
    pub fn of(share: ShareId) -> Self {
        if share.0.is_multiple_of(2) { Parity::Even } else { Parity::Odd }
    }

    /// Returns the parity that `member` prefers; `members` must be ordered by zone.
    ///
    /// The first half prefers even shares and the second half odd ones, so that the two homes of a
    /// database are rarely on the same VM or in the same zone.
    pub fn preferred(member: ShareOwner, members: &[ShareOwner]) -> Self {
        let rank = members.iter().position(|other| *other == member).unwrap_or(members.len());
        Self::of_rank(rank, members.len())
    }

    fn of_rank(rank: usize, members: usize) -> Self {
        if 2 * rank < members { Parity::Even } else { Parity::Odd }
    }
}

/// `ShareCounts` holds the number of shares and the preferred parity of each member.
#[derive(Clone, Debug)]
pub struct ShareCounts {
    /// The number of shares of each member.
    owned: BTreeMap<ShareOwner, usize>,
    preferred: BTreeMap<ShareOwner, Parity>,
}

impl ShareCounts {
    /// Counts the shares of `members`, which must be ordered by zone.
    pub fn new(map: &ShareMap, members: &[ShareOwner]) -> Self {
        let mut owned: BTreeMap<ShareOwner, usize> =
            members.iter().map(|owner| (*owner, 0)).collect();
        for owner in map.owners.iter().flatten() {
            if let Some(count) = owned.get_mut(owner) {
                *count += 1;
            }
        }
        let ranked = members.iter().enumerate();
        let preferred = ranked.map(|(rank, owner)| (*owner, Parity::of_rank(rank, members.len())));
        Self { owned, preferred: preferred.collect() }
    }

    /// Counts `share` for the member with the fewest shares and returns that member. Ties are
    /// broken by preferred parity, then by rendezvous score. Returns `None` without members.
    pub fn assign_to_least_loaded(&mut self, share: ShareId) -> Option<ShareOwner> {
        let parity = Parity::of(share);
        let key = |(owner, count): &(&ShareOwner, &mut usize)| {
            let unwanted = self.preferred.get(owner) != Some(&parity);
            (**count, unwanted, std::cmp::Reverse(affinity(share, owner.vm)))
        };
        let (owner, count) = self.owned.iter_mut().min_by_key(key)?;
        *count += 1;
        Some(*owner)
    }

    /// Returns the smallest number of shares of a member; `None` without members.
    pub fn least(&self) -> Option<usize> {
        self.owned.values().min().copied()
    }

    /// Returns the member with the most shares and their number; `None` without members.
    pub fn most_loaded(&self) -> Option<(ShareOwner, usize)> {
        let largest = self.owned.iter().max_by_key(|(_, count)| **count);
        largest.map(|(owner, count)| (*owner, *count))
    }

    /// Returns the number of shares of `owner`; 0 if it is not a member.
    pub fn of(&self, owner: ShareOwner) -> usize {
        self.owned.get(&owner).copied().unwrap_or(0)
    }
}

/// Assigns the shares without an owner to those of `members` with the fewest shares, up to `limit`
/// shares each. Returns `true` if any was assigned.
///
/// A watcher assigns them for all VMs: if each VM claimed its own, VMs that start at the same time
/// would contend for the record.
pub fn assign_free(next: &mut ShareMap, members: &[ShareOwner], limit: usize) -> bool {
    let mut counts = ShareCounts::new(next, members);
    let mut changed = false;
    for share in all_shares(next).filter(|share| next.owner(*share).is_none()).collect::<Vec<_>>() {
        if counts.least().is_none_or(|least| limit <= least) {
            break;
        }
        next.owners[usize::from(share.0)] = counts.assign_to_least_loaded(share);
        next.reclaimed.retain(|reclaimed| *reclaimed != share);
        changed = true;
    }
    changed
}

/// Reassigns the shares of owners for which `is_gone` returns `true` to the owners that `choose`
/// returns, and marks them as reclaimed, so that the new owners wait before the first use. Returns
/// `true` if any was reassigned.
pub fn reclaim(
    next: &mut ShareMap,
    is_gone: impl Fn(ShareOwner) -> bool,
    mut choose: impl FnMut(ShareId) -> Option<ShareOwner>,
) -> bool {
    let mut changed = false;
    for share in all_shares(next).collect::<Vec<_>>() {
        if !next.owner(share).is_some_and(&is_gone) {
            continue;
        }
        let Some(owner) = choose(share) else { continue };
        next.owners[usize::from(share.0)] = Some(owner);
        if let Err(index) = next.reclaimed.binary_search(&share) {
            next.reclaimed.insert(index, share);
        }
        changed = true;
    }
    changed
}

/// Reassigns `share` from `from`, which has stopped using it, to `to`, which may use it at once.
/// Returns `false` if `from` is not the owner.
pub fn assign_clean(next: &mut ShareMap, share: ShareId, from: ShareOwner, to: ShareOwner) -> bool {
    if next.owner(share) != Some(from) {
        return false;
    }
    next.owners[usize::from(share.0)] = Some(to);
    next.reclaimed.retain(|reclaimed| *reclaimed != share);
    true
}
