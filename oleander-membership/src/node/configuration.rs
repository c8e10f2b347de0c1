//! Fetching, checking and activating configuration revisions.

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

/// The delay between successive ranks of VMs reading the bodies of a revision from the store.
const READ_STAGGER: Span = Span::from_millis(300);

/// The time after which a fetch of sections that got no result is considered failed.
const FETCH_TIMEOUT: Span = Span::from_secs(1);

impl Node {
    /// Handles the result of checking `candidate`. Returns `true` if the revision came into force,
    /// with the actions to execute.
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

    /// Handles the bodies of `head` that were read from the store. Returns no action if the
    /// revision is not newer than what was seen, or if a body is still missing.
    pub fn on_bodies_read(&mut self, head: &Head, bodies: &[String]) -> Vec<Action> {
        if head.revision <= self.config.seen() {
            return Vec::new();
        }
        let find = |hash: BodyHash| {
            let read = bodies.iter().find(|text| BodyHash::of(text) == hash);
            read.cloned().or_else(|| self.config.body(hash).map(str::to_owned))
        };
        let section = |entry: &crate::head::SectionHead| {
            let text = find(entry.hash)?;
            Some(Section { name: entry.section.clone(), hash: entry.hash, text })
        };
        let sections: Option<Vec<Section>> = head.sections.iter().map(section).collect();
        let Some(sections) = sections else { return Vec::new() };
        vec![Action::Check(Candidate { revision: head.revision, sections })]
    }

    /// Schedules the read of the bodies of a head found in the store, unless its revision is not
    /// newer than what was seen or is already being fetched.
    pub(super) fn learn_head(&mut self, now: Time, head: Head) -> Option<Action> {
        if head.revision <= self.config.seen() || self.is_fetching(now, head.revision) {
            return None;
        }
        let rank = self.reader_rank(now, head.revision);
        if self.pending_head.as_ref().is_none_or(|(pending, _)| pending.revision < head.revision) {
            self.pending_head = Some((head, now + READ_STAGGER.times(rank)));
        }
        self.poll_head(now)
    }

    /// Reads the bodies of the pending head from the store once this VM's delay has passed. One
    /// VM reads them first; the others usually get them from a peer, as patches, before their
    /// delay ends.
    pub fn poll_head(&mut self, now: Time) -> Option<Action> {
        let (head, _) = self.pending_head.take_if(|(_, due)| *due <= now)?;
        if head.revision <= self.config.seen() || self.is_fetching(now, head.revision) {
            return None;
        }
        self.fetching = Some((head.revision, now + FETCH_TIMEOUT));
        Some(Action::ReadBodies(head))
    }

    pub(super) fn learn_sections(&mut self, copy: SectionsCopy) -> Vec<Action> {
        self.config.read_copy(copy).map(Action::Check).into_iter().collect()
    }

    /// Requests the sections of `revision` from a peer that has them, unless this VM has seen the
    /// revision or is already fetching it.
    pub(super) fn request_sections(
        &mut self,
        now: Time,
        from: VmId,
        revision: Revision,
        _entropy: u64,
    ) -> Option<Action> {
        if revision <= self.config.seen() || self.is_fetching(now, revision) {
            return None;
        }
        self.fetching = Some((revision, now + FETCH_TIMEOUT));
        let held = self.config.held();
        Some(Action::Send { to: from, request: MemberRequest::Sections { held } })
    }

    fn is_fetching(&self, now: Time, revision: Revision) -> bool {
        self.fetching.is_some_and(|(fetched, due)| revision <= fetched && now < due)
    }
}

/// `CheckResult` is the outcome of validating a whole configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckResult {
    /// The sections are valid and consistent with each other.
    Valid,
    /// The configuration is invalid and must not come into force.
    Invalid,
}
