//! A small HTTP client whose errors tell whether the call was carried out.

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);
const IDLE_CONNECTIONS_PER_HOST: usize = 64;
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Why a call brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The call was certainly not carried out.
    #[snafu(display("not executed: {reason}"))]
    NotExecuted {
        /// What stood in the way.
        reason: String,
    },
    /// The call may have been carried out.
    #[snafu(display("outcome unknown: {reason}"))]
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

impl CallError {
    pub(crate) fn not_executed(reason: impl ToString) -> Self {
        CallError::NotExecuted {
            reason: reason.to_string(),
        }
    }

    pub(crate) fn unknown(reason: impl ToString) -> Self {
        CallError::Unknown {
            reason: reason.to_string(),
        }
    }

    /// True if the call was certainly not carried out.
    pub fn is_not_executed(&self) -> bool {
        matches!(self, CallError::NotExecuted { .. })
    }
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl RawResponse {
    /// Reads the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::unknown)
    }
}

/// A pooling HTTP client.
#[derive(Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// A client with its own connection pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS_PER_HOST)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns as soon as the head of the answer is there.
    pub async fn start(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, CallError> {
        self.inner.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::not_executed(error)
            } else {
                CallError::unknown(error)
            }
        })
    }

    /// Sends a request and waits for the whole answer, up to `timeout` and
    /// `answer_limit` bytes.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        answer_limit: usize,
    ) -> Result<RawResponse, CallError> {
        let whole = async {
            let response = self.start(request).await?;
            let (head, body) = response.into_parts();
            let collected = Limited::new(body, answer_limit).collect().await;
            let body = collected.map_err(CallError::unknown)?.to_bytes();
            Ok(RawResponse {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(_) => Err(CallError::unknown("no answer in time")),
        }
    }

    /// Posts a JSON message and reads a JSON answer. A status of 429 or 503 is
    /// the receiver's word that it did not carry the call out.
    pub async fn post_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let body = serde_json::to_vec(message).map_err(CallError::not_executed)?;
        let request = json_request(Method::POST, address, path, body)?;
        let response = self.fetch(request, timeout, ANSWER_LIMIT_BYTES).await?;
        accepted(response)?.json()
    }

    /// Gets a JSON answer.
    pub async fn get_json<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let request = json_request(Method::GET, address, path, Vec::new())?;
        let response = self.fetch(request, timeout, ANSWER_LIMIT_BYTES).await?;
        accepted(response)?.json()
    }
}

/// A request with a JSON body to an address.
pub(crate) fn json_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, CallError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(CallError::not_executed)
}

/// Passes a 2xx answer on; sorts every other status by what it says.
pub(crate) fn accepted(response: RawResponse) -> Result<RawResponse, CallError> {
    let status = response.status;
    if status.is_success() {
        return Ok(response);
    }
    let reason = format!("status {status}");
    if status == StatusCode::INTERNAL_SERVER_ERROR || status == StatusCode::GATEWAY_TIMEOUT {
        return Err(CallError::unknown(reason));
    }
    Err(CallError::not_executed(reason))
}
