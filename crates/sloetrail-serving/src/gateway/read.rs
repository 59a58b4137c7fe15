//! Reading batches: results by position, and the bodies of items.
//!
//! Everything is read from committed rows, so that each node gives the same answers.
//! A node that cannot read them says so; only the absence of the head's row, as the
//! table tells it, means that there is no such batch.

use super::known_batch::{header_of, table_unavailable};
use super::message::{CallerResponse, json_response, problem_response, whole_body};
use crate::batch_rows::{read_results, read_submission};
use crate::context::NodeContext;
use http::StatusCode;
use sloetrail_batch::{ListedResult, ResultPage, Submission};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::Tenant;
use std::time::Duration;
use tokio::time::Instant;

/// How often results are looked for while a reader waits for some.
const POLL_PERIOD: Duration = Duration::from_millis(120);
const WAIT_LIMIT: Duration = Duration::from_millis(1_000);
/// Bytes of text in one answer.
const PAGE_BYTES: usize = 900_000;

/// Answers a reader of results from `position` on, waiting for some up to `wait`.
pub(crate) async fn results(
    context: &NodeContext,
    id: &str,
    caller: Option<&Tenant>,
    position: usize,
    wait: Duration,
) -> CallerResponse {
    match try_results(context, id, caller, position, wait).await {
        Ok(page) => {
            let body = serde_json::to_vec(&page).unwrap_or_default();
            json_response(StatusCode::OK, body)
        }
        Err(problem) => problem_response(&problem),
    }
}

async fn try_results(
    context: &NodeContext,
    id: &str,
    caller: Option<&Tenant>,
    position: usize,
    wait: Duration,
) -> Result<ResultPage, Problem> {
    let give_up_at = Instant::now() + wait.min(WAIT_LIMIT);
    // Both at once: it saves an answer of the table, 28 ms where that is in another region.
    let (header, mut listed) = tokio::join!(
        header_of(context, id, caller),
        read_results(&*context.table, id, position)
    );
    let header = header?;
    loop {
        let known = listed.map_err(|_| table_unavailable())?;
        let is_last_look = Instant::now() + POLL_PERIOD > give_up_at;
        let nothing_can_come = position >= header.total;
        if !known.is_empty() || is_last_look || nothing_can_come {
            let results = fitting(known);
            return Ok(ResultPage {
                total: header.total,
                next: position + results.len(),
                results,
            });
        }
        tokio::time::sleep(POLL_PERIOD).await;
        listed = read_results(&*context.table, id, position).await;
    }
}

/// As many results as one answer may hold, at least one.
fn fitting(listed: Vec<ListedResult>) -> Vec<ListedResult> {
    let mut bytes = 0;
    let fits = |(index, result): &(usize, ListedResult)| {
        bytes += result.text.len();
        *index == 0 || bytes <= PAGE_BYTES
    };
    let fitting = listed.into_iter().enumerate().take_while(fits);
    fitting.map(|(_, result)| result).collect()
}

/// Answers with the body of an item.
pub(crate) async fn item_body(
    context: &NodeContext,
    id: &str,
    caller: Option<&Tenant>,
    item: &str,
) -> CallerResponse {
    match try_item_body(context, id, caller, item).await {
        Ok(response) => response,
        Err(problem) => problem_response(&problem),
    }
}

async fn try_item_body(
    context: &NodeContext,
    id: &str,
    caller: Option<&Tenant>,
    item: &str,
) -> Result<CallerResponse, Problem> {
    let header = header_of(context, id, caller).await?;
    let stored = read_submission(&*context.table, id, header.body_rows).await;
    let stored = stored
        .map_err(|_| table_unavailable())?
        .ok_or_else(table_unavailable)?;
    let submission = Submission::parse(&stored).map_err(|_| table_unavailable())?;
    let found = submission.items.into_iter().find(|known| known.id == item);
    let Some(found) = found else {
        let detail = format!("batch {id} has no item {item}");
        return Err(Problem::new(ResultCode::UnknownBatch, detail));
    };
    Ok(http::Response::new(whole_body(found.body)))
}
