//! Loads an open batch from the table.

use crate::batch_rows::{CheckpointedWork, read_checkpointed_work, read_results, read_submission};
use crate::context::NodeContext;
use crate::length_hint::hinted_length;
use crate::table::{ReadError, Table};
use sloetrail_batch::{
    Batch, BatchHeader, BatchId, ItemId, ItemIndex, ItemState, Submission, SubmittedItem,
};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const RETRY_DELAY: Duration = Duration::from_millis(80);

pub(super) struct BatchToLoad {
    pub(super) id: BatchId,
    pub(super) header: BatchHeader,
    pub(super) origin: BatchOrigin,
}

pub(super) struct LoadedBatch {
    pub(super) batch: Batch,
    /// Number of results that the table already lists.
    pub(super) listed: usize,
}

/// Whether owners of earlier terms may have worked on a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BatchOrigin {
    /// Accepted before the term began. The table may hold results and checkpoints.
    EarlierTerm,
    /// Accepted within the term. Earlier owners are fenced off, so that the table holds neither
    /// results nor checkpoints. Skipping these reads saves two round trips: 56 of 215 ms until a
    /// batch is opened where the table is in another region.
    ThisTerm,
}

/// Loads a batch. Returns None if its submission is incomplete or invalid in the table, or cannot
/// be read before the term is over. `carried` are items that earlier batches left unfinished.
pub(super) async fn load(
    context: &NodeContext,
    request: &BatchToLoad,
    carried: &BTreeSet<ItemId>,
    ended: &CancellationToken,
) -> Option<LoadedBatch> {
    loop {
        match try_load(context, request, carried).await {
            Ok(loaded) => return loaded,
            Err(_) if ended.is_cancelled() => return None,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn try_load(
    context: &NodeContext,
    request: &BatchToLoad,
    carried: &BTreeSet<ItemId>,
) -> Result<Option<LoadedBatch>, ReadError> {
    let BatchToLoad { id, header, origin } = request;
    let table = &*context.table;
    let Some(stored) = read_submission(table, id, header.body_rows).await? else {
        return Ok(None);
    };
    let Ok(submission) = Submission::parse(&stored) else {
        return Ok(None);
    };
    let hint_header = &context.dialect.headers().length_hint;
    let expected_length = |item: &SubmittedItem| hinted_length(item, hint_header);
    let header = header.clone();
    let mut batch = Batch::new(id.clone(), header, submission, expected_length, carried);
    let listed = match origin {
        BatchOrigin::ThisTerm => 0,
        BatchOrigin::EarlierTerm => restore(table, &mut batch).await?,
    };
    Ok(Some(LoadedBatch { batch, listed }))
}

/// Applies what earlier owners wrote for a batch. Returns the number of listed results.
async fn restore(table: &dyn Table, batch: &mut Batch) -> Result<usize, ReadError> {
    let id = batch.id.clone();
    let mut listed = 0;
    loop {
        let results = read_results(table, &id, listed).await?;
        if results.is_empty() {
            break;
        }
        listed += results.len();
        for result in results {
            if let Some(index) = batch.index_of(&result.id) {
                batch.record_listed(index);
            }
        }
    }
    let CheckpointedWork { texts, failed_runs } = read_checkpointed_work(table, &id).await?;
    for (index, (generation, transcript)) in texts {
        if !is_waiting(batch, index) {
            continue;
        }
        batch.restore(index, generation, transcript);
        if !batch.item(index).transcript.is_fresh(batch.oldest_version) {
            batch.restart_text(index);
        }
    }
    for (index, failed_runs) in failed_runs {
        if is_waiting(batch, index) {
            batch.restore_failed_runs(index, failed_runs);
        }
    }
    Ok(listed)
}

fn is_waiting(batch: &Batch, index: ItemIndex) -> bool {
    index < batch.items().len() && batch.item(index).state == ItemState::Waiting
}
