//! The object store.

use super::fault_layer::FaultControl;
use super::rate_limit::RateLimit;
use super::server::Served;
use axum::Router;
use axum::extract::{Path, State};
use axum::routing::get;
use bytes::Bytes;
use http::StatusCode;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

struct Shared {
    objects: Mutex<BTreeMap<String, Bytes>>,
    limit: RateLimit,
}

/// The object store stand-in.
pub struct ObjectStandIn {
    served: Served,
    shared: Arc<Shared>,
    /// Its faults.
    pub faults: FaultControl,
}

impl ObjectStandIn {
    /// Starts an empty store with a rate limit in operations a second.
    pub async fn start(address: SocketAddr, per_second: f64, seed: u64) -> std::io::Result<Self> {
        let faults = FaultControl::new(seed);
        let shared = Arc::new(Shared {
            objects: Mutex::default(),
            limit: RateLimit::new(per_second),
        });
        let router = Router::new()
            .route("/v1/objects/{*key}", get(read).put(write).delete(delete))
            .layer(axum::extract::DefaultBodyLimit::max(64 * 1024 * 1024))
            .with_state(Arc::clone(&shared));
        let served = Served::start(address, faults.wrap(router)).await?;
        Ok(Self {
            served,
            shared,
            faults,
        })
    }

    /// Bodies that it holds.
    pub fn count(&self) -> usize {
        self.shared.objects.lock().expect("not poisoned").len()
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.served.address()
    }
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
) -> Result<Bytes, StatusCode> {
    if !shared.limit.allow() {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    let objects = shared.objects.lock().expect("not poisoned");
    objects.get(&key).cloned().ok_or(StatusCode::NOT_FOUND)
}

async fn delete(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
) -> Result<(), StatusCode> {
    if !shared.limit.allow() {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    shared.objects.lock().expect("not poisoned").remove(&key);
    Ok(())
}

async fn write(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    body: Bytes,
) -> Result<(), StatusCode> {
    if !shared.limit.allow() {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    let mut objects = shared.objects.lock().expect("not poisoned");
    objects.insert(key, body);
    Ok(())
}
