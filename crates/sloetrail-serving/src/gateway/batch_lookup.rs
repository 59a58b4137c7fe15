//! Lookup of accepted batches in the table.

use super::caller::may_access_batch;
use crate::batch_rows::read_header;
use crate::context::NodeContext;
use crate::table::ReadError;
use sloetrail_batch::BatchHeader;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::Tenant;
use sloetrail_types::whole_millis;
use std::time::Duration;

/// Retry delay after a call that the table refused or did not answer, and for callers of an
/// isolated node. Short, because another node may serve the retry.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Returns the header of a batch that the caller may access.
///
/// # Errors
///
/// `UnknownBatch` if there is none or it belongs to another tenant, `TableUnavailable` if the
/// table cannot be read.
pub(crate) async fn find_header(
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

/// Problem for a call that needs the table while the table does not answer.
pub(crate) fn table_unavailable() -> Problem {
    Problem::new(ResultCode::TableUnavailable, "the table does not answer")
        .with_retry_after_ms(whole_millis(RETRY_AFTER))
}
