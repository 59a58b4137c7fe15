//! The pause before a call to the table is made again.

use crate::table::Table;
use std::time::Duration;

/// Ten ordinary answers of the table.
const FIRST: Duration = Duration::from_millis(40);
/// The table's rates are shared by all nodes: in an outage a part of a node that waits
/// makes under two calls a second.
const LONGEST: Duration = Duration::from_millis(640);

/// A pause that doubles from failure to failure, and ends early once the table is known
/// to answer again after an absence.
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    next: Duration,
    /// The table was away at an earlier failure.
    saw_absence: bool,
}

impl RetryBackoff {
    /// Nothing has failed yet.
    pub(crate) fn new() -> Self {
        Self {
            next: FIRST,
            saw_absence: false,
        }
    }

    /// A call was answered.
    pub(crate) fn reset(&mut self) {
        *self = Self::new();
    }

    /// Waits after a failure. A call that was under way when the table came back fails
    /// for that reason alone, and is made again without a pause.
    pub(crate) async fn wait(&mut self, table: &dyn Table) {
        if self.saw_absence && table.is_answering() {
            return self.reset();
        }
        self.saw_absence |= !table.is_answering();
        tokio::select! {
            () = tokio::time::sleep(self.next) => self.next = (self.next * 2).min(LONGEST),
            () = table.wait_for_recovery() => self.reset(),
        }
    }
}
