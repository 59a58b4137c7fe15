//! Problem documents as HTTP answers.

use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode, header};
use rand::Rng;
use sloetrail_clients::{RetryHint, SECONDS_HEADER};
use sloetrail_result::{Kind, PROBLEM_CONTENT_TYPE, Problem, ResultCode};
use std::time::Duration;

const RETRY_FLOOR_MS: u64 = 500;
const RETRY_SPREAD_MS: u64 = 1_500;

/// A problem document as an answer.
#[derive(Debug)]
pub(crate) struct ProblemResponse(pub(crate) Problem);

impl ProblemResponse {
    /// A problem; where asking again helps, it says when, spread at random so
    /// that callers do not return together.
    pub(crate) fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        let problem = Problem::new(code, detail);
        Self(with_retry_hint(problem))
    }
}

/// Adds a time to ask again to refusals and lost outcomes with status 409 or 503.
pub(crate) fn with_retry_hint(problem: Problem) -> Problem {
    let helps = problem.status == 503 || problem.is(ResultCode::KeyInProgress);
    if !helps || problem.kind == Kind::RanAndFailed || problem.retry_after_ms.is_some() {
        return problem;
    }
    let spread = rand::rng().random_range(0..RETRY_SPREAD_MS);
    problem.with_retry_after_ms(RETRY_FLOOR_MS + spread)
}

impl From<Problem> for ProblemResponse {
    fn from(problem: Problem) -> Self {
        Self(with_retry_hint(problem))
    }
}

impl IntoResponse for ProblemResponse {
    fn into_response(self) -> Response {
        let problem = self.0;
        metrics::counter!("sloetrail_problems_total", "code" => problem.code.to_string())
            .increment(1);
        let status =
            StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let mut response = (status, body).into_response();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static(PROBLEM_CONTENT_TYPE),
        );
        if let Some(milliseconds) = problem.retry_after_ms {
            let hint = RetryHint(Duration::from_millis(milliseconds));
            if let Ok(value) = HeaderValue::from_str(&hint.header_value()) {
                headers.insert(SECONDS_HEADER, value);
            }
        }
        response
    }
}
