//! Committing results in groups: each gets the next position of its batch.
//!
//! Whatever has come while a transaction was under way goes into the next one. A
//! transaction without an answer is sent again as it was, so that a position never
//! gets another content; one that the fence refuses ends the term. Pieces of texts
//! that are still being made go along.

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

/// What is to be committed.
pub(super) enum CommitRequest {
    /// A batch has been loaded; its next free position.
    Open {
        /// The batch.
        batch: BatchId,
        /// The next free position.
        next_position: usize,
    },
    /// A result to list.
    List {
        /// The batch.
        batch: BatchId,
        /// The item's place in its submission.
        index: ItemIndex,
        /// The result.
        result: ListedResult,
    },
    /// How many runs of an item have failed.
    Failed {
        /// The batch.
        batch: BatchId,
        /// The item's place in its submission.
        index: ItemIndex,
        /// The number.
        failed_runs: usize,
    },
    /// A piece of a text to keep.
    Keep {
        /// The batch.
        batch: BatchId,
        /// The piece.
        checkpoint: Checkpoint,
    },
}

/// Something to commit, with the rows that hold it.
struct Pending {
    rows: Vec<(RowAddress, Bytes)>,
    queued_at: BootInstant,
    listed: Option<Listed>,
}

struct Listed {
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
    let mut waiting: Vec<Pending> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Some(request) = requests.recv().await else {
                return;
            };
            add(&mut waiting, take(&mut positions, request, limits));
        }
        while let Ok(request) = requests.try_recv() {
            add(&mut waiting, take(&mut positions, request, limits));
        }
        if waiting.is_empty() {
            continue;
        }
        let (transaction, count) = group(&term, &waiting, limits);
        if !commit(&context, &term, &transaction).await {
            term.ended.cancel();
            return;
        }
        for pending in waiting.drain(..count) {
            let took = pending.queued_at.elapsed();
            let committed = pending.listed.map(|listed| committed(listed, took));
            if let Some(committed) = committed {
                // The owner may have stopped already; the result is listed all the same.
                let _ = events.send(OwnerEvent::Committed(committed));
            }
        }
    }
}

/// Adds something to commit; a count that is still waiting gives way to a newer one, since a
/// transaction holds each row once.
fn add(waiting: &mut Vec<Pending>, pending: Option<Pending>) {
    let Some(pending) = pending else {
        return;
    };
    if let [(newer, _)] = pending.rows.as_slice()
        && rows::item_of_failed_runs(&newer.key).is_some()
    {
        waiting.retain(|other| other.rows.iter().all(|(address, _)| address != newer));
    }
    waiting.push(pending);
}

fn committed(listed: Listed, took: Duration) -> Committed {
    Committed {
        batch: listed.batch,
        index: listed.index,
        position: listed.position,
        result: listed.result,
        took,
    }
}

fn take(
    positions: &mut HashMap<BatchId, usize>,
    request: CommitRequest,
    limits: TableLimits,
) -> Option<Pending> {
    match request {
        CommitRequest::Open {
            batch,
            next_position,
        } => {
            positions.insert(batch, next_position);
            None
        }
        CommitRequest::List {
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
            let listed = Listed {
                batch,
                index,
                position,
                result,
            };
            Some(Pending {
                rows,
                queued_at: BootInstant::now(),
                listed: Some(listed),
            })
        }
        CommitRequest::Failed {
            batch,
            index,
            failed_runs,
        } => {
            let address = rows::failed_runs(&batch, index);
            Some(Pending {
                rows: vec![(address, Bytes::from(failed_runs.to_string()))],
                queued_at: BootInstant::now(),
                listed: None,
            })
        }
        CommitRequest::Keep { batch, checkpoint } => {
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
            Some(Pending {
                rows: vec![(address, value)],
                queued_at: BootInstant::now(),
                listed: None,
            })
        }
    }
}

/// A transaction of as much as fits, at least one, and its number.
fn group(term: &Term, waiting: &[Pending], limits: TableLimits) -> (Transaction, usize) {
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

/// Sends a transaction until it is done; false if the fence refuses it or the term
/// is over.
async fn commit(context: &NodeContext, term: &Term, transaction: &Transaction) -> bool {
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
