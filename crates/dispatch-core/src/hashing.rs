//! Hashes of worker names and affinity keys. They must be the same in dispatchers of all versions.

use std::hash::Hasher as _;

use rustc_hash::FxHasher;

use crate::api::WorkerId;

/// Returns the id of the worker with this name.
pub fn worker_id(name: &str) -> WorkerId {
    WorkerId(hash_bytes(name.as_bytes()))
}

/// Returns the hash of a worker name, or of an affinity key that is not a number.
pub fn hash_bytes(text: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text);
    // The low bits of FxHash are often equal for similar names; one more round mixes the high bits into them.
    let mut hash = hasher.finish();
    hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

/// Mixes the bits of a number, as the finalizer of SplitMix64 does.
pub(crate) fn mix_bits(mut number: u64) -> u64 {
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
