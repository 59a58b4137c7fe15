//! What the bound batches of an owner take of the engines, told to the one that orders these.

use super::ServiceOwner;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::Term;
use crate::owner::event::{DemandWritten, OwnerEvent};
use crate::owner::slot_demand::{DemandRow, StoredDemand};
use crate::rows;
use crate::table::Commit;
use sloetrail_clock::BootInstant;
use std::sync::Arc;

impl ServiceOwner {
    /// Writes down what the batches take of the engines, if that is due and engines can be
    /// ordered at all.
    pub(super) fn tell_demand(&mut self) {
        if self.set.is_in_charge_of_engines() || self.engine_supply().is_none() {
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
        tokio::spawn(async move {
            let written = write(&context, &term, &row).await;
            // The owner may be gone; then nobody needs it.
            let _ = sender.send(OwnerEvent::DemandWritten(written));
        });
    }

    /// The row of the set as this node knows it, of whichever owner.
    fn stored_demand(&self) -> StoredDemand {
        let view = self.context.leases.borrow().clone();
        let address = rows::slot_demand(self.term.subject.name());
        let Some(row) = view.rows.get(&address.key) else {
            return StoredDemand::Absent;
        };
        let decoded = DemandRow::decode(&address.key, &row.value);
        decoded.map_or(StoredDemand::Unreadable, StoredDemand::Row)
    }

    pub(super) fn demand_written(&mut self, written: DemandWritten) {
        self.demand.record_write(written == DemandWritten::Done);
        if written == DemandWritten::Fenced {
            self.term.ended.cancel();
        }
    }
}

async fn write(context: &NodeContext, term: &Term, row: &DemandRow) -> DemandWritten {
    let address = rows::slot_demand(term.subject.name());
    let transaction = term.transaction().put(address, row.encode());
    let written = match context.table.commit(&transaction).await {
        Ok(Commit::Done(_)) => DemandWritten::Done,
        Ok(Commit::Conflict(_)) => DemandWritten::Fenced,
        Err(_) => DemandWritten::Unknown,
    };
    events::emit(&Event::DemandTold {
        service: term.subject.name(),
        busy: row.demand.busy,
        wanted: row.demand.wanted,
        step_percent: row.demand.step_percent,
        epoch: row.epoch,
        outcome: written.word(),
    });
    written
}
