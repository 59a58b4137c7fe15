//! The rate-limited weight store.

use super::fault_layer::FaultControl;
use super::rate_limit::RateLimit;
use super::stand_in::StandIn;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The store's limit and what it has served.
pub struct WeightStoreState {
    limit: RateLimit,
    transfer: Duration,
    reads: AtomicU64,
}

/// The weight store stand-in. Engines read versions from it.
pub type WeightStoreStandIn = StandIn<WeightStoreState>;

impl WeightStoreStandIn {
    /// Starts a store whose reads take `transfer` and are limited a second.
    pub async fn start(
        address: SocketAddr,
        reads_per_second: f64,
        transfer: Duration,
        faults: FaultControl,
    ) -> std::io::Result<Self> {
        let state = WeightStoreState {
            limit: RateLimit::new(reads_per_second),
            transfer,
            reads: AtomicU64::new(0),
        };
        let router = Router::new().route("/v1/weights/{service}/{version}", get(read));
        Self::serve(address, state, router, faults).await
    }

    /// Reads that it has served.
    pub fn reads(&self) -> u64 {
        self.shared.reads.load(Ordering::Relaxed)
    }
}

async fn read(State(shared): State<Arc<WeightStoreState>>) -> Result<&'static str, StatusCode> {
    if !shared.limit.allow() {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    shared.reads.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(shared.transfer).await;
    Ok("weights")
}
