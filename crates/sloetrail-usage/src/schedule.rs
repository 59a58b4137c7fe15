//! Report times of windows.
//!
//! A report is final, so it is delayed until nodes have had time to write their counts to the
//! table. After an outage of the table the delay is longer, but never beyond the due time.

use crate::window::{WindowNumber, Windows};
use std::time::Duration;

/// Fraction of the time between the end of a window and its due time for which pieces are
/// awaited. The rest is reserved for outages of the table or of the recipient.
const SETTLE_FRACTION: f64 = 0.45;
/// Time for nodes to write their pending counts after an outage of the table.
const RECOVERY_TIME: Duration = Duration::from_millis(1_200);
/// Reports are sent at least this long before they are due, even if pieces are missing.
const DUE_MARGIN: Duration = Duration::from_millis(1_000);

/// The next step of a reporter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAction {
    /// Report this window now.
    Report(WindowNumber),
    /// No report is due for this long.
    Wait(Duration),
}

/// Decides when windows are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSchedule {
    windows: Windows,
    due_after: Duration,
}

impl ReportSchedule {
    /// `due_after` is the time between the end of a window and its due time.
    pub fn new(windows: Windows, due_after: Duration) -> Self {
        Self { windows, due_after }
    }

    pub fn windows(&self) -> Windows {
        self.windows
    }

    /// Returns the first window to report when no report exists yet. It covers requests that
    /// started before the first lease holder, unless their report would be overdue.
    pub fn first(&self, wall_ms: u64) -> WindowNumber {
        let due_after_ms = self.due_after.as_millis() as u64;
        self.windows.at(wall_ms.saturating_sub(due_after_ms))
    }

    /// Returns how long after the end of a window pieces are awaited.
    pub fn settle_time(&self) -> Duration {
        self.due_after.mul_f64(SETTLE_FRACTION)
    }

    /// Returns whether to report this window now or how long to wait. `answering_for` is the time
    /// for which the table has answered without interruption.
    pub fn next_action(
        &self,
        window: WindowNumber,
        wall_ms: u64,
        answering_for: Duration,
    ) -> ReportAction {
        let end_ms = self.windows.end_ms(window);
        let after_end = |time: Duration| end_ms + time.as_millis() as u64;
        let settled_ms = after_end(self.settle_time());
        if wall_ms < settled_ms {
            return ReportAction::Wait(Duration::from_millis(settled_ms - wall_ms));
        }
        let latest_ms = after_end(self.due_after.saturating_sub(DUE_MARGIN));
        let recovery = RECOVERY_TIME.saturating_sub(answering_for);
        let remaining = Duration::from_millis(latest_ms.saturating_sub(wall_ms));
        match recovery.min(remaining) {
            Duration::ZERO => ReportAction::Report(window),
            wait => ReportAction::Wait(wait),
        }
    }
}
