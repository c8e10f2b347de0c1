//! Differences between two versions of a value of the store.
//!
//! An edit changes a small part of a large configuration, which one VM tells to many others.

use std::sync::Arc;

use fast_rsync::Signature;
use fast_rsync::SignatureOptions;
use oleander_core::hash;

/// The size, in bytes, from which on a value is told by its differences.
pub const MIN_VALUE_SIZE: usize = 2_048;

/// The size of the largest value that differences may give, in bytes.
pub const MAX_VALUE_SIZE: usize = 4 * 1024 * 1024;

/// The size of the blocks that are looked for in the earlier value, in bytes.
const BLOCK_SIZE: u32 = 64;

/// The size of the hash of each block, in bytes; `Delta::hash` shows when two have the same one.
const BLOCK_HASH_SIZE: u32 = 8;

/// `Delta` holds the differences of a value from an earlier one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    /// The differences in the delta format of librsync.
    pub bytes: Arc<[u8]>,
    /// The hash of the whole value.
    pub hash: u64,
}

impl Delta {
    /// Returns the differences of `value` from `former`; `None` if they are not smaller than half of
    /// the value.
    pub fn new(former: &[u8], value: &[u8]) -> Option<Self> {
        if value.len() < MIN_VALUE_SIZE || MAX_VALUE_SIZE < value.len() {
            return None;
        }
        let options =
            SignatureOptions { block_size: BLOCK_SIZE, crypto_hash_size: BLOCK_HASH_SIZE };
        let signature = Signature::calculate(former, options);
        let mut bytes = Vec::new();
        fast_rsync::diff(&signature.index(), value, &mut bytes).ok()?;
        let is_small = bytes.len() < value.len() / 2;
        is_small.then(|| Self { bytes: bytes.into(), hash: hash::stable_hash(value) })
    }

    /// Returns the value; `None` if these are not differences from `former`.
    pub fn apply(&self, former: &[u8]) -> Option<Vec<u8>> {
        let mut value = Vec::new();
        fast_rsync::apply_limited(former, &self.bytes, &mut value, MAX_VALUE_SIZE).ok()?;
        (hash::stable_hash(&value) == self.hash).then_some(value)
    }
}
