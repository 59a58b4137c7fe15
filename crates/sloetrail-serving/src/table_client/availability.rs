//! Whether the table answers at all.

use sloetrail_clock::BootInstant;
use std::time::Duration;

/// Failures in a row after which the table may count as absent.
const FAILURES_LEAST: u32 = 3;
/// How long it must have been without an answer.
const ABSENT_AFTER: Duration = Duration::from_millis(400);

/// What the last calls tell of the table.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Availability {
    failures: u32,
    answered_at: Option<BootInstant>,
    is_absent: bool,
}

/// A change of whether the table answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AvailabilityChange {
    /// It does not answer any more.
    Lost,
    /// It answers again.
    Recovered,
}

impl Availability {
    /// A call was answered, or failed.
    pub(super) fn note(&mut self, now: BootInstant, answered: bool) -> Option<AvailabilityChange> {
        if answered {
            self.failures = 0;
            self.answered_at = Some(now);
            let was_absent = std::mem::take(&mut self.is_absent);
            return was_absent.then_some(AvailabilityChange::Recovered);
        }
        self.failures = self.failures.saturating_add(1);
        let is_long_ago = self
            .answered_at
            .is_none_or(|at| now.saturating_duration_since(at) > ABSENT_AFTER);
        let is_lost = !self.is_absent && self.failures >= FAILURES_LEAST && is_long_ago;
        self.is_absent |= is_lost;
        is_lost.then_some(AvailabilityChange::Lost)
    }

    /// False after several failures and some time without an answer.
    pub(super) fn is_answering(&self) -> bool {
        !self.is_absent
    }
}
