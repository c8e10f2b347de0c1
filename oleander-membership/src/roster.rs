//! The roster: the members of the fleet as one VM knows them.

use std::collections::BTreeMap;

use oleander_core::hash;
use oleander_core::ids::Incarnation;
use oleander_core::ids::VmId;

use crate::member::Member;
use crate::member::MemberState;
use crate::messages::MemberNews;
use crate::messages::RosterCopy;
use crate::shares::ShareOwner;

/// The number of messages in which a VM repeats a change of the roster, for each doubling of the
/// fleet size.
const REPEATS_PER_DOUBLING: u32 = 3;

/// The maximum number of roster changes in one message.
const MAX_NEWS: usize = 4;

/// The maximum number of changes merged at once that are forwarded to peers.
const MAX_FORWARDED: usize = 16;

/// `Roster` holds the members of the fleet and disseminates changes by gossip.
///
/// Of two records of a VM the one with the higher incarnation wins. Within one incarnation,
/// leaving wins over alive, and a removal wins over both.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: BTreeMap<VmId, Member>,
    /// The highest removed incarnation of each VM that was ever removed.
    removed: BTreeMap<VmId, Incarnation>,
    /// The changes that are still sent to peers.
    news: Vec<Rumor>,
    digest: u64,
}

#[derive(Clone, Debug)]
struct Rumor {
    news: MemberNews,
    /// The number of messages that have carried the change.
    repeats: u32,
}

impl Roster {
    /// Returns the members, sorted by identifier.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the identifiers of the members, sorted.
    pub fn ids(&self) -> impl Iterator<Item = VmId> {
        self.members.keys().copied()
    }

    /// Returns the record of a member; `None` if `vm` is not in the fleet.
    pub fn member(&self, vm: VmId) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns `true` if there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns a hash over the identifier, incarnation and state of all members, by which two
    /// rosters are compared. Suspicion is not part of it.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns `true` if this incarnation of the VM has been removed.
    pub fn is_removed(&self, owner: ShareOwner) -> bool {
        self.removed.get(&owner.vm).is_some_and(|last| owner.incarnation <= *last)
    }

    /// Merges one change and queues it for gossip. Returns `true` if it was new.
    pub fn merge(&mut self, news: MemberNews) -> bool {
        self.merge_all([news])
    }

    /// Merges a whole roster. Returns `true` if anything in it was new.
    pub fn merge_copy(&mut self, copy: RosterCopy) -> bool {
        let removed = copy.removed.into_iter().map(MemberNews::Removed);
        let present = copy.members.into_iter().map(MemberNews::Present);
        self.merge_all(removed.chain(present))
    }

    /// Merges changes. Returns `true` if any was new. Up to `MAX_FORWARDED` new ones are queued
    /// for gossip; more mean that this VM was behind and its peers already have them.
    pub fn merge_all(&mut self, news: impl IntoIterator<Item = MemberNews>) -> bool {
        let mut changed = Vec::new();
        for news in news {
            if self.merge_one(&news) {
                changed.push(news);
            }
        }
        if changed.is_empty() {
            return false;
        }
        self.update_digest();
        if changed.len() <= MAX_FORWARDED {
            changed.into_iter().for_each(|news| self.queue_news(news));
        }
        true
    }

    /// Returns a copy of the whole roster, including removals.
    pub fn copy(&self) -> RosterCopy {
        let removal = |(vm, incarnation): (&VmId, &Incarnation)| ShareOwner {
            vm: *vm,
            incarnation: *incarnation,
        };
        RosterCopy {
            members: self.members.values().cloned().collect(),
            removed: self.removed.iter().map(removal).collect(),
        }
    }

    /// Returns the changes for the next message, those sent least often first. A change is dropped
    /// from the queue after a number of messages that grows with the logarithm of the fleet size.
    pub fn take_news(&mut self) -> Vec<MemberNews> {
        let limit = REPEATS_PER_DOUBLING * (self.members.len().max(2).ilog2() + 1);
        self.news.sort_by_key(|rumor| rumor.repeats);
        let taken: Vec<MemberNews> = self
            .news
            .iter_mut()
            .take(MAX_NEWS)
            .map(|rumor| {
                rumor.repeats += 1;
                rumor.news.clone()
            })
            .collect();
        self.news.retain(|rumor| rumor.repeats < limit);
        taken
    }

    fn merge_one(&mut self, news: &MemberNews) -> bool {
        match news {
            MemberNews::Present(member) => self.merge_member(member),
            MemberNews::Removed(owner) => self.merge_removal(*owner),
        }
    }

    fn merge_member(&mut self, member: &Member) -> bool {
        let owner = ShareOwner { vm: member.vm, incarnation: member.incarnation };
        if self.is_removed(owner) {
            return false;
        }
        let known = self.members.get(&member.vm);
        let is_newer = known.is_none_or(|known| {
            (known.incarnation, precedence(known.state))
                < (member.incarnation, precedence(member.state))
        });
        if is_newer {
            self.members.insert(member.vm, member.clone());
        }
        is_newer
    }

    fn merge_removal(&mut self, owner: ShareOwner) -> bool {
        if self.is_removed(owner) {
            return false;
        }
        self.removed.insert(owner.vm, owner.incarnation);
        self.members.retain(|vm, member| *vm != owner.vm || owner.incarnation < member.incarnation);
        true
    }

    fn update_digest(&mut self) {
        let hashes = self.members.values().map(|member| {
            hash::combine(
                hash::combine(member.vm.0, member.incarnation.0),
                precedence(member.state),
            )
        });
        self.digest = hashes.fold(0, |digest, hash| digest ^ hash);
    }

    /// Queues a change for gossip in place of an earlier one of the same VM.
    fn queue_news(&mut self, news: MemberNews) {
        let subject = subject(&news);
        self.news.retain(|rumor| subject != self::subject(&rumor.news));
        self.news.push(Rumor { news, repeats: 0 });
    }
}

/// Returns the precedence of a state: within one incarnation the higher one replaces the lower.
/// Suspicion is local to one VM and not part of the roster, so it counts as alive.
fn precedence(state: MemberState) -> u64 {
    match state {
        MemberState::Alive | MemberState::Suspect => 0,
        MemberState::Leaving => 1,
    }
}

/// Returns the VM that a change concerns.
fn subject(news: &MemberNews) -> VmId {
    match news {
        MemberNews::Present(member) => member.vm,
        MemberNews::Removed(owner) => owner.vm,
    }
}
