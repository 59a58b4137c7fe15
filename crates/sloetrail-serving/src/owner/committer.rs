//! Committing results in groups: each gets the next position of its batch.
//!
//! Whatever has come while a transaction was under way goes into the next one. A
//! transaction without an answer is sent again as it was, so that a position never
//! gets another content; one that the fence refuses ends the term.

use super::service_owner::OwnerEvent;
use super::term::Term;
use crate::context::NodeContext;
use crate::rows;
use crate::table::{Commit, CommitError, TableLimits, Transaction};
use sloetrail_batch::{BatchId, ItemIndex, ListedResult};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

const RETRY_FIRST: Duration = Duration::from_millis(30);
const RETRY_LIMIT: Duration = Duration::from_millis(500);

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
}

/// A result that was committed.
pub(super) struct Committed {
    pub(super) batch: BatchId,
    pub(super) index: ItemIndex,
    pub(super) position: usize,
    pub(super) result: ListedResult,
    pub(super) took: Duration,
}

struct Pending {
    batch: BatchId,
    index: ItemIndex,
    position: usize,
    result: ListedResult,
    queued_at: Instant,
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
    let mut left_over: Vec<Pending> = Vec::new();
    loop {
        if left_over.is_empty() {
            let Some(request) = requests.recv().await else {
                return;
            };
            left_over.extend(take(&mut positions, request));
        }
        while let Ok(request) = requests.try_recv() {
            left_over.extend(take(&mut positions, request));
        }
        if left_over.is_empty() {
            continue;
        }
        let (transaction, count) = group(&term, &left_over, limits);
        if !commit(&context, &term, &transaction).await {
            term.ended.cancel();
            return;
        }
        for pending in left_over.drain(..count) {
            let committed = Committed {
                took: pending.queued_at.elapsed(),
                batch: pending.batch,
                index: pending.index,
                position: pending.position,
                result: pending.result,
            };
            if events.send(OwnerEvent::Committed(committed)).is_err() {
                return;
            }
        }
    }
}

fn take(positions: &mut HashMap<BatchId, usize>, request: CommitRequest) -> Option<Pending> {
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
            Some(Pending {
                batch,
                index,
                position,
                result,
                queued_at: Instant::now(),
            })
        }
    }
}

/// A transaction of as many results as fit, at least one, and their number.
fn group(term: &Term, pending: &[Pending], limits: TableLimits) -> (Transaction, usize) {
    let mut transaction = term.transaction();
    let mut bytes = 0;
    for (count, next) in pending.iter().enumerate() {
        let parts = next.result.to_rows(limits.row_bytes);
        let more_bytes: usize = parts.iter().map(|part| part.len()).sum();
        let more_entries = transaction.puts.len() + parts.len() + 1;
        let is_full = bytes + more_bytes > limits.transaction_bytes
            || more_entries > limits.transaction_entries;
        if is_full && count > 0 {
            return (transaction, count);
        }
        bytes += more_bytes;
        for (part, value) in parts.into_iter().enumerate() {
            let address = rows::result_part(&next.batch, next.position, part);
            transaction = transaction.put(address, value);
        }
    }
    (transaction, pending.len())
}

/// Sends a transaction until it is done; false if the fence refuses it or the term
/// is over.
async fn commit(context: &NodeContext, term: &Term, transaction: &Transaction) -> bool {
    let mut retry = RETRY_FIRST;
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
        tokio::time::sleep(retry).await;
        retry = (retry * 2).min(RETRY_LIMIT);
    }
}
