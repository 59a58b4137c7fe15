//! Digests for comparing documents and for rendezvous hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A 64-bit digest of some bytes. It finds differences, not forgeries.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// The weight of `candidate` for `key` in rendezvous hashing: the candidate
/// with the highest weight is the first choice for the key.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64(key.as_bytes()))
}
