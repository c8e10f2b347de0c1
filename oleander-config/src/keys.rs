//! API keys of callers and their hashes. Keys themselves are never stored.

use sha2::Digest as _;
use sha2::Sha256;

use crate::model::KEY_HASH_BYTES;
use crate::model::KeyHash;

/// The number of random bytes in a new key.
pub const KEY_BYTES: usize = 32;

/// The prefix of every key that the operator tool creates; it makes a leaked key recognizable.
pub const KEY_PREFIX: &str = "oleander_";

/// Returns the hash of a key in the text form that callers send.
pub fn hash_key(presented: &str) -> KeyHash {
    KeyHash(Sha256::digest(presented.as_bytes()).into())
}

/// Returns the text form of a new key. `random` must come from a cryptographically secure source.
pub fn key_text(random: &[u8; KEY_BYTES]) -> String {
    format!("{KEY_PREFIX}{}", hex(random))
}

/// Returns the lower-case hexadecimal form of `bytes`.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl std::fmt::Display for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&hex(&self.0))
    }
}

/// `ParseHashError` is returned for a text that is not 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseHashError;

impl std::str::FromStr for KeyHash {
    type Err = ParseHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * KEY_HASH_BYTES || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(ParseHashError);
        }
        let mut hash = [0; KEY_HASH_BYTES];
        for (byte, index) in hash.iter_mut().zip((0..text.len()).step_by(2)) {
            *byte = u8::from_str_radix(&text[index..index + 2], 16).map_err(|_| ParseHashError)?;
        }
        Ok(KeyHash(hash))
    }
}
