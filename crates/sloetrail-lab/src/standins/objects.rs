//! The object store.

use super::fault_layer::FaultControl;
use super::rate_limit::RateLimit;
use super::stand_in::StandIn;
use axum::Router;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::routing::get;
use bytes::Bytes;
use http::StatusCode;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// The store's bodies and limits.
pub struct ObjectState {
    objects: Mutex<BTreeMap<String, Bytes>>,
    limit: RateLimit,
}

/// The object store stand-in.
pub type ObjectStandIn = StandIn<ObjectState>;

impl ObjectStandIn {
    /// Starts an empty store with a rate limit in operations a second.
    pub async fn start(
        address: SocketAddr,
        per_second: f64,
        faults: FaultControl,
    ) -> std::io::Result<Self> {
        let state = ObjectState {
            objects: Mutex::default(),
            limit: RateLimit::new(per_second),
        };
        let router = Router::new()
            .route("/v1/objects/{*key}", get(read).put(write).delete(delete))
            .layer(DefaultBodyLimit::max(BODY_LIMIT_BYTES));
        Self::serve(address, state, router, faults).await
    }

    /// Bodies that it holds.
    pub fn count(&self) -> usize {
        self.shared.objects.lock().expect("not poisoned").len()
    }
}

async fn read(
    State(shared): State<Arc<ObjectState>>,
    Path(key): Path<String>,
) -> Result<Bytes, StatusCode> {
    if !shared.limit.allow() {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    let objects = shared.objects.lock().expect("not poisoned");
    objects.get(&key).cloned().ok_or(StatusCode::NOT_FOUND)
}

async fn delete(
    State(shared): State<Arc<ObjectState>>,
    Path(key): Path<String>,
) -> Result<(), StatusCode> {
    if !shared.limit.allow() {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    shared.objects.lock().expect("not poisoned").remove(&key);
    Ok(())
}

async fn write(
    State(shared): State<Arc<ObjectState>>,
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
