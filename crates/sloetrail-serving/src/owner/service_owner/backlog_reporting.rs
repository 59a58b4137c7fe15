//! Reports the backlog of open batches to the nodes that accept batches, so that these refuse a
//! batch whose work could not begin before it is due.

use super::{OpenBatch, ServiceOwner};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::Term;
use crate::owner::backlog_report::{
    Backlog, BacklogRow, OpenBatchWork, ReportedBacklog, StoredBacklog,
};
use crate::owner::event::{OwnerEvent, ReportWriteOutcome};
use crate::rows;
use crate::table::Commit;
use crate::telemetry;
use sloetrail_batch::{BatchHeader, LengthModel};
use sloetrail_clock::BootInstant;
use sloetrail_types::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

impl ServiceOwner {
    /// Writes the backlog row if it is due and the open work is long.
    pub(super) fn report_backlog(&mut self) {
        if !self.context.settings.policies.refuse_unservable {
            return;
        }
        let now = BootInstant::now();
        let table = &self.context.table;
        let Some(now_ms) = table.now_ms().filter(|_| table.is_answering()) else {
            return;
        };
        if !self.backlog_reporter.is_due(now) {
            return;
        }
        let capacities = self.models().into_iter().map(|model| {
            let capacity = self.engines.capacity_of(&model, now);
            (model, capacity)
        });
        let capacities: Vec<(String, f64)> = capacities.collect();
        self.recent_capacities.record(now, capacities);
        let (backlog, stored) = (self.backlog_at(Timestamp(now_ms)), self.stored_backlog());
        let reporter = &mut self.backlog_reporter;
        let Some(models) = reporter.end_period(now, Timestamp(now_ms), backlog, &stored) else {
            return;
        };
        let row = BacklogRow {
            models,
            epoch: self.term.epoch.0,
            at: Timestamp(now_ms),
        };
        self.write_backlog(row);
    }

    fn write_backlog(&self, row: BacklogRow) {
        let (context, term) = (Arc::clone(&self.context), self.term.clone());
        let sender = self.sender.clone();
        self.term.spawn("backlog report", async move {
            let outcome = write_row(&context, &term, &row).await;
            // The receiver is gone if the term has ended.
            let _ = sender.send(OwnerEvent::BacklogWritten(outcome));
        });
    }

    /// The backlog of the models whose open work is long. Overdue batches are left out: their
    /// groups can yield to those of a new batch.
    fn backlog_at(&self, now: Timestamp) -> Backlog {
        let Some(units_per_event) = self.lengths.units_per_event() else {
            return Backlog::default();
        };
        let mut open_work: BTreeMap<&str, Vec<OpenBatchWork>> = BTreeMap::new();
        for open in self.batches.values() {
            let Some(model) = open.batch.model.as_deref() else {
                continue;
            };
            let work = open.required_work(&self.lengths);
            open_work
                .entry(model)
                .or_default()
                .extend(work.filter(|work| work.due_at > now));
        }
        let backlogs = open_work.into_iter().filter_map(|(model, open)| {
            let capacity = self.recent_capacities.highest(model);
            let backlog = ReportedBacklog::of_open_work(open, capacity, units_per_event)?;
            Some((model.to_owned(), backlog))
        });
        backlogs.collect()
    }

    /// The set's row in this node's view, whichever owner wrote it.
    fn stored_backlog(&self) -> StoredBacklog {
        let view = self.context.leases.borrow().clone();
        let address = rows::backlog(self.term.resource.name());
        let row = view.rows.get(&address.key);
        let row = row.and_then(|row| BacklogRow::decode(&address.key, &row.value));
        row.map_or(StoredBacklog::Unusable, StoredBacklog::Row)
    }

    pub(super) fn backlog_written(&mut self, outcome: ReportWriteOutcome) {
        self.backlog_reporter.write_ended();
        if outcome == ReportWriteOutcome::Fenced {
            self.term.ended.cancel();
        }
    }

    /// Counts a batch that is past its run target when its required groups are complete, or when
    /// its trainer ends it without them.
    pub(super) fn count_if_late(&self, header: &BatchHeader, age: Duration) {
        if header.has_due_time() && age > header.run_target.duration() {
            telemetry::batch_not_in_time(self.service.as_str());
        }
    }
}

impl OpenBatch {
    /// The open work of the required groups; None while their lengths are unknown.
    fn required_work(&self, lengths: &LengthModel) -> Option<OpenBatchWork> {
        let generated = |index| self.generated_events(index);
        let header = &self.batch.header;
        let has_target = !header.run_target.is_zero();
        Some(OpenBatchWork {
            urgency: header.urgency().0,
            due_at: header.ends_by(),
            run_target: has_target.then(|| header.run_target.duration()),
            events: self.batch.required_events(lengths, generated)?,
        })
    }
}

async fn write_row(context: &NodeContext, term: &Term, row: &BacklogRow) -> ReportWriteOutcome {
    let address = rows::backlog(term.resource.name());
    let transaction = term.transaction().put(address, row.encode());
    let outcome = match context.table.commit(&transaction).await {
        Ok(Commit::Done(_)) => ReportWriteOutcome::Done,
        Ok(Commit::Conflict(_)) => ReportWriteOutcome::Fenced,
        Err(_) => ReportWriteOutcome::Unknown,
    };
    events::emit(&Event::BacklogReported {
        service: term.resource.name(),
        models: row.models.len(),
        max_ms: row.max_time_to_finish_ms(),
        epoch: row.epoch,
        outcome: outcome.as_str(),
    });
    outcome
}
