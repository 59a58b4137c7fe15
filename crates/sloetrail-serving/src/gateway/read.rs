//! Reads of batches: results by position, and the bodies of items.
//!
//! Answers come from committed rows only, so every node gives the same answer. A failed read
//! is reported as an unavailable table. A batch is unknown only if a successful read finds no
//! header row.

use super::batch_lookup::{find_header, table_unavailable};
use super::response::{CallerResponse, full_body, json_response, problem_response};
use super::result_wait::{MAX_PAGE_BYTES, ResultWait};
use crate::batch_rows::{read_results, read_submission};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::tasks;
use http::StatusCode;
use sloetrail_batch::{
    ListedResult, ReaderDemand, ReportedResult, ReportedResultState, ResultPage, Submission,
};
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::Tenant;
use std::sync::Arc;
use std::time::Duration;

/// Interval between reads of the table while a reader waits for results: a result is returned 30 ms
/// after it was listed on average, at one small read per interval.
const RESULT_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Time by which the last poll may exceed the reader's waiting time. Covers a table in another
/// region.
const MAX_FINAL_POLL: Duration = Duration::from_millis(90);

/// Answers with the results from `position` on, waiting up to `wait` for results that the
/// reader can use. Results older than the reader's oldest version are reported without text.
pub(crate) async fn results(
    context: &NodeContext,
    id: &str,
    caller: Option<&Tenant>,
    position: usize,
    wait: Duration,
    demand: ReaderDemand,
) -> CallerResponse {
    match try_results(context, id, caller, position, wait, demand).await {
        Ok(page) => {
            log_too_old(id, position, &page, demand);
            let body = serde_json::to_vec(&page).unwrap_or_default();
            json_response(StatusCode::OK, body)
        }
        Err(problem) => problem_response(&problem),
    }
}

/// Logs how many results were reported without text because of their weight version.
fn log_too_old(id: &str, position: usize, page: &ResultPage, demand: ReaderDemand) {
    let reported = page.results.iter();
    let too_old = reported.filter(|result| result.state == ReportedResultState::TooOld);
    let results = too_old.count();
    if results > 0 {
        events::emit(&Event::ResultsTooOld {
            batch: id,
            position,
            results,
            oldest_version: demand.oldest_version.unwrap_or_default().0,
        });
    }
}

async fn try_results(
    context: &NodeContext,
    id: &str,
    caller: Option<&Tenant>,
    position: usize,
    wait: Duration,
    demand: ReaderDemand,
) -> Result<ResultPage, Problem> {
    let started_at = BootInstant::now();
    // Concurrent reads save a round trip, which matters if the table is in another region.
    let (header, listed) = tokio::join!(
        find_header(context, id, caller),
        read_results(&*context.table, id, position)
    );
    let header = header?;
    let result_wait = match context.settings.policies.gather_results {
        true => ResultWait::new(started_at, wait, &header, context.table.now_ms()),
        false => ResultWait::for_any_result(started_at, wait),
    };
    let mut results = listed.map_err(|_| table_unavailable())?;
    loop {
        let next = position + results.len();
        let next_poll = BootInstant::now() + RESULT_POLL_INTERVAL;
        let poll_deadline = result_wait.wait_deadline(&results);
        if next >= header.total || next_poll > poll_deadline {
            return Ok(page(position, header.total, results, demand));
        }
        if !wait_for_poll(context, next_poll).await {
            return Ok(page(position, header.total, results, demand));
        }
        match poll_results(context, id, next, poll_deadline + MAX_FINAL_POLL).await {
            PollOutcome::Answered(more) => results.extend(more),
            PollOutcome::Failed if results.is_empty() => return Err(table_unavailable()),
            // Returns the results read so far: the outage may outlast the reader's wait.
            PollOutcome::Failed | PollOutcome::TimedOut => {
                return Ok(page(position, header.total, results, demand));
            }
        }
    }
}

/// Waits until the next poll. Returns false if the node refuses requests because it stops: the reader
/// goes on at another node.
async fn wait_for_poll(context: &NodeContext, at: BootInstant) -> bool {
    tokio::select! {
        () = sloetrail_clock::sleep_until(at) => true,
        () = context.shutdown.refusing().cancelled() => false,
    }
}

/// Outcome of one read of further results.
enum PollOutcome {
    Answered(Vec<ListedResult>),
    Failed,
    /// The read had not completed by its deadline.
    TimedOut,
}

/// Reads results from `position` on, waiting until `until` at most. The read itself is not
/// cancelled: a cancelled read would count as a sign of an unresponsive connection.
async fn poll_results(
    context: &NodeContext,
    id: &str,
    position: usize,
    until: BootInstant,
) -> PollOutcome {
    let (table, id) = (Arc::clone(&context.table), id.to_owned());
    let reading = tasks::spawn("result read", async move {
        read_results(&*table, &id, position).await
    });
    match sloetrail_clock::timeout_at(until, reading).await {
        Ok(Ok(Ok(Ok(results)))) => PollOutcome::Answered(results),
        // The table client logs the cause of a failure.
        Ok(Ok(Ok(Err(_)) | Err(_)) | Err(_)) => PollOutcome::Failed,
        Err(_) => PollOutcome::TimedOut,
    }
}

/// Builds the page that starts at `position`, limited to the maximum size of a page.
fn page(
    position: usize,
    total: usize,
    results: Vec<ListedResult>,
    demand: ReaderDemand,
) -> ResultPage {
    let results = fit_page(results, demand);
    ResultPage {
        total,
        next: position + results.len(),
        results,
    }
}

/// Takes results up to the maximum size of a page, but at least one.
fn fit_page(listed: Vec<ListedResult>, demand: ReaderDemand) -> Vec<ReportedResult> {
    let mut bytes = 0;
    let fits = |(index, result): &(usize, ReportedResult)| {
        bytes += result.text.len();
        *index == 0 || bytes <= MAX_PAGE_BYTES
    };
    let reported = listed
        .into_iter()
        .map(|result| ReportedResult::new(result, demand));
    let page = reported.enumerate().take_while(fits);
    page.map(|(_, result)| result).collect()
}

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
    let header = find_header(context, id, caller).await?;
    let stored = read_submission(&*context.table, id, header.body_rows).await;
    let stored = stored
        .map_err(|_| table_unavailable())?
        .ok_or_else(table_unavailable)?;
    let submission = Submission::parse(&stored).map_err(|_| table_unavailable())?;
    let found = submission
        .items
        .into_iter()
        .find(|candidate| candidate.id == item);
    let Some(found) = found else {
        let detail = format!("batch {id} has no item {item}");
        return Err(Problem::new(ResultCode::UnknownBatch, detail));
    };
    Ok(http::Response::new(full_body(found.body)))
}
