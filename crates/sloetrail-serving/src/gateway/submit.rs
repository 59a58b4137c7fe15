//! Accepting and ending batches.
//!
//! A batch is accepted once its submission and its head are committed; the head's
//! row must have been absent. The same batch sent again, to whatever node, finds
//! the head and is accepted again. An answer that promises that nothing runs is
//! given only if the table says that nothing was written; if the table does not
//! answer, the caller is told that the outcome is unknown and sends again.

use super::message::{CallerResponse, empty_response, problem_response};
use crate::batch_rows::{encode_header, read_header};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::rows;
use crate::table::{Commit, CommitError, ReadError, Transaction};
use crate::telemetry;
use bytes::Bytes;
use http::StatusCode;
use sloetrail_batch::{BatchHeader, Submission, is_usable_id};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, WeightedService};
use sloetrail_types::ServiceName;
use std::time::Duration;
use tokio::time::Instant;

const RETRY_AFTER_MS: u64 = 150;
/// When to come back while the table does not answer: its outages last seconds.
const OUTAGE_RETRY_AFTER_MS: u64 = 2_000;
/// How long an acceptance is tried for, as a part of the time that the route allows.
const COMMIT_SHARE: f64 = 0.15;
const COMMIT_PAUSE: Duration = Duration::from_millis(25);

enum Acceptance {
    New,
    Repeated,
}

/// Answers a submission.
pub(crate) async fn submit(
    context: &NodeContext,
    route: &Route,
    service: &ServiceName,
    id: &str,
    body: Bytes,
) -> CallerResponse {
    let began = Instant::now();
    let outcome = accept(context, route, service, id, &body).await;
    match outcome {
        Ok((acceptance, items)) => {
            let word = match acceptance {
                Acceptance::New => "accepted",
                Acceptance::Repeated => "repeated",
            };
            telemetry::batch_answered(word, began.elapsed());
            events::emit(&Event::BatchAccepted {
                batch: id,
                service: service.as_str(),
                items,
                repeated: matches!(acceptance, Acceptance::Repeated),
                took_ms: began.elapsed().as_millis() as u64,
            });
            empty_response(StatusCode::ACCEPTED)
        }
        Err(problem) => {
            telemetry::batch_answered("refused", began.elapsed());
            events::emit(&Event::BatchRefused {
                batch: id,
                code: problem.code,
                detail: &problem.detail,
            });
            problem_response(&problem)
        }
    }
}

async fn accept(
    context: &NodeContext,
    route: &Route,
    service: &ServiceName,
    id: &str,
    body: &Bytes,
) -> Result<(Acceptance, usize), Problem> {
    if !is_usable_id(id) {
        let detail = format!("the id {id:?} cannot name a batch");
        return Err(Problem::new(ResultCode::MalformedRequest, detail));
    }
    if !context.table.is_answering() {
        let detail = format!("the table does not answer: batch {id} was not sent to it");
        let problem = Problem::new(ResultCode::TableUnavailable, detail);
        return Err(problem.with_retry_after_ms(OUTAGE_RETRY_AFTER_MS));
    }
    let submission = Submission::parse(body)
        .map_err(|error| Problem::new(ResultCode::MalformedRequest, error.to_string()))?;
    let parts = cut(body, context.table.limits().row_bytes);
    let header = BatchHeader {
        service: service.clone(),
        host: route.host.clone(),
        total: submission.items.len(),
        body_rows: parts.len(),
        accepted_at_ms: context.table.now_ms().unwrap_or_default(),
        max_attempts: route.max_attempts,
        retention_ms: route.retention.as_millis() as u64,
        single_version: route.single_version,
        priority: route.priority,
    };
    let transactions = transactions(context, id, &parts, &header);
    let acceptance = commit_all(context, route, id, &transactions).await?;
    Ok((acceptance, submission.items.len()))
}

fn cut(body: &Bytes, row_bytes: usize) -> Vec<Bytes> {
    let starts = (0..body.len()).step_by(row_bytes);
    starts
        .map(|start| body.slice(start..body.len().min(start + row_bytes)))
        .collect()
}

/// The transactions that store a batch: as many as its size needs, the head with
/// the last parts. Parts that are stored without a head mean nothing.
fn transactions(
    context: &NodeContext,
    id: &str,
    parts: &[Bytes],
    header: &BatchHeader,
) -> Vec<Transaction> {
    let limits = context.table.limits();
    let mut all = Vec::new();
    let mut current = Transaction::new();
    let mut bytes = 0;
    for (index, part) in parts.iter().enumerate() {
        let is_full = bytes + part.len() > limits.transaction_bytes
            || current.puts.len() + 3 > limits.transaction_entries;
        if is_full {
            all.push(std::mem::take(&mut current));
            bytes = 0;
        }
        bytes += part.len();
        current = current.put(rows::submission_part(id, index), part.clone());
    }
    let head = rows::batch(id);
    all.push(
        current
            .require(head.clone(), None)
            .put(head, encode_header(header)),
    );
    all
}

async fn commit_all(
    context: &NodeContext,
    route: &Route,
    id: &str,
    transactions: &[Transaction],
) -> Result<Acceptance, Problem> {
    let mut acceptance = Acceptance::New;
    let mut earlier_outcome_unknown = false;
    let give_up_at = Instant::now() + route.timeout.mul_f64(COMMIT_SHARE);
    for transaction in transactions {
        loop {
            match context.table.commit(transaction).await {
                Ok(Commit::Done(_)) => break,
                Ok(Commit::Conflict(_)) => {
                    acceptance = Acceptance::Repeated;
                    break;
                }
                Err(error) => {
                    earlier_outcome_unknown |= error == CommitError::Unknown;
                    if Instant::now() > give_up_at {
                        return Err(refusal(id, earlier_outcome_unknown));
                    }
                    tokio::time::sleep(COMMIT_PAUSE).await;
                }
            }
        }
    }
    Ok(acceptance)
}

/// The answer to a batch that could not be committed. It promises that nothing runs
/// only if no attempt may still take effect.
fn refusal(id: &str, outcome_unknown: bool) -> Problem {
    if outcome_unknown {
        let detail = format!("the table did not confirm batch {id}");
        return Problem::new(ResultCode::BatchUnconfirmed, detail);
    }
    let detail = format!("the table did not take batch {id}");
    Problem::new(ResultCode::TableUnavailable, detail).with_retry_after_ms(RETRY_AFTER_MS)
}

/// Ends a batch: what is not listed need not be run any more.
pub(crate) async fn end(context: &NodeContext, id: &str) -> CallerResponse {
    let header = match read_header(&*context.table, id).await {
        Ok(header) => header,
        Err(ReadError::Unavailable | ReadError::HistoryLost) => {
            return problem_response(&table_unavailable());
        }
    };
    if header.is_none() {
        let detail = format!("batch {id}");
        return problem_response(&Problem::new(ResultCode::UnknownBatch, detail));
    }
    let transaction = Transaction::new().put(rows::end(id), Bytes::from_static(b"ended"));
    match context.table.commit(&transaction).await {
        Ok(_) => empty_response(StatusCode::OK),
        Err(CommitError::NotDone) => problem_response(&table_unavailable()),
        Err(CommitError::Unknown) => {
            let detail = format!("the table did not confirm the end of batch {id}");
            problem_response(&Problem::new(ResultCode::BatchUnconfirmed, detail))
        }
    }
}

/// The refusal of a call that the table must settle first.
pub(crate) fn table_unavailable() -> Problem {
    Problem::new(ResultCode::TableUnavailable, "the table does not answer")
        .with_retry_after_ms(RETRY_AFTER_MS)
}

/// The service that runs a batch: the first with a share, so that the same batch
/// sent again goes to the same one.
pub(crate) fn batch_service(services: &[WeightedService]) -> Option<&ServiceName> {
    let part = services.iter().find(|part| part.weight > 0.0)?;
    Some(&part.service)
}
