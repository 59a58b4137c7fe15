//! Model engines and application back ends.
//!
//! An engine answers a generation as a stream of JSON lines ([`Chunk`]). Each
//! line repeats the request's id and carries the weight version that produced
//! its tokens; the last one has `end` set. Orders carry the epoch of the lease
//! they were given under, and the engine refuses a lower one.

use crate::http_client::{CallError, HttpClient, json_request};
use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sloetrail_types::{EngineId, Epoch, RequestId, ServiceName, WeightVersion};
use std::net::SocketAddr;
use std::time::Duration;

/// Carries the node's id for the attempt; the back end repeats it in its answer.
pub const REQUEST_ID_HEADER: &str = "x-sloetrail-request-id";
/// Set by a back end that refused a request before running any of it.
pub const NOT_RUN_HEADER: &str = "x-sloetrail-not-run";
/// Names the back end that answered.
pub const ENGINE_ID_HEADER: &str = "x-sloetrail-engine-id";
/// Names the weight versions of a live answer, oldest first.
pub const VERSIONS_HEADER: &str = "x-sloetrail-weight-versions";

/// How urgent a generation is to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Somebody waits for the answer.
    Live,
    /// A sample for a trainer.
    Sample,
}

/// Asks for a generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The attempt's id, repeated in each chunk.
    pub request: RequestId,
    /// The prompt.
    pub prompt: String,
    /// Longest answer, in tokens.
    pub token_limit: u32,
    /// Its priority.
    pub priority: Priority,
    /// Tokens that were already generated elsewhere; the engine goes on after them.
    #[serde(default)]
    pub resume_tokens: Vec<u32>,
}

/// A piece of a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The attempt's id.
    pub request: RequestId,
    /// Index of the first token of this piece.
    pub first_token: u32,
    /// The tokens.
    pub tokens: Vec<u32>,
    /// The weights that produced them.
    pub version: WeightVersion,
    /// True on the last piece.
    pub end: bool,
}

/// What an engine says of itself. The numbers may lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Its service.
    pub service: ServiceName,
    /// Whether it takes new work.
    pub state: EngineLoadState,
    /// The weights in use.
    pub version: WeightVersion,
    /// Weights held in memory, the ones in use included.
    pub loaded: Vec<WeightVersion>,
    /// Requests being run.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests it can run at a time.
    pub capacity: u32,
    /// The highest epoch it has seen in an order.
    pub epoch: Epoch,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineLoadState {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// A fenced order to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// The order's id; the same id is carried out once.
    pub order: String,
    /// The epoch of the lease under which it was given.
    pub epoch: Epoch,
    /// What to do.
    pub command: OrderCommand,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderCommand {
    /// Load weights beside those in use, from a peer engine or the weight store.
    Load {
        /// The version.
        version: WeightVersion,
        /// A peer engine that holds it.
        peer: Option<SocketAddr>,
    },
    /// Use weights that are loaded.
    Switch {
        /// The version.
        version: WeightVersion,
    },
    /// Take no new work.
    Drain,
    /// Take work again.
    Resume,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// It was carried out.
    Done,
    /// It was refused: the engine has seen a higher epoch.
    StaleEpoch(Epoch),
    /// It failed; the engine goes on as before.
    Failed(String),
}

/// A client of engines.
#[derive(Clone)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// A client over a connection pool.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Asks an engine for its status.
    pub async fn status(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EngineStatus, CallError> {
        self.http.get_json(address, "/v1/status", timeout).await
    }

    /// Gives an engine an order.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        timeout: Duration,
    ) -> Result<OrderOutcome, CallError> {
        self.http
            .post_json(address, "/v1/orders", order, timeout)
            .await
    }

    /// Starts a generation. The stream is read with [`ChunkStream::next`].
    pub async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<ChunkStream, CallError> {
        let body = serde_json::to_vec(request).map_err(CallError::not_executed)?;
        let call = json_request(Method::POST, address, "/v1/generate", body)?;
        let response = self.http.start(call).await?;
        if response.headers().contains_key(NOT_RUN_HEADER) {
            return Err(CallError::not_executed("the engine refused the request"));
        }
        if response.status() != StatusCode::OK {
            return Err(CallError::unknown(response.status()));
        }
        Ok(ChunkStream {
            body: response.into_body(),
            pending: Vec::new(),
        })
    }
}

/// A stream of chunks.
pub struct ChunkStream {
    body: Incoming,
    pending: Vec<u8>,
}

impl ChunkStream {
    /// The next chunk, or nothing at the end of the stream.
    pub async fn next(&mut self) -> Result<Option<Chunk>, CallError> {
        loop {
            if let Some(line) = self.take_line() {
                return serde_json::from_slice(&line)
                    .map(Some)
                    .map_err(CallError::unknown);
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(CallError::unknown(error)),
                Some(Ok(frame)) => {
                    let data: Bytes = frame.into_data().unwrap_or_default();
                    self.pending.extend_from_slice(&data);
                }
            }
        }
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.pending.iter().position(|byte| *byte == b'\n')?;
        let mut line: Vec<u8> = self.pending.drain(..=end).collect();
        line.pop();
        Some(line)
    }
}
