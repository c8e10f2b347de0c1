//! The configuration in force on a VM, and copies of it for other VMs.

use oleander_core::ids::Revision;

use crate::head::BodyHash;
use crate::head::SectionHead;
use crate::messages::SectionBody;
use crate::messages::SectionCopy;
use crate::messages::SectionsCopy;
use crate::patch::Patch;

/// The number of replaced section bodies that a VM keeps as bases of patches for other VMs.
const FORMER_BODIES: usize = 8;

/// `Candidate` is a whole configuration that has not been checked yet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Candidate {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The sections, ordered by name.
    pub sections: Vec<Section>,
}

/// `Section` is the text of a configuration section with its name and hash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// The name of the section in kebab case.
    pub name: String,
    /// The SHA-256 of `text`.
    pub hash: BodyHash,
    /// The YAML text of the section.
    pub text: String,
}

/// `ActiveConfig` holds the configuration in force; its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    active: Candidate,
    /// The highest revision that the check rejected; 0 if it rejected none.
    rejected: Revision,
    /// The latest `FORMER_BODIES` replaced bodies, oldest first.
    former_bodies: Vec<Section>,
}

impl ActiveConfig {
    /// Returns the revision in force; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.active.revision
    }

    /// Returns the highest revision that this VM has checked, whether in force or rejected.
    pub fn seen(&self) -> Revision {
        self.active.revision.max(self.rejected)
    }

    /// Returns the names and texts of the sections in force.
    pub fn bodies(&self) -> Vec<SectionBody> {
        let body = |section: &Section| SectionBody {
            section: section.name.clone(),
            text: section.text.clone(),
        };
        self.active.sections.iter().map(body).collect()
    }

    /// Returns the hashes of the sections in force.
    pub fn held(&self) -> Vec<BodyHash> {
        self.active.sections.iter().map(|section| section.hash).collect()
    }

    /// Returns the text with this hash, in force or replaced recently.
    pub fn body(&self, hash: BodyHash) -> Option<&str> {
        let mut known = self.active.sections.iter().chain(&self.former_bodies);
        known.find(|section| section.hash == hash).map(|section| section.text.as_str())
    }

    /// Returns those of `sections` whose bodies this VM lacks.
    pub fn missing(&self, sections: &[SectionHead]) -> Vec<SectionHead> {
        sections.iter().filter(|head| self.body(head.hash).is_none()).cloned().collect()
    }

    /// Creates a copy for a VM that holds the bodies `held`, with patches against them if
    /// possible.
    pub fn copy(&self, held: &[BodyHash]) -> SectionsCopy {
        let sections = self.active.sections.iter().map(|section| self.copy_section(section, held));
        SectionsCopy { revision: self.active.revision, sections: sections.collect() }
    }

    /// Decodes a copy from another VM. Returns `None` if it is not newer than `seen`, or if a
    /// patch cannot be applied or gives a text with another hash.
    pub fn read_copy(&self, copy: SectionsCopy) -> Option<Candidate> {
        if copy.revision <= self.seen() {
            return None;
        }
        let sections = copy.sections.into_iter().map(|section| self.read_section(section));
        Some(Candidate { revision: copy.revision, sections: sections.collect::<Option<_>>()? })
    }

    /// Puts a checked configuration in force. Returns `false` if the revision in force is not
    /// older.
    pub fn accept(&mut self, candidate: Candidate) -> bool {
        if candidate.revision <= self.active.revision {
            return false;
        }
        let replaced = std::mem::replace(&mut self.active, candidate);
        let in_force = |section: &Section| {
            self.active.sections.iter().any(|active| active.hash == section.hash)
        };
        let former: Vec<Section> =
            replaced.sections.into_iter().filter(|section| !in_force(section)).collect();
        self.former_bodies.extend(former);
        let excess = self.former_bodies.len().saturating_sub(FORMER_BODIES);
        self.former_bodies.drain(..excess);
        true
    }

    /// Records that the check rejected a revision, so that it is not fetched again.
    pub fn reject(&mut self, revision: Revision) {
        self.rejected = self.rejected.max(revision);
    }

    /// Encodes a section for a VM that holds the bodies `held`: as a patch of the newest version of
    /// the section among them, or whole if there is none.
    fn copy_section(&self, section: &Section, held: &[BodyHash]) -> SectionCopy {
        let head = SectionHead { section: section.name.clone(), hash: section.hash };
        let former = self.former_bodies.iter().rev().filter(|former| former.name == section.name);
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
