//! Differences between two texts of a section.

use serde::Deserialize;
use serde::Serialize;

use crate::head::BodyHash;

/// `Patch` is a text, whole or as the part in which it differs from another one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Patch {
    /// The text itself.
    Whole(String),
    /// The text is the base with its middle replaced.
    Middle {
        /// The hash of the base.
        base: BodyHash,
        /// The bytes at the start that both have in common.
        prefix: u32,
        /// The bytes at the end that both have in common.
        suffix: u32,
        /// What stands between them in the new text.
        middle: String,
    },
}

impl Patch {
    /// Makes the difference of `text` to `base`.
    pub fn between(base: &str, hash: BodyHash, text: &str) -> Patch {
        let prefix = common(base.bytes(), text.bytes());
        let prefix = floor_boundary(base, text, prefix);
        let (base_rest, text_rest) = (&base[prefix..], &text[prefix..]);
        let mut suffix = common(base_rest.bytes().rev(), text_rest.bytes().rev());
        while !text_rest.is_char_boundary(text_rest.len() - suffix) {
            suffix -= 1;
        }
        let middle = text_rest[..text_rest.len() - suffix].to_owned();
        let (Ok(prefix), Ok(suffix)) = (u32::try_from(prefix), u32::try_from(suffix)) else {
            return Patch::Whole(text.to_owned());
        };
        Patch::Middle { base: hash, prefix, suffix, middle }
    }

    /// Gets the text. Returns `None` if the base is missing or does not fit.
    pub fn apply<'a>(self, find: impl FnOnce(BodyHash) -> Option<&'a str>) -> Option<String> {
        match self {
            Patch::Whole(text) => Some(text),
            Patch::Middle { base, prefix, suffix, middle } => {
                let base = find(base)?;
                let end = base.len().checked_sub(suffix as usize)?;
                let head = base.get(..prefix as usize)?;
                let tail = base.get((prefix as usize).max(end)..)?;
                Some([head, &middle, tail].concat())
            }
        }
    }
}

fn common(left: impl Iterator<Item = u8>, right: impl Iterator<Item = u8>) -> usize {
    left.zip(right).take_while(|(left, right)| left == right).count()
}

fn floor_boundary(base: &str, text: &str, mut at: usize) -> usize {
    while !(base.is_char_boundary(at) && text.is_char_boundary(at)) {
        at -= 1;
    }
    at
}
