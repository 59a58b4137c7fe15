//! The rate-limited weight store.

use super::fault_layer::FaultControl;
use super::rate_limit::RateLimit;
use super::server::Served;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

struct Shared {
    limit: RateLimit,
    transfer: Duration,
    reads: AtomicU64,
}

/// The weight store stand-in. Engines read versions from it.
pub struct WeightStoreStandIn {
    served: Served,
    shared: Arc<Shared>,
    /// Its faults.
    pub faults: FaultControl,
}

impl WeightStoreStandIn {
    /// Starts a store whose reads take `transfer` and are limited a second.
    pub async fn start(
        address: SocketAddr,
        reads_per_second: f64,
        transfer: Duration,
        seed: u64,
    ) -> std::io::Result<Self> {
        let faults = FaultControl::new(seed);
        let shared = Arc::new(Shared {
            limit: RateLimit::new(reads_per_second),
            transfer,
            reads: AtomicU64::new(0),
        });
        let router = Router::new()
            .route("/v1/weights/{service}/{version}", get(read))
            .with_state(Arc::clone(&shared));
        let served = Served::start(address, faults.wrap(router)).await?;
        Ok(Self {
            served,
            shared,
            faults,
        })
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Reads that it has served.
    pub fn reads(&self) -> u64 {
        self.shared.reads.load(Ordering::Relaxed)
    }
}

async fn read(State(shared): State<Arc<Shared>>) -> Result<&'static str, StatusCode> {
    if !shared.limit.allow() {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    shared.reads.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(shared.transfer).await;
    Ok("weights")
}
