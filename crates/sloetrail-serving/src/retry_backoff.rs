//! Backoff for retries of table calls.

use crate::table::Table;
use std::time::Duration;

const INITIAL_DELAY: Duration = Duration::from_millis(40);
/// Limits each retrying task to under two calls a second, because all nodes share the table's rate
/// limits.
const MAX_DELAY: Duration = Duration::from_millis(640);

/// Exponential backoff that ends early once the table recovers from an outage.
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    next_delay: Duration,
    /// Whether the table was unavailable at an earlier failure.
    saw_outage: bool,
}

impl RetryBackoff {
    pub(crate) fn new() -> Self {
        Self {
            next_delay: INITIAL_DELAY,
            saw_outage: false,
        }
    }

    /// Resets the backoff after an answered call.
    pub(crate) fn reset(&mut self) {
        *self = Self::new();
    }

    /// Waits after a failure. Returns at once if the table has recovered from an outage, which
    /// fails every call in flight at that time.
    pub(crate) async fn wait(&mut self, table: &dyn Table) {
        if self.saw_outage && table.is_answering() {
            return self.reset();
        }
        self.saw_outage |= !table.is_answering();
        tokio::select! {
            () = tokio::time::sleep(self.next_delay) =>
                self.next_delay = (self.next_delay * 2).min(MAX_DELAY),
            () = table.wait_for_recovery() => self.reset(),
        }
    }
}
