//! The scoring service: a score that depends only on the sample.

use super::fault_layer::FaultControl;
use super::server::Served;
use axum::routing::post;
use axum::{Json, Router};
use sloetrail_platform::{ScoreRequest, ScoreResponse};
use sloetrail_types::digest;
use std::net::SocketAddr;
use std::time::Duration;

/// The scoring stand-in.
pub struct ScoringStandIn {
    served: Served,
    /// Its faults.
    pub faults: FaultControl,
}

impl ScoringStandIn {
    /// Starts scoring, taking `delay` for each sample.
    pub async fn start(address: SocketAddr, delay: Duration, seed: u64) -> std::io::Result<Self> {
        let faults = FaultControl::new(seed);
        let score = move |Json(request): Json<ScoreRequest>| async move {
            tokio::time::sleep(delay).await;
            let bucket = digest(request.sample.as_str().as_bytes()) % 1_000;
            Json(ScoreResponse {
                score: bucket as f64 / 1_000.0,
            })
        };
        let router = Router::new().route("/v1/score", post(score));
        let served = Served::start(address, faults.wrap(router)).await?;
        Ok(Self { served, faults })
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.served.address()
    }
}
