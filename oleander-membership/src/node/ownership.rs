//! Shares: claims, requests for more, hand-over, and taking over from VMs that are gone.

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
use crate::plan::Counts;
use crate::plan::Parity;
use crate::shares::ShareMap;
use crate::shares::ShareOwner;

/// The time between two attempts to commit hand-overs.
const COMMIT_TIME: Span = Span::from_millis(250);

/// The time between two requests for shares.
const ASK_TIME: Span = Span::from_secs(1);

/// The time after the start during which no VM claims more than the least fair part.
const FIRST_CLAIMS: Span = Span::from_secs(1);

/// The difference between the richest owner and this VM from which on it asks for shares.
const ASK_DIFFERENCE: usize = 2;

/// `SharePlan` is the next record of shares and the registrations that go with its commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharePlan {
    /// The record.
    pub next: ShareMap,
    /// The VMs whose registrations are deleted, with the lives that the plan is made for.
    pub removed: Vec<ShareOwner>,
}

impl Node {
    /// Gets the record that should follow `present`, the one that the store holds; `None` if
    /// this VM has nothing to change.
    pub fn plan(&self, now: Time, present: &ShareMap) -> Option<SharePlan> {
        if !self.has_work(now, present) {
            return None;
        }
        let mut next = present.clone();
        next.owners.resize(usize::from(self.options.shares), None);
        let mut changed = self.claims.hand_over(now, &mut next);
        if !self.left {
            changed |= self.claims.inherit(&mut next);
            changed |= self.is_watcher(now)
                && plan::assign_free(&mut next, &self.takers(now), self.claim_limit(now));
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

    /// Returns `true` if this VM may have something to change in the record.
    fn has_work(&self, now: Time, present: &ShareMap) -> bool {
        let own = self.claims.own();
        let is_former = |owner: &ShareOwner| owner.vm == own.vm && *owner != own;
        self.claims.can_hand_over(now)
            || present.owners.len() < usize::from(self.options.shares)
            || present.owners.iter().flatten().any(is_former)
            || present.owners.contains(&None)
            || !self.dropped(now).is_empty()
            || !self.roster.ids().eq(present.voters.iter().copied())
    }

    /// Takes in a record of shares. Returns `true` if it is newer.
    pub fn learn_shares(&mut self, now: Time, map: ShareMap) -> bool {
        let learned = self.claims.learn(map);
        if learned {
            self.currency.update(self.held());
            self.note_ack(now, self.own.vm, self.claims.map().version);
        }
        learned
    }

    /// Notes that `vm` has the record of shares of `version`.
    ///
    /// Half of the voters are enough: an owner that cannot reach the store needs more than half,
    /// and whoever has the record supports no owner that lacks it.
    pub(super) fn note_ack(&mut self, now: Time, vm: VmId, version: u64) {
        self.acks.advance(self.claims.map().version);
        self.acks.note(version, vm);
        if !self.claims.needs_quorum() {
            return;
        }
        if self.has_quorum(now) {
            let wait = self.wait();
            self.claims.confirm_quorum(now, wait);
        }
    }

    /// Returns `true` if half of the voters, and half of the former ones, have the record.
    fn has_quorum(&self, now: Time) -> bool {
        self.acks.version() == self.claims.map().version
            && self.is_half_of_voters(now, |vm| self.acks.contains(vm))
    }

    /// Returns `true` if `accept` holds for half of the voters, and for half of the former ones. A
    /// VM that has been out of the fleet for long enough is taken to have ended.
    fn is_half_of_voters(&self, now: Time, accept: impl Fn(VmId) -> bool) -> bool {
        let has_ended = |vm: &VmId| {
            self.absent.get(vm).is_some_and(|since| self.options.unlisted <= now.since(*since))
        };
        let is_half = |voters: &[VmId]| {
            let accepted = voters.iter().filter(|vm| accept(**vm) || has_ended(vm));
            voters.len() <= 2 * accepted.count()
        };
        let map = self.claims.map();
        is_half(&map.voters) && is_half(&map.former)
    }

    /// Brings the voters in line with the roster, once the voters have the present record: so no
    /// owner can rely on voters from before the change.
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

    /// Notes the voters that are out of the fleet.
    fn poll_absent(&mut self, now: Time) {
        let map = self.claims.map();
        let voters: BTreeSet<VmId> = map.voters.iter().chain(&map.former).copied().collect();
        let is_absent = |vm: &VmId| self.roster.member(*vm).is_none();
        self.absent.retain(|vm, _| voters.contains(vm) && is_absent(vm));
        for vm in voters.into_iter().filter(is_absent) {
            self.absent.entry(vm).or_insert(now);
        }
    }

    /// Notes that the proxy obeys what this VM said about shares at `since`.
    pub fn confirm_shares(&mut self, now: Time, since: Time) {
        let wait = self.wait();
        self.claims.confirm(now, since, wait);
    }

    /// Returns `true` once a leaving VM owns nothing any more.
    pub fn owns_no_shares(&self) -> bool {
        plan::shares_of(self.claims.map(), self.claims.own()).next().is_none()
    }

    /// Returns `true` if shares are being handed over.
    pub fn is_releasing(&self) -> bool {
        self.claims.is_releasing()
    }

    pub(super) fn release_all(&mut self, now: Time) {
        let wait = self.wait();
        let takers = self.takers(now);
        self.claims.release_all(now, &takers, wait);
    }

    /// Answers a VM that asks for shares. Returns how many it will get.
    pub(super) fn grant(&mut self, now: Time, asker: ShareOwner, count: u16) -> u16 {
        let takers = self.takers(now);
        if !takers.contains(&asker) || self.left {
            return 0;
        }
        let poorer = Counts::new(self.claims.map(), &takers).of(asker);
        let surplus = self.claims.kept().saturating_sub(poorer) / 2;
        let wait = self.wait();
        let preferred = Parity::preferred(asker, &takers);
        let count = surplus.min(usize::from(count));
        let granted = self.claims.release(now, asker, preferred, count, wait);
        granted as u16
    }

    /// Looks for shares whose hand-over waits for the store only.
    pub fn poll_hand_over(&mut self, now: Time) -> Vec<Action> {
        if !self.claims.can_hand_over(now) || now < self.next_commit {
            return Vec::new();
        }
        self.next_commit = now + COMMIT_TIME;
        vec![Action::ReadStore]
    }

    pub(super) fn poll_shares(&mut self, now: Time) -> Vec<Action> {
        if self.next_tend <= now {
            self.next_tend = now + ASK_TIME;
            self.poll_absent(now);
        }
        let roster = &self.roster;
        self.claims.cancel_releases(|to| {
            let member = roster.member(to.vm);
            let takes = |state| state != MemberState::Leaving;
            member.is_some_and(|member| member.incarnation == to.incarnation && takes(member.state))
        });
        if self.left {
            self.release_all(now);
        }
        let mut actions = Vec::new();
        if self.plan(now, self.claims.map()).is_some() {
            actions.push(Action::ReadStore);
        }
        actions.extend(self.ask_for_shares(now));
        actions
    }

    fn ask_for_shares(&mut self, now: Time) -> Option<Action> {
        if self.left || now < self.next_ask || self.claims.map().owners.contains(&None) {
            return None;
        }
        self.next_ask = now + ASK_TIME;
        let (richest, most) = Counts::new(self.claims.map(), &self.takers(now)).richest()?;
        let difference = most.saturating_sub(self.claims.kept());
        if difference < ASK_DIFFERENCE || richest.vm == self.own.vm {
            return None;
        }
        let count = (difference / 2) as u16;
        let request = MemberRequest::AskShares { asker: self.claims.own(), count };
        Some(Action::Send { to: richest.vm, request })
    }

    /// Gets the lives that may own shares, in order of their zones: members that neither leave nor
    /// are suspected.
    fn takers(&self, now: Time) -> Vec<ShareOwner> {
        let is_taker = |member: &&Member| {
            member.state == MemberState::Alive && !self.is_suspect(now, member.vm)
        };
        let mut members: Vec<&Member> = self.roster.members().filter(is_taker).collect();
        members
            .sort_by(|left, right| (&left.place.zone, left.vm).cmp(&(&right.place.zone, right.vm)));
        let life = |member: &Member| ShareOwner { vm: member.vm, incarnation: member.incarnation };
        members.into_iter().map(life).collect()
    }

    /// While the fleet starts, no VM gets more than its part, so that late ones find theirs.
    fn claim_limit(&self, now: Time) -> usize {
        let total = usize::from(self.options.shares);
        let expected = self.roster.len().max(self.listed_live()).max(1);
        if self.started + self.options.settle <= now {
            total
        } else if self.started + FIRST_CLAIMS <= now {
            total.div_ceil(expected)
        } else {
            (total / expected).max(1)
        }
    }

    /// Moves the shares of VMs that the platform has dropped, and of lives that are over.
    fn reclaim(&self, now: Time, next: &mut ShareMap) -> Vec<ShareOwner> {
        let dropped = self.dropped(now);
        if dropped.is_empty() || !self.may_reclaim(now) {
            return Vec::new();
        }
        let takers: Vec<ShareOwner> =
            self.takers(now).into_iter().filter(|owner| !dropped.contains(&owner.vm)).collect();
        let mut counts = Counts::new(next, &takers);
        plan::reclaim(
            next,
            |owner| dropped.contains(&owner.vm),
            |share| counts.take_poorest(share),
        );
        let life = |vm: &VmId| {
            let member = self.roster.member(*vm)?;
            Some(ShareOwner { vm: *vm, incarnation: member.incarnation })
        };
        dropped.iter().filter_map(life).collect()
    }

    /// A new owner waits until half of the voters have the record, so a VM that does not hear
    /// half of them takes nothing.
    fn may_reclaim(&self, now: Time) -> bool {
        let since = Time(now.0.saturating_sub(self.options.window.0));
        let is_heard = |vm: &VmId| *vm == self.own.vm || self.liveness.is_heard(*vm, since);
        self.is_half_of_voters(now, |vm| is_heard(&vm))
    }
}
