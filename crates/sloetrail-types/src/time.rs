//! Time as the decision logic sees it.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Milliseconds since an origin of the caller's choice, never going back.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The time that has passed since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// This time and `duration` more.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0 + duration.as_millis() as u64)
    }
}
