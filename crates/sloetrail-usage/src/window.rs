//! Windows of wall-clock time.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The number of a window. Window k begins k times the windows' length after 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// The window after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// How wall-clock time is cut into windows of one length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length_ms: u64,
}

impl Windows {
    /// Windows of this length, at least a millisecond.
    pub fn new(length: Duration) -> Self {
        Self {
            length_ms: (length.as_millis() as u64).max(1),
        }
    }

    /// The window that a moment lies in, in milliseconds since 1970.
    pub fn at(self, wall_ms: u64) -> WindowNumber {
        WindowNumber(wall_ms / self.length_ms)
    }

    /// When a window ends, in milliseconds since 1970.
    pub fn end_ms(self, window: WindowNumber) -> u64 {
        (window.0 + 1).saturating_mul(self.length_ms)
    }
}
