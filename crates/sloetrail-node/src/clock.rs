//! The node's monotonic clock.

use sloetrail_types::Timestamp;
use std::time::Instant;

/// Milliseconds since the node started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_millis() as u64)
    }
}
