//! Which VM should own which share: pure functions over the record.

use std::collections::BTreeMap;

use oleander_core::hash;
use oleander_core::ids::ShareId;
use oleander_core::ids::VmId;

use crate::shares::ShareMap;
use crate::shares::ShareOwner;

/// Gets the shares that `owner` owns.
pub fn shares_of(map: &ShareMap, owner: ShareOwner) -> impl Iterator<Item = ShareId> + '_ {
    all(map).filter(move |share| map.owner(*share) == Some(owner))
}

/// Gets all shares.
pub fn all(map: &ShareMap) -> impl Iterator<Item = ShareId> + use<> {
    (0..map.owners.len()).map(|at| ShareId(at as u16))
}

/// Gets the preference of `share` for `vm`; the greatest is the first choice among equals.
pub fn affinity(share: ShareId, vm: VmId) -> u64 {
    hash::combine(hash::mix(u64::from(share.0)), vm.0)
}

/// `Parity` is one of the two kinds of shares: even ones lead to first homes, odd ones to second homes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Parity {
    /// An even share.
    Even,
    /// An odd share.
    Odd,
}

impl Parity {
    /// Gets the parity of a share.
    pub fn of(share: ShareId) -> Self {
        if share.0.is_multiple_of(2) { Parity::Even } else { Parity::Odd }
    }

    /// Gets the parity that `member` prefers among `members`, which are in order of their zones.
    ///
    /// The first half prefers even shares and the second half odd ones, so that
    /// the two homes of a database seldom meet in one VM or zone.
    pub fn preferred(member: ShareOwner, members: &[ShareOwner]) -> Self {
        let rank = members.iter().position(|other| *other == member).unwrap_or(members.len());
        Self::of_rank(rank, members.len())
    }

    fn of_rank(rank: usize, members: usize) -> Self {
        if 2 * rank < members { Parity::Even } else { Parity::Odd }
    }
}

/// `Counts` holds how many shares each member owns.
#[derive(Clone, Debug)]
pub struct Counts {
    owned: BTreeMap<ShareOwner, usize>,
    preferred: BTreeMap<ShareOwner, Parity>,
}

impl Counts {
    /// Counts the shares of `members`, which are in order of their zones.
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

    /// Gives `share` to the member with the fewest shares; among equals to one that prefers its parity.
    pub fn take_poorest(&mut self, share: ShareId) -> Option<ShareOwner> {
        let parity = Parity::of(share);
        let key = |(owner, count): &(&ShareOwner, &mut usize)| {
            let unwanted = self.preferred.get(owner) != Some(&parity);
            (**count, unwanted, std::cmp::Reverse(affinity(share, owner.vm)))
        };
        let (owner, count) = self.owned.iter_mut().min_by_key(key)?;
        *count += 1;
        Some(*owner)
    }

    /// Gets the number of shares of the poorest member.
    pub fn least(&self) -> Option<usize> {
        self.owned.values().min().copied()
    }

    /// Gets the member with the most shares, and their number.
    pub fn richest(&self) -> Option<(ShareOwner, usize)> {
        let richest = self.owned.iter().max_by_key(|(_, count)| **count);
        richest.map(|(owner, count)| (*owner, *count))
    }

    /// Gets the number of shares of a member.
    pub fn of(&self, owner: ShareOwner) -> usize {
        self.owned.get(&owner).copied().unwrap_or(0)
    }
}

/// Gives the shares that nobody owns to the poorest of `members`, up to `limit` shares each.
/// Returns `true` if there are any.
///
/// One VM does so for all others: if each claimed its own, a fleet that starts at once would
/// contend for the record.
pub fn assign_free(next: &mut ShareMap, members: &[ShareOwner], limit: usize) -> bool {
    let mut counts = Counts::new(next, members);
    let mut changed = false;
    for share in all(next).filter(|share| next.owner(*share).is_none()).collect::<Vec<_>>() {
        if counts.least().is_none_or(|least| limit <= least) {
            break;
        }
        next.owners[usize::from(share.0)] = counts.take_poorest(share);
        next.reclaimed.retain(|reclaimed| *reclaimed != share);
        changed = true;
    }
    changed
}

/// Gives the shares of owners that `is_gone` accepts to the VMs that `choose` names. Their new
/// owners wait before the first use. Returns `true` if there are any.
pub fn reclaim(
    next: &mut ShareMap,
    is_gone: impl Fn(ShareOwner) -> bool,
    mut choose: impl FnMut(ShareId) -> Option<ShareOwner>,
) -> bool {
    let mut changed = false;
    for share in all(next).collect::<Vec<_>>() {
        if !next.owner(share).is_some_and(&is_gone) {
            continue;
        }
        let Some(owner) = choose(share) else { continue };
        next.owners[usize::from(share.0)] = Some(owner);
        if let Err(at) = next.reclaimed.binary_search(&share) {
            next.reclaimed.insert(at, share);
        }
        changed = true;
    }
    changed
}

/// Gives `share` from an owner that has stopped using it to `to`, which may use it at once.
pub fn assign_clean(next: &mut ShareMap, share: ShareId, from: ShareOwner, to: ShareOwner) -> bool {
    if next.owner(share) != Some(from) {
        return false;
    }
    next.owners[usize::from(share.0)] = Some(to);
    next.reclaimed.retain(|reclaimed| *reclaimed != share);
    true
}
