//! The VMs of the fleet as one VM knows them.

use std::collections::BTreeMap;

use oleander_core::hash;
use oleander_core::ids::Incarnation;
use oleander_core::ids::VmId;

use crate::member::Member;
use crate::member::MemberState;
use crate::messages::MemberNews;
use crate::messages::RosterCopy;
use crate::shares::ShareOwner;

/// The messages that carry a change of the roster, for each doubling of the fleet.
const REPEATS_PER_DOUBLING: u32 = 3;

/// The changes of the roster that one message carries at most.
const MAX_NEWS: usize = 4;

/// The changes from one source that are passed on at most.
const MAX_PASSED: usize = 16;

/// `Roster` holds the VMs of the fleet and spreads changes of it.
///
/// Of two records of a VM the one with the higher incarnation wins; in one life, leaving wins
/// over alive and a removal over both.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: BTreeMap<VmId, Member>,
    removed: BTreeMap<VmId, Incarnation>,
    news: Vec<Rumor>,
    digest: u64,
}

#[derive(Clone, Debug)]
struct Rumor {
    news: MemberNews,
    repeats: u32,
}

impl Roster {
    /// Gets the members in the order of their identifiers.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Gets the identifiers in order.
    pub fn ids(&self) -> impl Iterator<Item = VmId> {
        self.members.keys().copied()
    }

    /// Gets a member.
    pub fn member(&self, vm: VmId) -> Option<&Member> {
        self.members.get(&vm)
    }

    /// Gets the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns `true` if there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Gets a number that two rosters share if they hold the same lives of the same VMs.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns `true` if this life of the VM has been removed.
    pub fn is_removed(&self, owner: ShareOwner) -> bool {
        self.removed.get(&owner.vm).is_some_and(|last| owner.incarnation <= *last)
    }

    /// Takes in one piece of news and passes it on. Returns `true` if it was new.
    pub fn merge(&mut self, news: MemberNews) -> bool {
        self.merge_all([news])
    }

    /// Takes in a whole roster. Returns `true` if anything in it was new.
    pub fn merge_copy(&mut self, copy: RosterCopy) -> bool {
        let removed = copy.removed.into_iter().map(MemberNews::Removed);
        let present = copy.members.into_iter().map(MemberNews::Present);
        self.merge_all(removed.chain(present))
    }

    /// Takes in many pieces of news. A few are passed on; many mean that this VM was behind, and
    /// the others have them. Returns `true` if any was new.
    pub fn merge_all(&mut self, news: impl IntoIterator<Item = MemberNews>) -> bool {
        let mut changed = Vec::new();
        for news in news {
            if self.merge_quietly(&news) {
                changed.push(news);
            }
        }
        if changed.is_empty() {
            return false;
        }
        self.update_digest();
        if changed.len() <= MAX_PASSED {
            changed.into_iter().for_each(|news| self.spread(news));
        }
        true
    }

    /// Gets the whole roster.
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

    /// Takes the news that the next message carries, the least repeated first.
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

    fn merge_quietly(&mut self, news: &MemberNews) -> bool {
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
            (known.incarnation, rank(known.state)) < (member.incarnation, rank(member.state))
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
        let lives = self.members.values().map(|member| {
            hash::combine(hash::combine(member.vm.0, member.incarnation.0), rank(member.state))
        });
        self.digest = lives.fold(0, |digest, life| digest ^ life);
    }

    fn spread(&mut self, news: MemberNews) {
        let subject = subject(&news);
        self.news.retain(|rumor| subject != self::subject(&rumor.news));
        self.news.push(Rumor { news, repeats: 0 });
    }
}

/// Suspicion is a hint of one VM and no part of the common roster.
fn rank(state: MemberState) -> u64 {
    match state {
        MemberState::Alive | MemberState::Suspect => 0,
        MemberState::Leaving => 1,
    }
}

fn subject(news: &MemberNews) -> VmId {
    match news {
        MemberNews::Present(member) => member.vm,
        MemberNews::Removed(owner) => owner.vm,
    }
}
