//! The scoring service.

use crate::http_client::{CallError, HttpClient};
use serde::{Deserialize, Serialize};
use sloetrail_types::SampleId;
use std::net::SocketAddr;
use std::time::Duration;

/// A generated sample to score.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScoreRequest {
    /// The sample.
    pub sample: SampleId,
    /// Its prompt.
    pub prompt: String,
    /// Its tokens.
    pub tokens: Vec<u32>,
}

/// The score.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ScoreResponse {
    /// Between zero and one.
    pub score: f64,
}

/// A client of the scoring service.
#[derive(Clone)]
pub struct ScoringClient {
    http: HttpClient,
    address: SocketAddr,
    call_timeout: Duration,
}

impl ScoringClient {
    /// A client that waits `call_timeout` for each answer.
    pub fn new(http: HttpClient, address: SocketAddr, call_timeout: Duration) -> Self {
        Self {
            http,
            address,
            call_timeout,
        }
    }

    /// Scores one sample. Scoring again gives the same score.
    pub async fn score(&self, request: &ScoreRequest) -> Result<ScoreResponse, CallError> {
        self.http
            .post_json(self.address, "/v1/score", request, self.call_timeout)
            .await
    }
}
