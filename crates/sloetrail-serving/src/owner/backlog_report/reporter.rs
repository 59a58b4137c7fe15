//! Decides when the owner of batches writes their backlog.

use super::{Backlog, BacklogRow};
use sloetrail_clock::BootInstant;
use sloetrail_types::Timestamp;
use std::time::Duration;

/// Minimum time between two writes of an owner.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The row of a set in this node's view of the table.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::owner) enum StoredBacklog {
    /// Absent or unreadable: no node uses it.
    Unusable,
    /// May be written by an earlier owner.
    Row(BacklogRow),
}

impl StoredBacklog {
    /// True if nodes may still refuse batches because of the row.
    fn is_in_use(&self, now: Timestamp) -> bool {
        match self {
            StoredBacklog::Unusable => false,
            StoredBacklog::Row(row) => !row.models.is_empty() && row.usable_age(now).is_some(),
        }
    }
}

/// Paces the writes of an owner.
#[derive(Debug)]
pub(in crate::owner) struct BacklogReporter {
    period_start: BootInstant,
    is_writing: bool,
}

impl BacklogReporter {
    /// Creates the reporter of a new owner. The first report is due after one period: until then
    /// the owner loads its batches, and the previous owner's row stays in force.
    pub(in crate::owner) fn new(now: BootInstant) -> Self {
        Self {
            period_start: now,
            is_writing: false,
        }
    }

    /// True if the period is over and no write is in flight.
    pub(in crate::owner) fn is_due(&self, now: BootInstant) -> bool {
        let period = now.saturating_duration_since(self.period_start);
        !self.is_writing && period >= REPORT_INTERVAL
    }

    /// Ends a period. Returns the backlog to write: any that there is, and an empty one if the
    /// stored row would otherwise stay in use after the backlog has ended.
    pub(in crate::owner) fn end_period(
        &mut self,
        now: BootInstant,
        table_now: Timestamp,
        backlog: Backlog,
        stored: &StoredBacklog,
    ) -> Option<Backlog> {
        self.period_start = now;
        let is_needed = !backlog.is_empty() || stored.is_in_use(table_now);
        self.is_writing = is_needed;
        is_needed.then_some(backlog)
    }

    /// Records that a write has ended. A write without an answer is repeated in the next period.
    pub(in crate::owner) fn write_ended(&mut self) {
        self.is_writing = false;
    }
}
