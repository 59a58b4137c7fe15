//! Batches that were accepted, as the table tells of them.

use super::caller::may_access_batch;
use crate::batch_rows::read_header;
use crate::context::NodeContext;
use crate::table::ReadError;
use sloetrail_batch::BatchHeader;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::Tenant;
use std::time::Duration;

/// When to come back after a call that the table refused or did not answer, or to a
/// node that is cut off alone: another node can take it at once.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(150);

/// The head of a batch that a caller may know of. To another tenant it does not exist.
pub(crate) async fn header_of(
    context: &NodeContext,
    id: &str,
    caller: Option<&Tenant>,
) -> Result<BatchHeader, Problem> {
    match read_header(&*context.table, id).await {
        Ok(Some((header, _))) if may_access_batch(&header, caller) => Ok(header),
        Ok(_) => {
            let detail = format!("batch {id}");
            Err(Problem::new(ResultCode::UnknownBatch, detail))
        }
        Err(ReadError::Unavailable | ReadError::HistoryLost) => Err(table_unavailable()),
    }
}

/// The refusal of a call that the table must settle first.
pub(crate) fn table_unavailable() -> Problem {
    Problem::new(ResultCode::TableUnavailable, "the table does not answer")
        .with_retry_after_ms(RETRY_AFTER.as_millis() as u64)
}
