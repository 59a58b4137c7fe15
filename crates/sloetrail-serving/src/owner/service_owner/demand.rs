//! Reports the slot demand of region-bound batches to the owner that orders engines.

use super::ServiceOwner;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::Term;
use crate::owner::event::{OwnerEvent, ReportWriteOutcome};
use crate::owner::slot_demand::{DemandRow, StoredDemand};
use crate::rows;
use crate::table::Commit;
use sloetrail_clock::BootInstant;
use std::sync::Arc;

impl ServiceOwner {
    /// Writes the slot demand row if it is due and engines can be ordered.
    pub(super) fn report_demand(&mut self) {
        if self.set.controls_engine_count() || self.engine_supply().is_none() {
            return;
        }
        let running: usize = self.batches.values().map(|open| open.runs.len()).sum();
        let waiting: usize = self.batches.values().map(|open| open.batch.waiting()).sum();
        self.demand.record(running, running + waiting);
        let table = &self.context.table;
        let now = BootInstant::now();
        let Some(now_ms) = table.now_ms().filter(|_| table.is_answering()) else {
            return;
        };
        if !self.demand.is_due(now) {
            return;
        }
        let stored = self.stored_demand();
        let Some(demand) = self.demand.end_period(now, now_ms, stored) else {
            return;
        };
        let row = DemandRow {
            demand,
            epoch: self.term.epoch.0,
            at_ms: now_ms,
        };
        let (context, term) = (Arc::clone(&self.context), self.term.clone());
        let sender = self.sender.clone();
        self.term.spawn("slot demand", async move {
            let outcome = write_demand(&context, &term, &row).await;
            // The receiver is gone if the term has ended.
            let _ = sender.send(OwnerEvent::DemandWritten(outcome));
        });
    }

    /// The set's row in this node's view, whichever owner wrote it.
    fn stored_demand(&self) -> StoredDemand {
        let view = self.context.leases.borrow().clone();
        let address = rows::slot_demand(self.term.resource.name());
        let Some(row) = view.rows.get(&address.key) else {
            return StoredDemand::Absent;
        };
        let decoded = DemandRow::decode(&address.key, &row.value);
        decoded.map_or(StoredDemand::Unreadable, StoredDemand::Row)
    }

    pub(super) fn demand_written(&mut self, outcome: ReportWriteOutcome) {
        self.demand
            .record_write(outcome == ReportWriteOutcome::Done);
        if outcome == ReportWriteOutcome::Fenced {
            self.term.ended.cancel();
        }
    }
}

async fn write_demand(context: &NodeContext, term: &Term, row: &DemandRow) -> ReportWriteOutcome {
    let address = rows::slot_demand(term.resource.name());
    let transaction = term.transaction().put(address, row.encode());
    let outcome = match context.table.commit(&transaction).await {
        Ok(Commit::Done(_)) => ReportWriteOutcome::Done,
        Ok(Commit::Conflict(_)) => ReportWriteOutcome::Fenced,
        Err(_) => ReportWriteOutcome::Unknown,
    };
    events::emit(&Event::DemandTold {
        service: term.resource.name(),
        busy: row.demand.busy,
        wanted: row.demand.wanted,
        step_percent: row.demand.step_percent,
        epoch: row.epoch,
        outcome: outcome.as_str(),
    });
    outcome
}
