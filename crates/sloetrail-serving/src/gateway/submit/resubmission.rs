//! Resubmissions of batches that the present configuration would refuse.
//!
//! A batch runs under the configuration that accepted it, also if its route and its tenant no
//! longer share an allowed region. A resubmission must therefore not be refused as not run.

use crate::batch_rows::read_header;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::gateway::batch_lookup::RETRY_AFTER;
use crate::gateway::response::{CallerResponse, empty_response};
use crate::telemetry;
use http::StatusCode;
use sloetrail_batch::{BatchHeader, is_usable_id};
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::whole_millis;

/// Returns the header of an accepted batch, with one read of the table. None if there is none.
///
/// # Errors
///
/// `BatchUnconfirmed` if the table does not answer by the deadline: the batch may be running.
pub(crate) async fn find_accepted_batch(
    context: &NodeContext,
    id: &str,
    deadline: BootInstant,
) -> Result<Option<BatchHeader>, Problem> {
    if !is_usable_id(id) {
        return Ok(None);
    }
    if !context.table.is_answering() {
        return Err(unconfirmed(id));
    }
    let reading = read_header(&*context.table, id);
    match sloetrail_clock::timeout_at(deadline, reading).await {
        Ok(Ok(found)) => Ok(found.map(|(header, _)| header)),
        Ok(Err(_)) | Err(_) => Err(unconfirmed(id)),
    }
}

fn unconfirmed(id: &str) -> Problem {
    let detail = format!("the table did not answer whether batch {id} was accepted before");
    let retry_after = whole_millis(RETRY_AFTER);
    Problem::new(ResultCode::BatchUnconfirmed, detail).with_retry_after_ms(retry_after)
}

/// Answers the resubmission of an accepted batch, and logs it.
pub(crate) fn confirm_accepted_batch(
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
        took_ms: whole_millis(took),
    });
    empty_response(StatusCode::ACCEPTED)
}
