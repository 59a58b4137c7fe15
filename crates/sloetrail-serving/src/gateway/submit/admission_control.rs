//! Refuses batches whose work could not begin before they are due, from the backlog that the
//! owner of their set reports. What is kept here may be lost with the process: the report alone
//! counts then, and refusals in error are not counted.

use super::admission::{Admission, RefusedBatch, SubmittedBatch, decide, retry_after};
use super::unsettled::UnsettledSubmissions;
use super::{SubmissionCall, acceptance_deadline, find_accepted_batch};
use crate::context::NodeContext;
use crate::leases::BatchSet;
use crate::owner::backlog_report::BacklogRow;
use crate::rows;
use crate::telemetry;
use parking_lot::Mutex;
use sloetrail_batch::BatchHeader;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::whole_millis;
use std::collections::{BTreeMap, VecDeque};

/// Accepted and refused batches kept for each set, the latest ones. Without
/// the earlier ones, a batch is accepted rather than refused.
const MAX_KEPT_BATCHES: usize = 256;

/// What this node knows of the batches submitted to it.
#[derive(Default)]
pub(crate) struct AdmissionControl {
    /// By the lease name of the set.
    sets: Mutex<BTreeMap<String, SetRecord>>,
    pub(super) unsettled: UnsettledSubmissions,
}

#[derive(Default)]
struct SetRecord {
    accepted: VecDeque<SubmittedBatch>,
    refused: VecDeque<RefusedBatch>,
}

impl AdmissionControl {
    /// Checks whether a batch is accepted. Returns the header if an earlier attempt at it was
    /// accepted, and None if it is to be accepted now: also if the table does not say whether an
    /// earlier attempt was.
    ///
    /// # Errors
    ///
    /// `BacklogTooLong` if the work of the batch could not begin before it is due.
    pub(super) async fn check(
        &self,
        context: &NodeContext,
        call: &SubmissionCall<'_>,
        header: &BatchHeader,
        batch: &SubmittedBatch,
    ) -> Result<Option<BatchHeader>, Problem> {
        if self.unsettled.contains(call.id) {
            return Ok(None);
        }
        let Some(refusal) = self.find_refusal(context, header, batch, call.deadline) else {
            return Ok(None);
        };
        let read_deadline = acceptance_deadline(call.received, call.deadline);
        match find_accepted_batch(context, call.id, read_deadline).await {
            // Another attempt may have begun to write the batch during the read.
            Ok(None) if self.unsettled.contains(call.id) => Ok(None),
            Ok(None) => Err(self.record_refused(refusal)),
            Ok(accepted) => Ok(accepted),
            Err(_) => Ok(None),
        }
    }

    /// Returns the refusal of a batch that the report in use excludes.
    fn find_refusal(
        &self,
        context: &NodeContext,
        header: &BatchHeader,
        batch: &SubmittedBatch,
        deadline: BootInstant,
    ) -> Option<Refusal> {
        let set = BatchSet::of_batch(header);
        let report = read_report(context, &set)?;
        let mut sets = self.sets.lock();
        let record = sets.entry(set.name().to_owned()).or_default();
        record.forget_old(batch, &report);
        let service = header.service.as_str();
        for _ in 0..record.take_wrongly_refused(&report) {
            telemetry::batch_refused_in_error(service);
        }
        let age = report.usable_age(batch.submitted_at)?;
        telemetry::backlog_report_used(service, age);
        let decision = decide(batch, &report, record.accepted.make_contiguous());
        let Admission::Refuse {
            time_ahead,
            fits_in,
        } = decision
        else {
            return None;
        };
        let detail = format!(
            "the open work of model {} takes another {} ms, and the batch is due in {} ms",
            batch.model,
            whole_millis(time_ahead),
            whole_millis(batch.run_target)
        );
        let remaining = deadline.saturating_duration_since(BootInstant::now());
        let delay_ms = whole_millis(retry_after(fits_in, remaining));
        Some(Refusal {
            problem: Problem::new(ResultCode::BacklogTooLong, detail).with_retry_after_ms(delay_ms),
            set,
            refused: RefusedBatch {
                batch: batch.clone(),
                epoch: report.epoch,
                reported_at: report.at,
            },
        })
    }

    /// Records a batch whose header this node has committed.
    pub(super) fn record_accepted(&self, header: &BatchHeader, batch: SubmittedBatch) {
        let set = BatchSet::of_batch(header);
        let mut sets = self.sets.lock();
        let record = sets.entry(set.name().to_owned()).or_default();
        push_bounded(&mut record.accepted, batch);
    }

    /// Records and counts a batch that is refused.
    fn record_refused(&self, refusal: Refusal) -> Problem {
        telemetry::batch_unservable(refusal.set.service().as_str());
        let mut sets = self.sets.lock();
        let record = sets.entry(refusal.set.name().to_owned()).or_default();
        push_bounded(&mut record.refused, refusal.refused);
        refusal.problem
    }
}

/// A refusal that takes effect unless the batch was accepted before.
struct Refusal {
    problem: Problem,
    set: BatchSet,
    refused: RefusedBatch,
}

impl SetRecord {
    /// Forgets accepted batches that the report includes, and refused ones that are past due.
    fn forget_old(&mut self, latest: &SubmittedBatch, report: &BacklogRow) {
        self.accepted.retain(|batch| batch.submitted_at > report.at);
        let is_due = |refused: &RefusedBatch| refused.batch.due_at() < latest.submitted_at;
        self.refused
            .retain(|refused| !is_due(refused) || refused.would_have_fitted(report));
    }

    /// Removes the refused batches for which the backlog ended in time. Returns their number.
    fn take_wrongly_refused(&mut self, report: &BacklogRow) -> usize {
        let before = self.refused.len();
        self.refused
            .retain(|refused| !refused.would_have_fitted(report));
        before - self.refused.len()
    }
}

fn push_bounded<Record>(records: &mut VecDeque<Record>, record: Record) {
    if records.len() >= MAX_KEPT_BATCHES {
        records.pop_front();
    }
    records.push_back(record);
}

/// Returns the report on a set in this node's view; None if there is none or it is unreadable.
fn read_report(context: &NodeContext, set: &BatchSet) -> Option<BacklogRow> {
    let view = context.leases.borrow().clone();
    let address = rows::backlog(set.name());
    let row = view.rows.get(&address.key)?;
    BacklogRow::decode(&address.key, &row.value)
}

#[cfg(test)]
mod tests;
