//! Agreement on wall-clock time between nodes.

use serde::{Deserialize, Serialize};

/// Offset of wall-clock time (Unix milliseconds) from the table's clock, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClockOffset(pub i64);

impl ClockOffset {
    /// Returns the offset between two simultaneous readings.
    pub fn between(wall_ms: u64, table_ms: u64) -> Self {
        let signed = |millis| i64::try_from(millis).unwrap_or(i64::MAX);
        Self(signed(wall_ms).saturating_sub(signed(table_ms)))
    }

    /// Converts a time of the table's clock to wall-clock time.
    pub fn wall_ms(self, table_ms: u64) -> u64 {
        table_ms.saturating_add_signed(self.0)
    }

    /// Returns the absolute difference in milliseconds.
    pub fn distance(self, other: Self) -> u64 {
        self.0.abs_diff(other.0)
    }
}

/// Returns the median of the offsets that nodes measured, or None if there are none. The median
/// is correct as long as most wall clocks are.
pub fn median_offset(mut measured: Vec<ClockOffset>) -> Option<ClockOffset> {
    measured.sort();
    let middle = measured.len() / 2;
    measured.get(middle).copied()
}
