//! Paths and the layers round them, outermost first.

use super::{callers, operators, peers, trainers};
use crate::peer::{PEER_PATH, message_limit};
use crate::problem_response::ProblemResponse;
use crate::state::NodeState;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{any, get, post};
use sloetrail_result::ResultCode;
use std::sync::Arc;

/// Builds the router.
pub(crate) fn build_router(state: Arc<NodeState>) -> Router {
    let metrics = metrics_handle();
    let peer_limit = message_limit(&state.settings.bounds);
    let body_limit = state.settings.bounds.body_limit_bytes;
    Router::new()
        .route("/services/{service}/{*path}", any(callers::serve))
        .route(
            "/v1/runs/{run}/samples",
            post(trainers::submit).get(trainers::pull),
        )
        .route("/v1/services/{service}/weights", post(trainers::publish))
        .route(
            "/v1/configuration",
            get(operators::configuration).post(operators::apply),
        )
        .route("/v1/applies/{apply}", get(operators::read_back))
        .route("/v1/engines/{engine}/drain", post(operators::drain))
        .route("/v1/engines/{engine}/resume", post(operators::resume))
        .route("/v1/status", get(operators::status))
        .route("/healthz", get(operators::healthz))
        .route("/readyz", get(operators::readyz))
        .route("/metrics", get(move || async move { metrics.render() }))
        .route(
            PEER_PATH,
            post(peers::answer).layer(DefaultBodyLimit::max(peer_limit)),
        )
        .fallback(unknown_path)
        .layer(DefaultBodyLimit::max(body_limit))
        .with_state(state)
}

async fn unknown_path() -> ProblemResponse {
    ProblemResponse::new(ResultCode::UnknownPath, "there is no such path")
}

/// The process's metrics; several nodes in a process share them.
fn metrics_handle() -> metrics_exporter_prometheus::PrometheusHandle {
    use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
    use std::sync::OnceLock;
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // Another recorder may be installed by the embedding program.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}
