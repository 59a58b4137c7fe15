//! Deleting batches that nobody may read any more.
//!
//! Rows are read to be deleted, with what they hold. So each owner deletes the batches of its
//! own set: the rows of bound ones come to nodes of their regions alone.

use crate::batch_rows::decode_header;
use crate::context::NodeContext;
use crate::follow::TableView;
use crate::leases::{BatchSet, Term};
use crate::rows;
use crate::table::{Commit, KeyRange, RowAddress, Transaction, scan_all};
use sloetrail_batch::BatchId;
use std::sync::Arc;

/// Rows are kept this much longer than readers were promised.
const MARGIN_MS: u64 = 60_000;
/// Batches deleted in one round, so that a round stays small.
const BATCHES_A_ROUND: usize = 8;

/// Deletes a few batches of a set that are past their time.
pub(super) async fn sweep(
    context: Arc<NodeContext>,
    set: BatchSet,
    term: Term,
    batches: Arc<TableView>,
) {
    let Some(now_ms) = context.table.now_ms() else {
        return;
    };
    let kept_ms = context.settings.bounds.batch_status.as_millis() as u64 + MARGIN_MS;
    for id in past_their_time(&batches, &set, now_ms, kept_ms) {
        if !delete(&context, &term, id).await {
            return;
        }
    }
}

/// A few batches of a set that were kept for this time, and for that of their readers.
fn past_their_time<'a>(
    batches: &'a TableView,
    set: &BatchSet,
    now_ms: u64,
    kept_ms: u64,
) -> Vec<&'a BatchId> {
    let rows = batches.rows.iter();
    let past_their_time = rows.filter(|(_, row)| {
        decode_header(&row.value).is_some_and(|header| {
            let kept_ms = kept_ms.max(header.retention_ms + MARGIN_MS);
            set.holds(&header) && now_ms > header.accepted_at_ms + kept_ms
        })
    });
    let ids = past_their_time.map(|(id, _)| id);
    ids.take(BATCHES_A_ROUND).collect()
}

/// Deletes a batch, its head last, so that a broken deletion is taken up again. What the
/// owner wrote is deleted within its term; the rest cannot change any more.
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

/// Deletes rows in the order given, each group under the conditions of `first`.
async fn delete_rows(context: &NodeContext, first: &Transaction, addresses: &[RowAddress]) -> bool {
    let entries = context.table.limits().transaction_entries - first.conditions.len();
    for group in addresses.chunks(entries) {
        let mut transaction = first.clone();
        transaction.deletes = group.to_vec();
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
