//! The shares of one VM: ownership, first use and hand-over.

use std::collections::BTreeMap;

use oleander_core::ids::ShareId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::plan;
use crate::plan::Parity;
use crate::shares::ShareMap;
use crate::shares::ShareOwner;

/// `Claims` holds the latest share record that a VM knows and the state of its own shares.
#[derive(Clone, Debug)]
pub struct Claims {
    own: ShareOwner,
    map: ShareMap,
    /// The own shares that are being handed over.
    releases: BTreeMap<ShareId, Release>,
    /// The own shares that were reclaimed from a former owner.
    waits: BTreeMap<ShareId, Wait>,
}

/// `Release` is the hand-over of an own share that this VM no longer uses.
#[derive(Clone, Copy, Debug)]
struct Release {
    to: ShareOwner,
    /// The time from which the proxy has certainly stopped using the share.
    free_at: Time,
}

/// `Wait` is the condition for the first use of a share that its former owner did not hand over.
#[derive(Clone, Copy, Debug)]
enum Wait {
    /// Wait until a quorum has the record that names the new owner.
    Quorum,
    /// Wait until this time, when the former owner's right to use the share has expired.
    Until(Time),
}

impl Wait {
    fn is_over(self, now: Time) -> bool {
        matches!(self, Wait::Until(due) if due <= now)
    }
}

impl Claims {
    /// Creates the state of a VM that knows no share record yet.
    pub fn new(own: ShareOwner) -> Self {
        Self { own, map: ShareMap::default(), releases: BTreeMap::new(), waits: BTreeMap::new() }
    }

    /// Returns the latest known share record.
    pub fn map(&self) -> &ShareMap {
        &self.map
    }

    /// Returns this VM with its present incarnation.
    pub fn own(&self) -> ShareOwner {
        self.own
    }

    /// Replaces the share record if `map` is newer. Returns `true` if it is.
    ///
    /// A share that was reclaimed from an owner is not used until the wait that starts with
    /// `confirm_quorum` is over.
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

    /// Records that a quorum has the latest record. Former owners of reclaimed shares may use them
    /// for at most `wait` from now.
    pub fn confirm_quorum(&mut self, now: Time, wait: Span) {
        for state in self.waits.values_mut() {
            if matches!(state, Wait::Quorum) {
                *state = Wait::Until(now + wait);
            }
        }
    }

    /// Returns `true` if a share waits until a quorum has the record.
    pub fn needs_quorum(&self) -> bool {
        self.waits.values().any(|state| matches!(state, Wait::Quorum))
    }

    /// Returns `true` if the record allows this VM to use `share` at `now`. Whether the VM is in
    /// contact with the store or the voters is not considered.
    pub fn is_usable(&self, now: Time, share: ShareId) -> bool {
        self.map.owner(share) == Some(self.own)
            && !self.releases.contains_key(&share)
            && self.waits.get(&share).is_none_or(|state| state.is_over(now))
    }

    /// Returns the record for the proxy: own shares that must not be used have no owner in it.
    pub fn usable_map(&self, now: Time) -> ShareMap {
        let mut map = self.map.clone();
        for share in plan::shares_of(&self.map, self.own) {
            if !self.is_usable(now, share) {
                map.owners[usize::from(share.0)] = None;
            }
        }
        map
    }

    /// Stops using up to `count` shares in order to hand them over to `to`. Returns how many.
    ///
    /// Each is handed over once the proxy has confirmed that it stopped using the share, or after
    /// `wait`, when every permission given to the proxy has expired.
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
            self.releases.insert(*share, Release { to, free_at: now + wait });
        }
        free.len().min(count)
    }

    /// Stops using all shares in order to hand them over to `members`, divided evenly. `wait` is
    /// used as in `release`.
    pub fn release_all(&mut self, now: Time, members: &[ShareOwner], wait: Span) {
        let mut counts = plan::ShareCounts::new(&self.map, members);
        for share in plan::shares_of(&self.map, self.own).collect::<Vec<_>>() {
            let Some(to) = counts.assign_to_least_loaded(share) else { return };
            self.releases.entry(share).or_insert(Release { to, free_at: now + wait });
        }
    }

    /// Returns `true` if a share is being handed over.
    pub fn is_releasing(&self) -> bool {
        !self.releases.is_empty()
    }

    /// Records that the proxy has stopped using the shares released before `since`. `wait` must be
    /// that of `release`.
    pub fn confirm_release(&mut self, now: Time, since: Time, wait: Span) {
        for release in self.releases.values_mut() {
            // A view created at the very time of the release may still contain the share.
            if release.free_at < since + wait {
                release.free_at = release.free_at.min(now);
            }
        }
    }

    /// Returns the number of shares that this VM owns and is not handing over.
    pub fn kept(&self) -> usize {
        plan::shares_of(&self.map, self.own).count().saturating_sub(self.releases.len())
    }

    /// Writes the hand-overs that are ready into `next`. Returns `true` if there are any.
    pub fn hand_over(&self, now: Time, next: &mut ShareMap) -> bool {
        let mut changed = false;
        for (share, release) in &self.releases {
            if self.is_free(now, *share, *release) {
                changed |= plan::assign_clean(next, *share, self.own, release.to);
            }
        }
        changed
    }

    /// Returns `true` if the hand-over of a share is ready to be committed to the store.
    pub fn can_hand_over(&self, now: Time) -> bool {
        self.releases.iter().any(|(share, release)| self.is_free(now, *share, *release))
    }

    /// Cancels the hand-overs to owners for which `keep` returns `false`.
    pub fn cancel_releases(&mut self, keep: impl Fn(ShareOwner) -> bool) {
        self.releases.retain(|_, release| keep(release.to));
    }

    /// Reassigns the shares of earlier incarnations of this VM to the present one. Returns `true`
    /// if there are any.
    pub fn inherit(&self, next: &mut ShareMap) -> bool {
        let is_former =
            |owner: ShareOwner| owner.vm == self.own.vm && owner.incarnation < self.own.incarnation;
        plan::reclaim(next, is_former, |_| Some(self.own))
    }

    /// Returns `true` if the share may be assigned to its next owner for immediate use. A share
    /// that may still be in use by an earlier owner is not free.
    fn is_free(&self, now: Time, share: ShareId, release: Release) -> bool {
        let wait_is_over = self.waits.get(&share).is_none_or(|state| state.is_over(now));
        release.free_at <= now && wait_is_over
    }
}
