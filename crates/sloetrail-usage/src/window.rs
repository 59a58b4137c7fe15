//! Fixed-length windows of wall-clock time.

use serde::{Deserialize, Serialize};
use sloetrail_types::whole_millis;
use std::time::Duration;

/// The index of a window. Window `k` starts at `k` times the window length after the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// Returns the next window, or the last one if there is no next.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Divides wall-clock time into windows of equal length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length_ms: u64,
}

impl Windows {
    /// Lengths below one millisecond are rounded up.
    pub fn new(length: Duration) -> Self {
        Self {
            length_ms: whole_millis(length).max(1),
        }
    }

    /// Returns the window that contains this time in Unix milliseconds.
    pub fn at(self, wall_ms: u64) -> WindowNumber {
        WindowNumber(wall_ms / self.length_ms)
    }

    /// Returns the end of a window in Unix milliseconds.
    pub fn end_ms(self, window: WindowNumber) -> u64 {
        window.next().0.saturating_mul(self.length_ms)
    }
}
