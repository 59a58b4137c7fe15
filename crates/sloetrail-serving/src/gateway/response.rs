//! Responses to callers.

use crate::dialect::HeaderNames;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use futures_util::{StreamExt, TryStreamExt};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use sloetrail_result::{PROBLEM_CONTENT_TYPE, Problem};
use sloetrail_types::Revision;
use std::io;

pub(crate) type CallerBody = UnsyncBoxBody<Bytes, io::Error>;

pub(crate) type CallerResponse = Response<CallerBody>;

pub(crate) fn full_body(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a streaming body. An error in the stream closes the connection.
pub(crate) fn stream_body(chunks: BoxStream<'static, io::Result<Bytes>>) -> CallerBody {
    StreamBody::new(chunks.map_ok(Frame::data).boxed()).boxed_unsync()
}

pub(crate) fn json_response(status: StatusCode, body: Vec<u8>) -> CallerResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

pub(crate) fn empty_response(status: StatusCode) -> CallerResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns a problem document as a response, with `Retry-After` in seconds if it has a delay.
pub(crate) fn problem_response(problem: &Problem) -> CallerResponse {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = json_response(status, body);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static(PROBLEM_CONTENT_TYPE);
    headers.insert(CONTENT_TYPE, content_type);
    if let Some(milliseconds) = problem.retry_after_ms {
        let seconds = format!("{:.3}", milliseconds as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Adds the configuration's version, if the dialect has a header for it.
pub(crate) fn with_configuration_version(
    mut response: CallerResponse,
    names: &HeaderNames,
    version: Revision,
) -> CallerResponse {
    if let Some(name) = &names.configuration_version {
        let value = HeaderValue::from(version.0);
        response.headers_mut().insert(name, value);
    }
    response
}

pub(crate) fn with_request_id(
    mut response: CallerResponse,
    names: &HeaderNames,
    request_id: &str,
) -> CallerResponse {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(&names.request_id, value);
    }
    response
}
