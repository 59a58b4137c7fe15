//! Ranges of the numbers that come from outside the process: configuration, settings, rows of the
//! table, messages, headers.
//!
//! One rule holds for all of them: a number above its maximum is held at the maximum. A large
//! number therefore keeps its order of magnitude, and what was accepted comes into force. Sums
//! and products of a few numbers within these ranges fit the types in use. Times have types of
//! their own, [`TimeSpan`](crate::TimeSpan) and [`Timestamp`](crate::Timestamp).

use serde::{Deserialize, Deserializer};

/// Slots, attempts, connections, engines, items and other counts.
pub const MAX_COUNT: usize = 1_000_000;
/// Sizes in bytes: one terabyte.
pub const MAX_BYTES: usize = 1 << 40;
/// Length hints of texts, in the unit of the trainer.
pub const MAX_LENGTH: u64 = 1_000_000_000_000;
/// Requests per second.
pub const MAX_RATE: f64 = 1e9;
/// Prices and factors, relative to a usual value of one.
pub const MAX_RATIO: f64 = 1e9;

/// Deserializes a count of a row or message.
///
/// # Errors
///
/// If the value is not an unsigned integer of 64 bits.
pub fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    usize::deserialize(deserializer).map(|count| count.min(MAX_COUNT))
}

/// Deserializes the length hint of a text.
///
/// # Errors
///
/// If the value is not an unsigned integer of 64 bits.
pub fn length<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    u64::deserialize(deserializer).map(|length| length.min(MAX_LENGTH))
}
