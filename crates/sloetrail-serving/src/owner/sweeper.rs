//! Deletes batches whose retention period is over.
//!
//! An open batch is kept, with its results, until its trainer ends it. One that nobody ends is
//! deleted as abandoned, so that the table does not grow without bound.
//!
//! Rows are read before they are deleted. Each owner therefore deletes only batches of its own
//! set, so that rows of region-bound batches are read only by nodes in their regions.

use crate::batch_rows::decode_header;
use crate::context::NodeContext;
use crate::follow::TableView;
use crate::leases::{BatchSet, Term};
use crate::rows;
use crate::table::{Commit, KeyRange, RowAddress, Transaction, scan_all};
use sloetrail_batch::BatchId;
use sloetrail_types::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Rows are kept this much longer than the promised retention.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);
/// How long a batch that nobody ends is kept.
const ABANDONED_BATCH_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Keeps a sweep short.
const MAX_BATCHES_PER_SWEEP: usize = 8;

/// Deletes up to `MAX_BATCHES_PER_SWEEP` expired batches of a set.
pub(super) async fn sweep(
    context: Arc<NodeContext>,
    set: BatchSet,
    term: Term,
    batches: Arc<TableView>,
    ends: Arc<TableView>,
) {
    let Some(now) = context.table.now_ms().map(Timestamp) else {
        return;
    };
    let min_retention = context.settings.bounds.batch_status + RETENTION_MARGIN;
    for id in expired_batches(&batches, &ends, &set, now, min_retention) {
        if !delete(&context, &term, id).await {
            return;
        }
    }
}

/// Up to `MAX_BATCHES_PER_SWEEP` batches of a set that have ended and whose age exceeds both
/// `min_retention` and their own retention with its margin, or that are abandoned.
fn expired_batches<'a>(
    batches: &'a TableView,
    ends: &TableView,
    set: &BatchSet,
    now: Timestamp,
    min_retention: Duration,
) -> Vec<&'a BatchId> {
    let rows = batches.rows.iter();
    let expired = rows.filter(|(id, row)| {
        decode_header(&row.value).is_some_and(|header| {
            let own_retention = header.retention.duration() + RETENTION_MARGIN;
            let mut retention = own_retention.max(min_retention);
            if !ends.rows.contains_key(*id) {
                retention = retention.max(ABANDONED_BATCH_RETENTION);
            }
            let retained_until = header.accepted_at.after(retention);
            set.holds(&header) && now > retained_until
        })
    });
    let ids = expired.map(|(id, _)| id);
    ids.take(MAX_BATCHES_PER_SWEEP).collect()
}

/// Deletes a batch. Its header row goes last, so that an interrupted deletion is resumed. Rows that
/// an owner wrote are deleted under the current term; the other rows no longer change.
async fn delete(context: &NodeContext, term: &Term, id: &str) -> bool {
    let Some(mut written) = scan_keys(context, rows::checkpoints(id)).await else {
        return false;
    };
    let Some(results) = scan_keys(context, rows::results_from(id, 0)).await else {
        return false;
    };
    let Some(mut submitted) = scan_keys(context, rows::submission_parts(id)).await else {
        return false;
    };
    written.extend(results);
    submitted.push(rows::end(id));
    submitted.push(rows::batch(id));
    delete_rows(context, &term.transaction(), &written).await
        && delete_rows(context, &Transaction::new(), &submitted).await
}

/// Deletes rows in the given order, in transactions under the conditions of `base`.
async fn delete_rows(context: &NodeContext, base: &Transaction, addresses: &[RowAddress]) -> bool {
    let entries = context.table.limits().transaction_entries - base.conditions.len();
    for chunk in addresses.chunks(entries) {
        let mut transaction = base.clone();
        transaction.deletes = chunk.to_vec();
        let commit = context.table.commit(&transaction).await;
        if !matches!(commit, Ok(Commit::Done(_))) {
            return false;
        }
    }
    true
}

async fn scan_keys(context: &NodeContext, range: KeyRange) -> Option<Vec<RowAddress>> {
    let page = scan_all(&*context.table, range).await.ok()?;
    Some(page.rows.into_iter().map(|row| row.address).collect())
}

#[cfg(test)]
mod tests;
