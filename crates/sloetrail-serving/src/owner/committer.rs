//! Commits results in groups and gives each the next position of its batch.
//!
//! Requests that arrive while a transaction is in flight go into the next one. A transaction
//! without an answer is sent again unchanged, so that the content of a position never changes.
//! A transaction that the fence refuses ends the term. Checkpoints of running items and counts
//! of failed runs are committed along with the results.

use super::event::{Committed, OwnerEvent};
use crate::context::NodeContext;
use crate::leases::Term;
use crate::retry_backoff::RetryBackoff;
use crate::rows;
use crate::table::{Commit, CommitError, RowAddress, TableLimits, Transaction};
use bytes::Bytes;
use sloetrail_batch::{BatchId, Checkpoint, ItemIndex, ListedResult};
use sloetrail_clock::BootInstant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

pub(super) enum CommitRequest {
    /// Registers a batch. Must precede its results.
    OpenBatch {
        batch: BatchId,
        /// The first position without a listed result.
        next_position: usize,
    },
    ListResult {
        batch: BatchId,
        index: ItemIndex,
        result: ListedResult,
    },
    /// Stores the total number of failed runs of an item.
    RecordFailedRuns {
        batch: BatchId,
        index: ItemIndex,
        failed_runs: usize,
    },
    SaveCheckpoint {
        batch: BatchId,
        checkpoint: Checkpoint,
    },
}

/// Rows to commit, and the result that they list, if any.
struct PendingWrite {
    rows: Vec<(RowAddress, Bytes)>,
    queued_at: BootInstant,
    pending_result: Option<PendingResult>,
}

struct PendingResult {
    batch: BatchId,
    index: ItemIndex,
    position: usize,
    result: ListedResult,
}

/// Commits results until the term is over.
pub(super) async fn commit_results(
    context: Arc<NodeContext>,
    term: Term,
    mut requests: mpsc::UnboundedReceiver<CommitRequest>,
    events: mpsc::UnboundedSender<OwnerEvent>,
) {
    let limits = context.table.limits();
    let mut positions: HashMap<BatchId, usize> = HashMap::new();
    let mut waiting: Vec<PendingWrite> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Some(request) = requests.recv().await else {
                return;
            };
            enqueue(&mut waiting, to_write(&mut positions, request, limits));
        }
        while let Ok(request) = requests.try_recv() {
            enqueue(&mut waiting, to_write(&mut positions, request, limits));
        }
        if waiting.is_empty() {
            continue;
        }
        let (transaction, count) = build_transaction(&term, &waiting, limits);
        if !commit_with_retries(&context, &term, &transaction).await {
            term.ended.cancel();
            return;
        }
        for pending in waiting.drain(..count) {
            let took = pending.queued_at.elapsed();
            let committed = pending
                .pending_result
                .map(|result| to_committed(result, took));
            if let Some(committed) = committed {
                // The owner may have stopped; the result is committed either way.
                let _ = events.send(OwnerEvent::Committed(committed));
            }
        }
    }
}

/// Queues a write. A newer count of failed runs replaces a queued one, since a transaction may
/// hold each row only once.
fn enqueue(waiting: &mut Vec<PendingWrite>, pending: Option<PendingWrite>) {
    let Some(pending) = pending else {
        return;
    };
    if let [(newer, _)] = pending.rows.as_slice()
        && rows::failed_runs_item(&newer.key).is_some()
    {
        waiting.retain(|other| other.rows.iter().all(|(address, _)| address != newer));
    }
    waiting.push(pending);
}

fn to_committed(pending: PendingResult, took: Duration) -> Committed {
    Committed {
        batch: pending.batch,
        index: pending.index,
        position: pending.position,
        result: pending.result,
        took,
    }
}

/// Converts a request to rows. None if it has none: a new batch, a result of an unregistered
/// batch, or a checkpoint that is too large for a row.
fn to_write(
    positions: &mut HashMap<BatchId, usize>,
    request: CommitRequest,
    limits: TableLimits,
) -> Option<PendingWrite> {
    match request {
        CommitRequest::OpenBatch {
            batch,
            next_position,
        } => {
            positions.insert(batch, next_position);
            None
        }
        CommitRequest::ListResult {
            batch,
            index,
            result,
        } => {
            let next = positions.get_mut(&batch)?;
            let position = *next;
            *next += 1;
            let parts = result.to_rows(limits.row_bytes).into_iter().enumerate();
            let rows = parts
                .map(|(part, value)| (rows::result_part(&batch, position, part), value))
                .collect();
            let pending_result = PendingResult {
                batch,
                index,
                position,
                result,
            };
            Some(PendingWrite {
                rows,
                queued_at: BootInstant::now(),
                pending_result: Some(pending_result),
            })
        }
        CommitRequest::RecordFailedRuns {
            batch,
            index,
            failed_runs,
        } => {
            let address = rows::failed_runs(&batch, index);
            Some(PendingWrite {
                rows: vec![(address, Bytes::from(failed_runs.to_string()))],
                queued_at: BootInstant::now(),
                pending_result: None,
            })
        }
        CommitRequest::SaveCheckpoint { batch, checkpoint } => {
            let Checkpoint {
                index,
                generation,
                offset,
                ..
            } = checkpoint;
            let value = checkpoint.to_stored();
            if value.len() > limits.row_bytes {
                return None;
            }
            let address = rows::checkpoint(&batch, index, generation, offset);
            Some(PendingWrite {
                rows: vec![(address, value)],
                queued_at: BootInstant::now(),
                pending_result: None,
            })
        }
    }
}

/// Builds a transaction of as many queued writes as fit, at least one, and returns their count.
fn build_transaction(
    term: &Term,
    waiting: &[PendingWrite],
    limits: TableLimits,
) -> (Transaction, usize) {
    let mut transaction = term.transaction();
    let mut bytes = 0;
    for (count, next) in waiting.iter().enumerate() {
        let more_bytes: usize = next.rows.iter().map(|(_, value)| value.len()).sum();
        let more_entries = transaction.puts.len() + next.rows.len() + 1;
        let is_full = bytes + more_bytes > limits.transaction_bytes
            || more_entries > limits.transaction_entries;
        if is_full && count > 0 {
            return (transaction, count);
        }
        bytes += more_bytes;
        transaction.puts.extend(next.rows.iter().cloned());
    }
    (transaction, waiting.len())
}

/// Sends a transaction until it is committed. Returns false if the fence refuses it or the term
/// is over.
async fn commit_with_retries(
    context: &NodeContext,
    term: &Term,
    transaction: &Transaction,
) -> bool {
    let mut retry = RetryBackoff::new();
    loop {
        let commit = tokio::select! {
            commit = context.table.commit(transaction) => commit,
            () = term.ended.cancelled() => return false,
        };
        match commit {
            Ok(Commit::Done(_)) => return true,
            Ok(Commit::Conflict(_)) => return false,
            Err(CommitError::NotDone | CommitError::Unknown) => {}
        }
        retry.wait(&*context.table).await;
    }
}
