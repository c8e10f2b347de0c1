//! The head of the configuration in the store, and optimistic concurrency control for edits.

use oleander_core::ids::ChangeId;
use oleander_core::ids::Revision;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// The number of recent changes kept in the head, by which the retry of an edit whose answer was
/// lost is recognised.
pub const REMEMBERED_CHANGES: usize = 64;

/// `BodyHash` is the SHA-256 of a section's text, serialised as 64 hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct BodyHash(pub [u8; 32]);

/// `SectionHead` refers to the text of one section by its hash.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SectionHead {
    /// The name of the section in kebab case.
    pub section: String,
    /// The SHA-256 of its text.
    pub hash: BodyHash,
}

/// `Change` records an accepted edit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The identifier chosen by the operator tool, the same in each attempt.
    pub id: ChangeId,
    /// The revision that the edit created.
    pub revision: Revision,
    /// The hash of the text that the edit wrote.
    pub hash: BodyHash,
}

/// `Head` is the store record that refers to all sections of one configuration revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The revision, which each accepted edit increments by one.
    pub revision: Revision,
    /// The sections, ordered by name.
    pub sections: Vec<SectionHead>,
    /// The latest `REMEMBERED_CHANGES` changes, oldest first.
    pub changes: Vec<Change>,
}

/// `Edit` replaces the text of one section, based on a known older text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Edit {
    /// The name of the section.
    pub section: String,
    /// The hash of the text that the operator started from; `None` for a new section.
    pub base: Option<BodyHash>,
    /// The hash of the new text.
    pub hash: BodyHash,
    /// The identifier of the change, the same in each attempt.
    pub change: ChangeId,
}

/// `EditOutcome` is the result of applying an edit to the present head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditOutcome {
    /// An earlier attempt, whose answer was lost, has already applied the edit in this revision.
    Done(Revision),
    /// The edit is not based on the present text of the section; holds the hash of that text,
    /// `None` if the section does not exist.
    Conflict(Option<BodyHash>),
    /// The head that must replace the present one.
    Next(Head),
}

impl BodyHash {
    /// Computes the hash of `text`.
    pub fn of(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

impl Head {
    /// Returns the hash of a section's text; `None` if the section does not exist.
    pub fn hash(&self, section: &str) -> Option<BodyHash> {
        self.sections.iter().find(|entry| entry.section == section).map(|entry| entry.hash)
    }

    /// Applies an edit to this head. Only a change to the edited section is a conflict.
    pub fn edit(&self, edit: &Edit) -> EditOutcome {
        if let Some(change) = self.changes.iter().find(|change| change.id == edit.change) {
            // The same identifier with another text is a different edit that was not applied.
            let is_same = change.hash == edit.hash;
            let present = self.hash(&edit.section);
            return if is_same {
                EditOutcome::Done(change.revision)
            } else {
                EditOutcome::Conflict(present)
            };
        }
        let present = self.hash(&edit.section);
        if present != edit.base {
            return EditOutcome::Conflict(present);
        }
        EditOutcome::Next(self.with_edit(edit))
    }

    fn with_edit(&self, edit: &Edit) -> Head {
        let mut next = self.clone();
        next.revision = Revision(self.revision.0 + 1);
        next.sections.retain(|entry| entry.section != edit.section);
        next.sections.push(SectionHead { section: edit.section.clone(), hash: edit.hash });
        next.sections.sort_by(|left, right| left.section.cmp(&right.section));
        next.changes.push(Change { id: edit.change, revision: next.revision, hash: edit.hash });
        let excess = next.changes.len().saturating_sub(REMEMBERED_CHANGES);
        next.changes.drain(..excess);
        next
    }
}

impl std::fmt::Display for BodyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl std::fmt::Debug for BodyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "BodyHash({self})")
    }
}

impl From<BodyHash> for String {
    fn from(hash: BodyHash) -> String {
        hash.to_string()
    }
}

impl TryFrom<String> for BodyHash {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        const MALFORMED: &str = "membership: a body hash is 64 hexadecimal digits";
        if text.len() != 64 || !text.is_ascii() {
            return Err(MALFORMED);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte =
                u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map_err(|_| MALFORMED)?;
        }
        Ok(Self(bytes))
    }
}
