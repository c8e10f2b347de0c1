//! The way of a revision into force.

use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use super::Action;
use super::Node;
use crate::active_config::Candidate;
use crate::active_config::Section;
use crate::head::BodyHash;
use crate::head::Head;
use crate::messages::MemberRequest;
use crate::messages::SectionsCopy;

/// The time between the turns of VMs to read the bodies of a revision from the store.
const READ_STAGGER: Span = Span::from_millis(300);

/// The time after which a fetch from a peer counts as failed.
const FETCH_TIME: Span = Span::from_secs(1);

impl Node {
    /// Takes in the result of the check of `candidate`. Returns `true` with the actions if the
    /// revision has come into force.
    pub fn on_checked(
        &mut self,
        now: Time,
        candidate: Candidate,
        result: CheckResult,
        entropy: u64,
    ) -> (bool, Vec<Action>) {
        self.fetching = None;
        let accepted = match result {
            CheckResult::Valid => self.config.accept(candidate),
            CheckResult::Invalid => {
                self.config.reject(candidate.revision);
                false
            }
        };
        self.currency.update(self.held());
        let actions = if accepted { self.push(now, entropy) } else { Vec::new() };
        (accepted, actions)
    }

    /// Takes in the bodies that were missing for `head`.
    pub fn on_bodies_read(&mut self, head: &Head, bodies: &[String]) -> Vec<Action> {
        if head.revision <= self.config.seen() {
            return Vec::new();
        }
        let find = |hash: BodyHash| {
            let read = bodies.iter().find(|text| BodyHash::of(text) == hash);
            read.cloned().or_else(|| self.config.body(hash).map(str::to_owned))
        };
        let section = |part: &crate::head::SectionHead| {
            let text = find(part.hash)?;
            Some(Section { name: part.section.clone(), hash: part.hash, text })
        };
        let sections: Option<Vec<Section>> = head.sections.iter().map(section).collect();
        let Some(sections) = sections else { return Vec::new() };
        vec![Action::Check(Candidate { revision: head.revision, sections })]
    }

    pub(super) fn learn_head(&mut self, now: Time, head: Head) -> Option<Action> {
        if head.revision <= self.config.seen() || self.is_fetching(now, head.revision) {
            return None;
        }
        let rank = self.reader_rank(now, head.revision);
        if self.delayed.as_ref().is_none_or(|(delayed, _)| delayed.revision < head.revision) {
            self.delayed = Some((head, now + READ_STAGGER.times(rank)));
        }
        self.poll_head(now)
    }

    /// Reads the bodies of a head from the store when it is this VM's turn. One VM reads them
    /// first; the others usually have them from a peer, as differences, before their turn comes.
    pub fn poll_head(&mut self, now: Time) -> Option<Action> {
        let (head, _) = self.delayed.take_if(|(_, due)| *due <= now)?;
        if head.revision <= self.config.seen() || self.is_fetching(now, head.revision) {
            return None;
        }
        self.fetching = Some((head.revision, now + FETCH_TIME));
        Some(Action::ReadBodies(head))
    }

    pub(super) fn learn_sections(&mut self, copy: SectionsCopy) -> Vec<Action> {
        self.config.read_copy(copy).map(Action::Check).into_iter().collect()
    }

    pub(super) fn want_sections(
        &mut self,
        now: Time,
        from: VmId,
        revision: Revision,
        _entropy: u64,
    ) -> Option<Action> {
        if revision <= self.config.seen() || self.is_fetching(now, revision) {
            return None;
        }
        self.fetching = Some((revision, now + FETCH_TIME));
        let held = self.config.held();
        Some(Action::Send { to: from, request: MemberRequest::Sections { held } })
    }

    fn is_fetching(&self, now: Time, revision: Revision) -> bool {
        self.fetching.is_some_and(|(fetched, due)| revision <= fetched && now < due)
    }
}

/// `CheckResult` is the outcome of checking a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckResult {
    /// All sections hold together.
    Valid,
    /// The sections must not come into force.
    Invalid,
}
