//! The configuration in force on a VM, and its copies to others.

use oleander_core::ids::Revision;

use crate::head::BodyHash;
use crate::head::SectionHead;
use crate::messages::SectionBody;
use crate::messages::SectionCopy;
use crate::messages::SectionsCopy;
use crate::patch::Patch;

/// The former bodies that a VM keeps, against which it makes differences for others.
const FORMER_BODIES: usize = 8;

/// `Candidate` is a whole configuration that has not been checked yet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Candidate {
    /// The revision.
    pub revision: Revision,
    /// The sections, ordered by name.
    pub sections: Vec<Section>,
}

/// `Section` is a section's text with its hash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// The name of the section in kebab case.
    pub name: String,
    /// The hash of the text.
    pub hash: BodyHash,
    /// The text.
    pub text: String,
}

/// `ActiveConfig` holds the revision in force. It never goes back to a lower one.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    force: Candidate,
    rejected: Revision,
    former: Vec<Section>,
}

impl ActiveConfig {
    /// Gets the revision in force; 0 for none.
    pub fn revision(&self) -> Revision {
        self.force.revision
    }

    /// Gets the highest revision that this VM has looked at, in force or refused.
    pub fn seen(&self) -> Revision {
        self.force.revision.max(self.rejected)
    }

    /// Gets the bodies in force.
    pub fn bodies(&self) -> Vec<SectionBody> {
        let body = |section: &Section| SectionBody {
            section: section.name.clone(),
            text: section.text.clone(),
        };
        self.force.sections.iter().map(body).collect()
    }

    /// Gets the hashes of the bodies in force.
    pub fn held(&self) -> Vec<BodyHash> {
        self.force.sections.iter().map(|section| section.hash).collect()
    }

    /// Gets a body by its hash.
    pub fn body(&self, hash: BodyHash) -> Option<&str> {
        let mut known = self.force.sections.iter().chain(&self.former);
        known.find(|section| section.hash == hash).map(|section| section.text.as_str())
    }

    /// Gets the heads of `sections` whose bodies this VM lacks.
    pub fn missing(&self, sections: &[SectionHead]) -> Vec<SectionHead> {
        sections.iter().filter(|head| self.body(head.hash).is_none()).cloned().collect()
    }

    /// Makes a copy for a VM that holds the bodies `held`.
    pub fn copy(&self, held: &[BodyHash]) -> SectionsCopy {
        let sections = self.force.sections.iter().map(|section| self.copy_section(section, held));
        SectionsCopy { revision: self.force.revision, sections: sections.collect() }
    }

    /// Reads a copy from another VM. Returns `None` if it is not newer or does not fit.
    pub fn read_copy(&self, copy: SectionsCopy) -> Option<Candidate> {
        if copy.revision <= self.seen() {
            return None;
        }
        let sections = copy.sections.into_iter().map(|part| self.read_section(part));
        Some(Candidate { revision: copy.revision, sections: sections.collect::<Option<_>>()? })
    }

    /// Puts a checked configuration in force. Returns `false` if a later one is in force already.
    pub fn accept(&mut self, candidate: Candidate) -> bool {
        if candidate.revision <= self.force.revision {
            return false;
        }
        let replaced = std::mem::replace(&mut self.force, candidate);
        let in_force =
            |section: &Section| self.force.sections.iter().any(|now| now.hash == section.hash);
        let former: Vec<Section> =
            replaced.sections.into_iter().filter(|section| !in_force(section)).collect();
        self.former.extend(former);
        let excess = self.former.len().saturating_sub(FORMER_BODIES);
        self.former.drain(..excess);
        true
    }

    /// Notes that the check refused a revision; it is not fetched again.
    pub fn reject(&mut self, revision: Revision) {
        self.rejected = self.rejected.max(revision);
    }

    fn copy_section(&self, section: &Section, held: &[BodyHash]) -> SectionCopy {
        let head = SectionHead { section: section.name.clone(), hash: section.hash };
        let former = self.former.iter().rev().filter(|former| former.name == section.name);
        let mut bases = std::iter::once(section).chain(former);
        let base = bases.find(|base| held.contains(&base.hash));
        let patch = match base {
            Some(base) => Patch::between(&base.text, base.hash, &section.text),
            None => Patch::Whole(section.text.clone()),
        };
        SectionCopy { head, patch }
    }

    fn read_section(&self, copy: SectionCopy) -> Option<Section> {
        let text = copy.patch.apply(|hash| self.body(hash))?;
        let SectionHead { section, hash } = copy.head;
        (BodyHash::of(&text) == hash).then_some(Section { name: section, hash, text })
    }
}
