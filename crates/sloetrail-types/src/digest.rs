//! Digests for comparing documents and for rendezvous hashing.

use xxhash_rust::xxh3::{Xxh3Default, xxh3_64, xxh3_64_with_seed};

/// Returns a 64-bit digest. Not cryptographic.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns a 128-bit digest of some parts and their lengths, so that the same bytes split
/// differently have a different digest. Collisions are negligible, but the digest is not
/// cryptographic.
pub fn digest_of_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = Xxh3Default::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}

/// Returns the weight of `candidate` for `key` in rendezvous hashing. The candidate with the
/// highest weight is the first choice for the key.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64(key.as_bytes()))
}
