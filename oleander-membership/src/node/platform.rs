//! Input from the store and from the VM list of the platform.

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

/// `StoreState` is the result of a read of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreState {
    /// The time at which the read was started; the age of its result counts from here.
    pub asked: Time,
    /// The head of the configuration; the default value if the store holds none.
    pub head: Head,
    /// The share record; the default value if the store holds none.
    pub shares: ShareMap,
    /// The store revision of the share record, which a commit expects unchanged; 0 if there is
    /// none.
    pub shares_revision: u64,
}

/// `ListedVm` is an entry of the platform's VM list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedVm {
    /// The identifier of the VM.
    pub vm: VmId,
    /// The state reported by the platform: `Alive` or `Leaving`.
    pub state: MemberState,
}

/// `ListEntry` is what the reads of the VM list have shown about a VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListEntry {
    /// Whether the list has ever contained the VM.
    was_listed: bool,
    /// The time since which the list lacks the VM; `None` if the last read contained it. A long gap
    /// between reads restarts the time.
    missing_since: Option<Time>,
}

impl Node {
    /// Handles the result of a read of the store.
    pub fn on_store_read(&mut self, now: Time, state: StoreState) -> Vec<Action> {
        let StoreState { asked, head, shares, .. } = state;
        let reading =
            StoreReading { age: Span::ZERO, revision: head.revision, shares: shares.version };
        self.learn_shares(now, shares);
        self.currency.record(asked, reading, self.held());
        self.learn_head(now, head).into_iter().collect()
    }

    /// Handles a read of all registrations, made at the store revision `stored`.
    pub fn on_roster_read(&mut self, now: Time, stored: u64, members: Vec<Member>) -> Vec<Action> {
        let is_listed = |vm: VmId| members.iter().any(|member| member.vm == vm);
        // Incarnations are store revisions, so an incarnation that is older than the read and not
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

    /// Handles a read of the VM list. A list that contains no member of the roster is ignored.
    pub fn on_list_read(&mut self, now: Time, list: &[ListedVm]) -> Vec<Action> {
        let find = |vm: VmId| list.iter().find(|entry| entry.vm == vm);
        if !self.roster.ids().any(|vm| find(vm).is_some()) {
            return Vec::new();
        }
        if self.list_read_at + self.options.window < now {
            // A VM that was missing before this gap may have been listed again during it.
            self.listed.values_mut().for_each(|listed| listed.missing_since = None);
        }
        self.list_read_at = now;
        self.live_count = list.iter().filter(|entry| entry.state != MemberState::Leaving).count();
        // Includes VMs whose registration is not known yet: one that leaves the list before the next
        // read was listed all the same.
        for entry in list {
            self.listed.insert(entry.vm, ListEntry { was_listed: true, missing_since: None });
        }
        let members: Vec<Member> = self.roster.members().cloned().collect();
        for member in members {
            match find(member.vm) {
                Some(entry) if entry.state == MemberState::Leaving => {
                    let state = MemberState::Leaving;
                    self.roster.merge(MemberNews::Present(Member { state, ..member }));
                }
                Some(_) => {}
                None => {
                    let listed = self
                        .listed
                        .entry(member.vm)
                        .or_insert(ListEntry { was_listed: false, missing_since: None });
                    listed.missing_since = listed.missing_since.or(Some(now));
                }
            }
        }
        let roster = &self.roster;
        let is_known = |vm: VmId| roster.member(vm).is_some() || find(vm).is_some();
        self.listed.retain(|vm, _| is_known(*vm));
        self.roster_changed(now)
    }

    /// Returns the VMs that have been missing from the VM list for their grace time. Returns none
    /// if the list itself is older than `window`.
    pub(super) fn dropped(&self, now: Time) -> Vec<VmId> {
        if self.list_read_at + self.options.window < now {
            return Vec::new();
        }
        let is_dropped = |listed: &ListEntry| {
            let grace = if listed.was_listed { self.options.grace } else { self.options.unlisted };
            listed.missing_since.is_some_and(|missing_since| grace <= now.since(missing_since))
        };
        let dropped =
            self.listed.iter().filter(|(vm, listed)| **vm != self.own.vm && is_dropped(listed));
        dropped.map(|(vm, _)| *vm).collect()
    }

    /// Returns the number of VMs in the VM list that are not leaving.
    pub(super) fn listed_live(&self) -> usize {
        self.live_count
    }

    /// Reads the store if a read is due. Watchers read it at a fixed interval, other VMs only once
    /// the latest read they know of is older than `probe`.
    pub(super) fn poll_store(&mut self, now: Time, entropy: u64) -> Vec<Action> {
        if now < self.next_read {
            return Vec::new();
        }
        let is_watcher = self.is_watcher(now);
        if !is_watcher && self.currency.age(now) <= self.options.probe {
            return Vec::new();
        }
        // Spreads the reads of VMs that lose the store at the same time.
        let jitter = Span(hash::mix(entropy) % (self.options.read_interval.0 / 4).max(1));
        self.next_read = now + self.options.read_interval.saturating_sub(jitter);
        if is_watcher { vec![Action::ReadStore, Action::ReadList] } else { vec![Action::ReadStore] }
    }
}
