//! One wall clock for all nodes.

use serde::{Deserialize, Serialize};

/// How far wall-clock time (milliseconds since 1970) is ahead of the table's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClockOffset(pub i64);

impl ClockOffset {
    /// The lead that a node sees: its own wall clock against the table's.
    pub fn between(wall_ms: u64, table_ms: u64) -> Self {
        Self(wall_ms as i64 - table_ms as i64)
    }

    /// Wall-clock time at a time of the table's clock.
    pub fn wall_ms(self, table_ms: u64) -> u64 {
        table_ms.saturating_add_signed(self.0)
    }

    /// How far two leads lie apart, in milliseconds.
    pub fn distance(self, other: Self) -> u64 {
        self.0.abs_diff(other.0)
    }
}

/// The lead that nodes agree on: the median of what each of them sees, which is right as
/// long as most wall clocks are. Nothing if no node has told what it sees.
pub fn median_offset(mut seen: Vec<ClockOffset>) -> Option<ClockOffset> {
    seen.sort();
    let middle = seen.len() / 2;
    seen.get(middle).copied()
}
