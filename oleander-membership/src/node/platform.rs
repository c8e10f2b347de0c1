//! What the store and the VM list tell.

use oleander_core::hash;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use super::Action;
use super::Node;
use crate::head::Head;
use crate::member::Member;
use crate::member::MemberState;
use crate::messages::MemberNews;
use crate::messages::StoreReading;
use crate::shares::ShareMap;
use crate::shares::ShareOwner;

/// `StoreState` is what a read of the store found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreState {
    /// The time at which the read was asked for.
    pub asked: Time,
    /// The head of the configuration; the default one if there is none.
    pub head: Head,
    /// The record of shares; the default one if there is none.
    pub shares: ShareMap,
    /// The store's revision of the record of shares; 0 if there is none.
    pub shares_revision: u64,
}

/// `ListedVm` is an entry of the VM list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// What the platform says: `Alive` or `Leaving`.
    pub state: MemberState,
}

/// `Listed` is what this VM saw of another one in the VM list.
#[derive(Clone, Copy, Debug)]
pub(super) struct Listed {
    named: bool,
    missing: Option<Time>,
}

impl Node {
    /// Takes in a read of the store.
    pub fn on_store_read(&mut self, now: Time, state: StoreState) -> Vec<Action> {
        let StoreState { asked, head, shares, .. } = state;
        let reading =
            StoreReading { age: Span::ZERO, revision: head.revision, shares: shares.version };
        self.learn_shares(now, shares);
        self.currency.note(asked, reading, self.held());
        self.learn_head(now, head).into_iter().collect()
    }

    /// Takes in all registrations, read at the store's revision `stored`.
    pub fn on_roster_read(&mut self, now: Time, stored: u64, members: Vec<Member>) -> Vec<Action> {
        let is_listed = |vm: VmId| members.iter().any(|member| member.vm == vm);
        // Incarnations are revisions of the store, so a life that is older than the read and not
        // in it has been removed.
        let gone: Vec<MemberNews> = self
            .roster
            .members()
            .filter(|member| member.incarnation.0 <= stored && !is_listed(member.vm))
            .map(|member| ShareOwner { vm: member.vm, incarnation: member.incarnation })
            .map(MemberNews::Removed)
            .collect();
        let present = members.into_iter().map(MemberNews::Present);
        self.roster.merge_all(gone.into_iter().chain(present));
        self.roster_changed(now)
    }

    /// Takes in the VM list. A list that names nobody of the roster is ignored.
    pub fn on_list_read(&mut self, now: Time, list: &[ListedVm]) -> Vec<Action> {
        let find = |vm: VmId| list.iter().find(|entry| entry.vm == vm);
        if !self.roster.ids().any(|vm| find(vm).is_some()) {
            return Vec::new();
        }
        if self.list_read + self.options.window < now {
            // What was missing before the break may have come and gone in it.
            self.listed.values_mut().for_each(|listed| listed.missing = None);
        }
        self.list_read = now;
        self.live = list.iter().filter(|entry| entry.state != MemberState::Leaving).count();
        let members: Vec<Member> = self.roster.members().cloned().collect();
        for member in members {
            let entry = find(member.vm);
            let listed =
                self.listed.entry(member.vm).or_insert(Listed { named: false, missing: None });
            match entry {
                Some(_) => *listed = Listed { named: true, missing: None },
                None => listed.missing = listed.missing.or(Some(now)),
            }
            if entry.is_some_and(|entry| entry.state == MemberState::Leaving) {
                let state = MemberState::Leaving;
                self.roster.merge(MemberNews::Present(Member { state, ..member }));
            }
        }
        let roster = &self.roster;
        self.listed.retain(|vm, _| roster.member(*vm).is_some());
        self.roster_changed(now)
    }

    /// Gets the VMs that the list has not named for longer than the grace time.
    pub(super) fn dropped(&self, now: Time) -> Vec<VmId> {
        if self.list_read + self.options.window < now {
            return Vec::new();
        }
        let is_dropped = |listed: &Listed| {
            let grace = if listed.named { self.options.grace } else { self.options.unlisted };
            listed.missing.is_some_and(|missing| grace <= now.since(missing))
        };
        let dropped =
            self.listed.iter().filter(|(vm, listed)| **vm != self.own.vm && is_dropped(listed));
        dropped.map(|(vm, _)| *vm).collect()
    }

    /// Gets the number of VMs that the VM list names as live.
    pub(super) fn listed_live(&self) -> usize {
        self.live
    }

    /// Watchers read the store at a steady interval, others once their news of it is old.
    pub(super) fn poll_store(&mut self, now: Time, entropy: u64) -> Vec<Action> {
        if now < self.next_read {
            return Vec::new();
        }
        let is_watcher = self.is_watcher(now);
        if !is_watcher && self.currency.age(now) <= self.options.probe {
            return Vec::new();
        }
        // Spreads the reads of many VMs that lose the store at the same moment.
        let jitter = Span(hash::mix(entropy) % (self.options.read_interval.0 / 4).max(1));
        self.next_read = now + self.options.read_interval.saturating_sub(jitter);
        if is_watcher { vec![Action::ReadStore, Action::ReadList] } else { vec![Action::ReadStore] }
    }
}
