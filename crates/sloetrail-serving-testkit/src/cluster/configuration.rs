//! The default operator configuration of a test cluster.

use super::{APPLICATION, HOST, MODEL, MODELS};
use serde_json::{Value, json};

/// A configuration with these routes, both services and no tenants.
pub fn usual_configuration(version: u64, routes: &Value) -> Value {
    json!({
        "version": version, "routes": routes,
        "services": [
            {"name": APPLICATION, "max_conns": 100},
            {"name": MODELS, "max_conns": 100,
             "engine": {"slots": 8, "models": [{"name": MODEL}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_000_000},
    })
}

/// Three live routes to [`APPLICATION`] and a rollout route to [`MODELS`].
pub fn usual_routes() -> Value {
    json!([
        {"name": "live", "host": HOST, "path_prefix": "/live/", "kind": "idempotent",
         "timeout_ms": 2000, "target_latency_ms": 200, "max_attempts": 3,
         "service": APPLICATION},
        {"name": "once", "host": HOST, "path_prefix": "/once/", "kind": "non_idempotent",
         "timeout_ms": 2000, "target_latency_ms": 200, "max_attempts": 3,
         "service": APPLICATION},
        {"name": "events", "host": HOST, "path_prefix": "/events/", "kind": "stream",
         "timeout_ms": 5000, "target_latency_ms": 200, "max_attempts": 3,
         "resumable": true, "service": APPLICATION},
        {"name": "rollout", "host": HOST, "path_prefix": "/rollout/", "kind": "rollout",
         "timeout_ms": 5000, "target_latency_ms": 400, "run_target_ms": 5000,
         "retain_s": 30, "max_attempts": 3, "service": MODELS},
    ])
}
