//! Stable hashing for identifiers and rendezvous placement.
//!
//! The hashes are part of the protocol between VMs: every VM must compute the same value for the
//! same input, so the functions do not depend on the platform.

// The parameters of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of `bytes`, passed through `mix`.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = bytes
        .iter()
        .fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    mix(hash)
}

/// Combines two hashes into one. The result depends on the order of the arguments.
pub fn combine(left: u64, right: u64) -> u64 {
    mix(left.rotate_left(32) ^ mix(right))
}

/// Mixes the bits of `value`, so that similar inputs give unrelated results.
pub fn mix(value: u64) -> u64 {
    // The finalizer of SplitMix64.
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Orders `nodes` by rendezvous score for `key`, the highest score first.
///
/// A key is placed on the first node. Removing a node changes the placement only of the keys that
/// were placed on it. `id` returns the hash that identifies a node.
pub fn rendezvous<T: Copy>(
    key: u64,
    nodes: impl IntoIterator<Item = T>,
    id: impl Fn(T) -> u64,
) -> Vec<T> {
    let mut scored: Vec<(u64, T)> =
        nodes.into_iter().map(|node| (combine(key, id(node)), node)).collect();
    scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.into_iter().map(|(_, node)| node).collect()
}
