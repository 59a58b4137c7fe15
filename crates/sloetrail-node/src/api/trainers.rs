//! Trainers' calls: submit, pull, publish.

use super::callers::refusal_of_phase;
use super::messages::{
    PublishRequest, PublishResponse, PullRequest, PullResponse, SubmitRequest, SubmitResponse,
};
use super::run_calls;
use crate::owner::{WeightsRecord, weights_key};
use crate::problem_response::ProblemResponse;
use crate::state::NodeState;
use crate::sync::rows::{to_value, value_of};
use axum::Json;
use axum::extract::rejection::{JsonRejection, QueryRejection};
use axum::extract::{Path, Query, State};
use sloetrail_clients::{Row, Settled, Transaction};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{RunName, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const PUBLISH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// `POST /v1/runs/{run}/samples`
pub(crate) async fn submit(
    State(state): State<Arc<NodeState>>,
    Path(run): Path<RunName>,
    body: Result<Json<SubmitRequest>, JsonRejection>,
) -> Result<Json<SubmitResponse>, ProblemResponse> {
    let _in_flight = state.lifecycle.enter().map_err(refusal_of_phase)?;
    let Json(request) = body.map_err(|rejection| bad_body(&rejection))?;
    check_run(&state, &run)?;
    Ok(Json(run_calls::submit(&state, run, request).await?))
}

/// `GET /v1/runs/{run}/samples?after=N&trainer_version=V&limit=L`
pub(crate) async fn pull(
    State(state): State<Arc<NodeState>>,
    Path(run): Path<RunName>,
    query: Result<Query<PullRequest>, QueryRejection>,
) -> Result<Json<PullResponse>, ProblemResponse> {
    let _in_flight = state.lifecycle.enter().map_err(refusal_of_phase)?;
    let Query(request) =
        query.map_err(|rejection| ProblemResponse::from(malformed(rejection.body_text())))?;
    check_run(&state, &run)?;
    Ok(Json(run_calls::pull(&state, run, request).await?))
}

/// `POST /v1/services/{service}/weights`
pub(crate) async fn publish(
    State(state): State<Arc<NodeState>>,
    Path(service): Path<ServiceName>,
    body: Result<Json<PublishRequest>, JsonRejection>,
) -> Result<Json<PublishResponse>, ProblemResponse> {
    let _in_flight = state.lifecycle.enter().map_err(refusal_of_phase)?;
    let Json(request) = body.map_err(|rejection| bad_body(&rejection))?;
    if state.pool(&service).is_none() {
        let detail = format!("no service is named {service}");
        return Err(ProblemResponse::new(ResultCode::UnknownService, detail));
    }
    let published = record_published(&state, &service, request).await?;
    Ok(Json(published))
}

/// Writes the version down unless a higher one is there.
async fn record_published(
    state: &NodeState,
    service: &ServiceName,
    request: PublishRequest,
) -> Result<PublishResponse, Problem> {
    let key = weights_key(service);
    let deadline = Instant::now() + PUBLISH_TIMEOUT;
    while Instant::now() < deadline {
        let Ok(row) = state.clients.table.read(&key).await else {
            break;
        };
        let present = row.as_ref().and_then(|row| value_of(row).ok());
        let present: WeightsRecord = present.unwrap_or_default();
        if present.published >= request.version {
            return Ok(PublishResponse {
                published: present.published,
            });
        }
        let transaction = publish_transaction(state, &key, row.as_ref(), request);
        let table = &state.clients.table;
        match table.commit_settled(&transaction, &key, deadline).await {
            Settled::Committed(_) => {
                return Ok(PublishResponse {
                    published: request.version,
                });
            }
            // Another version came first: compare again.
            Settled::Conflict => {}
            Settled::NotExecuted => break,
            Settled::Unknown => {
                let detail = "publish the version again";
                return Err(Problem::new(ResultCode::WriteUnknown, detail));
            }
        }
    }
    let detail = "the version was not recorded";
    Err(Problem::new(ResultCode::TableUnavailable, detail))
}

fn publish_transaction(
    state: &NodeState,
    key: &str,
    row: Option<&Row>,
    request: PublishRequest,
) -> Transaction {
    let record = WeightsRecord {
        published: request.version,
    };
    Transaction::of_one_row(
        state.new_transaction_id(),
        key,
        row.map(|row| row.version),
        to_value(&record),
    )
}

fn check_run(state: &NodeState, run: &RunName) -> Result<(), Problem> {
    if state.configuration().configuration.runs.contains_key(run) {
        return Ok(());
    }
    let detail = format!("no run is named {run}");
    Err(Problem::new(ResultCode::UnknownRun, detail))
}

/// A body that could not be read, as a problem.
pub(crate) fn bad_body(rejection: &JsonRejection) -> ProblemResponse {
    let code = match rejection.status().as_u16() {
        413 => ResultCode::BodyTooLarge,
        _ => ResultCode::MalformedRequest,
    };
    ProblemResponse::new(code, rejection.body_text())
}

fn malformed(detail: String) -> Problem {
    Problem::new(ResultCode::MalformedRequest, detail)
}
