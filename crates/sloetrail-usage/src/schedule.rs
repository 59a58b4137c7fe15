//! When a window is reported.
//!
//! A report is final, so it waits until the nodes have had time to hand over what they
//! counted. It waits longer after the table was away, since nodes could hand nothing over
//! meanwhile, but not so long that it comes after its time.

use crate::window::{WindowNumber, Windows};
use std::time::Duration;

/// Part of the time until a report is due for which pieces are waited for. Half of it and
/// more is left for an outage of the table or of whoever takes the reports.
const SETTLE_FRACTION: f64 = 0.45;
/// How long nodes need to hand over what they counted while the table was away.
const RECOVERY_TIME: Duration = Duration::from_millis(1_200);
/// A report leaves this much before it is due, whatever is still awaited.
const DUE_MARGIN: Duration = Duration::from_millis(1_000);

/// What to do about reports now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAction {
    /// This window is to be reported now.
    Report(WindowNumber),
    /// Nothing is to be reported for this long.
    Wait(Duration),
}

/// When windows are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSchedule {
    windows: Windows,
    due_after: Duration,
}

impl ReportSchedule {
    /// Reports of these windows, due so long after the end of each.
    pub fn new(windows: Windows, due_after: Duration) -> Self {
        Self { windows, due_after }
    }

    /// How wall-clock time is cut into windows.
    pub fn windows(&self) -> Windows {
        self.windows
    }

    /// The first window that is reported at all: requests may have begun before there was
    /// a holder, but not so long before that their report would be overdue.
    pub fn first(&self, wall_ms: u64) -> WindowNumber {
        let due_after_ms = self.due_after.as_millis() as u64;
        self.windows.at(wall_ms.saturating_sub(due_after_ms))
    }

    /// How long after the end of a window pieces are waited for.
    pub fn settle_time(&self) -> Duration {
        self.due_after.mul_f64(SETTLE_FRACTION)
    }

    /// Whether a window is to be reported now. `answering_for` is how long the table has
    /// been answering without a break.
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
        let missing = RECOVERY_TIME.saturating_sub(answering_for);
        let left = Duration::from_millis(latest_ms.saturating_sub(wall_ms));
        match missing.min(left) {
            Duration::ZERO => ReportAction::Report(window),
            wait => ReportAction::Wait(wait),
        }
    }
}
