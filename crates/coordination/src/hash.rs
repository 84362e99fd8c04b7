//! A hash that is the same on every platform and in every version, for digests and rendezvous hashing.

use std::hash::Hasher as _;

use fnv::FnvHasher;

/// Returns the 64-bit FNV-1a hash of the bytes.
pub(crate) fn fnv1a(bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
