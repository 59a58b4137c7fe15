//! Retirement of a batch set that is not configured and has no batches: deletes its rows, so that
//! no node competes for its lease any more.

use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::{BatchSet, Deregistration, OrderWindow, Term, deregister};
use crate::rows;
use crate::table::{Commit, Table, Transaction};

/// Outcome of an attempt to retire a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetirementOutcome {
    Done,
    /// The set stays for now.
    Postponed,
}

/// Retires the set of a term. Ends the term if the set is retired.
pub(super) async fn retire(
    context: &NodeContext,
    term: &Term,
    set: &BatchSet,
) -> RetirementOutcome {
    // A later owner must see the window in which this one or its predecessor gave orders.
    if !OrderWindow::is_past(context, term).await {
        return RetirementOutcome::Postponed;
    }
    let table = &*context.table;
    if deregister(table, set).await != Deregistration::Done {
        return RetirementOutcome::Postponed;
    }
    // A batch that is accepted from here on registers the set again. Its nodes acquire a new lease
    // under a higher epoch.
    if !delete_lease(table, term).await {
        return RetirementOutcome::Postponed;
    }
    events::emit(&Event::BatchSetRetired {
        service: set.name(),
        epoch: term.epoch.0,
    });
    term.end_after_retirement();
    RetirementOutcome::Done
}

/// Deletes the rows of a lease.
async fn delete_lease(table: &dyn Table, term: &Term) -> bool {
    let lease = term.resource.name();
    let deletion = term.transaction();
    let deletion = deletion.put(rows::last_deleted_lease(), lease.to_owned());
    let rows = [
        rows::lease(lease),
        rows::fence(lease),
        rows::order_window(lease),
        rows::backlog(lease),
        rows::slot_demand(lease),
    ];
    let deletion = rows.into_iter().fold(deletion, Transaction::delete);
    matches!(table.commit(&deletion).await, Ok(Commit::Done(_)))
}
