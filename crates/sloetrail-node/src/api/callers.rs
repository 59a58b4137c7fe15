//! Callers' requests.

use crate::gateway::{CallerRequest, forward};
use crate::lifecycle::Phase;
use crate::problem_response::ProblemResponse;
use crate::state::NodeState;
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::HeaderValue;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::Deserialize;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::ServiceName;
use std::sync::Arc;
use std::time::Instant;

/// Names the configuration revision under which a request was served.
const REVISION_HEADER: &str = "x-sloetrail-revision";
/// Names the node that served a request.
const NODE_HEADER: &str = "x-sloetrail-node";

#[derive(Deserialize)]
pub(crate) struct CallerPath {
    service: ServiceName,
    path: String,
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    State(state): State<Arc<NodeState>>,
    Path(path): Path<CallerPath>,
    request: Request,
) -> Response {
    let started = Instant::now();
    let label = service_label(&state, &path.service);
    let result = admit_and_forward(&state, path, request).await;
    metrics::histogram!("sloetrail_request_seconds", "service" => label)
        .record(started.elapsed().as_secs_f64());
    let mut response =
        result.unwrap_or_else(|problem| ProblemResponse::from(problem).into_response());
    add_header(&mut response, NODE_HEADER, state.settings.node.as_str());
    response
}

/// A service's name as a metric's label. Names that callers make up share one, or
/// they could fill the node's memory.
fn service_label(state: &NodeState, service: &ServiceName) -> String {
    match state.pool(service) {
        Some(_) => service.to_string(),
        None => "unknown".to_owned(),
    }
}

async fn admit_and_forward(
    state: &Arc<NodeState>,
    path: CallerPath,
    request: Request,
) -> Result<Response, Problem> {
    let in_flight = state.lifecycle.enter().map_err(refusal_of_phase)?;
    let request = read_request(state, &path, request).await?;
    if !state.configuration_is_fresh() {
        let detail = "the node could not confirm its configuration";
        return Err(Problem::new(ResultCode::ConfigurationStale, detail));
    }
    let revision = state.revision();
    let answer = forward(state, &path.service, request, in_flight).await?;
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    add_header(&mut response, REVISION_HEADER, &revision.to_string());
    Ok(response)
}

pub(crate) fn refusal_of_phase(phase: Phase) -> Problem {
    match phase {
        Phase::Leaving => Problem::new(ResultCode::NodeLeaving, "the node is stopping"),
        _ => Problem::new(
            ResultCode::NodeNotReady,
            "the node holds no configuration yet",
        ),
    }
}

async fn read_request(
    state: &NodeState,
    path: &CallerPath,
    request: Request,
) -> Result<CallerRequest, Problem> {
    let (head, body) = request.into_parts();
    let body = read_body(state, body).await?;
    let query = head.uri.query().map(|query| format!("?{query}"));
    Ok(CallerRequest {
        method: head.method,
        path_and_query: format!("/{}{}", path.path, query.unwrap_or_default()),
        headers: head.headers,
        body,
    })
}

/// Reads a body within the node's bounds on size and time.
async fn read_body(state: &NodeState, body: Body) -> Result<Bytes, Problem> {
    let bounds = &state.settings.bounds;
    let collected = Limited::new(body, bounds.body_limit_bytes).collect();
    match tokio::time::timeout(bounds.request_read_timeout, collected).await {
        Err(_) => Err(Problem::new(
            ResultCode::RequestTooSlow,
            "the body did not arrive in time",
        )),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            let detail = format!("the body is over {} bytes", bounds.body_limit_bytes);
            Err(Problem::new(ResultCode::BodyTooLarge, detail))
        }
        Ok(Err(error)) => Err(Problem::new(
            ResultCode::MalformedRequest,
            error.to_string(),
        )),
    }
}

fn add_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
