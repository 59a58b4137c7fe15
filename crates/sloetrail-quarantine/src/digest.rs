//! Digests that identify repeated requests independently of their request ids.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;

/// The parts of a request that its digest covers. The request id is not one of them.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Empty if the configuration names no tenant.
    pub tenant: &'a [u8],
    pub host: &'a [u8],
    pub method: &'a [u8],
    pub path_and_query: &'a [u8],
    pub body: &'a [u8],
}

/// A digest of a request's tenant, host, method, path with query, and body.
///
/// SHA-256, cut to 128 bits, so that a caller cannot craft a request that collides with another
/// caller's. Rows and log lines hold the digest in place of the request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Computes the digest of a request. Each part is prefixed by its length, so that the
    /// same bytes divided differently give another digest.
    pub fn of(parts: RequestParts<'_>) -> Self {
        let mut hasher = Sha256::new();
        for part in [
            parts.tenant,
            parts.host,
            parts.method,
            parts.path_and_query,
            parts.body,
        ] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut first = [0; 16];
        first.copy_from_slice(&hash[..16]);
        Self(u128::from_be_bytes(first))
    }

    /// Parses the text that [`fmt::Display`] writes. Returns None if it is not 32 hexadecimal
    /// digits.
    pub fn parse(text: &str) -> Option<Self> {
        const DIGITS: usize = 32;
        let is_digest = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok()?;
        is_digest.then_some(Self(number))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl Serialize for RequestDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| {
            serde::de::Error::custom("expected a request digest of 32 hexadecimal digits")
        })
    }
}
