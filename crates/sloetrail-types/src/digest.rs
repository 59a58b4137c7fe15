//! Digests for comparing documents and for rendezvous hashing.

use xxhash_rust::xxh3::{Xxh3Default, xxh3_64, xxh3_64_with_seed};

/// A 64-bit digest of some bytes. It finds differences, not forgeries.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// A 128-bit digest of some parts, each with its length: parts that are cut differently give
/// another one. It is long enough to stand for the parts among any number of others, but it
/// finds no forgeries.
pub fn digest_of_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = Xxh3Default::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}

/// The weight of `candidate` for `key` in rendezvous hashing: the candidate
/// with the highest weight is the first choice for the key.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64(key.as_bytes()))
}
