//! Decides whether a batch is refused because of the backlog ahead of it.
//!
//! A batch is refused only if its work could not begin before it is due. What is not known counts
//! as no backlog.

use super::MAX_RETRY_AFTER_SHARE;
use crate::owner::backlog_report::{BacklogRow, MIN_REPORTED_TARGET_SHARE};
use sloetrail_batch::BatchHeader;
use sloetrail_types::{Timestamp, Urgency};
use std::time::Duration;

/// Retry delay of a batch that fits sooner, so that callers do not return at once: the next report
/// may be up to a second away.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A batch with a run target, submitted to this node.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SubmittedBatch {
    pub(super) model: String,
    pub(super) urgency: Urgency,
    /// Time of the submission by the table's clock.
    pub(super) submitted_at: Timestamp,
    pub(super) run_target: Duration,
    /// Length of the required groups, in units of the trainer's hints.
    pub(super) required_units: f64,
}

impl SubmittedBatch {
    /// None for a batch that is never refused for a backlog: without a run target or a model, or
    /// at an unknown time.
    pub(super) fn new(header: &BatchHeader, required_units: f64) -> Option<Self> {
        let is_timed = !header.run_target.is_zero() && header.accepted_at > Timestamp::default();
        let model = header.model.clone().filter(|_| is_timed)?;
        Some(Self {
            model,
            urgency: header.urgency().0,
            submitted_at: header.accepted_at,
            run_target: header.run_target.duration(),
            required_units,
        })
    }

    pub(super) fn due_at(&self) -> Timestamp {
        self.submitted_at.after(self.run_target)
    }

    /// True if the work of this batch goes before that of `other`.
    fn goes_before(&self, other: &Self) -> bool {
        self.model == other.model
            && (self.urgency, self.due_at()) <= (other.urgency, other.due_at())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Accept,
    Refuse {
        /// Time until the engines have done the work ahead of the batch.
        time_ahead: Duration,
        /// Time until a batch with the same run target would be accepted.
        fits_in: Duration,
    },
}

/// Decides on a batch. `accepted` are the batches that this node accepted recently; those that
/// the report may not include yet count with their own work.
pub(super) fn decide(
    batch: &SubmittedBatch,
    report: &BacklogRow,
    accepted: &[SubmittedBatch],
) -> Admission {
    let backlog = report.models.get(&batch.model);
    let age = report.usable_age(batch.submitted_at);
    let (Some(backlog), Some(age)) = (backlog, age) else {
        return Admission::Accept;
    };
    let reported = backlog.time_ahead_of(batch.urgency, batch.due_at());
    if reported.is_zero() {
        return Admission::Accept;
    }
    let not_included = accepted
        .iter()
        .filter(|other| other.submitted_at > report.at && other.goes_before(batch));
    let units: f64 = not_included.map(|other| other.required_units).sum();
    let time_ahead = reported
        .saturating_add(backlog.time_for_units(units))
        .saturating_sub(age);
    let fits_in = time_ahead.saturating_sub(batch.run_target);
    match fits_in.is_zero() {
        true => Admission::Accept,
        false => Admission::Refuse {
            time_ahead,
            fits_in,
        },
    }
}

/// Returns the retry delay of a batch that fits after `fits_in`, for a caller that waits for
/// another `remaining`.
pub(super) fn retry_after(fits_in: Duration, remaining: Duration) -> Duration {
    fits_in
        .max(MIN_RETRY_AFTER)
        .min(remaining.mul_f64(MAX_RETRY_AFTER_SHARE))
}

/// A batch that was refused because of a report.
#[derive(Clone, Debug)]
pub(super) struct RefusedBatch {
    pub(super) batch: SubmittedBatch,
    /// The epoch of the owner that wrote the report.
    pub(super) epoch: u64,
    pub(super) reported_at: Timestamp,
}

impl RefusedBatch {
    /// True if a later report of the same owner shows that the backlog ended in time for the
    /// batch. A model that is no longer reported has less open work than a share of a run target.
    pub(super) fn would_have_fitted(&self, later: &BacklogRow) -> bool {
        let batch = &self.batch;
        let is_later = later.epoch == self.epoch && later.at > self.reported_at;
        let has_ended = !later.models.contains_key(&batch.model);
        let unreported = batch.run_target.mul_f64(MIN_REPORTED_TARGET_SHARE);
        is_later && has_ended && later.at.after(unreported) <= batch.due_at()
    }
}

#[cfg(test)]
mod tests;
