//! The scoring service: a score that depends only on the sample.

use super::fault_layer::FaultControl;
use super::stand_in::StandIn;
use axum::extract::State;
use axum::routing::post;
use axum::{Json, Router};
use sloetrail_clients::{ScoreRequest, ScoreResponse};
use sloetrail_types::digest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The scoring stand-in; its state is the time that it takes for a sample.
pub type ScoringStandIn = StandIn<Duration>;

impl ScoringStandIn {
    /// Starts scoring, taking `delay` for each sample.
    pub async fn start(
        address: SocketAddr,
        delay: Duration,
        faults: FaultControl,
    ) -> std::io::Result<Self> {
        let router = Router::new().route("/v1/score", post(score));
        Self::serve(address, delay, router, faults).await
    }
}

/// A score that depends on nothing but the sample's id.
async fn score(
    State(delay): State<Arc<Duration>>,
    Json(request): Json<ScoreRequest>,
) -> Json<ScoreResponse> {
    tokio::time::sleep(*delay).await;
    let bucket = digest(request.sample.as_str().as_bytes()) % 1_000;
    Json(ScoreResponse {
        score: bucket as f64 / 1_000.0,
    })
}
