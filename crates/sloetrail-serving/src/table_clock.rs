//! Estimate of the table's clock from the timestamps in its answers.
//!
//! An answer carries the table's time when it was created and arrives after an unknown delay. The
//! answer with the shortest delay gives the most accurate offset, which is the largest one.

use sloetrail_clock::BootInstant;
use sloetrail_types::whole_millis;
use std::time::Duration;

/// Length of a sampling window. An offset is used for one to two windows, which bounds the error
/// by clock drift.
const WINDOW: Duration = Duration::from_secs(30);

/// The table's clock relative to the local monotonic clock.
#[derive(Debug)]
pub struct TableClock {
    origin: BootInstant,
    window_started_at: BootInstant,
    /// Largest offset of the table's clock from the local clock, in milliseconds, in the current
    /// and the previous window.
    max_offsets_ms: [Option<i64>; 2],
}

impl Default for TableClock {
    fn default() -> Self {
        let now = BootInstant::now();
        Self {
            origin: now,
            window_started_at: now,
            max_offsets_ms: [None; 2],
        }
    }
}

impl TableClock {
    /// Records the timestamp of an answer that was received at `at`.
    pub fn record(&mut self, table_ms: u64, at: BootInstant) {
        if at.saturating_duration_since(self.window_started_at) >= WINDOW {
            self.window_started_at = at;
            self.max_offsets_ms = [None, self.max_offsets_ms[0]];
        }
        let table_ms = i64::try_from(table_ms).unwrap_or(i64::MAX);
        let offset_ms = table_ms.saturating_sub(self.local_ms(at));
        self.max_offsets_ms[0] = self.max_offsets_ms[0].max(Some(offset_ms));
    }

    /// Returns the table's time at a local time. None before the first answer.
    pub fn at(&self, at: BootInstant) -> Option<u64> {
        let offset_ms = self.max_offsets_ms[0].max(self.max_offsets_ms[1])?;
        let table_ms = self.local_ms(at).saturating_add(offset_ms);
        Some(u64::try_from(table_ms).unwrap_or_default())
    }

    fn local_ms(&self, at: BootInstant) -> i64 {
        let local_ms = whole_millis(at.saturating_duration_since(self.origin));
        i64::try_from(local_ms).unwrap_or(i64::MAX)
    }
}

#[cfg(test)]
mod tests;
