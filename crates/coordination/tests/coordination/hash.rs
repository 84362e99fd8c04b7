//! The hash of digests and of rendezvous hashing. Its values must not change, because digests are stored.

use std::hash::Hasher as _;

use fnv::FnvHasher;

use crate::cluster::Cluster;

/// FNV-1a with 64 bits, as implemented by versions before the crate `fnv` was used.
fn former_fnv1a(bytes: &[u8]) -> u64 {
    let offset_basis = 0xcbf2_9ce4_8422_2325;
    bytes.iter().fold(offset_basis, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

fn crate_fnv1a(bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

#[test]
fn hash_has_the_published_values_of_fnv_1a() {
    for (text, hash) in
        [("", 0xcbf2_9ce4_8422_2325), ("a", 0xaf63_dc4c_8601_ec8c), ("foobar", 0x8594_4171_f739_67e8)]
    {
        assert_eq!(crate_fnv1a(text.as_bytes()), hash, "{text:?}");
        assert_eq!(former_fnv1a(text.as_bytes()), hash, "{text:?}");
    }
}

#[test]
fn crate_fnv_returns_the_values_of_the_former_implementation() {
    let bytes: Vec<u8> = (0..=u8::MAX).cycle().take(2_000).collect();
    for start in 0..256 {
        for length in [0, 1, 7, 8, 9, 255, 1_024] {
            let part = &bytes[start..start + length];
            assert_eq!(crate_fnv1a(part), former_fnv1a(part), "{length} bytes from {start}");
        }
    }
}

#[test]
fn digest_of_a_snapshot_has_the_value_of_the_former_implementation() {
    let state = Cluster::with_lease_holder().state;
    assert_eq!(state.digest(), former_fnv1a(&state.snapshot()));
}
