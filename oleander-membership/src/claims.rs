//! The shares of one VM: claims, first use, hand-over and the next record for the store.

use std::collections::BTreeMap;

use oleander_core::ids::ShareId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::plan;
use crate::plan::Parity;
use crate::shares::ShareMap;
use crate::shares::ShareOwner;

/// `Claims` holds the record of shares as one VM knows it, and what that VM does with its own.
#[derive(Clone, Debug)]
pub struct Claims {
    own: ShareOwner,
    map: ShareMap,
    releases: BTreeMap<ShareId, Release>,
    waits: BTreeMap<ShareId, Wait>,
}

/// `Release` is a share whose use has ended here, on its way to another owner.
#[derive(Clone, Copy, Debug)]
struct Release {
    to: ShareOwner,
    free: Time,
}

/// `Wait` is the time before the first use of a share that was not handed over.
#[derive(Clone, Copy, Debug)]
enum Wait {
    /// Until enough VMs have the record that names the new owner.
    Quorum,
    /// Until this time, when all support for the former owner has run out.
    Until(Time),
}

impl Wait {
    fn is_over(self, now: Time) -> bool {
        matches!(self, Wait::Until(due) if due <= now)
    }
}

impl Claims {
    /// Makes the claims of a VM that knows no record yet.
    pub fn new(own: ShareOwner) -> Self {
        Self { own, map: ShareMap::default(), releases: BTreeMap::new(), waits: BTreeMap::new() }
    }

    /// Gets the latest record.
    pub fn map(&self) -> &ShareMap {
        &self.map
    }

    /// Gets this VM's present life.
    pub fn own(&self) -> ShareOwner {
        self.own
    }

    /// Takes in a record. Returns `true` if it is newer than the one before.
    ///
    /// A share that comes from an owner which did not hand it over is first used some time after
    /// `confirm_quorum`.
    pub fn learn(&mut self, map: ShareMap) -> bool {
        if map.version <= self.map.version {
            return false;
        }
        let former = std::mem::replace(&mut self.map, map);
        for share in plan::shares_of(&self.map, self.own) {
            let is_new = former.owner(share) != Some(self.own);
            if is_new && self.map.reclaimed.contains(&share) {
                self.waits.insert(share, Wait::Quorum);
            }
        }
        let owned = |share: &ShareId| self.map.owner(*share) == Some(self.own);
        self.waits.retain(|share, _| owned(share));
        self.releases.retain(|share, _| owned(share));
        true
    }

    /// Notes that enough VMs have the present record. Former owners may use their shares for
    /// `wait` from now, and no longer.
    pub fn confirm_quorum(&mut self, now: Time, wait: Span) {
        for state in self.waits.values_mut() {
            if matches!(state, Wait::Quorum) {
                *state = Wait::Until(now + wait);
            }
        }
    }

    /// Returns `true` if a share waits until enough VMs have the record.
    pub fn needs_quorum(&self) -> bool {
        self.waits.values().any(|state| matches!(state, Wait::Quorum))
    }

    /// Returns `true` if this VM may use `share` at `now`, as far as the record is concerned.
    pub fn is_usable(&self, now: Time, share: ShareId) -> bool {
        self.map.owner(share) == Some(self.own)
            && !self.releases.contains_key(&share)
            && self.waits.get(&share).is_none_or(|state| state.is_over(now))
    }

    /// Gets the record as the proxy may use it: own shares that must not be used have no owner.
    pub fn usable_map(&self, now: Time) -> ShareMap {
        let mut map = self.map.clone();
        for share in plan::shares_of(&self.map, self.own) {
            if !self.is_usable(now, share) {
                map.owners[usize::from(share.0)] = None;
            }
        }
        map
    }

    /// Stops the use of up to `count` shares for the benefit of `to`. Returns how many.
    ///
    /// They are handed over once the proxy has stopped too, or at the latest when all it was ever
    /// allowed has run out, after `wait`.
    pub fn release(
        &mut self,
        now: Time,
        to: ShareOwner,
        preferred: Parity,
        count: usize,
        wait: Span,
    ) -> usize {
        let mut free: Vec<ShareId> = plan::shares_of(&self.map, self.own)
            .filter(|share| !self.releases.contains_key(share))
            .collect();
        free.sort_by_key(|share| {
            (Parity::of(*share) != preferred, std::cmp::Reverse(plan::affinity(*share, to.vm)))
        });
        for share in free.iter().take(count) {
            self.releases.insert(*share, Release { to, free: now + wait });
        }
        free.len().min(count)
    }

    /// Stops the use of all shares and divides them between `members`.
    pub fn release_all(&mut self, now: Time, members: &[ShareOwner], wait: Span) {
        let mut counts = plan::Counts::new(&self.map, members);
        for share in plan::shares_of(&self.map, self.own).collect::<Vec<_>>() {
            let Some(to) = counts.take_poorest(share) else { return };
            self.releases.entry(share).or_insert(Release { to, free: now + wait });
        }
    }

    /// Returns `true` if a share is being handed over.
    pub fn is_releasing(&self) -> bool {
        !self.releases.is_empty()
    }

    /// Notes that the proxy uses none of the shares released until `since` any more.
    pub fn confirm(&mut self, now: Time, since: Time, wait: Span) {
        for release in self.releases.values_mut() {
            // A view of the same instant may have been made before the release.
            if release.free < since + wait {
                release.free = release.free.min(now);
            }
        }
    }

    /// Gets the number of shares that this VM keeps: owned and not being handed over.
    pub fn kept(&self) -> usize {
        plan::shares_of(&self.map, self.own).count().saturating_sub(self.releases.len())
    }

    /// Adds the finished hand-overs to `next`. Returns `true` if there are any.
    pub fn hand_over(&self, now: Time, next: &mut ShareMap) -> bool {
        let mut changed = false;
        for (share, release) in &self.releases {
            if self.is_free(now, *share, *release) {
                changed |= plan::assign_clean(next, *share, self.own, release.to);
            }
        }
        changed
    }

    /// Returns `true` if a share waits for the store only.
    pub fn can_hand_over(&self, now: Time) -> bool {
        self.releases.iter().any(|(share, release)| self.is_free(now, *share, *release))
    }

    /// Takes back the shares that were to go to a VM which `keep` refuses.
    pub fn cancel_releases(&mut self, keep: impl Fn(ShareOwner) -> bool) {
        self.releases.retain(|_, release| keep(release.to));
    }

    /// Takes the shares of earlier lives of this VM over into its present one.
    pub fn inherit(&self, next: &mut ShareMap) -> bool {
        let is_former =
            |owner: ShareOwner| owner.vm == self.own.vm && owner.incarnation < self.own.incarnation;
        plan::reclaim(next, is_former, |_| Some(self.own))
    }

    /// A share that still waits out a former owner must not be passed on as clean.
    fn is_free(&self, now: Time, share: ShareId, release: Release) -> bool {
        let is_past = self.waits.get(&share).is_none_or(|state| state.is_over(now));
        release.free <= now && is_past
    }
}
