//! Timestamps for decision logic, independent of any clock.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Milliseconds since an origin chosen by the caller. Never decreases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `duration` later, in whole milliseconds.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0 + duration.as_millis() as u64)
    }
}
