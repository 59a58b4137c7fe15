//! HTTP client for the node API.

use crate::failure::Failure;
use bytes::Bytes;
use clap::ArgMatches;
use http::{Method, Request};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sloetrail_clients::{CallError, HttpClient, RawResponse};
use sloetrail_result::{Problem, ResultCode};
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Sends requests to the configured nodes, in order, until one answers.
pub(crate) struct Client {
    http: HttpClient,
    nodes: Vec<SocketAddr>,
}

impl Client {
    /// Creates a client for the `--node` addresses.
    pub(crate) fn from_arguments(matches: &ArgMatches) -> Self {
        let nodes = matches.get_many::<SocketAddr>("node");
        Self {
            http: HttpClient::new(),
            nodes: nodes
                .map(|nodes| nodes.copied().collect())
                .unwrap_or_default(),
        }
    }

    /// Sends a GET request and decodes the JSON response.
    pub(crate) async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Failure> {
        let response = self.call(Method::GET, path, Vec::new()).await?;
        decode(&response)
    }

    /// Posts a JSON message and decodes the JSON response.
    pub(crate) async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
    ) -> Result<A, Failure> {
        let body = serde_json::to_vec(message)
            .map_err(|error| Failure::usage(ResultCode::InternalError, error.to_string()))?;
        let response = self.call(Method::POST, path, body).await?;
        decode(&response)
    }

    /// Posts an empty body and ignores the response body.
    pub(crate) async fn post_empty(&self, path: &str) -> Result<(), Failure> {
        self.call(Method::POST, path, Vec::new()).await.map(|_| ())
    }

    /// Tries the next node only if the request was certainly not executed: a request with an
    /// unknown outcome must not be sent twice.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<RawResponse, Failure> {
        let mut last_error = "no node address was given".to_owned();
        for node in &self.nodes {
            let request = Request::builder()
                .method(method.clone())
                .uri(format!("http://{node}{path}"))
                .header(http::header::CONTENT_TYPE, "application/json")
                .body(Full::new(Bytes::from(body.clone())))
                .map_err(|error| Failure::usage(ResultCode::UnknownPath, error.to_string()))?;
            match self
                .http
                .fetch(request, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
                .await
            {
                Ok(response) if response.status.is_success() => return Ok(response),
                Ok(response) => return Err(problem_of(&response).into()),
                Err(CallError::NotExecuted { reason }) => last_error = format!("{node}: {reason}"),
                Err(CallError::Unknown { reason }) => {
                    let detail = format!("{node}: {reason}");
                    return Err(Problem::new(ResultCode::OwnerLost, detail).into());
                }
            }
        }
        Err(Failure::unreachable(last_error))
    }
}

fn decode<A: DeserializeOwned>(response: &RawResponse) -> Result<A, Failure> {
    response
        .json()
        .map_err(|error| Problem::new(ResultCode::InternalError, error.to_string()).into())
}

fn problem_of(response: &RawResponse) -> Problem {
    let problem = response.json::<Problem>();
    problem.unwrap_or_else(|_| {
        let detail = format!(
            "expected a problem document, got status {} without one",
            response.status
        );
        Problem::new(ResultCode::InternalError, detail)
    })
}
