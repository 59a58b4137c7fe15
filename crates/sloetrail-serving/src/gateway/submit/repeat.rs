//! Batches that are sent again once no configuration would accept them any more.
//!
//! A batch follows the configuration that accepted it. Sent again after its route and its
//! tenant were left without a common region, it runs all the same, and nobody may be told
//! that it does not.

use crate::batch_rows::read_header;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::gateway::known_batch::RETRY_AFTER;
use crate::gateway::response::{CallerResponse, empty_response};
use crate::telemetry;
use http::StatusCode;
use sloetrail_batch::{BatchHeader, is_usable_id};
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};

/// The head of a batch that was accepted before, by one read of the table; nothing if the
/// table tells that there is none.
///
/// # Errors
///
/// If the table does not tell by the deadline: whether the batch runs is not known then.
pub(crate) async fn accepted_before(
    context: &NodeContext,
    id: &str,
    deadline: BootInstant,
) -> Result<Option<BatchHeader>, Problem> {
    if !is_usable_id(id) {
        return Ok(None);
    }
    if !context.table.is_answering() {
        return Err(not_known(id));
    }
    let reading = read_header(&*context.table, id);
    match sloetrail_clock::timeout_at(deadline, reading).await {
        Ok(Ok(found)) => Ok(found.map(|(header, _)| header)),
        Ok(Err(_)) | Err(_) => Err(not_known(id)),
    }
}

fn not_known(id: &str) -> Problem {
    let detail = format!("the table does not tell whether batch {id} was accepted before");
    let retry_after = RETRY_AFTER.as_millis() as u64;
    Problem::new(ResultCode::BatchUnconfirmed, detail).with_retry_after_ms(retry_after)
}

/// Answers a batch that was accepted before: it is accepted again.
pub(crate) fn accept_again(
    id: &str,
    header: &BatchHeader,
    received: BootInstant,
) -> CallerResponse {
    let took = received.elapsed();
    telemetry::batch_answered("repeated", took);
    events::emit(&Event::BatchAccepted {
        batch: id,
        service: header.service.as_str(),
        items: header.total,
        repeated: true,
        regions: &header.allowed_regions.to_string(),
        took_ms: took.as_millis() as u64,
    });
    empty_response(StatusCode::ACCEPTED)
}
