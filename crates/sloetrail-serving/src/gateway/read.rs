//! Reading batches: results by position, and the bodies of items.
//!
//! Everything is read from committed rows, so that each node gives the same answers.
//! A node that cannot read them says so; only the absence of the head's row, as the
//! table tells it, means that there is no such batch.

use super::known_batch::{header_of, table_unavailable};
use super::response::{CallerResponse, full_body, json_response, problem_response};
use super::result_wait::{MAX_PAGE_BYTES, ResultWait};
use crate::batch_rows::{read_results, read_submission};
use crate::context::NodeContext;
use crate::events::{self, Event};
use http::StatusCode;
use sloetrail_batch::{ListedResult, ReaderDemand, ResultPage, Submission, ToldResult, ToldState};
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::Tenant;
use std::sync::Arc;
use std::time::Duration;

/// How often results are looked for while a reader waits for some: what completes a step is
/// told 30 ms after it was listed on average, at one small read of the table a look.
const LOOK_PERIOD: Duration = Duration::from_millis(60);
/// How long the last look may take beyond the time of the reader: three answers of a table in
/// another region (28 ms).
const LAST_LOOK: Duration = Duration::from_millis(90);

/// Answers a reader of results from `position` on, waiting for some that it can use up to
/// `wait`. What is older than the reader takes is told without its text.
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
            note_too_old(id, position, &page, demand);
            let body = serde_json::to_vec(&page).unwrap_or_default();
            json_response(StatusCode::OK, body)
        }
        Err(problem) => problem_response(&problem),
    }
}

/// Logs that a reader was refused texts that are older than it takes.
fn note_too_old(id: &str, position: usize, page: &ResultPage, demand: ReaderDemand) {
    let told = page.results.iter();
    let too_old = told.filter(|result| result.state == ToldState::TooOld);
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
    let began = BootInstant::now();
    // Both at once: it saves an answer of the table, 28 ms where that is in another region.
    let (header, listed) = tokio::join!(
        header_of(context, id, caller),
        read_results(&*context.table, id, position)
    );
    let header = header?;
    let time = match context.settings.policies.gather_results {
        true => ResultWait::new(began, wait, &header, context.table.now_ms()),
        false => ResultWait::for_any_result(began, wait),
    };
    let mut known = listed.map_err(|_| table_unavailable())?;
    loop {
        let next = position + known.len();
        let next_look = BootInstant::now() + LOOK_PERIOD;
        let wait_deadline = time.wait_deadline(&known);
        if next >= header.total || next_look > wait_deadline {
            return Ok(page(position, header.total, known, demand));
        }
        sloetrail_clock::sleep_until(next_look).await;
        match look(context, id, next, wait_deadline + LAST_LOOK).await {
            Look::Answered(more) => known.extend(more),
            Look::Failed if known.is_empty() => return Err(table_unavailable()),
            // What is known is told now: the table may stay away for longer.
            Look::Failed | Look::TooSlow => return Ok(page(position, header.total, known, demand)),
        }
    }
}

/// What came of looking for further results.
enum Look {
    /// These are there.
    Answered(Vec<ListedResult>),
    /// The table did not tell.
    Failed,
    /// The table had not told when the time was over.
    TooSlow,
}

/// Looks for results from a position on, for no longer than `until`. The read itself goes on
/// to its end: one that is broken off would count as a sign of silent connections.
async fn look(context: &NodeContext, id: &str, position: usize, until: BootInstant) -> Look {
    let (table, id) = (Arc::clone(&context.table), id.to_owned());
    let reading = tokio::spawn(async move { read_results(&*table, &id, position).await });
    match sloetrail_clock::timeout_at(until, reading).await {
        Ok(Ok(Ok(results))) => Look::Answered(results),
        // The table client tells why; a read that panics says so itself.
        Ok(Ok(Err(_)) | Err(_)) => Look::Failed,
        Err(_) => Look::TooSlow,
    }
}

/// An answer with as many results as it may hold.
fn page(
    position: usize,
    total: usize,
    known: Vec<ListedResult>,
    demand: ReaderDemand,
) -> ResultPage {
    let results = fitting(known, demand);
    ResultPage {
        total,
        next: position + results.len(),
        results,
    }
}

/// As many results as one answer may hold, at least one.
fn fitting(listed: Vec<ListedResult>, demand: ReaderDemand) -> Vec<ToldResult> {
    let mut bytes = 0;
    let fits = |(index, result): &(usize, ToldResult)| {
        bytes += result.text.len();
        *index == 0 || bytes <= MAX_PAGE_BYTES
    };
    let told = listed
        .into_iter()
        .map(|result| ToldResult::new(result, demand));
    let fitting = told.enumerate().take_while(fits);
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
    Ok(http::Response::new(full_body(found.body)))
}
