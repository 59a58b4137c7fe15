//! One attempt at one engine, and whether its answer is whole.

use super::message::{Answer, CallerRequest};
use crate::state::NodeState;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use sloetrail_clients::{
    CallError, Chunk, ENGINE_ID_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, RawResponse,
    VERSIONS_HEADER,
};
use sloetrail_config::ServiceKind;
use sloetrail_result::ResultCode;
use sloetrail_types::{EngineId, RequestId, WeightVersion};
use std::net::SocketAddr;
use tokio::time::Instant;

/// Headers that belong to one connection and are not passed on.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// With a whole answer.
    Whole(Answer),
    /// The engine did not run any of it.
    NotRun(String),
    /// It may have run.
    Unknown(ResultCode, String),
    /// It ran, but the answer cannot be passed on.
    Failed(ResultCode, String),
}

/// Sends a request to an engine and judges the answer.
pub(crate) async fn attempt(
    state: &NodeState,
    kind: ServiceKind,
    request: &CallerRequest,
    engine: &EngineId,
    address: SocketAddr,
    deadline: Instant,
) -> AttemptEnd {
    let id = RequestId::new(format!("{}/{}", state.settings.node, state.unique_number()));
    let call = match build_call(request, address, &id) {
        Ok(call) => call,
        Err(reason) => return AttemptEnd::NotRun(reason),
    };
    let timeout = deadline.saturating_duration_since(Instant::now());
    let limit = state.settings.bounds.answer_limit_bytes;
    let fetched = state.clients.http.fetch(call, timeout, limit).await;
    match fetched {
        Err(CallError::NotExecuted { reason }) => AttemptEnd::NotRun(reason),
        Err(CallError::Unknown { reason }) => lost(reason, deadline),
        Ok(response) => judge(kind, &id, engine, response, limit),
    }
}

fn build_call(
    request: &CallerRequest,
    address: SocketAddr,
    id: &RequestId,
) -> Result<Request<Full<Bytes>>, String> {
    let mut call = Request::builder()
        .method(request.method.clone())
        .uri(format!("http://{address}{}", request.path_and_query))
        .body(Full::new(request.body.clone()))
        .map_err(|error| error.to_string())?;
    let headers = call.headers_mut();
    copy_headers(&request.headers, headers);
    let id = HeaderValue::from_str(id.as_str()).map_err(|error| error.to_string())?;
    headers.insert(REQUEST_ID_HEADER, id);
    Ok(call)
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !CONNECTION_HEADERS.contains(&name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn lost(reason: String, deadline: Instant) -> AttemptEnd {
    let code = match Instant::now() >= deadline {
        true => ResultCode::EngineTimeout,
        false => ResultCode::EngineLost,
    };
    AttemptEnd::Unknown(code, reason)
}

fn judge(
    kind: ServiceKind,
    id: &RequestId,
    engine: &EngineId,
    response: RawResponse,
    limit: usize,
) -> AttemptEnd {
    if response.headers.contains_key(NOT_RUN_HEADER) {
        return AttemptEnd::NotRun(format!("engine {engine} refused it"));
    }
    let echoed = response.headers.get(REQUEST_ID_HEADER);
    if echoed.is_none_or(|value| value.as_bytes() != id.as_str().as_bytes()) {
        metrics::counter!("sloetrail_crossed_answers_total").increment(1);
        let reason = "the answer does not repeat the request's id";
        return AttemptEnd::Unknown(ResultCode::AnswerNotWhole, reason.to_owned());
    }
    if response.body.len() > limit {
        let reason = format!("the answer is over {limit} bytes");
        return AttemptEnd::Failed(ResultCode::AnswerTooLarge, reason);
    }
    let is_generation = kind == ServiceKind::Model && response.status == StatusCode::OK;
    let versions = match is_generation {
        true => whole_generation(&response.body, id),
        false => Ok(Vec::new()),
    };
    match versions {
        Err(reason) => AttemptEnd::Unknown(ResultCode::AnswerNotWhole, reason),
        Ok(versions) => AttemptEnd::Whole(answer(response, engine, &versions)),
    }
}

/// Checks that every chunk belongs to the request, that they join, and that the
/// last one ends it. Returns the weight versions, oldest first.
fn whole_generation(body: &[u8], id: &RequestId) -> Result<Vec<WeightVersion>, String> {
    let mut versions = Vec::new();
    let mut next_token = 0;
    let mut ended = false;
    for line in body.split(|byte| *byte == b'\n') {
        if line.is_empty() {
            continue;
        }
        let chunk: Chunk = serde_json::from_slice(line).map_err(|error| error.to_string())?;
        if chunk.request != *id || chunk.first_token != next_token || ended {
            return Err("a chunk is out of place or of another request".to_owned());
        }
        next_token += chunk.tokens.len() as u32;
        ended = chunk.end;
        versions.push(chunk.version);
    }
    if !ended {
        return Err("the end marker is missing".to_owned());
    }
    versions.sort();
    versions.dedup();
    Ok(versions)
}

fn answer(response: RawResponse, engine: &EngineId, versions: &[WeightVersion]) -> Answer {
    let mut headers = HeaderMap::new();
    copy_headers(&response.headers, &mut headers);
    headers.remove(header::DATE);
    insert(&mut headers, ENGINE_ID_HEADER, engine.as_str());
    if !versions.is_empty() {
        let list: Vec<String> = versions.iter().map(WeightVersion::to_string).collect();
        insert(&mut headers, VERSIONS_HEADER, &list.join(","));
    }
    Answer {
        status: response.status,
        headers,
        body: response.body,
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
