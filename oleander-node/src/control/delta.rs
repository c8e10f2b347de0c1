//! Delta encoding of large store values between VMs.
//!
//! An edit changes a small part of a large configuration, which one VM sends to many others.

use std::sync::Arc;

use fast_rsync::Signature;
use fast_rsync::SignatureOptions;
use oleander_core::hash;

/// The size, in bytes, from which on a value is sent as a delta.
pub const MIN_VALUE_SIZE: usize = 2_048;

/// The size of the largest value that a delta may give, in bytes.
pub const MAX_VALUE_SIZE: usize = 4 * 1024 * 1024;

/// The size of the blocks that a delta copies from the earlier value, in bytes: an edit in the middle
/// of a value then costs about one block.
const BLOCK_SIZE: u32 = 64;

/// The size of the hash of each block, in bytes. Blocks with the same hash are no danger, since
/// `Delta::hash` covers the whole value.
const BLOCK_HASH_SIZE: u32 = 8;

/// `Delta` encodes a value relative to an earlier one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    /// The delta in the format of librsync.
    pub bytes: Arc<[u8]>,
    /// The hash of the whole value.
    pub hash: u64,
}

impl Delta {
    /// Encodes `value` relative to `former`. Returns `None` if that is not smaller than half of the
    /// value.
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

    /// Returns the encoded value. Returns `None` if the delta is malformed or relative to another value
    /// than `former`.
    pub fn apply(&self, former: &[u8]) -> Option<Vec<u8>> {
        let mut value = Vec::new();
        fast_rsync::apply_limited(former, &self.bytes, &mut value, MAX_VALUE_SIZE).ok()?;
        (hash::stable_hash(&value) == self.hash).then_some(value)
    }
}
