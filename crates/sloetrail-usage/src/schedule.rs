//! Report times of windows.
//!
//! A report is final, so it is delayed until nodes have had time to write their counts to the
//! table. After an outage of the table the delay is longer, but never beyond the due time.

use crate::window::{WindowNumber, Windows};
use sloetrail_types::Timestamp;
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
        self.windows.at(Timestamp(wall_ms).before(self.due_after).0)
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
        let now = Timestamp(wall_ms);
        let end = Timestamp(self.windows.end_ms(window));
        let settled_at = end.after(self.settle_time());
        if now < settled_at {
            return ReportAction::Wait(settled_at.since(now));
        }
        let latest = end.after(self.due_after.saturating_sub(DUE_MARGIN));
        let recovery = RECOVERY_TIME.saturating_sub(answering_for);
        let remaining = latest.since(now);
        match recovery.min(remaining) {
            Duration::ZERO => ReportAction::Report(window),
            wait => ReportAction::Wait(wait),
        }
    }
}
