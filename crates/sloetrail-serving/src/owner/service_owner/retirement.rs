//! Decides when the owner retires its batch set.

use super::ServiceOwner;
use crate::leases::BatchSet;
use crate::owner::event::OwnerEvent;
use crate::owner::retirement::{RetirementOutcome, retire};
use sloetrail_types::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// How long a set is kept without batches while the configuration does not name it, and the time
/// between two attempts to retire it. A route that returns sooner finds its owner.
const RETIREMENT_DELAY: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
pub(super) struct RetirementState {
    /// When the set was first found to be unneeded, on the table's clock.
    unneeded_since: Option<Timestamp>,
    is_in_progress: bool,
}

impl ServiceOwner {
    /// Retires the set once it has been unneeded for some time.
    pub(super) fn retire_if_unneeded(&mut self) {
        let table = &self.context.table;
        let Some(now) = table.now_ms().filter(|_| table.is_answering()) else {
            return;
        };
        let now = Timestamp(now);
        if self.is_needed() {
            self.retirement.unneeded_since = None;
            return;
        }
        let unneeded_since = *self.retirement.unneeded_since.get_or_insert(now);
        if self.retirement.is_in_progress || now <= unneeded_since.after(RETIREMENT_DELAY) {
            return;
        }
        self.retirement.is_in_progress = true;
        let (context, term) = (Arc::clone(&self.context), self.term.clone());
        let (set, sender) = (self.set.clone(), self.sender.clone());
        self.term.spawn("batch set retirement", async move {
            let outcome = retire(&context, &term, &set).await;
            // The receiver is gone if the term has ended.
            let _ = sender.send(OwnerEvent::RetirementEnded(outcome));
        });
    }

    /// Returns whether batches exist that need this owner or may be accepted, or whether that is
    /// unknown.
    fn is_needed(&self) -> bool {
        let recorded = Arc::clone(&self.context.recorded_sets.borrow());
        let has_batches = self
            .stored_batches
            .as_ref()
            .is_none_or(|ids| !ids.is_empty());
        has_batches
            || recorded.has_bound_batches_for(&self.set)
            || self.context.configuration().is_none_or(|configuration| {
                BatchSet::configured(&configuration).contains(&self.set)
            })
    }

    pub(super) fn retirement_ended(&mut self, outcome: RetirementOutcome) {
        self.retirement.is_in_progress = false;
        if outcome == RetirementOutcome::Postponed {
            self.retirement.unneeded_since = None;
        }
    }
}
