//! Patches between two versions of a section text.

use serde::Deserialize;
use serde::Serialize;

use crate::head::BodyHash;

/// `Patch` is a text, encoded whole or as a replacement of the middle of a base text.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Patch {
    /// The whole text.
    Whole(String),
    /// The text is the base with its middle replaced.
    Middle {
        /// The hash of the base text.
        base: BodyHash,
        /// The number of bytes at the start that both texts share.
        prefix: u32,
        /// The number of bytes at the end that both texts share.
        suffix: u32,
        /// The part of the new text between the shared prefix and suffix.
        middle: String,
    },
}

impl Patch {
    /// Computes the patch from `base`, whose hash is `hash`, to `text`. Falls back to the whole
    /// text if a length does not fit in 32 bits.
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

    /// Reconstructs the text. Returns `None` if `find` has no base with the hash, or if the
    /// lengths do not fit the base.
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

/// Returns the number of leading bytes that both sequences share.
fn common(left: impl Iterator<Item = u8>, right: impl Iterator<Item = u8>) -> usize {
    left.zip(right).take_while(|(left, right)| left == right).count()
}

/// Rounds `index` down to a character boundary of both texts.
fn floor_boundary(base: &str, text: &str, mut index: usize) -> usize {
    while !(base.is_char_boundary(index) && text.is_char_boundary(index)) {
        index -= 1;
    }
    index
}
