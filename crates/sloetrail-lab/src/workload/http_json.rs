//! JSON calls to nodes.

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sloetrail_clients::{CallError, HttpClient};
use sloetrail_result::Problem;
use std::net::SocketAddr;
use std::time::Duration;

const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// A node's answer.
#[derive(Debug)]
pub enum JsonAnswer<T> {
    /// What was asked for.
    Value(T),
    /// A problem document.
    Problem(Problem),
    /// No answer; whether the call was carried out is in the error.
    Failed(CallError),
}

impl<T> JsonAnswer<T> {
    /// The value, if that is what came.
    pub fn value(self) -> Option<T> {
        match self {
            JsonAnswer::Value(value) => Some(value),
            _ => None,
        }
    }
}

/// Sends a call with a JSON body and reads a JSON answer.
pub async fn send_json<Q: Serialize, A: DeserializeOwned>(
    http: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Option<&Q>,
    timeout: Duration,
) -> JsonAnswer<A> {
    let body = body.map(|body| serde_json::to_vec(body).expect("messages are plain data"));
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.unwrap_or_default())))
        .expect("lab paths are sound");
    let response = match http.fetch(request, timeout, ANSWER_LIMIT_BYTES).await {
        Ok(response) => response,
        Err(error) => return JsonAnswer::Failed(error),
    };
    if response.status.is_success() {
        return match response.json() {
            Ok(value) => JsonAnswer::Value(value),
            Err(error) => JsonAnswer::Failed(error),
        };
    }
    match response.json::<Problem>() {
        Ok(problem) => JsonAnswer::Problem(problem),
        Err(error) => JsonAnswer::Failed(error),
    }
}
