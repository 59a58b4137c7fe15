//! Outage detection for the table.

use sloetrail_clock::BootInstant;
use std::time::Duration;

/// Consecutive failures required to report an outage.
const MIN_FAILURES: u32 = 3;
/// Time without an answer required to report an outage.
const OUTAGE_AFTER: Duration = Duration::from_millis(400);

/// Availability of the table, derived from the outcomes of recent calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Availability {
    failures: u32,
    answered_at: Option<BootInstant>,
    is_unavailable: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AvailabilityChange {
    Lost,
    Recovered,
}

impl Availability {
    /// Records a call that was answered or failed.
    pub(super) fn record_call(
        &mut self,
        now: BootInstant,
        answered: bool,
    ) -> Option<AvailabilityChange> {
        if answered {
            self.failures = 0;
            self.answered_at = Some(now);
            let was_unavailable = std::mem::take(&mut self.is_unavailable);
            return was_unavailable.then_some(AvailabilityChange::Recovered);
        }
        self.failures = self.failures.saturating_add(1);
        let is_overdue = self
            .answered_at
            .is_none_or(|at| now.saturating_duration_since(at) > OUTAGE_AFTER);
        let is_lost = !self.is_unavailable && self.failures >= MIN_FAILURES && is_overdue;
        self.is_unavailable |= is_lost;
        is_lost.then_some(AvailabilityChange::Lost)
    }

    /// Returns when a call was last answered.
    pub(super) fn answered_at(&self) -> Option<BootInstant> {
        self.answered_at
    }

    /// Returns false after [`MIN_FAILURES`] failures and [`OUTAGE_AFTER`] without an answer.
    pub(super) fn is_answering(&self) -> bool {
        !self.is_unavailable
    }
}
