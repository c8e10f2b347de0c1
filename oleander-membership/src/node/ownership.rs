//! Share ownership: assignment, rebalancing, hand-over and reclaiming from removed VMs.

use std::collections::BTreeSet;

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use super::Action;
use super::Node;
use crate::member::Member;
use crate::member::MemberState;
use crate::messages::MemberRequest;
use crate::plan;
use crate::plan::Parity;
use crate::plan::ShareCounts;
use crate::shares::ShareMap;
use crate::shares::ShareOwner;

/// The minimum time between two attempts to commit hand-overs.
const COMMIT_INTERVAL: Span = Span::from_millis(250);

/// The minimum time between two requests for shares, and between updates of absent voters.
const ASK_INTERVAL: Span = Span::from_secs(1);

/// The time after the start during which no VM is assigned more than its equal part, rounded down
/// but at least one.
const FIRST_CLAIM_TIME: Span = Span::from_secs(1);

/// The minimum difference in shares to the largest owner at which this VM asks it for some.
const MIN_ASK_DIFFERENCE: usize = 2;

/// `SharePlan` is the next share record, with the registrations to delete in the same commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharePlan {
    /// The record to write.
    pub next: ShareMap,
    /// The VMs whose registrations are deleted. The plan is valid only for the incarnations named
    /// here.
    pub removed: Vec<ShareOwner>,
}

impl Node {
    /// Computes the record that should replace `present`, the one in the store. Returns `None` if
    /// this VM has nothing to change.
    pub fn plan(&self, now: Time, present: &ShareMap) -> Option<SharePlan> {
        if !self.may_change(now, present) {
            return None;
        }
        let mut next = present.clone();
        next.owners.resize(usize::from(self.options.shares), None);
        let mut changed = self.claims.hand_over(now, &mut next);
        if !self.leaving {
            changed |= self.claims.inherit(&mut next);
            changed |= self.is_watcher(now)
                && plan::assign_free(&mut next, &self.eligible_owners(now), self.claim_limit(now));
        }
        let removed = self.reclaim(now, &mut next);
        changed |= !removed.is_empty();
        changed |= self.change_voters(now, &mut next);
        if !changed {
            return None;
        }
        next.version = present.version + 1;
        Some(SharePlan { next, removed })
    }

    /// Returns `true` if this VM may have something to change in `present`; cheaper than a plan.
    fn may_change(&self, now: Time, present: &ShareMap) -> bool {
        let own = self.claims.own();
        let is_former = |owner: &ShareOwner| owner.vm == own.vm && *owner != own;
        self.claims.can_hand_over(now)
            || present.owners.len() < usize::from(self.options.shares)
            || present.owners.iter().flatten().any(is_former)
            || present.owners.contains(&None)
            || !self.dropped(now).is_empty()
            || !self.roster.ids().eq(present.voters.iter().copied())
    }

    /// Stores a share record if it is newer than the known one. Returns `true` if it is.
    pub fn learn_shares(&mut self, now: Time, map: ShareMap) -> bool {
        let learned = self.claims.learn(map);
        if learned {
            self.currency.update(self.held());
            self.note_ack(now, self.own.vm, self.claims.map().version);
        }
        learned
    }

    /// Records that `vm` has the share record with this version.
    ///
    /// Acknowledgements from half of the voters form a quorum: an owner that cannot reach the store
    /// must hear more than half of them, and one that has the record does not count for an owner
    /// without it.
    pub(super) fn note_ack(&mut self, now: Time, vm: VmId, version: u64) {
        self.acks.advance(self.claims.map().version);
        self.acks.record(version, vm);
        if !self.claims.needs_quorum() {
            return;
        }
        if self.has_quorum(now) {
            let reclaim_wait = self.reclaim_wait();
            self.claims.confirm_quorum(now, reclaim_wait);
        }
    }

    /// Returns `true` if at least half of the voters and half of the former voters have the latest
    /// record.
    fn has_quorum(&self, now: Time) -> bool {
        self.acks.version() == self.claims.map().version
            && self.is_half_of_voters(now, |vm| self.acks.contains(vm))
    }

    /// Returns `true` if `accept` holds for at least half of the voters and of the former voters.
    /// A voter absent from the roster for `unlisted` is taken to have stopped and counts as well.
    fn is_half_of_voters(&self, now: Time, accept: impl Fn(VmId) -> bool) -> bool {
        let has_stopped = |vm: &VmId| {
            self.absent_voters
                .get(vm)
                .is_some_and(|since| self.options.unlisted <= now.since(*since))
        };
        let is_half = |voters: &[VmId]| {
            let accepted = voters.iter().filter(|vm| accept(**vm) || has_stopped(vm));
            voters.len() <= 2 * accepted.count()
        };
        let map = self.claims.map();
        is_half(&map.voters) && is_half(&map.former)
    }

    /// Replaces the voters in `next` by the members of the roster. Returns `true` if they changed.
    ///
    /// A watcher makes the change once a quorum has the latest record, so that no owner can rely on
    /// voters from before an earlier change. The first record gets its voters at once.
    fn change_voters(&self, now: Time, next: &mut ShareMap) -> bool {
        if next.version == 0 {
            next.voters = self.roster.ids().collect();
            next.former.clone_from(&next.voters);
            return true;
        }
        let is_known = next.version == self.claims.map().version;
        if !is_known || self.roster.ids().eq(next.voters.iter().copied()) {
            return false;
        }
        if !self.is_watcher(now) || !self.has_quorum(now) {
            return false;
        }
        next.former = std::mem::replace(&mut next.voters, self.roster.ids().collect());
        true
    }

    /// Updates the times since which voters have been absent from the roster.
    fn update_absent_voters(&mut self, now: Time) {
        let map = self.claims.map();
        let voters: BTreeSet<VmId> = map.voters.iter().chain(&map.former).copied().collect();
        let is_absent = |vm: &VmId| self.roster.member(*vm).is_none();
        self.absent_voters.retain(|vm, _| voters.contains(vm) && is_absent(vm));
        for vm in voters.into_iter().filter(is_absent) {
            self.absent_voters.entry(vm).or_insert(now);
        }
    }

    /// Records that the proxy has applied the view created at `since`, so that it no longer uses
    /// shares released before.
    pub fn confirm_shares(&mut self, now: Time, since: Time) {
        let reclaim_wait = self.reclaim_wait();
        self.claims.confirm_release(now, since, reclaim_wait);
    }

    /// Returns `true` if this VM owns no shares under its present incarnation.
    pub fn owns_no_shares(&self) -> bool {
        plan::shares_of(self.claims.map(), self.claims.own()).next().is_none()
    }

    /// Returns `true` if shares of this VM are being handed over.
    pub fn is_releasing(&self) -> bool {
        self.claims.is_releasing()
    }

    /// Starts to hand over all shares of this VM.
    pub(super) fn release_all(&mut self, now: Time) {
        let reclaim_wait = self.reclaim_wait();
        let eligible_owners = self.eligible_owners(now);
        self.claims.release_all(now, &eligible_owners, reclaim_wait);
    }

    /// Starts to hand over up to `count` shares to `asker`, at most half of the difference to what
    /// it owns. Returns how many it will get; 0 if it may not own any or if this VM is leaving.
    pub(super) fn grant(&mut self, now: Time, asker: ShareOwner, count: u16) -> u16 {
        let eligible_owners = self.eligible_owners(now);
        if !eligible_owners.contains(&asker) || self.leaving {
            return 0;
        }
        let asker_count = ShareCounts::new(self.claims.map(), &eligible_owners).of(asker);
        let surplus = self.claims.kept().saturating_sub(asker_count) / 2;
        let reclaim_wait = self.reclaim_wait();
        let preferred = Parity::preferred(asker, &eligible_owners);
        let count = surplus.min(usize::from(count));
        let granted = self.claims.release(now, asker, preferred, count, reclaim_wait);
        granted as u16
    }

    /// Requests a read of the store, and so a commit, if a hand-over waits for nothing else.
    pub fn poll_hand_over(&mut self, now: Time) -> Vec<Action> {
        if !self.claims.can_hand_over(now) || now < self.next_commit {
            return Vec::new();
        }
        self.next_commit = now + COMMIT_INTERVAL;
        vec![Action::ReadStore]
    }

    /// Runs the periodic work on shares: cancels hand-overs to VMs that have gone, requests a read
    /// of the store if the record should change, and asks a larger owner for shares.
    pub(super) fn poll_shares(&mut self, now: Time) -> Vec<Action> {
        if self.next_absent_check <= now {
            self.next_absent_check = now + ASK_INTERVAL;
            self.update_absent_voters(now);
        }
        let roster = &self.roster;
        self.claims.cancel_releases(|to| {
            let member = roster.member(to.vm);
            let may_own = |state| state != MemberState::Leaving;
            member
                .is_some_and(|member| member.incarnation == to.incarnation && may_own(member.state))
        });
        if self.leaving {
            self.release_all(now);
        }
        let mut actions = Vec::new();
        if self.plan(now, self.claims.map()).is_some() {
            actions.push(Action::ReadStore);
        }
        actions.extend(self.ask_for_shares(now));
        actions
    }

    /// Asks the largest owner for half of the difference in shares, if all shares have an owner.
    fn ask_for_shares(&mut self, now: Time) -> Option<Action> {
        if self.leaving || now < self.next_ask || self.claims.map().owners.contains(&None) {
            return None;
        }
        self.next_ask = now + ASK_INTERVAL;
        let (largest, owned) =
            ShareCounts::new(self.claims.map(), &self.eligible_owners(now)).most_loaded()?;
        let difference = owned.saturating_sub(self.claims.kept());
        if difference < MIN_ASK_DIFFERENCE || largest.vm == self.own.vm {
            return None;
        }
        let count = (difference / 2) as u16;
        let request = MemberRequest::AskShares { asker: self.claims.own(), count };
        Some(Action::Send { to: largest.vm, request })
    }

    /// Returns the incarnations that may be given shares, ordered by zone: those of members that
    /// are neither leaving nor suspected.
    fn eligible_owners(&self, now: Time) -> Vec<ShareOwner> {
        let is_eligible = |member: &&Member| {
            member.state == MemberState::Alive && !self.is_suspect(now, member.vm)
        };
        let mut members: Vec<&Member> = self.roster.members().filter(is_eligible).collect();
        members
            .sort_by(|left, right| (&left.place.zone, left.vm).cmp(&(&right.place.zone, right.vm)));
        let to_owner =
            |member: &Member| ShareOwner { vm: member.vm, incarnation: member.incarnation };
        members.into_iter().map(to_owner).collect()
    }

    /// Returns the number of shares up to which a VM is assigned free ones. While the fleet starts
    /// it is an equal part, so that free shares are left for VMs that start later.
    fn claim_limit(&self, now: Time) -> usize {
        let total = usize::from(self.options.shares);
        let expected = self.roster.len().max(self.listed_live()).max(1);
        if self.started + self.options.settle <= now {
            total
        } else if self.started + FIRST_CLAIM_TIME <= now {
            total.div_ceil(expected)
        } else {
            (total / expected).max(1)
        }
    }

    /// Reassigns the shares of VMs that the platform has dropped. Returns the incarnations of
    /// these VMs whose registrations are to be deleted.
    fn reclaim(&self, now: Time, next: &mut ShareMap) -> Vec<ShareOwner> {
        let dropped = self.dropped(now);
        if dropped.is_empty() || !self.may_reclaim(now) {
            return Vec::new();
        }
        let eligible_owners: Vec<ShareOwner> = self
            .eligible_owners(now)
            .into_iter()
            .filter(|owner| !dropped.contains(&owner.vm))
            .collect();
        let mut counts = ShareCounts::new(next, &eligible_owners);
        plan::reclaim(
            next,
            |owner| dropped.contains(&owner.vm),
            |share| counts.assign_to_least_loaded(share),
        );
        let to_owner = |vm: &VmId| {
            let member = self.roster.member(*vm)?;
            Some(ShareOwner { vm: *vm, incarnation: member.incarnation })
        };
        dropped.iter().filter_map(to_owner).collect()
    }

    /// Returns `true` if this VM has heard half of the voters within `window`. A new owner waits
    /// until half of the voters have the record, so a VM that does not hear them reclaims nothing.
    fn may_reclaim(&self, now: Time) -> bool {
        let since = Time(now.0.saturating_sub(self.options.window.0));
        let is_heard = |vm: &VmId| *vm == self.own.vm || self.liveness.is_heard(*vm, since);
        self.is_half_of_voters(now, |vm| is_heard(&vm))
    }
}
